//! The budgets, timings and member ids that the model of budgets uses.

use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_budgets::BudgetTimings;
use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;

/// Length of a tick in milliseconds of real time; the clocks of members and leaders run slower or faster.
pub(super) const TICK_MS: f64 = 500.0;
/// Largest relative error of a clock's rate: clocks run between 0.95 and 1.05 times real time.
pub(super) const MAX_DRIFT: f64 = 0.05;
/// Requests per second that the rate budget admits over all members.
pub(super) const RATE_PER_SECOND: f64 = 4.0;
/// Largest burst of the rate budget, in requests.
pub(super) const BURST: u64 = 4;
/// Largest number of units of the concurrency budget that may be in use at the same time.
pub(super) const MAX_IN_USE: u64 = 4;
/// Longest time for which a unit of the concurrency budget is in use, in ticks.
pub(super) const MAX_DURATION_TICKS: u64 = 3;
/// The active policy version; it never changes in this model.
pub(super) const VERSION: u64 = 1;

pub(super) fn specs(has_rate: bool) -> Vec<BudgetSpec> {
    let spec = |name: &str, resource, amount| BudgetSpec {
        name: name.to_owned(),
        resource,
        account: None,
        class: None,
        amount,
        floor: 0.0,
        max_members: 0,
        weights: BTreeMap::new(),
    };
    let concurrency =
        Amount::Concurrency { max: MAX_IN_USE, max_duration_ms: MAX_DURATION_TICKS as f64 * TICK_MS };
    let mut all = vec![spec("concurrency", Resource::OpenRequests, concurrency)];
    if has_rate {
        let rate = Amount::Rate { per_second: RATE_PER_SECOND, burst: BURST };
        all.insert(0, spec("rate", Resource::Requests, rate));
    }
    all
}

pub(super) fn timings() -> BudgetTimings {
    BudgetTimings { share_ms: 3.0 * TICK_MS, floor_ms: 6.0 * TICK_MS, max_drift: MAX_DRIFT }
}

pub(super) fn member_id(member: usize, incarnation: u64) -> MemberId {
    MemberId::new(format!("m{member}"), incarnation)
}
