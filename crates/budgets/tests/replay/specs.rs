//! Random budgets for the recorded simulations.

use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_fakes::draw::Draw;
use std::collections::BTreeMap;

/// Draws the budgets of a policy version. A version has at most one budget of each
/// of six names; some are left out, and amounts, floors, weights and accounts vary.
pub fn draw_specs(draw: &mut Draw) -> Vec<BudgetSpec> {
    let rate = Amount::Rate {
        per_second: [200.0, 40.0][draw.below(2) as usize],
        burst: [60, 20][draw.below(2) as usize],
    };
    let low_rate = Amount::Rate {
        per_second: 30.0,
        burst: 12,
    };
    let open = Amount::Concurrency {
        max: [24, 9][draw.below(2) as usize],
        max_duration_ms: [700.0, 1400.0][draw.below(2) as usize],
    };
    let connections = Amount::Concurrency {
        max: 30,
        max_duration_ms: 300.0,
    };
    let warming = Amount::Concurrency {
        max: 1_000_000,
        max_duration_ms: 0.0,
    };
    let account = ["a", "b"][draw.below(2) as usize];
    let mut all = vec![
        spec("again", Resource::Retries, None, None, low_rate),
        spec("all", Resource::Requests, None, None, rate),
        spec("cold", Resource::WarmingEngines, None, None, warming),
        spec("links", Resource::Connections, None, None, connections),
        spec("open", Resource::OpenRequests, None, Some("x"), open),
        spec("single", Resource::Requests, Some(account), None, low_rate),
    ];
    for spec in &mut all {
        if spec.name == "all" && draw.below(2) == 0 {
            spec.floor = 0.4;
            spec.max_members = 12;
        }
        if draw.below(3) == 0 {
            spec.weights.insert("m1".to_owned(), 3.0);
            spec.weights.insert("east".to_owned(), 2.0);
        }
    }
    all.retain(|_| draw.below(6) > 0);
    all
}

fn spec(
    name: &str,
    resource: Resource,
    account: Option<&str>,
    class: Option<&str>,
    amount: Amount,
) -> BudgetSpec {
    BudgetSpec {
        name: name.to_owned(),
        resource,
        account: account.map(str::to_owned),
        class: class.map(str::to_owned),
        amount,
        floor: 0.0,
        max_members: 0,
        weights: BTreeMap::new(),
    }
}
