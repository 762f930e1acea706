//! How the leader divides one budget among the members.

use crate::allocation::{allocate, Demand};
use crate::ledger::ShareLedger;
use crate::message::{BudgetStatus, DemandReport, Holding, MemberShare};
use crate::spec::BudgetSpec;
use crate::{BudgetTimings, InjectedBug, Share, FULL_SHARE};
use beamgap_fleet_types::{clock, MemberId};
use std::collections::BTreeMap;

/// A budget is not allocated anew more often than this, in milliseconds.
const MIN_ALLOCATION_INTERVAL_MS: f64 = 120.0;
/// A member is allocated this multiple of its demand, so that some growth is served before it is reported.
const DEMAND_HEADROOM: f64 = 1.15;
/// Units that are allocated on top of [`DEMAND_HEADROOM`].
const EXTRA_DEMAND_UNITS: f64 = 0.5;
/// Most demand that is taken from a report, as a multiple of the whole budget.
const MAX_DEMAND_BUDGETS: f64 = 4.0;
/// For how many lease lengths the fleet surely keeps an incarnation that is not heard of in its list of members. It keeps
/// it for two more.
pub(super) const MEMBER_RETENTION_LEASES: f64 = 10.0;

/// What a poll tells of the asker's holdings.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StatedHoldings {
    /// All that it holds, by budget.
    Complete(BTreeMap<String, Holding>),
    /// It has applied the last response.
    LastResponseApplied,
    /// It has not received the last response and holds by the one before.
    LastResponseMissed,
}

/// How long after it was granted anything of a budget may count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ExpiryRules {
    pub(super) timings: BudgetTimings,
    pub(super) injected_bug: InjectedBug,
}

impl ExpiryRules {
    /// After how many milliseconds what was granted for `length_ms`, and what it admitted, has ended everywhere.
    fn ended_after(&self, spec: &BudgetSpec, length_ms: f64) -> f64 {
        let max_drift = self.timings.max_drift;
        let outlives_ms = match self.injected_bug {
            InjectedBug::DeadMemberUsageForgotten => 0.0,
            _ => spec.outlives_share_ms(),
        };
        clock::expired_everywhere_after(length_ms, max_drift) + outlives_ms * (1.0 + max_drift)
    }
}

/// A member that takes part in an allocation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Participant<'a> {
    pub(super) id: &'a MemberId,
    pub(super) zone: &'a str,
}

/// What a member is granted of one budget in response to a poll.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) holding: Holding,
    /// Whether it differs from the grant before.
    pub(super) is_changed: bool,
    /// Whether the member should poll soon: it lacks some of its target, or gives something back.
    pub(super) is_moving: bool,
}

/// The division of one budget.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct BudgetDivision {
    spec: BudgetSpec,
    shares: ShareLedger,
    /// Counts floors, one for each member.
    floors: ShareLedger,
    /// Whether everything is known once all members of the fleet have stated their holdings. It is not where the budget
    /// has changed its form, or where usage outlives the fleet's memory of its members.
    statements_are_exhaustive: bool,
    demands: BTreeMap<MemberId, f64>,
    targets: BTreeMap<MemberId, Share>,
    needs_allocation: bool,
    allocated_at: f64,
}

impl BudgetDivision {
    /// A division of which nothing is known: everything granted until `granted_until` may be held by somebody.
    /// `has_changed_form` says whether it may be held under another form of the budget.
    pub(super) fn new(
        spec: &BudgetSpec,
        granted_until: f64,
        has_changed_form: bool,
        rules: &ExpiryRules,
    ) -> BudgetDivision {
        let timings = rules.timings;
        let share_ms = if has_changed_form {
            // It may have been a floor.
            timings.share_ms.max(timings.floor_ms)
        } else {
            timings.share_ms
        };
        let unknown_expires_at = |length_ms| match rules.injected_bug {
            InjectedBug::NewLeaderDoesNotWait => f64::NEG_INFINITY,
            _ => granted_until + rules.ended_after(spec, length_ms),
        };
        let is_remembered = spec.outlives_share_ms() < MEMBER_RETENTION_LEASES * timings.floor_ms;
        BudgetDivision {
            spec: spec.clone(),
            shares: ShareLedger::new(
                spec.allocatable_share().parts(),
                unknown_expires_at(share_ms),
            ),
            floors: ShareLedger::new(spec.max_members, unknown_expires_at(timings.floor_ms)),
            statements_are_exhaustive: !has_changed_form && is_remembered,
            demands: BTreeMap::new(),
            targets: BTreeMap::new(),
            needs_allocation: true,
            allocated_at: f64::NEG_INFINITY,
        }
    }

    /// Whether shares of this budget are shares of the new version, too.
    pub(super) fn is_compatible_with(&self, new: &BudgetSpec) -> bool {
        self.spec.limits_same(new) && self.spec.outlives_share_ms() <= new.outlives_share_ms()
    }

    /// Goes on under the new version.
    pub(super) fn set_spec(&mut self, spec: &BudgetSpec) {
        self.spec = spec.clone();
        self.needs_allocation = true;
    }

    /// Frees what has expired.
    pub(super) fn expire(&mut self, now: f64, all_have_stated: bool) {
        let free_before = (self.shares.free(), self.floors.free());
        let is_all_known = all_have_stated && self.statements_are_exhaustive;
        self.shares.expire(now, is_all_known);
        self.floors.expire(now, is_all_known);
        if free_before != (self.shares.free(), self.floors.free()) {
            self.needs_allocation = true;
        }
    }

    /// Has targets computed anew with the next poll.
    pub(super) fn request_allocation(&mut self) {
        self.needs_allocation = true;
    }

    /// Whether anything is known of what the member holds.
    pub(super) fn has_entry(&self, member: &MemberId) -> bool {
        self.shares.contains(member)
    }

    /// Records what a member's poll tells of its holdings, which are renewed thereby.
    pub(super) fn renew(
        &mut self,
        now: f64,
        member: &MemberId,
        stated: &StatedHoldings,
        rules: &ExpiryRules,
    ) {
        let share_expires_at = now + rules.ended_after(&self.spec, rules.timings.share_ms);
        let floor_expires_at = now + rules.ended_after(&self.spec, rules.timings.floor_ms);
        match stated {
            StatedHoldings::Complete(holdings) => {
                let holding = holdings.get(&self.spec.name);
                let share = holding.map_or(Share::ZERO, |holding| holding.share);
                let floors = holding.map_or(0, |holding| u64::from(holding.holds_floor));
                self.shares.state(member, share.parts(), share_expires_at);
                self.floors.state(member, floors, floor_expires_at);
                self.needs_allocation = true;
            }
            StatedHoldings::LastResponseApplied => {
                self.shares.confirm(member, share_expires_at);
                self.floors.confirm(member, floor_expires_at);
            }
            StatedHoldings::LastResponseMissed => {
                self.shares.revert(member, share_expires_at);
                self.floors.revert(member, floor_expires_at);
            }
        }
    }

    /// Records a member's demand and its units in use.
    pub(super) fn set_demand(&mut self, member: &MemberId, report: &DemandReport) {
        let total = self.spec.total_units();
        let max_demand = MAX_DEMAND_BUDGETS * total as f64;
        let demand = if report.demand.is_finite() {
            report.demand.clamp(0.0, max_demand)
        } else {
            0.0
        };
        if self.demands.insert(member.clone(), demand) != Some(demand) {
            self.needs_allocation = true;
        }
        let in_use = Share::from_units(report.in_use, total);
        self.shares.set_in_use(member, in_use.parts());
    }

    /// Whether targets are to be computed anew when this member polls.
    pub(super) fn is_allocation_due(&self, now: f64, member: &MemberId) -> bool {
        let has_target = self.targets.contains_key(member);
        self.needs_allocation
            && (!has_target || now - self.allocated_at >= MIN_ALLOCATION_INTERVAL_MS)
    }

    /// Computes the members' targets from their demands. Demands of members that are not known any more
    /// are dropped.
    pub(super) fn allocate(
        &mut self,
        now: f64,
        participants: &[Participant<'_>],
        is_known: impl Fn(&MemberId) -> bool,
    ) {
        self.needs_allocation = false;
        self.allocated_at = now;
        let total = self.spec.total_units();
        let demands: Vec<Demand> = participants
            .iter()
            .map(|member| self.demand_of(member))
            .collect();
        // In whole units, because a fraction of a unit admits nothing.
        let allocatable = self.spec.allocatable_share().to_units_floor(total);
        let units = allocate(&demands, allocatable);
        self.targets = participants
            .iter()
            .zip(units)
            .map(|(member, units)| (member.id.clone(), Share::from_units(units, total)))
            .collect();
        self.demands.retain(|member, _| is_known(member));
    }

    fn demand_of(&self, member: &Participant<'_>) -> Demand {
        let demand = self.demands.get(member.id).copied().unwrap_or(0.0);
        let units = if demand > 0.0 {
            demand * DEMAND_HEADROOM + EXTRA_DEMAND_UNITS
        } else {
            0.0
        };
        Demand {
            units,
            weight: self.spec.weight(&member.id.name, member.zone),
        }
    }

    /// Grants a member what is free of its target; a draining member has none.
    pub(super) fn grant(
        &mut self,
        member: &MemberId,
        draining: bool,
        injected_bug: InjectedBug,
    ) -> Grant {
        let target = self.target(member, draining);
        let share_before = self.shares.granted(member);
        let floors_before = self.floors.granted(member);
        let wants_floor = self.spec.floor > 0.0 && !draining;
        let share = self.shares.grant(member, target);
        let floors = self.floors.grant(member, u64::from(wants_floor));
        if injected_bug == InjectedBug::ReassignedBeforeConfirmed {
            self.shares.confirm_without_response(member);
        }
        Grant {
            holding: Holding {
                budget: self.spec.name.clone(),
                share: Share::from_parts(share),
                holds_floor: floors > 0,
            },
            is_changed: share != share_before || floors != floors_before,
            is_moving: share != target || share < share_before,
        }
    }

    fn target(&self, member: &MemberId, draining: bool) -> u64 {
        if draining {
            return 0;
        }
        self.targets.get(member).map_or(0, |share| share.parts())
    }

    /// How the budget is divided, for operators.
    pub(super) fn status(&self) -> BudgetStatus {
        let total = self.spec.total_units().max(1) as f64;
        let fraction = |parts: u64| parts as f64 / FULL_SHARE.parts() as f64;
        let member_share = |(member, granted): (&MemberId, u64)| {
            let floor = self.floors.worst_case(member) * self.spec.floor_share().parts();
            MemberShare {
                member: member.clone(),
                share: fraction(granted + floor),
                demand: self.demands.get(member).copied().unwrap_or(0.0) / total,
            }
        };
        BudgetStatus {
            name: self.spec.name.clone(),
            description: self.spec.description(),
            unknown: fraction(self.shares.unknown()),
            members: self.shares.grants().map(member_share).collect(),
        }
    }
}
