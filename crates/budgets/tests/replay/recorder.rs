//! Encodes the outputs of one step and hashes them.
//!
//! What has a serde form is encoded by postcard, everything else by fixed tags, so that no name of the code enters the
//! recording.

use serde::Serialize;

// Tags of outputs without a serde form.
pub const TAG_ADMITTED: u8 = 1;
pub const TAG_REJECTED: u8 = 2;
pub const TAG_SHARE: u8 = 3;
pub const TAG_AMONG: u8 = 4;
pub const TAG_EARLY_POLL: u8 = 5;
pub const TAG_NO_EARLY_POLL: u8 = 6;
pub const TAG_REQUEST: u8 = 7;
pub const TAG_RESPONSE: u8 = 8;
pub const TAG_REPORT: u8 = 9;

/// Collects the outputs of one step and gives their hash.
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
        let bytes = postcard::to_stdvec(value).expect("it has a serialized form");
        self.number(bytes.len() as u64);
        self.bytes.extend(bytes);
    }

    /// The FNV-1a hash of what was recorded since the last line, folded to eight hexadecimal digits.
    pub fn line(&mut self) -> String {
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for byte in self.bytes.drain(..) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        format!("{:08x}", (hash ^ (hash >> 32)) as u32)
    }
}
