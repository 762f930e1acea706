//! Packets of the MySQL wire: framing, numbers, and where a response ends.

use beamgap::node::mysql_packets::{
    eof, error, ok, packet, push, renumber, Course,
    Step::{Broken, Done, Error, More},
    TooLong,
};

#[test]
fn a_response_ends_with_its_last_packet() {
    let more = [0xfe, 0, 0, 0x0a, 0];
    let run = |packets: &[&[u8]]| {
        let mut course = Course::default();
        packets.iter().map(|p| course.step(p)).collect::<Vec<_>>()
    };
    assert_eq!(run(&[&ok()]), [Done]);
    assert_eq!(run(&[&[1], &[3, 1], &eof(), &[1, 49], &eof()]), [More, More, More, More, Done]);
    assert_eq!(run(&[&[1], &[3, 1], &eof(), &more, &ok()]), [More, More, More, More, Done]);
    assert_eq!(run(&[&[1], &[3, 1], &eof(), &error(1317, "70100", "x")]), [More, More, More, Error]);
    assert_eq!(run(&[&[0, 1, 0, 0x08, 0], &ok()]), [More, Done]);
    assert_eq!((run(&[&[0xfb]]), run(&[&[]])), (vec![Broken], vec![Broken]));
}

#[test]
fn packets_are_split_and_renumbered() {
    let mut out = Vec::new();
    push(&mut out, 7, b"ab");
    push(&mut out, 7, b"c");
    renumber(&mut out, 255);
    assert_eq!(out, [2, 0, 0, 255, b'a', b'b', 1, 0, 0, 0, b'c']);
    assert_eq!(packet(&out), Ok(Some((255, &b"ab"[..]))));
    assert_eq!((packet(&out[..5]), packet(&[0, 0, 0x20, 4])), (Ok(None), Err(TooLong(4))));
}
