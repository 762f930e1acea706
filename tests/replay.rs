//! Regression tests: for the events recorded in `tests/replay`, the decision module must return the recorded actions.
//!
//! `examples/record_decisions` wrote the recordings in the simulator's text protocol. They contain no names of the
//! program's types or functions, so a refactoring that changes no decision passes with the same recordings.

use flate2::read::GzDecoder;
use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;
use std::process::{Command, Stdio};

/// Minimum number of event lines in a recording.
const MIN_EVENTS: usize = 5000;

/// Unpacks a recording of events or actions.
fn read_recording(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/replay").join(name);
    let mut text = String::new();
    GzDecoder::new(File::open(path).expect("a recording")).read_to_string(&mut text).expect("UTF-8");
    text
}

/// Sends the events to the simulator adapter and returns the actions that it writes.
fn actions_for(events: String) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beamgap-simulator-host"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter to start");
    let mut input = child.stdin.take().expect("a pipe");
    let writer = std::thread::spawn(move || input.write_all(events.as_bytes()));
    let output = child.wait_with_output().expect("the adapter to exit");
    writer.join().expect("the writer not to panic").expect("the adapter to read all events");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("UTF-8")
}

fn assert_replays(name: &str) {
    let events = read_recording(&format!("{name}.events.gz"));
    let expected = read_recording(&format!("{name}.actions.gz"));
    assert!(events.lines().count() >= MIN_EVENTS, "{name} has too few events");
    let actual = actions_for(events);
    let difference = expected.lines().zip(actual.lines()).enumerate().find(|(_, (old, new))| old != new);
    if let Some((line, (old, new))) = difference {
        panic!("{name}: action line {} was '{old}' in the recording, is '{new}'", line + 1);
    }
    assert_eq!(expected.len(), actual.len(), "{name}: the recorded and the actual actions differ in length");
}

#[test]
fn the_recording_of_the_counter_service_gives_the_same_actions() {
    assert_replays("counter-service");
}

#[test]
fn the_recording_of_the_order_book_gives_the_same_actions() {
    assert_replays("order-book");
}

#[test]
fn the_recording_of_the_overcommitted_archive_gives_the_same_actions() {
    assert_replays("overcommitted-archive");
}
