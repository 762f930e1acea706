//! Budgets in a fleet on a set clock: who gets how much, how soon, and what a division by hand would have come to.
//! The promises are those of `docs/budgets.md`.

mod common;

use beamgap_budgets::spec::{Amount, Of, Spec};
use beamgap_budgets::Plant;
use common::*;

const RIGHT: f64 = 5000.0;

fn fleet(members: usize, specs: Vec<beamgap_budgets::spec::Spec>) -> Fleet {
    Fleet::new(members as u64, members, specs, RIGHT, Plant::None)
}

#[test]
fn a3_the_whole_goes_where_the_demand_is_and_follows_it() {
    for members in [3, 9, 30] {
        let mut f = fleet(members, vec![rate("a", 300.0, 300)]);
        f.fronts[0].demand = vec![900.0];
        f.run(3000.0);
        for (moved_to, round) in [(1, 0), (2, 1), (0, 2)] {
            f.fronts.iter_mut().for_each(|front| front.demand = vec![0.0]);
            f.fronts[moved_to].demand = vec![900.0];
            f.run(3000.0);
            let before = f.count(0);
            f.run(5000.0);
            // A clock within the drift that runs slow counts less time than there is.
            let used = (f.count(0) - before) as f64 / (300.0 * 5.0) / f.fronts[moved_to].clock.0;
            println!("{members} members, move {round}: {used:.3} of the whole used 3 s after it");
            assert!(used >= 0.94, "{members}: {used}");
        }
        assert!(excess(&f.admitted[0], 300.0, 300) <= 0.0);
    }
}

#[test]
fn a3_division_is_max_min_by_weight_within_three_seconds() {
    let mut spec = rate("a", 120.0, 120);
    spec.weights.insert("m002".to_owned(), 2.0);
    let mut f = fleet(4, vec![spec]);
    // One wants little; a flood buys no more than its fair part; one weighs double.
    for (m, demand) in [(0, 10.0), (1, 5000.0), (2, 300.0), (3, 60.0)] {
        f.fronts[m].demand = vec![demand];
    }
    f.run(3000.0);
    let before = f.counts[0].clone();
    f.run(10_000.0);
    let rate_of = |m: usize| (f.counts[0][&m] - before.get(&m).copied().unwrap_or(0)) as f64 / 10.0;
    let rates: Vec<f64> = (0..4).map(rate_of).collect();
    // 10 and, of what is left, parts of 1 : 2 : 1.
    for (m, fair) in [(0, 10.0), (1, 27.0), (2, 54.0), (3, 27.0)] {
        let part = rates[m] / fair;
        assert!((0.88..=1.08).contains(&part), "m{m}: {rates:?}");
    }
}

#[test]
fn a2_a_newcomer_has_a_useful_part_within_two_seconds() {
    let mut f = fleet(9, vec![rate("a", 300.0, 300)]);
    (0..8).for_each(|m| f.fronts[m].demand = vec![200.0]);
    f.kill(8);
    f.run(6000.0);
    f.start(8);
    f.fronts[8].demand = vec![200.0];
    f.run(2000.0);
    let before = f.counts[0].get(&8).copied().unwrap_or(0);
    f.run(2000.0);
    let got = (f.counts[0][&8] - before) as f64 / 2.0;
    assert!(got >= 0.8 * 300.0 / 9.0, "{got} a second of {}", 300.0 / 9.0);
}

#[test]
fn a2_who_is_cut_off_lives_on_what_was_set_aside_and_the_sum_holds() {
    let mut spec = rate("a", 300.0, 300);
    (spec.floor, spec.seats) = (0.3, 10);
    let mut f = fleet(9, vec![spec]);
    f.fronts.iter_mut().for_each(|front| front.demand = vec![200.0]);
    f.run(4000.0);
    (5..9).for_each(|m| f.fronts[m].cut = f.now + 60_000.0);
    f.run(2700.0);
    let before = f.counts[0].clone();
    f.run(1500.0);
    for m in 5..9 {
        let got = (f.counts[0][&m] - before[&m]) as f64 / 1.5;
        assert!((6.0..=9.5).contains(&got), "m{m} has {got} a second of the 9 set aside for it");
    }
    f.run(4000.0);
    let before = f.counts[0].clone();
    f.run(1000.0);
    assert!((5..9).all(|m| f.counts[0][&m] == before[&m]), "beyond its right it has nothing");
    assert!(excess(&f.admitted[0], 300.0, 300) <= 0.0);
}

#[test]
fn a4_the_whole_is_lowered_with_the_policy_and_the_division_goes_on() {
    let mut f = fleet(6, vec![rate("a", 300.0, 300)]);
    f.fronts.iter_mut().for_each(|front| front.demand = vec![200.0]);
    f.run(3000.0);
    f.change(vec![rate("a", 30.0, 30)]);
    let at = f.now;
    f.run(10_000.0);
    let after: Vec<f64> = f.admitted[0].iter().copied().filter(|t| *t > at).collect();
    assert!(excess(&after, 30.0, 30) <= 0.0, "{}", excess(&after, 30.0, 30));
    assert!(after.len() as f64 > 0.9 * 30.0 * 10.0, "{} in 10 s", after.len());
}

#[test]
fn a5_at_rest_questions_carry_nothing_however_many_budgets_there_are() {
    let specs = (0..64).map(|n| rate(&format!("b{n:02}"), 300.0, 300)).collect();
    let mut f = fleet(5, specs);
    f.run(5000.0);
    let asked = f.questions;
    f.run(60_000.0);
    let per_member = (f.questions - asked) as f64 / 5.0 / 60.0;
    assert!(per_member < 1.4, "{per_member} questions a second and member");
    let local = f.local(0);
    let ask = f.fronts[0].holder.ask(local, 1 << 40, |_| 0);
    assert!(ask.wants.is_empty() && ask.full.is_none(), "{ask:?}");
}

#[test]
fn a3_of_64_budgets_the_hot_one_moves_and_the_others_stay() {
    let specs = (0..64).map(|n| rate(&format!("b{n:02}"), 300.0, 300)).collect();
    let mut f = fleet(9, specs);
    f.fronts[4].demand[17] = 600.0;
    f.run(4000.0);
    let before = f.count(17);
    f.run(5000.0);
    let used = (f.count(17) - before) as f64 / 1500.0 / f.fronts[4].clock.0;
    assert!(used >= 0.94, "{used}");
    assert!((0..64).all(|i| f.usable(i) <= u128::from(beamgap_budgets::WHOLE)));
}

#[test]
fn a1_what_a_dead_member_has_out_counts_until_it_has_surely_ended() {
    let mut f = fleet(3, vec![stock("a", 30, 3000.0)]);
    f.takes = 3000.0;
    f.fronts.iter_mut().for_each(|front| front.demand = vec![100.0]);
    f.run(4000.0);
    for _ in 0..3 {
        f.kill(1);
        f.run(300.0);
        f.start(1);
        f.run(9000.0);
        assert!(f.widest[0] <= 30, "{} out at once", f.widest[0]);
    }
    let whole: u64 = f.out[0].len() as u64;
    assert!(whole >= 27, "{whole} of 30 are used in the end");
}

#[test]
fn a3_where_all_units_are_in_use_a_unit_that_ends_is_whole_for_who_gets_it() {
    // One unit for each of five, all out; the fifth comes back as another life.
    let mut f = fleet(5, vec![stock("a", 5, 3000.0)]);
    f.takes = 2000.0;
    f.fronts.iter_mut().for_each(|front| front.demand = vec![400.0]);
    f.run(5000.0);
    f.kill(4);
    f.start(4);
    let before = f.counts[0].get(&4).copied().unwrap_or(0);
    f.run(12_000.0);
    assert!(f.counts[0].get(&4).copied().unwrap_or(0) > before, "it never had one of the five");
    assert_eq!(f.widest[0], 5);
}

#[test]
fn a1_a_leaders_death_costs_nobody_its_part() {
    let mut f = fleet(9, vec![rate("a", 300.0, 300)]);
    (0..9).for_each(|m| f.fronts[m].demand = vec![if m < 3 { 200.0 } else { 0.0 }]);
    f.run(5000.0);
    let before = f.count(0);
    f.elect();
    f.run(2000.0);
    let used = (f.count(0) - before) as f64 / 600.0;
    assert!(used >= 0.93, "{used} of the whole was used round the change");
    assert!(excess(&f.admitted[0], 300.0, 300) <= 0.0);
}

#[test]
fn a1_what_cold_engines_bear_is_divided_among_those_that_are_there() {
    let amount = Amount::Stock { most: 1_000_000, longest: 0.0 };
    let cold = Spec { account: None, ..spec("cold", Of::ColdEngines, amount) };
    let mut f = fleet(4, vec![cold]);
    let all = |f: &Fleet| -> f64 {
        let alive = (0..f.fronts.len()).filter(|m| f.fronts[*m].alive);
        alive.map(|m| 1.0 / f.fronts[m].holder.among(0, f.local(m)).0).sum()
    };
    f.run(3000.0);
    assert!((0.99..=1.0001).contains(&all(&f)), "{}", all(&f));
    f.kill(3);
    f.run(6000.0);
    assert!((0.99..=1.0001).contains(&all(&f)), "the others bear the dead one's part: {}", all(&f));
    f.start(3);
    for _ in 0..400 {
        f.run(STEP);
        assert!(all(&f) <= 1.0001, "{} at {}", all(&f), f.now);
    }
    let places: Vec<u64> = (0..4).map(|m| f.fronts[m].holder.among(0, f.local(m)).1).collect();
    assert_eq!(places, [0, 1, 2, 3]);
    assert!((0.99..=1.0001).contains(&all(&f)), "{}", all(&f));
    // Who is cut off bears nothing once its part has ended.
    f.fronts[0].cut = f64::INFINITY;
    f.run(4000.0);
    assert!(f.fronts[0].holder.among(0, f.local(0)).0 > 1e9);
}

/// By hand: `cargo test --release -p beamgap-budgets --test fleet measured -- --ignored --nocapture`
#[test]
#[ignore = "prints the figures of docs/measurements/shared-capacity.md"]
fn measured_300_members() {
    for members in [3, 9, 30, 300] {
        let (per_s, burst) = (3000.0, 3000);
        let mut f = fleet(members, vec![rate("a", per_s, burst)]);
        f.fronts[0].demand = vec![1.5 * per_s];
        f.run(8000.0);
        let mut times = Vec::new();
        let mut used = Vec::new();
        for round in 1..6 {
            f.fronts.iter_mut().for_each(|front| front.demand = vec![0.0]);
            let to = round % members;
            f.fronts[to].demand = vec![1.5 * per_s];
            let from = f.now;
            while (f.fronts[to].holder.part(0, f.local(to)) as f64) < 0.95 * beamgap_budgets::WHOLE as f64
                && f.now - from < 20_000.0
            {
                f.run(STEP);
            }
            times.push(f.now - from);
            let before = f.count(0);
            f.run(4000.0);
            used.push((f.count(0) - before) as f64 / (per_s * 4.0));
        }
        times.sort_by(f64::total_cmp);
        used.sort_by(f64::total_cmp);
        let by_hand = 1.0 / members as f64;
        let questions = f.questions as f64 / f.now * 1000.0;
        println!(
            "{members} members: 0.95 of the whole at the new place after {:.0} ms (p50), {:.0} (most); {:.3} of the whole used; by hand {by_hand:.3}; {questions:.0} questions a second",
            times[2], times[4], used[2]
        );
        assert!(excess(&f.admitted[0], per_s, burst) <= 0.0);
    }
}
