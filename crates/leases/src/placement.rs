//! Which member gets the lease of a task.
//!
//! Of the members that answer, may hold the task and do not shut down, those go first that have
//! been present for [`SETTLING_TIME_MS`], then those that hold the fewest leases, then by a hash of
//! task and member.

use crate::task::Task;
use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;

/// A member that has been present for less than this gets a lease only if no other fits, in
/// milliseconds.
pub const SETTLING_TIME_MS: f64 = 5000.0;
/// A member that was not heard of for longer than this gets no lease, in milliseconds.
const MEMBER_TIMEOUT_MS: f64 = 1700.0;

/// A member as the leader last heard of it. Times are of the leader's clock, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MemberStatus {
    pub(crate) first_heard_at: f64,
    pub(crate) last_heard_at: f64,
    pub(crate) zone: String,
    pub(crate) draining: bool,
}

impl MemberStatus {
    fn may_hold(&self, now: f64, member: &MemberId, task: &Task) -> bool {
        let is_present = now - self.last_heard_at < MEMBER_TIMEOUT_MS;
        is_present && !self.draining && task.spec.allows(&member.name, &self.zone)
    }

    fn is_settling(&self, now: f64) -> bool {
        now - self.first_heard_at < SETTLING_TIME_MS
    }
}

/// The member that is to hold the task, if one may. `held` is the number of leases of each member.
pub(crate) fn choose_holder(
    now: f64,
    task: &Task,
    members: &BTreeMap<MemberId, MemberStatus>,
    held: &BTreeMap<MemberId, usize>,
) -> Option<MemberId> {
    let candidates = members
        .iter()
        .filter(|(member, status)| status.may_hold(now, member, task));
    let chosen = candidates.min_by_key(|(member, status)| {
        let lease_count = held.get(*member).copied().unwrap_or(0);
        (
            status.is_settling(now),
            lease_count,
            tie_break_hash(&task.spec.name, &member.name),
        )
    });
    chosen.map(|(member, _)| member.clone())
}

/// A deterministic hash of a task and a member (FNV-1a with a final mix).
fn tie_break_hash(task: &str, member: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    const FINAL_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
    let bytes = task.bytes().chain([0]).chain(member.bytes());
    let hash = bytes.fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    (hash ^ (hash >> 29)).wrapping_mul(FINAL_MULTIPLIER)
}
