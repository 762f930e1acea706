//! The state of the model of budgets: the leader, the members and their messages in flight, and the admitted usage.

use beamgap_budgets::leader::BudgetLeader;
use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::message::{PollRequest, PollResponse};
use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use super::figures::{member_id, MAX_DRIFT, MAX_DURATION_TICKS, RATE_PER_SECOND, TICK_MS};

/// A member with its poll and response in flight.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MemberState {
    pub(super) incarnation: u64,
    pub(super) budgets: BudgetMember,
    pub(super) polls: u64,
    pub(super) request: Option<PollRequest>,
    pub(super) response: Option<PollResponse>,
}

/// A unit of the concurrency budget that is in use.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnitInUse {
    /// The member that admitted the request which uses the unit.
    pub member: MemberId,
    /// The tick at which the unit is released at the latest, because its maximum duration has passed.
    pub until: u64,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetState {
    /// Current time, in ticks since the start.
    pub now: u64,
    pub(super) leader: BudgetLeader,
    pub(super) agreed_members: BTreeMap<MemberId, u64>,
    pub(super) members: Vec<MemberState>,
    /// Units of the concurrency budget in use, sorted so that equal sets of units are equal states.
    pub in_use: Vec<UnitInUse>,
    /// Level of a leaky bucket at its last update. Each request that any member admits under the rate adds 1, and the
    /// bucket drains at the rate: a level above the burst means that the fleet exceeded the rate.
    pub level: f64,
    pub(super) level_updated_at: u64,
    /// Number of requests admitted under the rate.
    pub admitted_by_rate: u64,
    /// Number of requests admitted under the concurrency limit.
    pub admitted_by_concurrency: u64,
    pub(super) elections: u8,
    pub(super) restarts: u8,
}

impl Eq for FleetState {}

impl Hash for FleetState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The state contains floating-point times, which don't implement `Hash`, so the `Debug` text is hashed instead.
        format!("{self:?}").hash(state);
    }
}

impl FleetState {
    pub(super) fn leader_clock(&self) -> f64 {
        self.now as f64 * TICK_MS * (1.0 + MAX_DRIFT)
    }

    pub(super) fn current_id(&self, member: usize) -> MemberId {
        member_id(member, self.members[member].incarnation)
    }

    pub(super) fn units_in_use_of(&self, member: usize) -> u64 {
        let id = self.current_id(member);
        self.in_use.iter().filter(|unit| unit.member == id).count() as u64
    }

    /// Adds a request admitted under the rate to the leaky bucket.
    pub(super) fn add_to_level(&mut self) {
        let elapsed_ms = (self.now - self.level_updated_at) as f64 * TICK_MS;
        self.level = (self.level - elapsed_ms * RATE_PER_SECOND / 1000.0).max(0.0) + 1.0;
        self.level_updated_at = self.now;
    }

    pub(super) fn add_unit(&mut self, member: usize) {
        let unit = UnitInUse { member: self.current_id(member), until: self.now + MAX_DURATION_TICKS };
        self.in_use.push(unit);
        self.in_use.sort();
    }
}
