//! Races of a graceful shutdown: requests, bytes and connections that arrive just as a phase of the shutdown ends.

use crate::stage::{rid, Stage, LIMITS, SETTINGS};

const ALIVE: &str = r#"{"jsonrpc":"2.0","id":1,"method":"alive"}"#;

fn framed(message: &str) -> String {
    format!("Content-Length: {}\r\n\r\n{message}", message.len())
}

fn lookup_request(id: usize, statement: &str) -> String {
    use base64::prelude::{Engine as _, BASE64_STANDARD};
    let params = format!(
        r#"{{"rid":"{id:016x}","budget":2500,"est":20,"memory":8,"doc":"{}"}}"#,
        BASE64_STANDARD.encode(statement)
    );
    framed(&format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{params}}}"#))
}

/// Starts a node with one connected client and begins the graceful shutdown of the node.
fn start_shutdown(warehouses: usize) -> Stage {
    let mut stage = Stage::play(warehouses, &format!("c1 send {ALIVE}\nc1 expect *pass*"));
    stage.node.begin_shutdown();
    stage
}

#[test]
fn pipelined_commands_that_are_half_answered_when_closing_begins_are_all_answered() {
    let mut stage = start_shutdown(1);
    stage.go("clock wait 790");
    // The node handles at most 32 messages of a client per event loop iteration. The 40 `alive` messages use up the
    // first iteration, so the lookup requests after them are read in the next iteration.
    let alive = framed(ALIVE).repeat(40);
    let requests: String = (2..8).map(|id| lookup_request(id, "select 1 from s_1.t")).collect();
    stage.client("c1").push(format!("{alive}{requests}").as_bytes());
    stage.clock.set(stage.clock.now() + 60.0);
    stage.one_turn();
    (0..40).for_each(|_| stage.go("c1 expect *pass*"));
    (2..8).for_each(|id| stage.go(&format!("c1 expect {id} error -32011 backoff")));
    assert_eq!(
        stage.sent_to_engines(),
        [""; 0],
        "requests that are read in the closing phase must be rejected"
    );
    stage.go("clock wait 50\nc1 expect closed\nc1 close\nclock wait 50");
    assert!(stage.node.is_shut_down());
}

#[test]
fn bytes_that_are_unread_when_a_quiet_connection_is_closed_take_no_answer_away() {
    let mut stage = start_shutdown(1);
    stage.go("clock wait 790");
    // The client sends more than twice the 64 KiB that the node reads from a client per event loop iteration, so the
    // rest is still in the kernel's receive buffer when the closing phase begins.
    let padded = format!(r#"{{"jsonrpc":"2.0","id":2,"method":"alive","pad":"{}"}}"#, "x".repeat(30_000));
    stage.client("c1").push(framed(&padded).repeat(6).as_bytes());
    stage.clock.set(stage.clock.now() + 60.0);
    stage.one_turn();
    (0..6).for_each(|_| stage.go("c1 expect *pass*"));
    stage.go("clock wait 50\nc1 expect closed");
}

#[test]
fn half_a_request_at_the_close_is_waited_for_and_refused_when_it_is_whole() {
    let mut stage = start_shutdown(1);
    stage.go("clock wait 790");
    let request = lookup_request(2, "select 1 from s_1.t");
    let (head, rest) = request.split_at(60);
    stage.client("c1").push(head.as_bytes());
    stage.go("clock wait 200");
    assert!(
        !stage.client("c1").closed && !stage.node.is_shut_down(),
        "a client has sent only part of a request"
    );
    stage.client("c1").push(rest.as_bytes());
    stage.go("c1 expect 2 error -32011 backoff\nclock wait 50\nc1 expect closed\nc1 close\nclock wait 60");
    assert!(stage.node.is_shut_down());
}

#[test]
fn half_a_request_that_never_becomes_whole_does_not_outlast_the_kill() {
    let mut stage = start_shutdown(1);
    stage.go("clock wait 3000");
    stage.client("c1").push(b"Content-Length: 500\r\n\r\n{");
    stage.go("clock wait 690");
    assert!(stage.node.is_shut_down(), "the shutdown must end before SIGKILL at 3700 ms");
}

#[test]
fn a_request_beside_one_that_is_open_is_refused_once_connections_close() {
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *",
    );
    stage.node.begin_shutdown();
    stage.go("clock wait 850
        w expect there *
        c1 send ask 2 lookup 2500 select 2 from s_1.t
        c1 expect 2 error -32011 backoff
        w wait silent
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        clock wait 50
        c1 expect closed");
}

#[test]
fn a_connection_that_waits_to_be_accepted_when_the_listener_closes_is_answered() {
    // 32 clients use all descriptors that clients may have, so one more connection waits in the kernel's accept queue.
    let limits = LIMITS.replace("1024", "64");
    let mut stage = Stage::with_limits(1, &limits);
    for client in 0..32 {
        stage.go(&format!("c{client} send ask 1 lookup 2500 select 1 from s_1.t"));
    }
    (0..5).for_each(|_| stage.turn());
    stage.go("late send ask 1 lookup 2500 select 1 from s_1.t");
    stage.one_turn();
    stage.node.begin_shutdown();
    stage.go("c0 close");
    stage.clock.set(stage.clock.now() + 850.0);
    stage.one_turn();
    stage.go("late expect 1 error -32011 backoff\nclock wait 60\nlate expect closed");
}

#[test]
fn answers_that_the_system_has_not_taken_are_written_before_the_close() {
    let mut stage = Stage::play(1, &format!("c1 send {ALIVE}\nc1 expect *pass*"));
    let result_count = stage.fill_with_results("c1", 2);
    stage.node.begin_shutdown();
    // The client reads none of its responses until the closing phase, when the node closes idle connections.
    stage.pass_node(900.0);
    for _ in 0..result_count {
        stage.go("c1 expect *");
    }
    stage.go("clock wait 60\nc1 expect closed");
}

#[test]
fn a_second_signal_changes_nothing() {
    let mut stage = start_shutdown(1);
    stage.go("clock wait 500");
    stage.node.begin_shutdown();
    stage.go("clock wait 350\nc1 expect closed\nc1 close\nclock wait 50");
    assert!(stage.node.is_shut_down(), "the time windows of the shutdown must count from the first signal");
}

#[test]
fn a_connection_accepted_before_the_signal_and_silent_until_after_it_is_served() {
    let mut stage = Stage::play(1, "c1 send raw C");
    stage.one_turn();
    stage.node.begin_shutdown();
    stage.one_turn();
    let request = lookup_request(2, "select 1 from s_1.t");
    stage.client("c1").push(&request.as_bytes()[1..]);
    stage.expect("the request to reach an engine", |stage| !stage.sent_to_engines().is_empty());
}

#[test]
fn a_retry_that_cannot_end_before_the_kill_is_not_sent() {
    let mut stage = Stage::with(2, r#""listen":"127.0.0.1:0","#, LIMITS, SETTINGS);
    let name = rid("c1-1");
    let params = format!(r#"{{"rid":"{name}","budget":25000,"est":1800,"memory":8,"doc":"c2VsZWN0IDE="}}"#);
    stage.node.begin_shutdown();
    stage.go("clock wait 550");
    stage.go(&format!(r#"c1 send {{"jsonrpc":"2.0","id":1,"method":"delivery-load","params":{params}}}"#));
    stage.go("w expect want c1-1 *");
    let (house, connection) = stage.current_connection();
    stage.go("clock wait 2300");
    stage.sent_to_engines();
    // The first engine rejects the request without running it. A retry on the other engine would end after SIGKILL, so
    // the node must reject the request instead of sending the retry.
    stage.houses[house].conns[connection].push(format!("{name} overload - 0\r\n\r\n").as_bytes());
    stage.go("c1 expect 1 error -32011 backoff");
    assert_eq!(stage.sent_to_engines(), [""; 0]);
}
