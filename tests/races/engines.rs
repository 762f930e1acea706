//! Races on connections to engines: closes, resets, late connections and late answers at the worst moment.

use crate::stage::{rid, Peer, Stage};
use rustix::net::sockopt::set_socket_linger;
use std::time::Duration;

/// Closes a connection with a TCP reset.
fn reset(peer: Peer) {
    set_socket_linger(&peer.stream, Some(Duration::ZERO)).unwrap();
    drop(peer);
}

fn served_answer(name: &str) -> Vec<u8> {
    format!("{} served pages=1 4\r\nx\t\t\n\r\n", rid(name)).into_bytes()
}

#[test]
fn an_answer_and_the_deadline_in_one_turn_are_one_answer() {
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 2000 insert into s_1.t values (1)
        w expect want c1-1 *",
    );
    let (house, connection) = stage.current_connection();
    stage.houses[house].conns[connection].push(&served_answer("c1-1"));
    stage.clock.set(stage.clock.now() + 2100.0);
    stage.one_turn();
    stage.go("c1 expect 1 served x\\t\\t\\n\nclock wait 100\nc1 wait silent");
    assert_eq!(stage.node.open_requests(), 0);
}

#[test]
fn an_idle_connection_that_closes_as_a_request_comes_costs_the_request_nothing() {
    for close in [reset as fn(Peer), |peer| drop(peer)] {
        let mut stage = Stage::served_once();
        // The request and the close of the idle connection are both pending when the node next polls its sockets.
        stage.go("c1 send ask 2 lookup 2500 select 2 from s_1.t");
        close(stage.houses[0].conns.remove(0));
        stage.go("w expect want c1-2 *
            w send c1-2 served pages=1 y\\t\\t\\n
            c1 expect 2 served y\\t\\t\\n");
        assert_eq!(stage.node.open_requests(), 0);
    }
}

#[test]
fn a_load_whose_engine_resets_before_its_first_byte_left_goes_on_and_after_it_fails() {
    let mut stage = Stage::play(1, "clock wait 10");
    // The engine is killed right after it accepts the connection.
    // The reset therefore arrives before the node has seen that the connection was established.
    stage.go("c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)");
    stage.one_turn();
    let until = std::time::Instant::now() + Duration::from_secs(10);
    let accepted = loop {
        assert!(std::time::Instant::now() < until, "the node opened no connection to the engine");
        if let Ok((stream, _)) = stage.houses[0].listener.accept() {
            break stream;
        }
    };
    reset(Peer::new(accepted));
    stage.go("w expect want c1-1 *");
    // The engine has received the request before this reset and may have run the request, so the request must fail.
    let (house, connection) = stage.current_connection();
    reset(stage.houses[house].conns.remove(connection));
    stage.go("c1 expect 1 error -32010\nclock wait 200\nw wait silent");
}

#[test]
fn a_reset_long_after_the_last_answer_costs_nobody_anything() {
    let mut stage = Stage::served_once();
    stage.go("clock wait 3000");
    reset(stage.houses[0].conns.remove(0));
    stage.go("clock wait 100
        c1 wait silent
        c1 send ask 2 lookup 2500 select 2 from s_1.t
        w expect want c1-2 *
        w send c1-2 served pages=1 y\\t\\t\\n
        c1 expect 2 served y\\t\\t\\n");
}

#[test]
fn half_a_line_as_the_node_closes_an_idle_connection_harms_nothing() {
    let mut stage = Stage::served_once();
    // Half a line arrives on an idle connection just as the idle timeout makes the node close the connection.
    stage.houses[0].conns[0].push(b"0123456789abcdef upd");
    stage.clock.set(stage.clock.now() + 9100.0);
    (0..3).for_each(|_| stage.one_turn());
    stage.go("clock wait 600
        c1 send ask 2 lookup 2500 select 2 from s_1.t
        w expect want c1-2 *
        w send c1-2 served pages=1 y\\t\\t\\n
        c1 expect 2 served y\\t\\t\\n");
}

#[test]
fn a_name_is_run_once_on_any_connection_and_again_only_long_after() {
    let mut stage = Stage::served_once();
    let repeat_request = |id: usize| {
        let params = format!(r#"{{"rid":"{}","budget":2500,"doc":"c2VsZWN0IDE="}}"#, rid("c1-1"));
        format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{params}}}"#)
    };
    for wait in [0, 4900, 4900] {
        stage.go(&format!(
            "clock wait {wait}\nc1 send {}\nc1 expect 2 error -32011 backoff",
            repeat_request(2)
        ));
        stage.go(&format!("c2 send {}\nc2 expect 2 error -32011 backoff\nw wait silent", repeat_request(2)));
    }
    stage.go(&format!("clock wait 400\nc2 send {}\nw expect want c1-1 *", repeat_request(3)));
}
