//! MySQL sessions that are idle while all client connections are in use.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/raw_session.rs"]
mod raw_session;
#[path = "common/stage.rs"]
mod stage;

use boxes::{Boxes, Next, MYSQL};
use raw_session::*;
use stage::{Stage, SETTINGS};

const LIMITS: &str = r#"{"memory_mb":32,"sockets":32}"#;
/// Connections that clients may have: half of the descriptors.
const CLIENT_CONNECTIONS: usize = 16;

/// A node with both fronts, whose client connections are all held by MySQL sessions. The first one has a load at the
/// engine, and the others are idle.
fn all_held() -> (Boxes, Vec<RawSession>) {
    let more = format!(r#""listen":"127.0.0.1:0",{MYSQL}"#);
    let mut boxes = Boxes::on(Stage::with(1, &more, LIMITS, SETTINGS));
    boxes.next = vec![Next::Hold];
    let mut sessions = Vec::new();
    for _ in 0..CLIENT_CONNECTIONS {
        let (session, reply) = RawSession::log_in(&mut boxes, None);
        assert_eq!(reply[0], 0, "the login failed");
        sessions.push(session);
        boxes.stage.clock.set(boxes.stage.clock.now() + 10.0);
    }
    sessions[0].peer.push(&command(COM_QUERY, b"insert into s_1.t values (1)"));
    boxes.until("the load runs", |boxes| boxes.runs.len() == 1);
    (boxes, sessions)
}

// Guards against a node that accepts nothing any more: idle MySQL sessions were never disconnected.
#[test]
fn clients_of_both_fronts_are_accepted_while_idle_sessions_hold_all_connections() {
    let (mut boxes, mut sessions) = all_held();
    boxes.stage.go(r#"c1 send {"jsonrpc":"2.0","id":1,"method":"alive"}
        c1 expect {"jsonrpc":"2.0","id":1,"result":{"pass":true}}"#);
    boxes.stage.clock.set(boxes.stage.clock.now() + 10.0);
    let (_new, reply) = RawSession::log_in(&mut boxes, None);
    assert_eq!(reply[0], 0, "the login failed");
    sessions.iter_mut().for_each(|session| session.peer.pull());
    let closed: Vec<usize> = (0..sessions.len()).filter(|index| sessions[*index].peer.closed).collect();
    assert_eq!(closed, [1, 2], "those that are idle for longest make room, and the load's session stays");
}

// Guards against lost work in a session: prepared statements are lost with it, and long values that wait for their
// execution can't be sent again by a client that does not know that they are gone.
#[test]
fn sessions_with_statements_make_room_last_and_those_inside_an_exchange_never() {
    let (mut boxes, mut sessions) = all_held();
    for index in [1, 2] {
        sessions[index].peer.push(&command(COM_STMT_PREPARE, b"insert into s_1.t values (?)"));
        let prepared = sessions[index].response(&mut boxes);
        if index == 1 {
            let target = [&prepared[1..5], &[0, 0], b"long"].concat();
            sessions[index].peer.push(&command(COM_STMT_SEND_LONG_DATA, &target));
            boxes.turn();
        }
    }
    boxes.stage.clock.set(boxes.stage.clock.now() + 1000.0);
    let mut newer = Vec::new();
    for _ in 0..2 * CLIENT_CONNECTIONS {
        let (session, reply) = RawSession::log_in(&mut boxes, None);
        assert_eq!(reply[0], 0, "the login failed");
        newer.push(session);
        boxes.stage.clock.set(boxes.stage.clock.now() + 10.0);
        sessions.iter_mut().for_each(|session| session.peer.pull());
        let is_open = |index: usize| !sessions[index].peer.closed;
        assert!(is_open(0), "a session that is owed an answer was closed");
        assert!(is_open(1), "a session with a long value that waits for its execution was closed");
        assert!(is_open(2), "a session with a prepared statement was closed before others");
    }
}
