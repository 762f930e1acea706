//! Parsing of the discovery server's frames.

use beamgap::node::clock::to_micros;
use beamgap::node::discovery::{parse_frame, BadFrame};
use beamgap::{EngineState, ListKind};

fn encode_frame(number: u64, kind: u8, records: &[u8]) -> Vec<u8> {
    let mut out = (9 + records.len() as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(records);
    out
}

#[test]
fn a_frame_is_read_whole_or_not_at_all() {
    let mut r = vec![0, 0xc4, 0x1f, 0x7a, 10, 1, 0, 9, 0x27, 0x60, 1, 1, 0, 0, 2];
    r.extend(4000u32.to_be_bytes());
    r.extend(77u64.to_be_bytes());
    let whole = encode_frame(5, 2, &r);
    let names = |list: &[&str]| list.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    let (zones, kinds) = (names(&["a", "b"]), names(&["std"]));
    for cut in 0..whole.len() {
        assert_eq!(parse_frame(&whole[..cut], &zones, &kinds), Ok(None));
    }
    let (length, event) = parse_frame(&whole, &zones, &kinds).unwrap().unwrap();
    let event = event.unwrap();
    let listing = &event.engines[0];
    assert_eq!((length, event.revision, event.kind), (whole.len(), 5, ListKind::Changes));
    assert_eq!(listing.address, "10.1.0.9:10080".parse().unwrap());
    let m = &listing.entry;
    assert_eq!((&*m.engine.0, &*m.zone, &*m.kind, m.cell), ("s-00c41f7a", "b", "std", 2));
    assert_eq!((m.size_hint, m.state, m.started), (4.0, EngineState::Draining, Some(to_micros(77.0))));
}

#[test]
fn frames_that_cannot_be_are_told_from_frames_that_are_not_whole() {
    assert_eq!(parse_frame(&encode_frame(1, 0, &[]), &[], &[]), Ok(Some((13, None))));
    for bad in [encode_frame(1, 3, &[]), encode_frame(1, 1, &[0; 26]), vec![0xff; 8], vec![0, 0, 0, 1, 0]] {
        assert_eq!(parse_frame(&bad, &[], &[]), Err(BadFrame));
    }
}
