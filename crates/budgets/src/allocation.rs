//! Weighted max-min fair allocation of a budget's units.
//!
//! The fractional allocation is progressive filling (Bertsekas and Gallager, "Data Networks", 1992, section 6.5.2);
//! it is then rounded to whole units.

use std::cmp::{Ordering, Reverse};

/// Least weight that counts, so that no division is by zero.
const MIN_WEIGHT: f64 = 1e-9;
/// Least sum of weights that counts.
const MIN_TOTAL_WEIGHT: f64 = 1e-12;
/// Rounding error of a sum that should be a whole number.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// What one member could use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// In units; may be more than there are.
    pub units: f64,
    /// Its weight, above 0.
    pub weight: f64,
}

/// Allocates `total` units among members; the result is in the order of `demands` and sums to `total`.
///
/// - Nobody gets more by demanding more than its fair share.
/// - What nobody demands is spread by weight, so that each has something at once when its demand begins.
/// - Units that rounding leaves over go one each to those with the largest unmet demand, then to the first in order.
/// - Whoever demands something gets at least one unit, as long as there are as many.
///
/// Without members nothing is allocated.
pub fn allocate(demands: &[Demand], total: u64) -> Vec<u64> {
    if demands.is_empty() {
        return Vec::new();
    }
    let mut shares = max_min_shares(demands, total as f64);
    spread_unclaimed(demands, total as f64, &mut shares);
    let mut units: Vec<u64> = shares
        .iter()
        .map(|share| (share + ROUNDING_TOLERANCE).floor() as u64)
        .collect();
    distribute_remainder(demands, total, &shares, &mut units);
    give_everyone_one(demands, &mut units);
    units
}

/// Progressive filling: each gets what it demands, or its weight's part of one level that uses all up.
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

/// Spreads what nobody demands by weight.
fn spread_unclaimed(demands: &[Demand], total: f64, shares: &mut [f64]) {
    let left = total - shares.iter().sum::<f64>();
    let total_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    if left > 0.0 && total_weight > 0.0 {
        for (share, demand) in shares.iter_mut().zip(demands) {
            *share += left * demand.weight / total_weight;
        }
    }
}

/// Gives the units that rounding down left over: first to the largest unmet demand, then to the largest fraction cut off.
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

/// Moves one unit to each that demands something and has none, from those without demand first, then from the richest.
fn give_everyone_one(demands: &[Demand], units: &mut [u64]) {
    for i in 0..demands.len() {
        if demands[i].units <= 0.0 || units[i] > 0 {
            continue;
        }
        if let Some(donor) = donor(demands, units) {
            units[donor] -= 1;
            units[i] += 1;
        }
    }
}

/// Who can best spare a unit.
fn donor(demands: &[Demand], units: &[u64]) -> Option<usize> {
    let has_demand = |i: usize| demands[i].units > 0.0;
    let can_spare = |i: &usize| units[*i] > u64::from(has_demand(*i));
    (0..demands.len())
        .filter(can_spare)
        .min_by_key(|i| (has_demand(*i), Reverse(units[*i])))
}
