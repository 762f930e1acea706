//! The decision module gives the actions that it gave when the streams in `tests/replay` were recorded.
//!
//! The streams are batches on the simulator's text wire (`examples/record_decisions` made them), so that no
//! name inside the program is part of them. They hold for any change that leaves the decisions as they are.

use flate2::read::GzDecoder;
use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;
use std::process::{Command, Stdio};

/// Event lines that a recording holds at least.
const EVENTS_AT_LEAST: usize = 5000;

fn recorded(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/replay").join(name);
    let mut text = String::new();
    GzDecoder::new(File::open(path).expect("a recording")).read_to_string(&mut text).expect("UTF-8");
    text
}

fn actions_for(events: String) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beamgap-simulator-host"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("a pipe");
    let writer = std::thread::spawn(move || input.write_all(events.as_bytes()));
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the writer ends").expect("the adapter reads all events");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("UTF-8")
}

fn assert_replays(name: &str) {
    let events = recorded(&format!("{name}.events.gz"));
    let expected = recorded(&format!("{name}.actions.gz"));
    assert!(events.lines().count() >= EVENTS_AT_LEAST, "{name} is too short to show much");
    let actual = actions_for(events);
    let difference = expected.lines().zip(actual.lines()).enumerate().find(|(_, (old, new))| old != new);
    if let Some((line, (old, new))) = difference {
        panic!("{name}: action line {} was '{old}', is '{new}'", line + 1);
    }
    assert_eq!(expected.len(), actual.len(), "{name}: one has more actions than the other");
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
