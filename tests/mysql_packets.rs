//! Packets of the MySQL protocol: framing, sequence numbers, and detection of the end of a response.

use beamgap::node::mysql_packets::{
    append_packet, eof, error, ok, parse_packet, renumber,
    PacketEffect::{Broken, Done, Error, More},
    PacketTooLarge, ResponseState,
};

#[test]
fn a_response_ends_with_its_last_packet() {
    let more = [0xfe, 0, 0, 0x0a, 0];
    let run = |packets: &[&[u8]]| {
        let mut state = ResponseState::default();
        packets.iter().map(|p| state.advance(p)).collect::<Vec<_>>()
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
    append_packet(&mut out, 7, b"ab");
    append_packet(&mut out, 7, b"c");
    renumber(&mut out, 255);
    assert_eq!(out, [2, 0, 0, 255, b'a', b'b', 1, 0, 0, 0, b'c']);
    assert_eq!(parse_packet(&out), Ok(Some((255, &b"ab"[..]))));
    assert_eq!((parse_packet(&out[..5]), parse_packet(&[0, 0, 0x20, 4])), (Ok(None), Err(PacketTooLarge(4))));
}
