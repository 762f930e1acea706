//! Tests of the weighted max-min fair allocation in whole units, and of the conversion between units and shares.

use beamgap_budgets::allocation::{allocate, Demand};
use beamgap_budgets::{Share, FULL_SHARE};
use proptest::prelude::{prop_assert, prop_assert_eq, proptest};

fn demand(units: f64) -> Demand {
    Demand { units, weight: 1.0 }
}

#[test]
fn a_small_demand_is_not_rounded_to_nothing_beside_floods() {
    // Found by the fault harness with 16 units: beside three members that each demanded the whole budget, a member that
    // demanded a third of a unit (0.9 with the leader's headroom) was allocated no unit.
    let demands: Vec<Demand> = [16.0, 16.0, 16.0, 0.9, 0.9].map(demand).to_vec();
    let units = allocate(&demands, 16);
    assert!(units[3] >= 1 && units[4] >= 1, "{units:?}");
    assert!(units[..3].iter().all(|n| *n >= 4), "{units:?}");
}

#[test]
fn units_that_nobody_demands_are_spread() {
    assert_eq!(allocate(&[0.0; 4].map(demand), 8), [2, 2, 2, 2]);
    assert_eq!(
        allocate(&[0.0, 0.0, 3.0].map(demand), 1),
        [0, 0, 1],
        "the only unit must go to the member with demand"
    );
    assert!(allocate(&[], 8).is_empty());
}

proptest! {
    #[test]
    fn all_units_are_allocated_and_every_demand_gets_one(
        demands in proptest::collection::vec((0.0..50.0f64, 1.0..5.0f64), 1..40),
        total in 1u64..200,
    ) {
        let demands: Vec<Demand> = demands.iter().map(|(d, w)| Demand { units: if *d < 10.0 { 0.0 } else { d - 10.0 }, weight: *w }).collect();
        let got = allocate(&demands, total);
        prop_assert_eq!(got.iter().sum::<u64>(), total);
        let demanding = demands.iter().filter(|w| w.units > 0.0).count() as u64;
        if demanding <= total {
            prop_assert!(demands.iter().zip(&got).all(|(w, n)| w.units <= 0.0 || *n > 0), "{:?} {:?}", demands, got);
        }
    }

    #[test]
    fn shares_convert_back_to_their_units_and_never_sum_to_more(
        total in 1u64..1_000_000,
        cuts in proptest::collection::vec(0u64..1_000_000, 1..50),
    ) {
        let mut left = total;
        let given: Vec<u64> = cuts.iter().map(|cut| { let n = (cut % total).min(left); left -= n; n }).collect();
        let held: Vec<Share> = given.iter().map(|n| Share::from_units(*n, total)).collect();
        prop_assert!(held.iter().map(|share| share.parts()).sum::<u64>() <= FULL_SHARE.parts());
        for (n, share) in given.iter().zip(&held) {
            prop_assert_eq!(share.to_units(total), *n);
        }
        // Converted with the size of another budget, the same shares must not sum to more than that budget.
        let other = total / 7 + 1;
        prop_assert!(held.iter().map(|share| share.to_units(other)).sum::<u64>() <= other);
    }
}
