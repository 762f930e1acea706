//! Connections to engines on real sockets: which one is used, and what each end proves.

#[path = "common/stage.rs"]
mod stage;

use stage::Stage;

#[test]
fn a_late_answer_does_not_pass_for_that_of_the_next_attempt() {
    // Guards a request that goes to the same warehouse again: its name is on the old connection still.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        clock wait 550
        w expect never_mind c1-1
        w expect there g1
        w wait silent",
    );
    // Guards the rule on second copies: the two go by two connections, and the cancel may be read last.
    stage.houses[0].conns[0].push(b"g1 green - 0\r\n\r\n");
    stage.go("w expect want c1-1 *");
    assert_eq!(stage.houses[0].conns.len(), 2, "the second attempt has a connection of its own");
    stage.push(0, "c1-1", b"served pages=1 7\r\nlate\t\t\n\r\n");
    stage.go("c1 wait silent
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        c1 wait silent");
}

#[test]
fn an_address_that_passes_to_another_id_loses_the_old_ones_connections() {
    // Guards against taking the answers of one process for those of the one that had its address before.
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
    // Guards against a machine that was cut off: its connections stay open and say nothing.
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
    // Guards against warehouses and networks that spoil answers: noise, lengths that do not fit, huge claims, pages
    // that are no whole rows of three columns. The load on the connection may have run and ends at once.
    let endless = [b"served pages=1 ".as_slice(), &[b'9'; 2000]].concat();
    for spoilt in [
        b"\x00\xff\x13noise\r\n".as_slice(),
        &endless,
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
        stage.push(0, "c1-1", spoilt);
        stage.go("c1 expect 1 error -32010\nc1 wait silent");
        stage.expect("the close", |stage| stage.houses[0].conns[0].closed);
    }
}

#[test]
fn an_answer_that_stops_short_is_waited_for_briefly() {
    // Guards against a connection that stays open in the middle of an answer: it is of no further use.
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
    // Guards against second copies, and against answers under ids that are not, or not yet, asked for there.
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
    // Guards against one bad connection that takes the answers of many requests along.
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
    // Guards against a machine that is cut off: what is called off there goes on elsewhere all the same.
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
    // Guards against an idle connection that is reset as the load comes: nobody could tell whether it was read.
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
    // Guards against a box between that forgets quiet connections: each request on one is reset, read or not. A break
    // after a sign of life is another thing, and teaches nothing of quiet ones.
    for (sign, then) in [("", 2), ("w send c1-2 update remark=so_far,v=0.5", 1)] {
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
                {sign}
                w close
                w expect want c1-2 *
                w send c1-2 served pages=1 x\\t\\t\\n
                c1 expect 2 served x\\t\\t\\n"
            ),
        );
        for (wait, connections) in [(100, 1), (170, then)] {
            stage.go(&format!(
                "clock wait {wait}
                c1 send ask {wait} lookup 2500 select 1 from s_1.t
                w expect want c1-{wait} *
                w send c1-{wait} served pages=1 x\\t\\t\\n
                c1 expect {wait} served x\\t\\t\\n"
            ));
            assert_eq!(stage.houses[0].conns.len(), connections, "after {wait} ms, {sign}");
        }
    }
}

/// Has an engine's listener take no further connection: dials come up late, or never.
fn fill(stage: &Stage, house: usize) -> Vec<std::net::TcpStream> {
    rustix::net::listen(&stage.houses[house].listener, 0).expect("its line is cut to the shortest");
    let address = stage.houses[house].address();
    let wait = std::time::Duration::from_millis(50);
    let dials = (0..4).map(|_| std::net::TcpStream::connect_timeout(&address, wait));
    let up: Vec<_> = dials.filter_map(Result::ok).collect();
    assert!(up.len() < 4, "the line is full");
    up
}

#[test]
fn what_waits_behind_a_late_dial_goes_by_a_connection_that_is_up() {
    // Guards against engines taken for lost, and then for cold, as some of their connections come up late.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        w send c1-1 update remark=so_far,v=0.1",
    );
    (0..5).for_each(|_| stage.turn());
    let _full = fill(&stage, 0);
    // One is under way on the only connection, so the next dials; the dial does not come up.
    stage.node_turns(5);
    stage.go("c1 send ask 2 lookup 2500 select 2 from s_1.t");
    stage.node_turns(5);
    assert_eq!(stage.houses[0].conns[0].line(), None, "it waits behind its dial");
    stage.pass_node(90.0);
    let came = stage.houses[0].conns[0].line();
    let rid = stage::rid("c1-2");
    assert!(
        came.is_some_and(|line| line.starts_with(&format!("want {rid} "))),
        "it goes by the one that is up"
    );
    stage.go("w send c1-2 served pages=1 x\\t\\t\\n\nc1 expect 2 served x\\t\\t\\n");
}

#[test]
fn a_late_dial_to_an_engine_that_says_nothing_else_has_failed_in_its_time() {
    let mut stage = Stage::play(1, "clock wait 10");
    let _full = fill(&stage, 0);
    stage.go("c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)");
    stage.node_turns(5);
    stage.pass_node(2500.0);
    let told = stage.node.take_log();
    assert!(told.iter().any(|line| line.contains("connections fail")), "{told:?}");
}
