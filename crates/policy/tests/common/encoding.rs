//! Encodes the output of a simulation step and hashes it.

use beamgap_policy::rollout::{MemberAction, PolicyLeader, PolicyMember};

use beamgap_policy::rules::{Rejection, RequestLimits};
use serde::Serialize;

/// Encoded output of one simulation step.
#[derive(Default)]
pub struct Encoding {
    bytes: Vec<u8>,
}

impl Encoding {
    /// Appends a tag byte and the postcard encoding of a value.
    pub fn put<T: Serialize>(&mut self, tag: u8, value: &T) {
        self.bytes.push(tag);
        self.bytes
            .extend(postcard::to_stdvec(value).expect("every value has an encoding"));
    }

    /// Appends an action that a member must carry out.
    pub fn put_action(&mut self, action: &MemberAction) {
        match action {
            MemberAction::Activate {
                version,
                policy_text: text,
            } => self.put(0x01, &(version, text)),
            MemberAction::Validate(change) => self.put(0x02, change),
        }
    }

    /// Appends the publicly visible state of a member at time `now` by its clock.
    pub fn put_member(&mut self, now: f64, member: &PolicyMember) {
        self.put(
            0x10,
            &(
                &member.id().name,
                member.admits(now),
                member.next_poll_at(),
                member.blocked_reason(now),
            ),
        );
        if let Some(lease) = member.lease() {
            self.put(0x11, &(lease.version, lease.expires_at, &lease.kind));
        }
    }

    /// Appends the publicly visible state of the leader.
    pub fn put_leader(&mut self, leader: &PolicyLeader) {
        self.put(0x20, &leader.is_leader());
        for (member, status) in leader.member_statuses() {
            self.put(0x21, member);
            self.put(
                0x22,
                &(
                    status.polled_at,
                    status.version,
                    &status.lease_kind,
                    &status.blocked_reason,
                    &status.note,
                ),
            );
        }
    }

    /// Appends the result of an admission decision.
    pub fn put_admission(&mut self, admission: &Result<RequestLimits, Rejection>) {
        match admission {
            Ok(limits) => self.put(0x30, &(limits.max_attempts, limits.deadline_ms)),
            Err(Rejection::ClassRejected) => self.put(0x31, &()),
            Err(Rejection::RateExceeded) => self.put(0x32, &()),
            Err(Rejection::AccountShareExceeded) => self.put(0x33, &()),
            Err(Rejection::TooManyInFlight) => self.put(0x34, &()),
        }
    }

    /// The recorded line for this step: the 64-bit FNV-1a hash of the output, folded to 32 bits, in hexadecimal.
    pub fn line(&self) -> String {
        let hash = self
            .bytes
            .iter()
            .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
            });
        format!("{:08x}", (hash >> 32) ^ (hash & 0xffff_ffff))
    }
}
