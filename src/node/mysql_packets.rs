//! MySQL protocol code shared by the front and the backend: packet framing, common packets and result parsing.

use mysql_common::constants::{CapabilityFlags, StatusFlags};

/// Maximum packet body in bytes. It bounds the read buffers, since a packet is processed only once it is complete.
pub const MAX_PACKET_BYTES: usize = 1 << 20;

/// Capability flags for clients and servers. Neither side uses `CLIENT_DEPRECATE_EOF`, so that results are forwarded
/// unchanged, with their EOF packets.
pub fn capabilities() -> CapabilityFlags {
    CapabilityFlags::CLIENT_LONG_PASSWORD
        | CapabilityFlags::CLIENT_LONG_FLAG
        | CapabilityFlags::CLIENT_CONNECT_WITH_DB
        | CapabilityFlags::CLIENT_PROTOCOL_41
        | CapabilityFlags::CLIENT_TRANSACTIONS
        | CapabilityFlags::CLIENT_SECURE_CONNECTION
        | CapabilityFlags::CLIENT_MULTI_RESULTS
        | CapabilityFlags::CLIENT_PS_MULTI_RESULTS
        | CapabilityFlags::CLIENT_PLUGIN_AUTH
}

/// A packet exceeds [`MAX_PACKET_BYTES`]; contains its sequence number, which the error packet continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketTooLarge(pub u8);

/// Parses the first packet in `bytes` and returns its sequence number and body, or `None` if it is incomplete.
pub fn parse_packet(bytes: &[u8]) -> Result<Option<(u8, &[u8])>, PacketTooLarge> {
    let Some([a, b, c, number]) = bytes.first_chunk::<4>().copied() else { return Ok(None) };
    let length = usize::from(a) | usize::from(b) << 8 | usize::from(c) << 16;
    if length > MAX_PACKET_BYTES {
        return Err(PacketTooLarge(number));
    }
    Ok(bytes.get(4..4 + length).map(|body| (number, body)))
}

/// Appends a packet with the given sequence number and body to `out`.
pub fn append_packet(out: &mut Vec<u8>, number: u8, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes()[..3]);
    out.push(number);
    out.extend_from_slice(body);
}

/// Renumbers a sequence of packets, each with a header as written by [`append_packet`], starting with `first`.
pub fn renumber(answer: &mut [u8], first: u8) {
    let (mut at, mut number) = (0, first);
    while let Some([a, b, c]) = answer.get(at..).and_then(|rest| rest.first_chunk::<3>()).copied() {
        let Some(place) = answer.get_mut(at + 3) else { return };
        *place = number;
        number = number.wrapping_add(1);
        at += 4 + (usize::from(a) | usize::from(b) << 8 | usize::from(c) << 16);
    }
}

/// Parses a length-encoded integer and returns its value and the number of bytes read.
pub fn length_encoded(bytes: &[u8]) -> Option<(u64, usize)> {
    let wide = |n: usize| {
        let digits = bytes.get(1..1 + n)?;
        Some((digits.iter().rev().fold(0u64, |sum, b| sum << 8 | u64::from(*b)), 1 + n))
    };
    match *bytes.first()? {
        small @ 0..=0xfa => Some((u64::from(small), 1)),
        0xfc => wide(2),
        0xfd => wide(3),
        0xfe => wide(8),
        _ => None,
    }
}

/// Parses a length-encoded text and returns it with the bytes behind it.
pub fn length_encoded_text(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let (length, used) = length_encoded(bytes)?;
    bytes.get(used..)?.split_at_checked(usize::try_from(length).ok()?)
}

/// The body of an OK packet without affected rows.
pub fn ok() -> Vec<u8> {
    let [a, b] = StatusFlags::SERVER_STATUS_AUTOCOMMIT.bits().to_le_bytes();
    vec![0, 0, 0, a, b, 0, 0]
}

/// The body of an EOF packet.
pub fn eof() -> Vec<u8> {
    let [a, b] = StatusFlags::SERVER_STATUS_AUTOCOMMIT.bits().to_le_bytes();
    vec![0xfe, 0, 0, a, b]
}

/// The body of an error packet.
pub fn error(code: u16, state: &str, message: &str) -> Vec<u8> {
    let mut body = vec![0xff];
    body.extend_from_slice(&code.to_le_bytes());
    body.push(b'#');
    body.extend(state.bytes().chain(std::iter::repeat(b'0')).take(5));
    body.extend_from_slice(message.as_bytes());
    body
}

/// The error code in the body of an error packet.
pub fn error_code(body: &[u8]) -> Option<u16> {
    match body {
        [0xff, a, b, ..] => Some(u16::from_le_bytes([*a, *b])),
        _ => None,
    }
}

/// Parser state for the response to a query or execution, which may consist of several results with or without rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseState {
    /// The next packet is the first of a result.
    #[default]
    Head,
    /// This many column definitions and then an EOF packet follow.
    Columns(u64),
    /// Rows follow, up to an EOF or error packet.
    Rows,
}

/// The effect of a packet on the parsing of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketEffect {
    /// More packets follow.
    More,
    /// The packet was the last of the response.
    Done,
    /// The packet is an error packet and the last of the response.
    Error,
    /// The packet violates the protocol.
    Broken,
}

/// Whether the last packet of a response, an OK or EOF packet, tells that a transaction is open or autocommit is off.
pub fn leaves_transaction(body: &[u8]) -> bool {
    let status = match body.split_first() {
        Some((0, rest)) => status_of_ok(rest),
        _ => body.get(3..),
    };
    let status = status.and_then(|status| status.first_chunk::<2>()).map_or(0, |s| u16::from_le_bytes(*s));
    let status = StatusFlags::from_bits_truncate(status);
    status.contains(StatusFlags::SERVER_STATUS_IN_TRANS)
        || !status.contains(StatusFlags::SERVER_STATUS_AUTOCOMMIT)
}

/// The bytes of an OK packet from its status flags on: they come after the affected rows and the last inserted id.
fn status_of_ok(body: &[u8]) -> Option<&[u8]> {
    let (_, rows) = length_encoded(body)?;
    let (_, id) = length_encoded(body.get(rows..)?)?;
    body.get(rows + id..)
}

impl ResponseState {
    /// Updates the state with the next packet body.
    pub fn advance(&mut self, body: &[u8]) -> PacketEffect {
        let more = |status: Option<&[u8]>| match status.and_then(|s| s.first_chunk::<2>()) {
            Some(s) => u16::from_le_bytes(*s) & StatusFlags::SERVER_MORE_RESULTS_EXISTS.bits() != 0,
            None => false,
        };
        let end = |more| {
            if more {
                (ResponseState::Head, PacketEffect::More)
            } else {
                (ResponseState::Head, PacketEffect::Done)
            }
        };
        let (next, effect) = match (*self, body.first()) {
            (_, None) | (ResponseState::Head, Some(0xfb)) => (*self, PacketEffect::Broken),
            (ResponseState::Columns(left), _) if left > 0 => {
                (ResponseState::Columns(left - 1), PacketEffect::More)
            }
            (_, Some(0xff)) => (ResponseState::Head, PacketEffect::Error),
            (ResponseState::Head, Some(0)) => end(more(status_of_ok(&body[1..]))),
            (ResponseState::Head, Some(_)) => match length_encoded(body) {
                Some((columns, _)) => (ResponseState::Columns(columns), PacketEffect::More),
                None => (*self, PacketEffect::Broken),
            },
            (ResponseState::Columns(_), Some(_)) => (ResponseState::Rows, PacketEffect::More),
            (ResponseState::Rows, Some(0xfe)) if body.len() < 9 => end(more(body.get(3..))),
            (ResponseState::Rows, Some(_)) => (ResponseState::Rows, PacketEffect::More),
        };
        *self = next;
        effect
    }
}
