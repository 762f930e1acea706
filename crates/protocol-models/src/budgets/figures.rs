//! The budgets, timings and members of the model.

use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_budgets::BudgetTimings;
use beamgap_fleet_types::MemberId;
use std::collections::BTreeMap;

/// Length of a tick in true time, in milliseconds.
pub(super) const TICK_MS: f64 = 500.0;
pub(super) const MAX_DRIFT: f64 = 0.05;
pub(super) const RATE_PER_SECOND: f64 = 4.0;
pub(super) const BURST: u64 = 4;
pub(super) const MAX_IN_USE: u64 = 4;
/// Longest time that a unit is in use, in ticks.
pub(super) const MAX_DURATION_TICKS: u64 = 3;
/// The policy version in force.
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
