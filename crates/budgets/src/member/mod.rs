//! The member's side: what each front end holds of the budgets, and its admission by them.
//!
//! A member polls the leader for shares, which expire by themselves, and admits from memory only. All times are
//! milliseconds of the member's own monotonic clock, which counts suspension.

mod held_budget;
mod polling;

use crate::message::{AppliedResponse, Epoch, Position};
use crate::spec::{BudgetSpec, Resource};
use crate::{InjectedBug, Share};
use beamgap_fleet_types::MemberId;
use held_budget::HeldBudget;
use thiserror::Error;

/// A poll without a response so far.
#[derive(Clone, Copy, Debug, PartialEq)]
struct OutstandingPoll {
    sequence: u64,
    sent_at: f64,
}

/// A request was rejected because a budget is exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("budget number {number} is exhausted")]
pub struct Exhausted {
    /// The budget's number, as in [`BudgetMember::specs`].
    pub number: usize,
}

/// How the warming engines' load is split, as one member sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmingSplit {
    /// Among how many front ends the load is split, by this member's share; very many if it holds none.
    pub members: f64,
    /// Which of them this member is, from 0.
    pub index: u64,
}

/// A member's holdings of all budgets.
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
    /// The epoch of a leader that wants to learn all holdings.
    restate_for: Option<Epoch>,
    outstanding: Option<OutstandingPoll>,
    poll_again_after_ms: Option<f64>,
    /// Responses in a row that moved nothing.
    idle_responses: u32,
    injected_bug: InjectedBug,
}

impl BudgetMember {
    /// A member that has just started: it holds nothing.
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

    /// Admits by the budgets of this policy version from now on. Holdings of budgets whose form is unchanged are kept.
    pub fn activate(&mut self, now: f64, version: u64, specs: Vec<BudgetSpec>) {
        self.refill_all(now);
        let mut earlier = std::mem::take(&mut self.budgets);
        for spec in specs {
            let is_kept =
                |held: &HeldBudget| held.spec.name == spec.name && held.spec.limits_same(&spec);
            let mut budget = match earlier.iter().position(is_kept) {
                Some(index) => earlier.swap_remove(index).with_spec(spec),
                None => HeldBudget::new(spec, now),
            };
            budget.start_version();
            self.budgets.push(budget);
        }
        self.version = version;
        self.refill_all(now);
    }

    /// Whether there is no budget.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    /// The budgets in use. Their positions are the numbers that other functions take.
    pub fn specs(&self) -> impl Iterator<Item = &BudgetSpec> + '_ {
        self.budgets.iter().map(|budget| &budget.spec)
    }

    /// The numbers of the budgets of a resource that limit requests of this class and account.
    pub fn applicable(&self, resource: Resource, class: &str, account: Option<&str>) -> Vec<usize> {
        let applies =
            |spec: &BudgetSpec| spec.resource == resource && spec.applies_to(class, account);
        self.specs()
            .enumerate()
            .filter(|(_, spec)| applies(spec))
            .map(|(number, _)| number)
            .collect()
    }

    /// From now on it demands nothing more, so that the leader moves its shares to others.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// The share of a budget that it may use now.
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

    /// What [`BudgetMember::share`] comes to in whole units: the size of its bucket, or the most that it may have in use.
    pub fn unit_limit(&self, number: usize, now: f64) -> u64 {
        let limit =
            |budget: &HeldBudget| self.share(number, now).to_units(budget.spec.total_units());
        self.budgets.get(number).map_or(0, limit)
    }

    /// How a budget of [`Resource::WarmingEngines`] is split.
    pub fn warming_split(&self, number: usize, now: f64) -> WarmingSplit {
        let share = self.share(number, now).max(Share::from_parts(1));
        let by_share = crate::FULL_SHARE.parts() as f64 / share.parts() as f64;
        WarmingSplit {
            members: by_share.max(self.position.members as f64).max(1.0),
            index: self.position.index,
        }
    }

    /// Admits one request under all of these budgets and takes a token from each rate. `in_use` gives the units in use of
    /// a concurrency limit. The request counts as demand even if it is rejected.
    ///
    /// # Errors
    ///
    /// The first budget that is exhausted; nothing is taken then.
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

    /// Counts a request and says whether one budget could admit it.
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
