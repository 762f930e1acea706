//! Placement: the choice of the member that is granted the lease of a task.
//!
//! Candidates are the members that polled recently, may hold the task and are not draining. Members
//! that the leader has known for at least [`SETTLING_TIME_MS`] are preferred, then members that
//! hold fewer leases. A hash of the task name and the member name breaks ties.

use crate::task::Task;
use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;

/// How long the leader must have known a member to prefer it for leases, in milliseconds. A member
/// known for a shorter time gets a lease only if no other member may hold the task, so that a
/// process that restarts repeatedly doesn't cause leases to move.
pub const SETTLING_TIME_MS: f64 = 5000.0;
/// A member whose last poll is at least this old is granted no lease, in milliseconds.
const MEMBER_TIMEOUT_MS: f64 = 1700.0;

/// What the leader knows of a member from its polls. Times are in milliseconds on the leader's
/// clock.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MemberStatus {
    pub(crate) first_polled_at: f64,
    pub(crate) last_polled_at: f64,
    pub(crate) zone: String,
    pub(crate) draining: bool,
}

impl MemberStatus {
    /// Whether the member polled recently, is not draining and may hold the task.
    fn may_hold(&self, now: f64, member: &MemberId, task: &Task) -> bool {
        let is_present = now - self.last_polled_at < MEMBER_TIMEOUT_MS;
        is_present && !self.draining && task.spec.allows(&member.name, &self.zone)
    }

    /// Whether the leader has known the member for less than the settling time.
    fn is_settling(&self, now: f64) -> bool {
        now - self.first_polled_at < SETTLING_TIME_MS
    }
}

/// Chooses the member to grant the lease of the task to; `None` if no member may hold it.
/// `lease_counts` is the number of leases that each member holds.
pub(crate) fn choose_holder(
    now: f64,
    task: &Task,
    members: &BTreeMap<MemberId, MemberStatus>,
    lease_counts: &BTreeMap<MemberId, usize>,
) -> Option<MemberId> {
    let candidates = members
        .iter()
        .filter(|(member, status)| status.may_hold(now, member, task));
    let chosen = candidates.min_by_key(|(member, status)| {
        let lease_count = lease_counts.get(*member).copied().unwrap_or(0);
        (
            status.is_settling(now),
            lease_count,
            tie_break_hash(&task.spec.name, &member.name),
        )
    });
    chosen.map(|(member, _)| member.clone())
}

/// Hashes the names of a task and a member with FNV-1a and a final mix; the same in every process.
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
