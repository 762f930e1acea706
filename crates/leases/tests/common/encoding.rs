//! Encoding of the outputs whose digests a replay compares. The encoding contains no names of Rust
//! items, so that renaming an item does not change a digest.

use beamgap_leases::{ActionPermit, Command, ExpiredAction, PermitDenied};
use serde::Serialize;

/// Encoded outputs of all state machines in one simulation step.
#[derive(Default)]
pub struct Output {
    bytes: Vec<u8>,
}

impl Output {
    /// Appends a tag and the serialized value.
    pub fn value<T: Serialize>(&mut self, tag: u8, value: &T) {
        self.bytes.push(tag);
        self.bytes
            .extend(postcard::to_stdvec(value).expect("serializing to memory does not fail"));
    }

    /// Appends a tag and a permit, or the reason why it was denied.
    pub fn permit(&mut self, tag: u8, result: &Result<ActionPermit, PermitDenied>) {
        match result {
            Ok(permit) => self.value(tag, &(0u8, permit.task(), permit.step())),
            Err(denied) => {
                let reason: u8 = match denied {
                    PermitDenied::NotHeld => 1,
                    PermitDenied::LeaseExpiring => 2,
                    PermitDenied::NotRunnable => 3,
                    PermitDenied::StepNotBegun => 4,
                };
                self.value(tag, &(reason, denied.to_string()));
            }
        }
    }

    /// Appends the command that records an action whose permit expired before it started, and
    /// returns that command.
    pub fn expired(&mut self, tag: u8, expired: ExpiredAction) -> Option<Command> {
        let command = expired.record();
        self.value(tag, &command);
        command
    }

    /// Returns the FNV-1a hash of all appended bytes, folded to 32 bits, as eight hexadecimal
    /// digits.
    pub fn digest(&self) -> String {
        let offset_basis = 0xcbf2_9ce4_8422_2325_u64;
        let prime = 0x0100_0000_01b3;
        let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(prime);
        let hash = self.bytes.iter().fold(offset_basis, mix);
        format!("{:08x}", (hash >> 32) as u32 ^ hash as u32)
    }
}
