//! The output of a step as bytes.

use beamgap_policy::rollout::leader::Lead;
use beamgap_policy::rollout::member::{Act, Hold};
use beamgap_policy::rules::{No, Terms};
use serde::Serialize;

/// Bytes of one step.
#[derive(Default)]
pub struct Encoding {
    bytes: Vec<u8>,
}

impl Encoding {
    /// Appends a serializable value behind a tag.
    pub fn put<T: Serialize>(&mut self, tag: u8, value: &T) {
        self.bytes.push(tag);
        self.bytes.extend(postcard::to_stdvec(value).expect("every value has an encoding"));
    }

    /// Appends what a member is to do.
    pub fn put_action(&mut self, action: &Act) {
        match action {
            Act::Use(version, text) => self.put(0x01, &(version, text)),
            Act::Check(id, text) => self.put(0x02, &(id, text)),
        }
    }

    /// Appends what a member shows of itself.
    pub fn put_member(&mut self, now: f64, member: &Hold) {
        self.put(0x10, &(member.member(), member.admits(now), member.due(), member.why_not(now)));
        if let Some(right) = member.right() {
            self.put(0x11, &(right.version, right.until, &right.mark));
        }
    }

    /// Appends what a leader shows of itself.
    pub fn put_leader(&mut self, leader: &Lead) {
        self.put(0x20, &leader.leads());
        for (who, heard) in leader.heard() {
            self.put(0x21, who);
            self.put(0x22, &(heard.at, heard.version, &heard.holds, &heard.why_not, &heard.note));
        }
    }

    /// Appends whether a request came in.
    pub fn put_admission(&mut self, admission: &Result<Terms, No>) {
        match admission {
            Ok(terms) => self.put(0x30, &(terms.attempts, terms.deadline_ms)),
            Err(No::Class) => self.put(0x31, &()),
            Err(No::Rate) => self.put(0x32, &()),
            Err(No::Share) => self.put(0x33, &()),
            Err(No::Open) => self.put(0x34, &()),
        }
    }

    /// The line that is recorded: a hash (FNV-1a, folded to 32 bits).
    pub fn line(&self) -> String {
        let hash = self.bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
        });
        format!("{:08x}", (hash >> 32) ^ (hash & 0xffff_ffff))
    }
}
