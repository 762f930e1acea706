//! What the MySQL front and its boxes share of the wire: packets, their heads, and the few bodies written here.

use mysql_common::constants::{CapabilityFlags, StatusFlags};

/// A longer packet is not taken: its body comes in one piece, and buffers stay bounded.
pub const PACKET_MOST: usize = 1 << 20;

/// What both sides of the program can do; no end-of-file packets are left out, so results pass on unchanged.
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

/// A packet longer than is taken; its number is that which an answer must follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong(pub u8);

/// The first packet in `bytes`: its number and body, and the bytes that it takes. `None` while it is not whole.
pub fn packet(bytes: &[u8]) -> Result<Option<(u8, &[u8])>, TooLong> {
    let Some([a, b, c, number]) = bytes.first_chunk::<4>().copied() else { return Ok(None) };
    let length = usize::from(a) | usize::from(b) << 8 | usize::from(c) << 16;
    if length > PACKET_MOST {
        return Err(TooLong(number));
    }
    Ok(bytes.get(4..4 + length).map(|body| (number, body)))
}

/// Appends a packet.
pub fn push(out: &mut Vec<u8>, number: u8, body: &[u8]) {
    out.extend_from_slice(&(body.len() as u32).to_le_bytes()[..3]);
    out.push(number);
    out.extend_from_slice(body);
}

/// Numbers the packets of an answer anew, from `first` on, each behind a head as [`push`] writes it.
pub fn renumber(answer: &mut [u8], first: u8) {
    let (mut at, mut number) = (0, first);
    while let Some([a, b, c]) = answer.get(at..).and_then(|rest| rest.first_chunk::<3>()).copied() {
        let Some(place) = answer.get_mut(at + 3) else { return };
        *place = number;
        number = number.wrapping_add(1);
        at += 4 + (usize::from(a) | usize::from(b) << 8 | usize::from(c) << 16);
    }
}

/// A number in MySQL's own form, and the bytes that it takes.
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

/// The body of an OK packet that tells of no rows.
pub fn ok() -> Vec<u8> {
    let [a, b] = StatusFlags::SERVER_STATUS_AUTOCOMMIT.bits().to_le_bytes();
    vec![0, 0, 0, a, b, 0, 0]
}

/// The body of an end-of-file packet.
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

/// The code of an error packet's body.
pub fn error_code(body: &[u8]) -> Option<u16> {
    match body {
        [0xff, a, b, ..] => Some(u16::from_le_bytes([*a, *b])),
        _ => None,
    }
}

/// Follows an answer packet by packet to its end, over results with rows, without, and several in turn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Course {
    /// The next packet opens a result.
    #[default]
    Head,
    /// So many column definitions come, and then an end-of-file packet.
    Columns(u64),
    /// Rows come.
    Rows,
}

/// What a packet of an answer means for its course.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// More packets come.
    More,
    /// It was the last.
    Done,
    /// It is an error, and the last.
    Error,
    /// No answer goes on like this.
    Broken,
}

impl Course {
    /// Takes the next packet in.
    pub fn step(&mut self, body: &[u8]) -> Step {
        let more = |status: Option<&[u8]>| match status.and_then(|s| s.first_chunk::<2>()) {
            Some(s) => u16::from_le_bytes(*s) & StatusFlags::SERVER_MORE_RESULTS_EXISTS.bits() != 0,
            None => false,
        };
        let end = |more| if more { (Course::Head, Step::More) } else { (Course::Head, Step::Done) };
        let (next, step) = match (*self, body.first()) {
            (_, None) | (Course::Head, Some(0xfb)) => (*self, Step::Broken),
            (Course::Columns(left), _) if left > 0 => (Course::Columns(left - 1), Step::More),
            (_, Some(0xff)) => (Course::Head, Step::Error),
            (Course::Head, Some(0)) => {
                let rows = length_encoded(&body[1..]).map_or(0, |(_, n)| n);
                let id = body.get(1 + rows..).and_then(length_encoded).map_or(0, |(_, n)| n);
                end(more(body.get(1 + rows + id..)))
            }
            (Course::Head, Some(_)) => match length_encoded(body) {
                Some((columns, _)) => (Course::Columns(columns), Step::More),
                None => (*self, Step::Broken),
            },
            (Course::Columns(_), Some(_)) => (Course::Rows, Step::More),
            (Course::Rows, Some(0xfe)) if body.len() < 9 => end(more(body.get(3..))),
            (Course::Rows, Some(_)) => (Course::Rows, Step::More),
        };
        *self = next;
        step
    }
}
