//! Weighted max-min fair allocation of a budget's units.
//!
//! The fractional allocation is progressive filling (Bertsekas and Gallager,
//! "Data Networks", 1992, section 6.5.2); it is then rounded to whole units.

use std::cmp::{Ordering, Reverse};

/// Smaller weights are raised to this value, so that no division is by zero.
const MIN_WEIGHT: f64 = 1e-9;
/// Lower bound on the sum of the remaining weights, so that rounding errors cause no division by zero.
const MIN_TOTAL_WEIGHT: f64 = 1e-12;
/// Added, in units, before a fractional allocation is rounded down, so that a floating-point error loses no whole unit.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Demand and weight of one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Units that the member could use; may exceed the budget.
    pub units: f64,
    /// Weight of the member in the allocation; greater than 0.
    pub weight: f64,
}

/// Allocates `total` units among members; the result is in the order of `demands` and sums to `total`.
///
/// - A member whose demand exceeds its fair share gains nothing by a still larger demand.
/// - Units beyond the total demand are spread by weight, so that
///   an idle member can admit requests as soon as they arrive.
/// - Units that remain after rounding down are allocated one each: first by unmet
///   demand, then by the fraction that was cut off, then in the order of `demands`.
/// - Every member with demand is allocated at least one unit,
///   provided that `total` is at least the number of such members.
///
/// The result is empty if there are no members.
pub fn allocate(demands: &[Demand], total: u64) -> Vec<u64> {
    if demands.is_empty() {
        return Vec::new();
    }
    let mut shares = max_min_shares(demands, total as f64);
    spread_surplus(demands, total as f64, &mut shares);
    let mut units: Vec<u64> = shares
        .iter()
        .map(|share| (share + ROUNDING_TOLERANCE).floor() as u64)
        .collect();
    distribute_remainder(demands, total, &shares, &mut units);
    ensure_one_unit_each(demands, &mut units);
    units
}

/// Progressive filling: allocates to each member the smaller of its demand and its weight times a common level. The
/// level is such that the budget is used up, unless all demands are met before.
fn max_min_shares(demands: &[Demand], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    let demand_per_weight =
        |i: usize| demands[i].units.max(0.0) / demands[i].weight.max(MIN_WEIGHT);
    order.sort_by(|a, b| demand_per_weight(*a).total_cmp(&demand_per_weight(*b)));
    let mut weight_left: f64 = demands
        .iter()
        .map(|demand| demand.weight.max(MIN_WEIGHT))
        .sum();
    let mut left = total;
    let mut shares = vec![0.0; demands.len()];
    for i in order {
        let weight = demands[i].weight.max(MIN_WEIGHT);
        let share = demands[i].units.max(0.0).min(left * weight / weight_left);
        shares[i] = share;
        left = (left - share).max(0.0);
        weight_left = (weight_left - weight).max(MIN_TOTAL_WEIGHT);
    }
    shares
}

/// Spreads the units that exceed the total demand among all members in proportion to their weights.
fn spread_surplus(demands: &[Demand], total: f64, shares: &mut [f64]) {
    let left = total - shares.iter().sum::<f64>();
    let total_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    if left > 0.0 && total_weight > 0.0 {
        for (share, demand) in shares.iter_mut().zip(demands) {
            *share += left * demand.weight / total_weight;
        }
    }
}

/// Allocates the units that remain after rounding down, one to a member: first to members with the largest unmet
/// demand, then to those that lost the largest fraction to rounding.
fn distribute_remainder(demands: &[Demand], total: u64, shares: &[f64], units: &mut [u64]) {
    let remainder = total.saturating_sub(units.iter().sum());
    let unmet = |i: usize| (demands[i].units - units[i] as f64).clamp(0.0, 1.0);
    let cut_off = |i: usize| shares[i] - units[i] as f64;
    let rank = |i: usize| (unmet(i), cut_off(i));
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| rank(*b).partial_cmp(&rank(*a)).unwrap_or(Ordering::Equal));
    for i in order.into_iter().take(remainder as usize) {
        units[i] += 1;
    }
}

/// Moves one unit to each member that has demand but no unit. The donor is a member without demand if one has a unit to
/// spare, otherwise the member with the most units.
fn ensure_one_unit_each(demands: &[Demand], units: &mut [u64]) {
    for i in 0..demands.len() {
        if demands[i].units <= 0.0 || units[i] > 0 {
            continue;
        }
        if let Some(donor) = find_donor(demands, units) {
            units[donor] -= 1;
            units[i] += 1;
        }
    }
}

/// The member that gives up a unit: one without demand is preferred, then the one with the most units. `None` if no
/// member has a unit to spare; a member with demand keeps its last unit.
fn find_donor(demands: &[Demand], units: &[u64]) -> Option<usize> {
    let has_demand = |i: usize| demands[i].units > 0.0;
    let can_spare = |i: &usize| units[*i] > u64::from(has_demand(*i));
    (0..demands.len())
        .filter(can_spare)
        .min_by_key(|i| (has_demand(*i), Reverse(units[*i])))
}
