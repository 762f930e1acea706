//! A simulated fleet for the tests of budgets, and how its admissions are checked.

pub mod fleet;
pub mod front;

use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use std::collections::BTreeMap;

/// A rate of requests of the account that is named like the budget.
pub fn rate(name: &str, per_second: f64, burst: u64) -> BudgetSpec {
    spec(name, Resource::Requests, Amount::Rate { per_second, burst })
}

/// A limit on open requests of the account that is named like the budget.
pub fn concurrency(name: &str, max: u64, max_duration_ms: f64) -> BudgetSpec {
    let amount = Amount::Concurrency {
        max,
        max_duration_ms,
    };
    spec(name, Resource::OpenRequests, amount)
}

/// A budget without floors and weights.
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

/// By how much admissions of a rate exceeded `rate * window + burst` in the worst window, in admissions.
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
