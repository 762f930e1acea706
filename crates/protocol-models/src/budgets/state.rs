//! The states of the model of budgets.

use beamgap_budgets::leader::BudgetLeader;
use beamgap_budgets::member::BudgetMember;
use beamgap_budgets::message::{PollRequest, PollResponse};
use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use super::figures::{member_id, MAX_DRIFT, MAX_DURATION_TICKS, RATE_PER_SECOND, TICK_MS};

/// A member and its messages on their way.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct MemberState {
    pub(super) incarnation: u64,
    pub(super) budgets: BudgetMember,
    pub(super) polls: u64,
    pub(super) request: Option<PollRequest>,
    pub(super) response: Option<PollResponse>,
}

/// A unit of the concurrency limit in use.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnitInUse {
    /// Whose it is.
    pub member: MemberId,
    /// The tick by which it has surely ended.
    pub until: u64,
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetState {
    /// Ticks that have passed.
    pub now: u64,
    pub(super) leader: BudgetLeader,
    pub(super) agreed_members: BTreeMap<MemberId, u64>,
    pub(super) members: Vec<MemberState>,
    /// Units in use, in order.
    pub in_use: Vec<UnitInUse>,
    /// Level of a leaky bucket that contains all admissions of the rate, when it was last updated.
    pub level: f64,
    pub(super) level_updated_at: u64,
    /// Admissions of the rate.
    pub admitted_by_rate: u64,
    /// Admissions of the concurrency limit.
    pub admitted_by_concurrency: u64,
    pub(super) elections: u8,
    pub(super) restarts: u8,
}

impl Eq for FleetState {}

impl Hash for FleetState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // It contains times as floating-point numbers, which have no hash; their text tells them apart.
        format!("{self:?}").hash(state);
    }
}

impl FleetState {
    pub(super) fn leader_clock(&self) -> f64 {
        self.now as f64 * TICK_MS * (1.0 + MAX_DRIFT)
    }

    pub(super) fn id(&self, member: usize) -> MemberId {
        member_id(member, self.members[member].incarnation)
    }

    pub(super) fn units_in_use_of(&self, member: usize) -> u64 {
        let id = self.id(member);
        self.in_use.iter().filter(|unit| unit.member == id).count() as u64
    }

    /// Records an admission of the rate in the leaky bucket.
    pub(super) fn add_to_level(&mut self) {
        let elapsed_ms = (self.now - self.level_updated_at) as f64 * TICK_MS;
        self.level = (self.level - elapsed_ms * RATE_PER_SECOND / 1000.0).max(0.0) + 1.0;
        self.level_updated_at = self.now;
    }

    pub(super) fn add_unit(&mut self, member: usize) {
        let unit = UnitInUse { member: self.id(member), until: self.now + MAX_DURATION_TICKS };
        self.in_use.push(unit);
        self.in_use.sort();
    }
}
