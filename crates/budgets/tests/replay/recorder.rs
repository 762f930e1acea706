//! Encodes the outputs of one simulation step and hashes them.
//!
//! Types that implement [`Serialize`] are encoded by postcard, all other outputs by fixed tags and numbers. Names in
//! the code therefore do not affect the recording.

use serde::Serialize;

// Tags that precede the outputs of each kind.
pub const TAG_ADMITTED: u8 = 1;
pub const TAG_REJECTED: u8 = 2;
pub const TAG_SHARE: u8 = 3;
pub const TAG_WARMING_SPLIT: u8 = 4;
pub const TAG_EARLY_POLL: u8 = 5;
pub const TAG_NO_EARLY_POLL: u8 = 6;
pub const TAG_REQUEST: u8 = 7;
pub const TAG_RESPONSE: u8 = 8;
pub const TAG_STATUS: u8 = 9;

/// Collects the outputs of one step and hashes them.
#[derive(Default)]
pub struct Recorder {
    bytes: Vec<u8>,
}

impl Recorder {
    pub fn tag(&mut self, tag: u8) {
        self.bytes.push(tag);
    }

    pub fn number(&mut self, number: u64) {
        self.bytes.extend(number.to_le_bytes());
    }

    pub fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    pub fn encoded<T: Serialize>(&mut self, value: &T) {
        let bytes = postcard::to_stdvec(value).expect("the value can be serialized");
        self.number(bytes.len() as u64);
        self.bytes.extend(bytes);
    }

    /// Returns a line of the recording and clears the recorder: the 64-bit FNV-1a hash of all outputs since the
    /// previous line, folded to 32 bits and written as eight hexadecimal digits.
    pub fn take_line(&mut self) -> String {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for byte in self.bytes.drain(..) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        format!("{:08x}", (hash ^ (hash >> 32)) as u32)
    }
}
