//! Races of a client that disconnects or cancels: the node must start no further attempt for its requests.

use crate::stage::{named, rid, Stage, LIMITS, SETTINGS};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Fills the accept queue of an engine's listener, so that new connections to the engine are not established.
fn fill_accept_queue(stage: &Stage, house: usize) -> Vec<TcpStream> {
    rustix::net::listen(&stage.houses[house].listener, 0)
        .expect("the accept queue must be cut to its shortest length");
    let address = stage.houses[house].address();
    let dials = (0..4).map(|_| TcpStream::connect_timeout(&address, Duration::from_millis(50)));
    dials.filter_map(Result::ok).collect()
}

/// Settings of a deployment whose engines do not support the cancellation of attempts.
fn without_cancel() -> String {
    SETTINGS.replace(r#""Cancel":true"#, r#""Cancel":false"#)
}

/// Shuts down the sending side of a client's connection, which the node sees as a disconnect.
fn disconnect(stage: &mut Stage, client: &str) {
    stage.client(client).stream.shutdown(Shutdown::Write).unwrap();
}

/// Returns the lines that engines have received so far, without running the event loop of the node.
fn received_lines(stage: &mut Stage) -> Vec<String> {
    let peers = stage.houses.iter_mut().flat_map(|house| &mut house.conns);
    let lines = peers.flat_map(|peer| {
        peer.pull();
        std::iter::from_fn(|| peer.line())
    });
    lines.map(|line| named(&line)).collect()
}

#[test]
fn a_request_whose_client_closes_in_the_same_read_is_not_begun() {
    let mut stage = Stage::served_once();
    stage.go("c2 send ask 1 lookup 2500 select 1 from s_1.t");
    disconnect(&mut stage, "c2");
    (0..3).for_each(|_| stage.one_turn());
    assert_eq!(received_lines(&mut stage), [""; 0]);
    assert_eq!(stage.node.open_requests(), 0);
}

#[test]
fn a_request_that_is_cancelled_in_the_same_read_is_not_begun() {
    let mut stage = Stage::served_once();
    stage.go("c2 send ask 1 lookup 2500 select 1 from s_1.t\nc2 send cancel 1");
    (0..3).for_each(|_| stage.one_turn());
    assert_eq!(received_lines(&mut stage), [""; 0]);
    assert_eq!(stage.node.open_requests(), 0);
    stage.go("c2 wait silent");
}

#[test]
fn the_close_behind_a_flood_is_seen_before_the_flood_is_read() {
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *",
    );
    // The client sends 100 kB after its request and then closes. The 100 kB are more than the node reads from a client
    // per event loop iteration, but fit into the TCP receive window: otherwise the close could not reach the node.
    let padded = format!(r#"{{"jsonrpc":"2.0","id":2,"method":"alive","pad":"{}"}}"#, "x".repeat(50_000));
    let flood = format!("Content-Length: {}\r\n\r\n{padded}", padded.len()).repeat(2);
    stage.client("c1").push(flood.as_bytes());
    disconnect(&mut stage, "c1");
    stage.one_turn();
    assert_eq!(received_lines(&mut stage), ["never_mind c1-1"]);
}

#[test]
fn the_close_of_a_client_that_reads_nothing_is_seen_behind_what_it_is_owed() {
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *",
    );
    stage.fill_with_results("c1", 2);
    received_lines(&mut stage);
    disconnect(&mut stage, "c1");
    stage.one_turn();
    let received = received_lines(&mut stage);
    assert!(received.contains(&"never_mind c1-1".to_owned()), "{received:?}");
}

#[test]
fn what_waits_behind_a_dial_goes_with_its_client() {
    for settings in [SETTINGS.to_owned(), without_cancel()] {
        let mut stage = Stage::with(1, r#""listen":"127.0.0.1:0","#, LIMITS, &settings);
        let queued = fill_accept_queue(&stage, 0);
        stage.go("c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)");
        stage.node_turns(5);
        assert_eq!(stage.node.open_requests(), 1, "the request must wait for its connection");
        disconnect(&mut stage, "c1");
        stage.node_turns(5);
        assert_eq!(stage.node.open_requests(), 0, "a request that was not sent must end with its client");
        drop(queued);
        stage.go("clock wait 200");
        assert_eq!(
            stage.sent_to_engines(),
            [""; 0],
            "the connection was established after the client had gone"
        );
    }
}

#[test]
fn what_waits_for_its_keys_predecessor_goes_with_its_client() {
    let mut stage = Stage::in_order(1);
    stage.go("c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c3 send ask 1 delivery-load@k1 25000 insert into s_1.t values (3)
        w wait silent");
    disconnect(&mut stage, "c2");
    stage.go("c3 send cancel 1
        w wait silent
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        clock wait 1000
        w wait silent");
    assert_eq!(stage.node.open_requests(), 0);
}

#[test]
fn what_waits_for_an_engine_goes_with_its_client() {
    let mut stage = Stage::play(1, "clock wait 100");
    stage.tell_of(0, "2 1");
    stage.go("c1 send ask 1 lookup 2500 select 1 from s_1.t\nc2 send ask 1 lookup 2500 select 2 from s_1.t\nc1 wait silent");
    disconnect(&mut stage, "c1");
    stage.go("c2 send cancel 1\nclock wait 100");
    stage.tell_of(0, "3 0");
    stage.go("clock wait 200");
    assert_eq!(stage.sent_to_engines(), [""; 0]);
    assert_eq!(stage.node.open_requests(), 0);
}

#[test]
fn between_the_cancel_of_an_attempt_and_its_retry_a_client_that_leaves_ends_both() {
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        clock wait 550
        w expect never_mind c1-1
        w expect there g1",
    );
    disconnect(&mut stage, "c1");
    stage.one_turn();
    stage.houses[0].conns[0].push(b"g1 green - 0\r\n\r\n");
    stage.go("clock wait 300");
    assert_eq!(stage.sent_to_engines(), [""; 0]);
    assert_eq!(stage.node.open_requests(), 0);
}

#[test]
fn a_client_that_leaves_takes_nothing_from_another_that_uses_its_name() {
    let mut stage = Stage::play(1, "c1 send ask 1 lookup 2500 select 1 from s_1.t\nw expect want c1-1 *");
    let same = format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"lookup","params":{{"rid":"{}","budget":2500,"doc":"c2VsZWN0IDE="}}}}"#,
        rid("c1-1")
    );
    stage.go(&format!("c2 send {same}\nc2 expect 1 error -32011 backoff"));
    disconnect(&mut stage, "c2");
    stage.go("w wait silent\nw send c1-1 served pages=1 x\\t\\t\\n\nc1 expect 1 served x\\t\\t\\n");
}
