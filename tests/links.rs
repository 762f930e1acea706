//! End-to-end tests of the connections to engines: on which connection an attempt is sent, and whether a request is
//! retried or failed after its connection has been closed, was reset or stays silent.

#[path = "common/stage.rs"]
mod stage;

use stage::Stage;

#[test]
fn a_late_answer_does_not_pass_for_that_of_the_next_attempt() {
    // A retry on the same engine has the request id of the first attempt, whose answer can still arrive late on the old
    // connection. The front must not take that late answer for the answer to the retry.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        clock wait 550
        w expect never_mind c1-1
        w expect there g1
        w wait silent",
    );
    // The retry must wait until the engine has confirmed the cancel, because the retry is sent on a second connection:
    // the engine could otherwise read the cancel after the retry, and run two copies of the request at once.
    stage.houses[0].conns[0].push(b"g1 green - 0\r\n\r\n");
    stage.go("w expect want c1-1 *");
    assert_eq!(stage.houses[0].conns.len(), 2, "the retry must use a second connection");
    stage.push(0, "c1-1", b"served pages=1 7\r\nlate\t\t\n\r\n");
    stage.go("c1 wait silent
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        c1 wait silent");
}

#[test]
fn an_address_that_passes_to_another_id_loses_the_old_ones_connections() {
    // An address can pass to an engine with another id. The front must close its connections to the old engine, or
    // it would take answers of the old process for answers of the new one.
    Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        list send 2 1
        list send 3 0 77
        c1 expect 1 error -32010
        c1 send ask 2 lookup 2500 select 1 from s_1.t
        w expect want c1-2 *
        w send c1-2 served pages=1 x\\t\\t\\n
        c1 expect 2 served x\\t\\t\\n",
    );
}

#[test]
fn a_silent_connection_is_asked_and_gets_nothing_new() {
    // A network partition leaves the connections to an engine open but silent. The front must send a keep-alive probe
    // (`there`). If the engine doesn't reply to the probe, the non-idempotent request in flight must fail.
    Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        clock wait 2000
        w expect there *
        clock wait 9500
        c1 expect 1 error -32010",
    );
}

#[test]
fn a_spoilt_answer_costs_its_connection_and_is_never_passed_on() {
    // Engines and networks can corrupt answers: noise, wrong lengths, huge lengths or page counts, and pages that are
    // not whole rows of three columns. The front must close the connection and not forward the answer.
    // The non-idempotent request on the connection may have run, so the front must fail the request at once.
    let unterminated_line = [b"served pages=1 ".as_slice(), &[b'9'; 2000]].concat();
    for corrupt_answer in [
        b"\x00\xff\x13noise\r\n".as_slice(),
        &unterminated_line,
        b"served pages=1 3000000000\r\n",
        b"served pages=1 6\r\na\tb\tc\nd\r\n",
        b"served pages=1 9\r\na\tb\tc\n\r\n6331 update - 0\r\n\r\n",
        b"served pages=1 4\r\na\tb\n\r\n",
        b"served pages=1 5\r\na\tb\tc\r\n",
        b"served pages=1 6\r\na\tb\t\xff\n\r\n",
        b"served pages=999999 6\r\na\tb\tc\n\r\n",
        b"served - 6\r\na\tb\tc\n\r\n",
        b"servod pages=1 6\r\na\tb\tc\n\r\n",
        b"served pages=1\r\n",
    ] {
        let mut stage = Stage::play(
            1,
            "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
            w expect want c1-1 *",
        );
        stage.push(0, "c1-1", corrupt_answer);
        stage.go("c1 expect 1 error -32010\nc1 wait silent");
        stage.expect("a close of the connection with the corrupt answer", |stage| {
            stage.houses[0].conns[0].closed
        });
    }
}

#[test]
fn an_answer_that_stops_short_is_waited_for_briefly() {
    // A connection can stay open but stall in the middle of an answer. Such a connection can't be used any more, so the
    // front must fail the request within 1 s instead of waiting for the request's deadline.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *",
    );
    stage.push(0, "c1-1", b"served pages=1 6\r\na\t");
    stage.go("c1 wait silent\nclock wait 1000\nc1 expect 1 error -32010");
}

#[test]
fn answers_that_bring_more_than_is_theirs_harm_nothing() {
    // An engine can send an answer or a page twice, or answer a request that it was never sent or will be sent later.
    // The front must ignore such answers.
    Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        w send c1-2 served pages=1 e\\ta\\tr\\n
        w send zz served pages=1 a\\tb\\tc\\n
        w send c1-1 served pages=2 a\\tb\\tc\\n
        w expect turn c1-1 1
        w send c1-1 served pages=2 x\\ty\\tz\\n
        w send c1-1 rows page=1 d\\te\\tf\\n
        w send c1-1 rows page=1 x\\ty\\tz\\n
        w expect shut c1-1
        c1 expect 1 served a\\tb\\tc\\nd\\te\\tf\\n
        c1 send ask 2 lookup 2500 select 1 from s_1.t
        w expect want c1-2 *
        w send c1-2 served pages=1 x\\ty\\tz\\n
        c1 expect 2 served x\\ty\\tz\\n
        c1 wait silent",
    );
}

#[test]
fn each_attempt_has_a_connection_of_its_own_while_there_is_room() {
    // Two requests in flight must use two connections, so that one broken connection doesn't lose several answers.
    let stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        c1 send ask 2 lookup 2500 select 2 from s_1.t
        w expect want c1-2 *",
    );
    assert_eq!(stage.houses[0].conns.len(), 2);
}

#[test]
fn a_cancel_that_nobody_confirms_is_over_soon() {
    // An engine behind a network partition never confirms a cancel. The front must therefore retry the
    // request without a confirmation, within 300 ms after the cancel.
    Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        clock wait 550
        w expect never_mind c1-1
        w expect there g1
        w wait silent
        clock wait 300
        w expect want c1-1 *",
    );
}

#[test]
fn a_load_goes_by_a_connection_of_its_own_and_a_look_up_by_an_idle_one() {
    // If an idle connection is reset just as a request is sent, the front can't tell whether the engine has read the
    // request. A non-idempotent request must therefore use a new connection; only idempotent requests reuse idle ones.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        c1 send ask 2 lookup 2500 select 1 from s_1.t
        w expect want c1-2 *",
    );
    assert_eq!(stage.houses[0].conns.len(), 1);
    stage.go("w send c1-2 served pages=1 x\\t\\t\\n
        c1 expect 2 served x\\t\\t\\n
        c1 send ask 3 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-3 *");
    assert_eq!(stage.houses[0].conns.len(), 2);
}

#[test]
fn connections_that_die_while_they_are_quiet_are_not_used_after_such_a_time() {
    // A firewall or NAT device can drop the state of idle connections, so that a later request on them is reset.
    // After such a reset, the front must not reuse connections that have been idle for about as long.
    // If the engine has sent data after the idle time, a later break is no sign that idle connections are dropped.
    for (progress_step, final_connections) in [("", 2), ("w send c1-2 update remark=so_far,v=0.5", 1)] {
        let mut stage = Stage::play(
            1,
            &format!(
                "c1 send ask 1 lookup 2500 select 1 from s_1.t
                w expect want c1-1 *
                w send c1-1 served pages=1 x\\t\\t\\n
                c1 expect 1 served x\\t\\t\\n
                clock wait 200
                c1 send ask 2 lookup 2500 select 1 from s_1.t
                w expect want c1-2 *
                {progress_step}
                w close
                w expect want c1-2 *
                w send c1-2 served pages=1 x\\t\\t\\n
                c1 expect 2 served x\\t\\t\\n"
            ),
        );
        for (wait, connections) in [(100, 1), (170, final_connections)] {
            stage.go(&format!(
                "clock wait {wait}
                c1 send ask {wait} lookup 2500 select 1 from s_1.t
                w expect want c1-{wait} *
                w send c1-{wait} served pages=1 x\\t\\t\\n
                c1 expect {wait} served x\\t\\t\\n"
            ));
            assert_eq!(
                stage.houses[0].conns.len(),
                connections,
                "after {wait} ms of idle time, script step: {progress_step}"
            );
        }
    }
}

/// Fills the accept queue of an engine's listener, so that new connections to the engine are established late or never.
fn fill_accept_queue(stage: &Stage, house: usize) -> Vec<std::net::TcpStream> {
    rustix::net::listen(&stage.houses[house].listener, 0)
        .expect("the accept queue must be cut to its shortest length");
    let address = stage.houses[house].address();
    let connect_timeout = std::time::Duration::from_millis(50);
    let dials = (0..4).map(|_| std::net::TcpStream::connect_timeout(&address, connect_timeout));
    let established: Vec<_> = dials.filter_map(Result::ok).collect();
    assert!(established.len() < 4, "the accept queue must be full");
    established
}

#[test]
fn what_waits_behind_a_late_dial_goes_by_a_connection_that_is_up() {
    // An engine must not count as lost, and then as cold, because some connections to it are established late.
    // A request that waits for a late connection must be sent on an established connection instead.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        w send c1-1 update remark=so_far,v=0.1",
    );
    (0..5).for_each(|_| stage.turn());
    let _queued = fill_accept_queue(&stage, 0);
    // A request is in flight on the only connection, so the next request opens a second connection.
    // The second connection is not established, because the accept queue of the engine is full.
    stage.node_turns(5);
    stage.go("c1 send ask 2 lookup 2500 select 2 from s_1.t");
    stage.node_turns(5);
    assert_eq!(stage.houses[0].conns[0].line(), None, "the request must wait for its new connection");
    stage.pass_node(90.0);
    let received = stage.houses[0].conns[0].line();
    let rid = stage::rid("c1-2");
    assert!(
        received.is_some_and(|line| line.starts_with(&format!("want {rid} "))),
        "the request must be sent on the established connection"
    );
    stage.go("w send c1-2 served pages=1 x\\t\\t\\n\nc1 expect 2 served x\\t\\t\\n");
}

#[test]
fn a_late_dial_to_an_engine_that_says_nothing_else_has_failed_in_its_time() {
    let mut stage = Stage::play(1, "clock wait 10");
    let _queued = fill_accept_queue(&stage, 0);
    stage.go("c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)");
    stage.node_turns(5);
    stage.pass_node(2500.0);
    let told = stage.node.take_log();
    assert!(told.iter().any(|line| line.contains("connections fail")), "{told:?}");
}
