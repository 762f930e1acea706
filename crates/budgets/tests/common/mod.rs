//! Helpers for tests of budgets: a simulated fleet, budget definitions and a check of admissions against a rate.

pub mod fleet;
pub mod front;

use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use std::collections::BTreeMap;

/// A rate limit on requests of one account. The budget and the account are both called `name`.
pub fn rate(name: &str, per_second: f64, burst: u64) -> BudgetSpec {
    spec(name, Resource::Requests, Amount::Rate { per_second, burst })
}

/// A concurrency limit on open requests of one account. The budget and the account are both called `name`.
pub fn concurrency(name: &str, max: u64, max_duration_ms: f64) -> BudgetSpec {
    let amount = Amount::Concurrency {
        max,
        max_duration_ms,
    };
    spec(name, Resource::OpenRequests, amount)
}

/// A budget without floors and without weights.
pub fn spec(name: &str, resource: Resource, amount: Amount) -> BudgetSpec {
    BudgetSpec {
        name: name.to_owned(),
        resource,
        account: Some(name.to_owned()),
        class: None,
        amount,
        floor: 0.0,
        max_members: 0,
        weights: BTreeMap::new(),
    }
}

/// Largest number of admissions beyond `rate * window + burst` over all time windows; negative or 0 if no window
/// exceeds the rate. `admitted_at` is in milliseconds.
pub fn excess(admitted_at: &[f64], per_second: f64, burst: u64) -> f64 {
    let mut level = 0.0f64;
    let mut last = f64::NEG_INFINITY;
    let mut worst = f64::NEG_INFINITY;
    for at in admitted_at {
        if last.is_finite() {
            level = (level - (at - last) * per_second / 1000.0).max(0.0);
        }
        last = *at;
        level += 1.0;
        worst = worst.max(level - burst as f64);
    }
    worst
}
