//! MySQL clients that send many small commands at full speed, or make the front remember much.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/raw_session.rs"]
mod raw_session;
#[path = "common/stage.rs"]
mod stage;

use beamgap::node::mysql_packets::error_code;
use boxes::Boxes;
use raw_session::*;
use std::io::Write;
use std::time::{Duration, Instant};

/// Bytes of one packet with an OK body.
const OK_PACKET_BYTES: usize = 11;
/// Deadline of the class `lookup` in the settings of the tests.
const LOOKUP_DEADLINE: Duration = Duration::from_millis(2500);

/// Writes as much of `bytes` as the socket takes, and reads what has arrived.
fn write_some(session: &mut RawSession, bytes: &mut &[u8]) {
    if let Ok(written) = session.peer.stream.write(bytes) {
        *bytes = &bytes[written..];
    }
    session.peer.pull();
}

// Guards against one client that keeps the node from all others: each small command moved the whole input buffer, and
// all commands that had arrived were handled in one iteration of the event loop.
#[test]
fn a_session_that_floods_small_commands_delays_no_other_client() {
    for flood in [command(COM_STMT_CLOSE, &[1, 0, 0, 0]), command(COM_PING, &[])] {
        let mut boxes = Boxes::new(1);
        let (mut flooding, _) = RawSession::log_in(&mut boxes, None);
        let (mut sound, _) = RawSession::log_in(&mut boxes, None);
        let bytes = flood.repeat((4 << 20) / flood.len());
        let mut rest = &bytes[..];
        let started = Instant::now();
        for lookup in 0..20 {
            let sent_at = Instant::now();
            sound.peer.push(&command(COM_QUERY, b"select a from s_1.t"));
            while sound.peer.input.windows(5).all(|bytes| bytes != b"box 0") {
                write_some(&mut flooding, &mut rest);
                boxes.turn();
                sound.peer.pull();
                assert!(
                    sent_at.elapsed() < LOOKUP_DEADLINE,
                    "look-up {lookup}, after {:?}",
                    started.elapsed()
                );
            }
            sound.peer.input.clear();
        }
    }
}

// Guards against a session that stops: once its responses had filled the output buffer and the socket took them all at
// once, no event resumed the commands that were left in the input buffer.
#[test]
fn all_commands_of_a_session_that_does_not_wait_for_responses_are_answered() {
    const PINGS: usize = 100_000;
    let mut boxes = Boxes::new(1);
    let (mut session, _) = RawSession::log_in(&mut boxes, None);
    let bytes = command(COM_PING, &[]).repeat(PINGS);
    let mut rest = &bytes[..];
    let mut answered_at = (0, Instant::now());
    while session.peer.input.len() < PINGS * OK_PACKET_BYTES {
        write_some(&mut session, &mut rest);
        boxes.turn();
        if session.peer.input.len() > answered_at.0 {
            answered_at = (session.peer.input.len(), Instant::now());
        }
        let answered = session.peer.input.len() / OK_PACKET_BYTES;
        assert!(answered_at.1.elapsed() < Duration::from_secs(5), "stopped after {answered} responses");
    }
}

// Guards against memory that no limit counts: the database's name was kept with the session and with each statement.
#[test]
fn a_name_that_is_longer_than_any_database_is_refused() {
    let name = "n".repeat(65);
    let mut boxes = Boxes::new(1);
    let (_, reply) = RawSession::log_in(&mut boxes, Some(&name));
    assert_eq!(error_code(&reply), Some(1059));
    let (mut session, reply) = RawSession::log_in(&mut boxes, Some(&name[..64]));
    assert_eq!(reply[0], 0);
    session.peer.push(&command(COM_INIT_DB, name.as_bytes()));
    assert_eq!(error_code(&session.response(&mut boxes)), Some(1059));
    session.peer.push(&command(COM_QUERY, format!("use {name}").as_bytes()));
    assert_eq!(error_code(&session.response(&mut boxes)), Some(1059));
}

// Guards against memory that no limit counts: only the data of long values was counted, so empty ones were free.
#[test]
fn empty_long_values_count_towards_the_memory_of_a_session() {
    const PARAMETERS: u16 = 60_000;
    let mut boxes = Boxes::new(1);
    let (mut session, _) = RawSession::log_in(&mut boxes, None);
    let text = format!("insert into s_1.t values (?{})", ",?".repeat(usize::from(PARAMETERS) - 1));
    session.peer.push(&command(COM_STMT_PREPARE, text.as_bytes()));
    let prepared = session.response(&mut boxes);
    assert_eq!(prepared[0], 0);
    for _ in 0..=PARAMETERS {
        session.response(&mut boxes);
    }
    let long_value = |index: u16| {
        let target = [&prepared[1..5], &index.to_le_bytes()].concat();
        command(COM_STMT_SEND_LONG_DATA, &target)
    };
    let values: Vec<u8> = (0..PARAMETERS).flat_map(long_value).collect();
    let mut rest = &values[..];
    while !rest.is_empty() {
        write_some(&mut session, &mut rest);
        boxes.turn();
    }
    session.peer.push(&command(COM_STMT_EXECUTE, &[&prepared[1..5], &[0, 1, 0, 0, 0]].concat()));
    assert_eq!(error_code(&session.response(&mut boxes)), Some(1210));
    assert!(boxes.runs.is_empty());
}

// Guards against statements that run for a client that is gone: its end lay behind input that was not read yet.
#[test]
fn a_session_that_closed_with_much_unread_has_nothing_run() {
    let mut boxes = Boxes::new(1);
    let (mut session, _) = RawSession::log_in(&mut boxes, None);
    let load = format!("insert into s_1.t values ('{}')", "x".repeat(20_000));
    let bytes = command(COM_QUERY, load.as_bytes()).repeat(100);
    let mut rest = &bytes[..];
    let mut before = usize::MAX;
    while rest.len() < before {
        before = rest.len();
        write_some(&mut session, &mut rest);
    }
    assert!(before < bytes.len() - (256 << 10), "the socket buffers hold too little");
    drop(session);
    (0..200).for_each(|_| boxes.turn());
    assert!(boxes.runs.is_empty(), "{} loads ran", boxes.runs.len());
}
