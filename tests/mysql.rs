//! Tests of the MySQL front over loopback sockets, with a real MySQL client library and simulated engines.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/stage.rs"]
mod stage;

use beamgap::node::dispatcher::Front;
use beamgap::node::mysql_packets::{append_packet, error_code, parse_packet};
use boxes::{Boxes, Next};
use mysql::prelude::Queryable;
use mysql::{Conn, Error};
use stage::Peer;
use std::net::TcpStream;

fn error_parts(error: Error) -> (u16, String, String) {
    match error {
        Error::MySqlError(e) => (e.code, e.state, e.message),
        other => panic!("not an ERR packet from the server: {other}"),
    }
}

#[test]
fn text_and_prepared_statements_are_served() {
    let mut boxes = Boxes::new(1);
    let opts = boxes.login("frost");
    let rows = boxes.with_client(
        move || {
            let mut conn = Conn::new(opts).unwrap();
            assert!(conn.ping().is_ok());
            let text: Vec<String> = conn.query("select name from s_3.t").unwrap();
            let statement = conn.prep("select name from s_3.t where a = ? and b = ?").unwrap();
            assert_eq!(statement.num_params(), 2);
            let bound: Vec<String> = conn.exec(&statement, (7u32, "abc")).unwrap();
            let null: Vec<String> = conn.exec(&statement, (None::<u32>, "abc")).unwrap();
            conn.exec_drop("insert into s_3.t values (?)", ("x",)).unwrap();
            [text, bound, null].concat()
        },
        |_| {},
    );
    assert_eq!(rows, ["box 0"; 3]);
    let texts: Vec<&str> = boxes.runs.iter().map(|run| run.text.as_str()).collect();
    assert_eq!((texts.len(), texts[3]), (4, "insert into s_3.t values (?)"));
    assert!(
        boxes.runs[1].bound.ends_with(b"\x03abc") && boxes.runs[2].bound[0] == 1,
        "bound values or NULLs did not reach the engine"
    );
}

#[test]
fn a_prepared_statement_goes_on_while_its_boxes_drain_one_after_another() {
    // Guards against a prepared statement that stops working when the engine on which it was prepared drains. Every
    // request must get one answer, every load must run once, and a draining engine must receive no new work.
    const ROUNDS: usize = 60;
    let mut boxes = Boxes::new(4);
    let opts = boxes.login("frost");
    let mut drained: Vec<(usize, usize)> = Vec::new();
    let answers = boxes.with_client(
        move || {
            let mut conn = Conn::new(opts).unwrap();
            let read = conn.prep("select name from s_3.t where a = ?").unwrap();
            let load = conn.prep("insert into s_3.t values (?)").unwrap();
            let mut answers = 0;
            for round in 0..ROUNDS {
                match round % 3 {
                    0 => answers += conn.exec::<String, _, _>(&read, (round,)).unwrap().len(),
                    1 => answers += usize::from(conn.exec_drop(&load, (round,)).is_ok()),
                    _ => answers += conn.query::<String, _>("select name from s_3.t").unwrap().len(),
                }
            }
            answers
        },
        |boxes| {
            if drained.len() < 3 && boxes.runs.len() >= 15 * (drained.len() + 1) {
                let house = boxes.runs.last().unwrap().house;
                boxes.stage.tell_of(house, &format!("{} 1", drained.len() + 2));
                boxes.turn(); // Runs what the node sent before it learned of the drain; those runs are allowed.
                drained.push((house, boxes.runs.len()));
            }
        },
    );
    assert_eq!((answers, boxes.runs.len(), drained.len()), (ROUNDS, ROUNDS, 3));
    for (house, at) in drained {
        assert!(
            boxes.runs[at..].iter().all(|run| run.house != house),
            "engine {house} received work while draining"
        );
    }
}

#[test]
fn several_clients_at_once_have_one_answer_each_while_boxes_drain() {
    // Guards against lost or repeated requests when engines drain with several requests in flight. Requests already
    // sent must end on the draining engine, and unsent ones must go to another engine.
    const CLIENTS: usize = 4;
    const ROUNDS: usize = 30;
    let mut boxes = Boxes::new(4);
    let opts = boxes.login("frost");
    let mut drained = 0;
    let answers: usize = boxes.with_client(
        move || {
            let client = |number: usize| {
                let opts = opts.clone();
                std::thread::spawn(move || {
                    let mut conn = Conn::new(opts).unwrap();
                    let load = conn.prep("insert into s_3.t values (?, ?)").unwrap();
                    let read = conn.prep("select name from s_3.t where a = ?").unwrap();
                    let mut answers = 0;
                    for round in 0..ROUNDS {
                        answers += usize::from(conn.exec_drop(&load, (number, round)).is_ok());
                        answers += conn.exec::<String, _, _>(&read, (round,)).unwrap().len();
                    }
                    answers
                })
            };
            let clients: Vec<_> = (0..CLIENTS).map(client).collect();
            clients.into_iter().map(|client| client.join().unwrap()).sum()
        },
        |boxes| {
            boxes.stage.clock.set(boxes.stage.clock.now() + 0.1);
            if drained < 3 && boxes.runs.len() >= 50 * (drained + 1) {
                let house = boxes.runs.last().unwrap().house;
                boxes.stage.tell_of(house, &format!("{} 1", drained + 2));
                drained += 1;
            }
        },
    );
    let mut loads: Vec<&[u8]> =
        boxes.runs.iter().filter(|run| run.text.starts_with("insert")).map(|run| &run.bound[..]).collect();
    loads.sort_unstable();
    loads.dedup();
    assert_eq!((answers, drained), (2 * CLIENTS * ROUNDS, 3));
    assert_eq!((boxes.runs.len(), loads.len()), (2 * CLIENTS * ROUNDS, CLIENTS * ROUNDS));
}

#[test]
fn a_load_that_may_have_run_is_failed_and_a_read_goes_to_another_box() {
    let mut boxes = Boxes::new(2);
    boxes.next = vec![Next::Answer, Next::Drop, Next::Drop];
    let opts = boxes.login("frost");
    let (load, read) = boxes.with_client(
        move || {
            let mut conn = Conn::new(opts).unwrap();
            let load = conn.query_drop("insert into s_3.t values (1)").unwrap_err();
            (error_parts(load), conn.query::<String, _>("select name from s_3.t").unwrap())
        },
        |_| {},
    );
    assert_eq!((load.0, load.1.as_str(), read.len()), (1105, "HY000", 1));
    let loads = boxes.runs.iter().filter(|run| run.text.starts_with("insert")).count();
    assert_eq!((loads, boxes.runs.len()), (1, 3));
}

#[test]
fn a_statement_that_its_box_forgot_is_prepared_anew_and_runs_once() {
    let mut boxes = Boxes::new(1);
    let opts = boxes.login("frost");
    boxes.next = vec![Next::Forget, Next::Answer];
    boxes.with_client(
        move || {
            let mut conn = Conn::new(opts).unwrap();
            let load = conn.prep("insert into s_3.t values (?)").unwrap();
            conn.exec_drop(&load, (1,)).unwrap();
            conn.exec_drop(&load, (2,)).unwrap();
        },
        |_| {},
    );
    assert_eq!(boxes.runs.len(), 2);
}

#[test]
fn a_box_has_its_own_errors_passed_on_and_its_trouble_not() {
    let mut boxes = Boxes::new(2);
    boxes.next = vec![Next::Error(1053), Next::Error(1146)];
    let opts = boxes.login("frost");
    let (own, trouble) = boxes.with_client(
        move || {
            let mut conn = Conn::new(opts).unwrap();
            let own = conn.query_drop("select name from s_3.none").unwrap_err();
            (error_parts(own), conn.query_drop("insert into s_3.t values (1)").unwrap_err())
        },
        |_| {},
    );
    assert_eq!((own.0, own.2.as_str()), (1146, "the box's own words"));
    assert_eq!((error_parts(trouble).0, boxes.runs.len()), (1105, 2));
}

#[test]
fn what_would_stay_in_a_session_is_refused_openly() {
    let mut boxes = Boxes::new(1);
    let opts = boxes.login("frost");
    let wrong = boxes.login("thaw");
    let (codes, denied) = boxes.with_client(
        move || {
            let mut conn = Conn::new(opts).unwrap();
            let refused = ["begin", "set names utf8", "select @a", "lock tables t read"];
            let codes = refused.map(|sql| error_parts(conn.query_drop(sql).unwrap_err()));
            (codes, error_parts(Conn::new(wrong).err().unwrap()))
        },
        |_| {},
    );
    assert!(codes.iter().all(|(code, state, _)| (*code, state.as_str()) == (1235, "42000")));
    assert_eq!((denied.0, denied.1.as_str(), boxes.runs.len()), (1045, "28000", 0));
}

#[test]
fn a_refusal_says_when_to_come_back() {
    let mut boxes = Boxes::new(1);
    boxes.stage.tell_of(0, "2 2");
    let opts = boxes.login("frost");
    let refused = boxes.with_client(
        move || error_parts(Conn::new(opts).unwrap().query_drop("select name from s_3.t").unwrap_err()),
        |boxes| boxes.stage.clock.set(boxes.stage.clock.now() + 1.0),
    );
    assert_eq!((refused.0, refused.1.as_str()), (1040, "08004"));
    assert!(refused.2.contains("come back in "), "{}", refused.2);
}

/// A MySQL client that writes raw packets, so that a test can send malformed packets or disconnect at any time.
struct RawClient(Peer);

impl RawClient {
    fn login(boxes: &mut Boxes) -> RawClient {
        let address = boxes.stage.node.address(Front::Mysql).unwrap();
        let mut raw = RawClient(Peer::new(TcpStream::connect(address).unwrap()));
        let greeting = raw.next(boxes);
        // In the handshake packet, the server version is followed by a connection id of 4 bytes, 8 bytes of the nonce,
        // 19 bytes of capabilities and other fields, and the other 12 bytes of the nonce.
        let at = 1 + greeting[1..].iter().position(|b| *b == 0).unwrap() + 1 + 4;
        let nonce = [&greeting[at..at + 8], &greeting[at + 27..at + 39]].concat();
        let scramble = mysql_common::scramble::scramble_native(&nonce, b"frost").unwrap();
        // The client's capability flags: protocol 4.1, secure connection and plugin authentication.
        let mut body = 0x0008_8200u32.to_le_bytes().to_vec();
        body.extend([0, 0, 16, 0, 45]);
        body.extend([0; 23]);
        body.extend(b"till\0\x14");
        body.extend(scramble);
        body.extend(b"mysql_native_password\0");
        raw.send(1, &body);
        assert_eq!(raw.next(boxes)[0], 0, "the login failed");
        raw
    }
    fn send(&mut self, number: u8, body: &[u8]) {
        let mut out = Vec::new();
        append_packet(&mut out, number, body);
        self.0.push(&out);
    }
    fn next(&mut self, boxes: &mut Boxes) -> Vec<u8> {
        for _ in 0..20_000 {
            self.0.pull();
            if let Ok(Some((_, body))) = parse_packet(&self.0.input) {
                let body = body.to_vec();
                self.0.input.drain(..4 + body.len());
                return body;
            }
            boxes.turn();
        }
        panic!("no packet arrived from the front");
    }
}

#[test]
fn a_client_that_leaves_mid_result_has_its_load_killed_and_never_run_twice() {
    let mut boxes = Boxes::new(2);
    boxes.next = vec![Next::Hold];
    let mut raw = RawClient::login(&mut boxes);
    raw.send(0, b"\x03insert into s_3.t values (1)");
    boxes.until("the load runs", |boxes| boxes.runs.len() == 1);
    drop(raw);
    boxes.until("the kill", |boxes| boxes.kills == 1);
    boxes.until("the end of the request", |boxes| boxes.stage.node.open_requests() == 0);
    assert_eq!(boxes.runs.len(), 1);
}

#[test]
fn a_load_without_an_answer_is_timed_out_once_and_killed() {
    let mut boxes = Boxes::new(1);
    boxes.next = vec![Next::Hold];
    let mut raw = RawClient::login(&mut boxes);
    raw.send(0, b"\x03insert into s_3.t values (1)");
    boxes.until("the load runs", |boxes| boxes.runs.len() == 1);
    boxes.stage.clock.set(boxes.stage.clock.now() + 25_001.0);
    assert_eq!(error_code(&raw.next(&mut boxes)), Some(3024));
    boxes.until("the kill", |boxes| boxes.kills == 1);
    assert_eq!(boxes.runs.len(), 1);
}

// Guards against the kill of somebody else's statement: a new process at the engine's address has given the number of
// the closed connection to another one.
#[test]
fn nothing_is_killed_in_a_process_that_started_after_the_statement() {
    let mut boxes = Boxes::new(1);
    boxes.next = vec![Next::Hold];
    let mut raw = RawClient::login(&mut boxes);
    raw.send(0, b"\x03insert into s_3.t values (1)");
    boxes.until("the load runs", |boxes| boxes.runs.len() == 1);
    boxes.stage.clock.set(boxes.stage.clock.now() + 3_000.0);
    boxes.uptime_seconds = 2;
    drop(raw);
    boxes.until("the end of the request", |boxes| boxes.stage.node.open_requests() == 0);
    (0..20).for_each(|_| boxes.turn());
    assert_eq!(boxes.kills, 0);
    let log = boxes.stage.node.take_log();
    assert!(log.iter().any(|line| line.starts_with("kill: ") && line.ends_with("not sent")), "{log:?}");
}

#[test]
fn long_values_reset_and_close_belong_to_the_sessions_statement() {
    let mut boxes = Boxes::new(1);
    let mut raw = RawClient::login(&mut boxes);
    raw.send(0, b"\x16insert into s_3.t values (?)");
    assert_eq!(raw.next(&mut boxes)[..7], [0, 1, 0, 0, 0, 0, 0]);
    raw.next(&mut boxes); // Column definition of the statement's parameter.
    raw.next(&mut boxes); // EOF packet that ends the parameter definitions.
    let execute = b"\x17\x01\0\0\0\0\x01\0\0\0\0\x01\xfd\0";
    raw.send(0, b"\x18\x01\0\0\0\0\0gone");
    raw.send(0, b"\x1a\x01\0\0\0");
    assert_eq!(raw.next(&mut boxes)[0], 0, "resetting the statement failed");
    raw.send(0, b"\x18\x01\0\0\0\0\0long ");
    raw.send(0, b"\x18\x01\0\0\0\0\0value");
    raw.send(0, execute);
    assert_eq!(raw.next(&mut boxes)[0], 0, "executing the statement failed");
    assert!(boxes.runs[0].bound.starts_with(b"long value"));
    raw.send(0, b"\x19\x01\0\0\0");
    raw.send(0, execute);
    assert_eq!(error_code(&raw.next(&mut boxes)), Some(1243));
}

#[test]
fn no_bytes_of_a_client_bring_the_node_down() {
    let mut boxes = Boxes::new(1);
    for command in 0..=255u8 {
        for length in [0usize, 1, 4, 5, 9, 10, 12] {
            let mut raw = RawClient::login(&mut boxes);
            raw.send(0, b"\x16insert into s_3.t values (?, ?)");
            raw.next(&mut boxes);
            raw.send(0, &[&[command], &vec![1u8; length][..]].concat());
            boxes.turn();
        }
    }
    // A login packet that is truncated at any byte must not stop the node either.
    let login =
        b"\x00\x82\x08\x00\x00\x00\x10\x00\x2d                       till\0\x14abcdefghijklmnopqrstplugin\0";
    for cut in 0..login.len() {
        let address = boxes.stage.node.address(Front::Mysql).unwrap();
        let mut raw = RawClient(Peer::new(TcpStream::connect(address).unwrap()));
        raw.send(1, &login[..cut]);
        boxes.turn();
    }
    let mut raw = RawClient::login(&mut boxes);
    raw.send(0, b"\x0e");
    assert_eq!(raw.next(&mut boxes)[0], 0, "the node no longer answers a ping");
}
