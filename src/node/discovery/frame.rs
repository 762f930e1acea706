//! Frames of the service discovery server, which carry events with changes to the engine list.

use crate::node::clock::to_micros;
use crate::{EngineEntry, EngineId, EngineState, ListKind};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Size of the record that describes one engine in a frame, in bytes.
const RECORD_BYTES: usize = 27;
/// Upper bound of a frame's length field, in bytes: about 150,000 engines. A larger value means that the stream is
/// no longer aligned to frames.
pub(super) const MAX_FRAME_BYTES: usize = 4 << 20;

/// An entry of the engine list together with the engine's address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    /// The entry as passed to the decision module.
    pub entry: EngineEntry,
    /// Address on which the engine accepts connections.
    pub address: SocketAddr,
}

/// A change to the engine list, as sent by the discovery server.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// Revision of the list after this event; increases with every event.
    pub revision: u64,
    /// Whether the entries are the complete list, a cached list that may be outdated, or only the changed engines.
    pub kind: ListKind,
    /// Engines that the event lists, with their addresses.
    pub engines: Vec<ListedEngine>,
}

/// A malformed frame. The stream can't be resynchronized, so its connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadFrame;

/// Parses the first frame in `bytes`. Returns the frame's length in bytes and its event, which is `None` for a
/// keepalive frame. Returns `Ok(None)` while the frame is incomplete.
///
/// `zones` and `kinds` are the names that a record refers to by index.
pub fn parse_frame(
    bytes: &[u8],
    zones: &[String],
    kinds: &[String],
) -> Result<Option<(usize, Option<ListEvent>)>, BadFrame> {
    let Some(length) = bytes.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize) else {
        return Ok(None);
    };
    if !(9..=MAX_FRAME_BYTES).contains(&length) {
        return Err(BadFrame);
    }
    let Some(body) = bytes.get(4..4 + length) else { return Ok(None) };
    let revision = big_endian(&body[..8]);
    let kind = match body[8] {
        0 => return Ok(Some((4 + length, None))),
        1 => ListKind::Full,
        2 => ListKind::Changes,
        _ => return Err(BadFrame),
    };
    let records = &body[9..];
    if records.len() % RECORD_BYTES != 0 {
        return Err(BadFrame);
    }
    let records = records.chunks_exact(RECORD_BYTES);
    let engines = records.map(|record| parse_record(record, zones, kinds)).collect::<Result<Vec<_>, _>>()?;
    Ok(Some((4 + length, Some(ListEvent { revision, kind, engines }))))
}

/// Decodes an unsigned big-endian integer of up to eight bytes.
fn big_endian(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

fn parse_record(r: &[u8], zones: &[String], kinds: &[String]) -> Result<ListedEngine, BadFrame> {
    let name = |names: &[String], index: u8| names.get(usize::from(index)).cloned().unwrap_or_default();
    let state = match r[10] {
        0 => EngineState::Serving,
        1 => EngineState::Draining,
        2 => EngineState::Removed,
        _ => return Err(BadFrame),
    };
    let started = big_endian(&r[19..27]);
    let address = Ipv4Addr::from(big_endian(&r[4..8]) as u32);
    Ok(ListedEngine {
        address: SocketAddr::from((address, big_endian(&r[8..10]) as u16)),
        entry: EngineEntry {
            engine: EngineId(Arc::from(format!("s-{:08x}", big_endian(&r[..4])))),
            zone: name(zones, r[11]),
            kind: name(kinds, r[12]),
            cell: big_endian(&r[13..15]),
            size_hint: big_endian(&r[15..19]) as f64 / 1000.0,
            started: (started > 0).then(|| to_micros(started as f64)),
            state,
        },
    })
}
