//! Division of one budget among the members by the leader.

use crate::allocation::{allocate, Demand};
use crate::ledger::ShareLedger;
use crate::message::{BudgetStatus, DemandReport, Holding, MemberShare};
use crate::spec::BudgetSpec;
use crate::{BudgetTimings, InjectedBug, Share, FULL_SHARE};
use beamgap_fleet_types::{clock, MemberId};
use std::collections::BTreeMap;

/// Minimum interval between two allocations of a budget, in milliseconds.
/// A poll of a member without a target causes an allocation sooner.
const MIN_ALLOCATION_INTERVAL_MS: f64 = 120.0;
/// Factor applied to a member's reported demand before allocation, so that
/// moderate growth of the demand is covered before the member reports it.
const DEMAND_HEADROOM: f64 = 1.15;
/// Units added to a member's demand after it was multiplied by [`DEMAND_HEADROOM`].
const EXTRA_DEMAND_UNITS: f64 = 0.5;
/// Upper bound on the demand accepted from a report, as a multiple of the whole budget.
const MAX_DEMAND_BUDGETS: f64 = 4.0;
/// Number of lease lengths for which a silent incarnation is guaranteed to stay in the fleet's list of members. The
/// fleet removes the incarnation two lease lengths later.
pub(super) const MEMBER_RETENTION_LEASES: f64 = 10.0;

/// The holdings of the polling member, as derived from its poll.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum StatedHoldings {
    /// A full statement: all holdings, by name of the budget.
    Complete(BTreeMap<String, Holding>),
    /// The member has applied the last response.
    LastResponseApplied,
    /// The member has not received the last response; its holdings are those of the response that it applied before.
    LastResponseMissed,
}

/// Parameters that determine when a grant, and the units admitted under it, have expired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ExpiryRules {
    pub(super) timings: BudgetTimings,
    pub(super) injected_bug: InjectedBug,
}

impl ExpiryRules {
    /// Time in milliseconds, by any clock within the drift bound, after which a grant with a lifetime of `length_ms`
    /// has expired and no unit admitted under the grant is still in use.
    fn ended_after_ms(&self, spec: &BudgetSpec, length_ms: f64) -> f64 {
        let max_drift = self.timings.max_drift;
        let outlives_ms = match self.injected_bug {
            InjectedBug::DeadMemberUsageForgotten => 0.0,
            _ => spec.outlives_share_ms(),
        };
        clock::expired_everywhere_after(length_ms, max_drift) + outlives_ms * (1.0 + max_drift)
    }
}

/// A member that budgets are allocated to: it is present and has stated its holdings in the current epoch.
#[derive(Clone, Copy, Debug)]
pub(super) struct Participant<'a> {
    pub(super) id: &'a MemberId,
    pub(super) zone: &'a str,
}

/// The part of one budget that a member is granted in the response to a poll.
#[derive(Clone, Debug)]
pub(super) struct Grant {
    pub(super) holding: Holding,
    /// Whether the grant differs from the member's previous one.
    pub(super) is_changed: bool,
    /// Whether the member should poll again soon, because its share is still below its target or was reduced.
    pub(super) is_moving: bool,
}

/// The division of one budget among the members.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct BudgetDivision {
    spec: BudgetSpec,
    shares: ShareLedger,
    /// Ledger of the floors; its total is the number of floors, and each member is granted at most one.
    floors: ShareLedger,
    /// Whether no holdings are unknown once all members in the fleet's list have stated theirs. False if the budget has
    /// replaced an incompatible one, or if units may stay in use after a dead member was removed from the list.
    statements_are_exhaustive: bool,
    demands: BTreeMap<MemberId, f64>,
    targets: BTreeMap<MemberId, Share>,
    needs_allocation: bool,
    allocated_at: f64,
}

impl BudgetDivision {
    /// Creates a division without any record of holdings: any part of the budget may
    /// have been granted until the time `granted_until`. `replaces_incompatible` says
    /// whether members may hold shares of an incompatible earlier version of the budget.
    pub(super) fn new(
        spec: &BudgetSpec,
        granted_until: f64,
        replaces_incompatible: bool,
        rules: &ExpiryRules,
    ) -> BudgetDivision {
        let timings = rules.timings;
        let share_ms = if replaces_incompatible {
            // A part that is a share now may have been a floor in the earlier version, and floors last longer.
            timings.share_ms.max(timings.floor_ms)
        } else {
            timings.share_ms
        };
        let unknown_expires_at = |length_ms| match rules.injected_bug {
            InjectedBug::NewLeaderDoesNotWait => f64::NEG_INFINITY,
            _ => granted_until + rules.ended_after_ms(spec, length_ms),
        };
        let usage_ends_before_removal =
            spec.outlives_share_ms() < MEMBER_RETENTION_LEASES * timings.floor_ms;
        BudgetDivision {
            spec: spec.clone(),
            shares: ShareLedger::new(
                spec.allocatable_share().parts(),
                unknown_expires_at(share_ms),
            ),
            floors: ShareLedger::new(spec.max_members, unknown_expires_at(timings.floor_ms)),
            statements_are_exhaustive: !replaces_incompatible && usage_ends_before_removal,
            demands: BTreeMap::new(),
            targets: BTreeMap::new(),
            needs_allocation: true,
            allocated_at: f64::NEG_INFINITY,
        }
    }

    /// Whether shares of this budget remain valid under the `new` version of the budget.
    pub(super) fn is_compatible_with(&self, new: &BudgetSpec) -> bool {
        self.spec.limits_same(new) && self.spec.outlives_share_ms() <= new.outlives_share_ms()
    }

    /// Replaces the budget by a compatible new version and keeps all recorded shares.
    pub(super) fn set_spec(&mut self, spec: &BudgetSpec) {
        self.spec = spec.clone();
        self.needs_allocation = true;
    }

    /// Frees shares and floors that have expired. `all_have_stated` says whether
    /// every member in the fleet's list has stated its holdings in the current epoch.
    pub(super) fn expire(&mut self, now: f64, all_have_stated: bool) {
        let free_before = (self.shares.free(), self.floors.free());
        let all_known = all_have_stated && self.statements_are_exhaustive;
        self.shares.expire(now, all_known);
        self.floors.expire(now, all_known);
        if free_before != (self.shares.free(), self.floors.free()) {
            self.needs_allocation = true;
        }
    }

    /// Marks the targets as outdated. One of the next polls recomputes them, at the earliest
    /// [`MIN_ALLOCATION_INTERVAL_MS`] after the last allocation.
    pub(super) fn request_allocation(&mut self) {
        self.needs_allocation = true;
    }

    /// Whether the leader has a record of the member's share of this budget.
    pub(super) fn has_entry(&self, member: &MemberId) -> bool {
        self.shares.contains(member)
    }

    /// Records the holdings stated in a member's poll and renews them from `now` on.
    pub(super) fn renew(
        &mut self,
        now: f64,
        member: &MemberId,
        stated: &StatedHoldings,
        rules: &ExpiryRules,
    ) {
        let share_expires_at = now + rules.ended_after_ms(&self.spec, rules.timings.share_ms);
        let floor_expires_at = now + rules.ended_after_ms(&self.spec, rules.timings.floor_ms);
        match stated {
            StatedHoldings::Complete(holdings) => {
                let holding = holdings.get(&self.spec.name);
                let share = holding.map_or(Share::ZERO, |holding| holding.share);
                let floors = holding.map_or(0, |holding| u64::from(holding.holds_floor));
                self.shares
                    .record_statement(member, share.parts(), share_expires_at);
                self.floors
                    .record_statement(member, floors, floor_expires_at);
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

    /// Whether the targets have to be recomputed before this member's poll is answered.
    pub(super) fn is_allocation_due(&self, now: f64, member: &MemberId) -> bool {
        let has_target = self.targets.contains_key(member);
        self.needs_allocation
            && (!has_target || now - self.allocated_at >= MIN_ALLOCATION_INTERVAL_MS)
    }

    /// Computes the targets of all participants from their demands, and
    /// drops the demands of members for which `is_known` returns false.
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
        // Targets are whole units, because a fraction of a unit admits no request.
        let allocatable = self.spec.allocatable_share().to_units_rounded_down(total);
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

    /// Grants a member its target, or as much of the target as is free. The target of a draining member is 0.
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

    /// The division of the budget among the members, as shown to operators.
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
