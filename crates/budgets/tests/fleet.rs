//! Tests of the allocation in a simulated fleet: how large a share each member obtains, how
//! soon it does so, and that faults neither exceed a budget nor leave it unused. Prefixes
//! of test names such as `a1` are the numbers of the guarantees in `docs/budgets.md`.

mod common;

use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_budgets::{InjectedBug, FULL_SHARE};
use common::fleet::{Fleet, STEP_MS};
use common::{concurrency, excess, rate, spec};

/// Length of an admission lease, in milliseconds.
const LEASE_MS: f64 = 5000.0;

fn fleet(members: usize, specs: Vec<BudgetSpec>) -> Fleet {
    Fleet::new(members as u64, members, specs, LEASE_MS, InjectedBug::None)
}

/// Sets the demand of every front end to `demand` requests per second.
fn set_demand_of_all(fleet: &mut Fleet, demand: f64) {
    for front in &mut fleet.fronts {
        front.demand = vec![demand];
    }
}

#[test]
fn a3_the_budget_follows_the_demand() {
    for members in [3, 9, 30] {
        let mut fleet = fleet(members, vec![rate("a", 300.0, 300)]);
        fleet.fronts[0].demand = vec![900.0];
        fleet.run(3000.0);
        for (moved_to, round) in [(1, 0), (2, 1), (0, 2)] {
            set_demand_of_all(&mut fleet, 0.0);
            fleet.fronts[moved_to].demand = vec![900.0];
            fleet.run(3000.0);
            let before = fleet.count(0);
            fleet.run(5000.0);
            // A bucket is refilled by the local clock, so a slow clock refills it at less than the nominal rate.
            let used = (fleet.count(0) - before) as f64
                / (300.0 * 5.0)
                / fleet.fronts[moved_to].clock.rate;
            println!(
                "{members} members, move {round}: fraction {used:.3} of the budget used from 3 s after the move"
            );
            assert!(used >= 0.94, "{members}: {used}");
        }
        assert!(excess(&fleet.admitted[0], 300.0, 300) <= 0.0);
    }
}

#[test]
fn a3_allocation_is_weighted_max_min_within_three_seconds() {
    let mut spec = rate("a", 120.0, 120);
    spec.weights.insert("m002".to_owned(), 2.0);
    let mut fleet = fleet(4, vec![spec]);
    // m000 demands less than its fair share, m001 far more, m002
    // has weight 2, and m003 demands more than its fair share.
    for (m, demand) in [(0, 10.0), (1, 5000.0), (2, 300.0), (3, 60.0)] {
        fleet.fronts[m].demand = vec![demand];
    }
    fleet.run(3000.0);
    let before = fleet.counts[0].clone();
    fleet.run(10_000.0);
    let rate_of =
        |m: usize| (fleet.counts[0][&m] - before.get(&m).copied().unwrap_or(0)) as f64 / 10.0;
    let rates: Vec<f64> = (0..4).map(rate_of).collect();
    // m000 gets its demand of 10 per second; the remaining 110 are divided 1 : 2 : 1 by weight.
    for (m, fair) in [(0, 10.0), (1, 27.0), (2, 54.0), (3, 27.0)] {
        let part = rates[m] / fair;
        assert!((0.88..=1.08).contains(&part), "m{m}: {rates:?}");
    }
}

#[test]
fn a2_a_new_member_has_a_useful_share_within_two_seconds() {
    let mut fleet = fleet(9, vec![rate("a", 300.0, 300)]);
    for front in &mut fleet.fronts[0..8] {
        front.demand = vec![200.0];
    }
    fleet.kill(8);
    fleet.run(6000.0);
    fleet.start(8);
    fleet.fronts[8].demand = vec![200.0];
    fleet.run(2000.0);
    let before = fleet.counts[0].get(&8).copied().unwrap_or(0);
    fleet.run(2000.0);
    let got = (fleet.counts[0][&8] - before) as f64 / 2.0;
    assert!(
        got >= 0.8 * 300.0 / 9.0,
        "{got} admissions per second; the fair share is {}",
        300.0 / 9.0
    );
}

#[test]
fn a2_a_member_that_is_cut_off_admits_by_its_floor_until_the_lease_ends() {
    let mut spec = rate("a", 300.0, 300);
    spec.floor = 0.3;
    spec.max_members = 10;
    let mut fleet = fleet(9, vec![spec]);
    set_demand_of_all(&mut fleet, 200.0);
    fleet.run(4000.0);
    let cut_off_until = fleet.now + 60_000.0;
    for front in &mut fleet.fronts[5..9] {
        front.cut_off_until = cut_off_until;
    }
    fleet.run(2700.0);
    let before = fleet.counts[0].clone();
    fleet.run(1500.0);
    for m in 5..9 {
        let got = (fleet.counts[0][&m] - before[&m]) as f64 / 1.5;
        assert!(
            (6.0..=9.5).contains(&got),
            "m{m} admits {got} per second under a floor of 9 per second"
        );
    }
    fleet.run(4000.0);
    let before = fleet.counts[0].clone();
    fleet.run(1000.0);
    assert!(
        (5..9).all(|m| fleet.counts[0][&m] == before[&m]),
        "a member without a connection to the leader admits requests after its admission lease has expired"
    );
    assert!(excess(&fleet.admitted[0], 300.0, 300) <= 0.0);
}

#[test]
fn a4_a_budget_is_lowered_with_the_policy_and_its_division_goes_on() {
    let mut fleet = fleet(6, vec![rate("a", 300.0, 300)]);
    set_demand_of_all(&mut fleet, 200.0);
    fleet.run(3000.0);
    fleet.change(vec![rate("a", 30.0, 30)]);
    let at = fleet.now;
    fleet.run(10_000.0);
    let after: Vec<f64> = fleet.admitted[0]
        .iter()
        .copied()
        .filter(|t| *t > at)
        .collect();
    assert!(
        excess(&after, 30.0, 30) <= 0.0,
        "{}",
        excess(&after, 30.0, 30)
    );
    assert!(
        after.len() as f64 > 0.9 * 30.0 * 10.0,
        "{} admissions in 10 s",
        after.len()
    );
}

#[test]
fn a5_at_rest_polls_carry_no_demand_however_many_budgets_there_are() {
    let specs = (0..64)
        .map(|n| rate(&format!("b{n:02}"), 300.0, 300))
        .collect();
    let mut fleet = fleet(5, specs);
    fleet.run(5000.0);
    let polls_before = fleet.polls;
    fleet.run(60_000.0);
    let per_member = (fleet.polls - polls_before) as f64 / 5.0 / 60.0;
    assert!(per_member < 1.4, "{per_member} polls per second and member");
    let local = fleet.local_time(0);
    let request = fleet.fronts[0].member.poll_request(local, 1 << 40, |_| 0);
    assert!(
        request.demands.is_empty() && request.full_statement.is_none(),
        "{request:?}"
    );
}

#[test]
fn a3_of_64_budgets_only_the_one_with_demand_moves() {
    let specs = (0..64)
        .map(|n| rate(&format!("b{n:02}"), 300.0, 300))
        .collect();
    let mut fleet = fleet(9, specs);
    fleet.fronts[4].demand[17] = 600.0;
    fleet.run(4000.0);
    let before = fleet.count(17);
    fleet.run(5000.0);
    let used = (fleet.count(17) - before) as f64 / 1500.0 / fleet.fronts[4].clock.rate;
    assert!(used >= 0.94, "{used}");
    assert!((0..64).all(|i| fleet.usable_parts(i) <= u128::from(FULL_SHARE.parts())));
}

#[test]
fn a1_units_in_use_of_a_dead_member_count_until_they_have_surely_ended() {
    let mut fleet = fleet(3, vec![concurrency("a", 30, 3000.0)]);
    fleet.max_duration_ms = 3000.0;
    set_demand_of_all(&mut fleet, 100.0);
    fleet.run(4000.0);
    for _ in 0..3 {
        fleet.kill(1);
        fleet.run(300.0);
        fleet.start(1);
        fleet.run(9000.0);
        assert!(
            fleet.most_in_use[0] <= 30,
            "{} units in use at once, 30 allowed",
            fleet.most_in_use[0]
        );
    }
    let in_use = fleet.in_use[0].len() as u64;
    assert!(
        in_use >= 27,
        "only {in_use} of 30 units are in use at the end"
    );
}

#[test]
fn a3_a_unit_that_is_freed_when_all_are_in_use_can_be_used_by_another_member() {
    // Each of five members has its one unit in use. The fifth member restarts
    // as a new incarnation and can get a unit only when one is released.
    let mut fleet = fleet(5, vec![concurrency("a", 5, 3000.0)]);
    fleet.max_duration_ms = 2000.0;
    set_demand_of_all(&mut fleet, 400.0);
    fleet.run(5000.0);
    fleet.kill(4);
    fleet.start(4);
    let before = fleet.counts[0].get(&4).copied().unwrap_or(0);
    fleet.run(12_000.0);
    assert!(
        fleet.counts[0].get(&4).copied().unwrap_or(0) > before,
        "the restarted member never obtained a unit"
    );
    assert_eq!(fleet.most_in_use[0], 5);
}

#[test]
fn a1_a_change_of_leaders_costs_no_member_its_share() {
    let mut fleet = fleet(9, vec![rate("a", 300.0, 300)]);
    for front in &mut fleet.fronts[..3] {
        front.demand = vec![200.0];
    }
    fleet.run(5000.0);
    let before = fleet.count(0);
    fleet.elect();
    fleet.run(2000.0);
    let used = (fleet.count(0) - before) as f64 / 600.0;
    assert!(
        used >= 0.93,
        "only fraction {used} of the budget was used after the change of leaders"
    );
    assert!(excess(&fleet.admitted[0], 300.0, 300) <= 0.0);
}

#[test]
fn a1_load_of_warming_engines_is_divided_among_members_present() {
    let amount = Amount::Concurrency {
        max: 1_000_000,
        max_duration_ms: 0.0,
    };
    let warming = BudgetSpec {
        account: None,
        ..spec("warming", Resource::WarmingEngines, amount)
    };
    let mut fleet = fleet(4, vec![warming]);
    let sum_of_parts = |fleet: &Fleet| -> f64 {
        let alive = (0..fleet.fronts.len()).filter(|m| fleet.fronts[*m].alive);
        alive
            .map(|m| {
                1.0 / fleet.fronts[m]
                    .member
                    .warming_split(0, fleet.local_time(m))
                    .members
            })
            .sum()
    };
    fleet.run(3000.0);
    let sum = sum_of_parts(&fleet);
    assert!((0.99..=1.0001).contains(&sum), "{sum}");
    fleet.kill(3);
    fleet.run(6000.0);
    let sum = sum_of_parts(&fleet);
    assert!(
        (0.99..=1.0001).contains(&sum),
        "the remaining members must divide the whole load among them: {sum}"
    );
    fleet.start(3);
    for _ in 0..400 {
        fleet.run(STEP_MS);
        let sum = sum_of_parts(&fleet);
        assert!(sum <= 1.0001, "{sum} at {}", fleet.now);
    }
    let indexes: Vec<u64> = (0..4)
        .map(|m| {
            fleet.fronts[m]
                .member
                .warming_split(0, fleet.local_time(m))
                .index
        })
        .collect();
    assert_eq!(indexes, [0, 1, 2, 3]);
    let sum = sum_of_parts(&fleet);
    assert!((0.99..=1.0001).contains(&sum), "{sum}");
    // A member that can't reach the leader has no part of the load after its share has expired.
    fleet.fronts[0].cut_off_until = f64::INFINITY;
    fleet.run(4000.0);
    assert!(
        fleet.fronts[0]
            .member
            .warming_split(0, fleet.local_time(0))
            .members
            > 1e9
    );
}

/// Prints how soon a share follows the demand in fleets of up to 300 members. Run with
/// `cargo test --release -p beamgap-budgets --test fleet measured -- --ignored --nocapture`.
#[test]
#[ignore = "prints the figures of docs/measurements/shared-capacity.md"]
fn measured_300_members() {
    for members in [3, 9, 30, 300] {
        let (per_second, burst) = (3000.0, 3000);
        let mut fleet = fleet(members, vec![rate("a", per_second, burst)]);
        fleet.fronts[0].demand = vec![1.5 * per_second];
        fleet.run(8000.0);
        let mut times = Vec::new();
        let mut used = Vec::new();
        for round in 1..6 {
            set_demand_of_all(&mut fleet, 0.0);
            let target = round % members;
            fleet.fronts[target].demand = vec![1.5 * per_second];
            let moved_at = fleet.now;
            while fleet.fronts[target]
                .member
                .share(0, fleet.local_time(target))
                .fraction()
                < 0.95
                && fleet.now - moved_at < 20_000.0
            {
                fleet.run(STEP_MS);
            }
            times.push(fleet.now - moved_at);
            let before = fleet.count(0);
            fleet.run(4000.0);
            used.push((fleet.count(0) - before) as f64 / (per_second * 4.0));
        }
        times.sort_by(f64::total_cmp);
        used.sort_by(f64::total_cmp);
        let static_share = 1.0 / members as f64;
        let polls = fleet.polls as f64 / fleet.now * 1000.0;
        println!(
            "{members} members: 0.95 of the budget moved to the new member after {:.0} ms (p50), {:.0} ms (max); fraction {:.3} of the budget used, {static_share:.3} with a static division; {polls:.0} polls per second",
            times[2], times[4], used[2]
        );
        assert!(excess(&fleet.admitted[0], per_second, burst) <= 0.0);
    }
}
