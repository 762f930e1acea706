//! The member's part of the protocol: the shares that a front end holds, and the admission of requests under them.
//!
//! A member polls the leader to obtain and renew shares, which expire unless renewed,
//! and admits requests from local state only. All times are in milliseconds of the
//! member's own monotonic clock, which must advance while the machine is suspended.

mod held_budget;
mod polling;

use crate::message::{AppliedResponse, Epoch, Position};
use crate::spec::{BudgetSpec, Resource};
use crate::{InjectedBug, Share};
use beamgap_fleet_types::MemberId;
use held_budget::HeldBudget;
use thiserror::Error;

/// A poll that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OutstandingPoll {
    sequence: u64,
    sent_at: f64,
}

/// The error of a request that was rejected because a budget is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("budget number {number} is exhausted")]
pub struct Exhausted {
    /// Number of the first exhausted budget: its position in [`BudgetMember::specs`].
    pub number: usize,
}

/// The division of the load on warming engines among the front ends, as seen by one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingSplit {
    /// Number of front ends that the load is divided among: the reciprocal of this member's share, but at least the
    /// number of present members. Very large if this member holds no share.
    pub members: f64,
    /// Zero-based index of this member among the present members.
    pub index: u64,
}

/// A member's holdings and demands in all budgets of the policy.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetMember {
    id: MemberId,
    zone: String,
    draining: bool,
    version: u64,
    budgets: Vec<HeldBudget>,
    shares_expire_at: f64,
    floors_expire_at: f64,
    max_drift: f64,
    position: Position,
    applied: Option<AppliedResponse>,
    /// The epoch of the leader that has requested a full statement of holdings.
    restate_for: Option<Epoch>,
    outstanding: Option<OutstandingPoll>,
    poll_again_after_ms: Option<f64>,
    /// Number of consecutive responses that changed no holding.
    idle_responses: u32,
    injected_bug: InjectedBug,
}

impl BudgetMember {
    /// Creates a member that has just started and holds no shares.
    pub fn new(id: MemberId, zone: &str, injected_bug: InjectedBug) -> BudgetMember {
        BudgetMember {
            id,
            zone: zone.to_owned(),
            draining: false,
            version: 0,
            budgets: Vec::new(),
            shares_expire_at: f64::NEG_INFINITY,
            floors_expire_at: f64::NEG_INFINITY,
            max_drift: 0.0,
            position: Position {
                index: 0,
                members: 1,
            },
            applied: None,
            restate_for: None,
            outstanding: None,
            poll_again_after_ms: None,
            idle_responses: 0,
            injected_bug,
        }
    }

    /// Activates a policy version: from `now` on, requests are admitted under its budgets.
    /// The holding of a budget is kept if the new version has a budget of the same name
    /// that limits the same resource, as defined by [`BudgetSpec::limits_same`].
    pub fn activate(&mut self, now: f64, version: u64, specs: Vec<BudgetSpec>) {
        self.refill_all(now);
        let mut earlier = std::mem::take(&mut self.budgets);
        for spec in specs {
            let is_same =
                |held: &HeldBudget| held.spec.name == spec.name && held.spec.limits_same(&spec);
            let mut budget = match earlier.iter().position(is_same) {
                Some(index) => earlier.swap_remove(index).with_spec(spec),
                None => HeldBudget::new(spec, now),
            };
            budget.start_version();
            self.budgets.push(budget);
        }
        self.version = version;
        self.refill_all(now);
    }

    /// Whether the active policy version has no budgets.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    /// The budgets of the active policy version. Other functions identify a budget by its position in this sequence.
    pub fn specs(&self) -> impl Iterator<Item = &BudgetSpec> + '_ {
        self.budgets.iter().map(|budget| &budget.spec)
    }

    /// Returns the numbers of the budgets that limit `resource` and apply to requests of this class and account.
    pub fn applicable(&self, resource: Resource, class: &str, account: Option<&str>) -> Vec<usize> {
        let applies =
            |spec: &BudgetSpec| spec.resource == resource && spec.applies_to(class, account);
        self.specs()
            .enumerate()
            .filter(|(_, spec)| applies(spec))
            .map(|(number, _)| number)
            .collect()
    }

    /// Starts draining: further polls tell the leader to move the member's shares to other members.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// The share of a budget that the member may use now: its share and its floor, each unless it has expired.
    pub fn share(&self, number: usize, now: f64) -> Share {
        let Some(budget) = self.budgets.get(number) else {
            return Share::ZERO;
        };
        let mut share = Share::ZERO;
        if now < self.shares_expire_at || self.ignores_expiry() {
            share = budget.share;
        }
        if budget.holds_floor && now < self.floors_expire_at {
            share = share + budget.spec.floor_share();
        }
        share
    }

    /// [`BudgetMember::share`] in whole units: the bucket size of a rate,
    /// or the largest number of units in use of a concurrency limit.
    pub fn unit_limit(&self, number: usize, now: f64) -> u64 {
        let limit =
            |budget: &HeldBudget| self.share(number, now).to_units(budget.spec.total_units());
        self.budgets.get(number).map_or(0, limit)
    }

    /// The division of a budget of [`Resource::WarmingEngines`] among the front ends.
    pub fn warming_split(&self, number: usize, now: f64) -> WarmingSplit {
        let share = self.share(number, now).max(Share::from_parts(1));
        let by_share = crate::FULL_SHARE.parts() as f64 / share.parts() as f64;
        WarmingSplit {
            members: by_share.max(self.position.members as f64).max(1.0),
            index: self.position.index,
        }
    }

    /// Admits one request under all the budgets in `numbers` and consumes one token
    /// of each rate. `in_use` returns the number of units in use of a concurrency
    /// limit, which the caller counts. A rejected request counts as demand, too.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] with the number of the first exhausted budget. No token is consumed in that case.
    pub fn try_acquire(
        &mut self,
        now: f64,
        numbers: &[usize],
        in_use: impl Fn(usize) -> u64,
    ) -> Result<(), Exhausted> {
        let mut exhausted = None;
        for &number in numbers {
            if !self.has_capacity(now, number, &in_use) && exhausted.is_none() {
                exhausted = Some(number);
            }
        }
        if let Some(number) = exhausted {
            return Err(Exhausted { number });
        }
        for &number in numbers {
            if let Some(budget) = self.budgets.get_mut(number) {
                if budget.is_rate() {
                    budget.consume_token();
                }
            }
        }
        Ok(())
    }

    /// Returns whether one budget has capacity for a request, and counts the request as demand. Under a concurrency
    /// limit only rejected requests are counted, because admitted requests appear in the units in use.
    fn has_capacity(&mut self, now: f64, number: usize, in_use: &impl Fn(usize) -> u64) -> bool {
        self.refill(number, now);
        let limit = self.unit_limit(number, now);
        let Some(budget) = self.budgets.get_mut(number) else {
            return true;
        };
        if budget.is_rate() {
            budget.count_request(now);
            return budget.has_token();
        }
        let has_capacity = in_use(number) < limit;
        if !has_capacity {
            budget.count_request(now);
        }
        has_capacity
    }

    fn refill(&mut self, number: usize, now: f64) {
        let share = self.share(number, now);
        let max_tokens = self.unit_limit(number, now) as f64;
        let max_drift = self.max_drift;
        if let Some(budget) = self.budgets.get_mut(number) {
            budget.refill(now, share, max_tokens, max_drift);
        }
    }

    fn refill_all(&mut self, now: f64) {
        for number in 0..self.budgets.len() {
            self.refill(number, now);
        }
    }

    fn ignores_expiry(&self) -> bool {
        self.injected_bug == InjectedBug::UsedAfterExpiry
    }
}
