//! How a whole is divided in whole units.

use beamgap_budgets::allocation::{divide, Want};
use beamgap_budgets::{parts, units, WHOLE};
use proptest::prelude::*;

fn want(demand: f64) -> Want {
    Want { demand, weight: 1.0 }
}

#[test]
fn who_wants_little_is_not_rounded_to_nothing_beside_floods() {
    // As seeds of the rig had it: 16 units, three floods, one that wants a third of a unit.
    let wants: Vec<Want> = [16.0, 16.0, 16.0, 0.9, 0.9].map(want).to_vec();
    let got = divide(&wants, 16);
    assert!(got[3] >= 1 && got[4] >= 1, "{got:?}");
    assert!(got[..3].iter().all(|n| *n >= 4), "{got:?}");
}

#[test]
fn what_nobody_wants_is_spread() {
    assert_eq!(divide(&[0.0; 4].map(want), 8), [2, 2, 2, 2]);
    assert_eq!(divide(&[0.0, 0.0, 3.0].map(want), 1), [0, 0, 1], "one that idles gives way");
    assert!(divide(&[], 8).is_empty());
}

proptest! {
    #[test]
    fn all_is_given_and_nobody_who_wants_goes_without(
        wants in proptest::collection::vec((0.0..50.0f64, 1.0..5.0f64), 1..40),
        whole in 1u64..200,
    ) {
        let wants: Vec<Want> = wants.iter().map(|(d, w)| Want { demand: if *d < 10.0 { 0.0 } else { d - 10.0 }, weight: *w }).collect();
        let got = divide(&wants, whole);
        prop_assert_eq!(got.iter().sum::<u64>(), whole);
        let wanting = wants.iter().filter(|w| w.demand > 0.0).count() as u64;
        if wanting <= whole {
            prop_assert!(wants.iter().zip(&got).all(|(w, n)| w.demand <= 0.0 || *n > 0), "{:?} {:?}", wants, got);
        }
    }

    #[test]
    fn units_come_back_from_their_parts_and_never_sum_to_more(
        whole in 1u64..1_000_000,
        cuts in proptest::collection::vec(0u64..1_000_000, 1..50),
    ) {
        let mut left = whole;
        let given: Vec<u64> = cuts.iter().map(|cut| { let n = (cut % whole).min(left); left -= n; n }).collect();
        let held: Vec<u64> = given.iter().map(|n| parts(*n, whole)).collect();
        prop_assert!(held.iter().sum::<u64>() <= WHOLE);
        for (n, part) in given.iter().zip(&held) {
            prop_assert_eq!(units(*part, whole), *n);
        }
        // The same parts of another whole.
        let other = whole / 7 + 1;
        prop_assert!(held.iter().map(|part| units(*part, other)).sum::<u64>() <= other);
    }
}
