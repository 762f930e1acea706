//! MySQL clients that send many small commands at full speed, or make the front remember much.

#[path = "common/boxes.rs"]
mod boxes;
#[path = "common/raw_session.rs"]
mod raw_session;
#[path = "common/stage.rs"]
mod stage;

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
