//! Simulates a fleet with random faults: crashes, suspended processes, partitions, lost messages and changes of leaders
//! and of policies. After each step, the usable shares must sum to at most the budget. Each injected bug must be
//! detected by at least one seed. To run more seeds:
//!
//! `BUDGET_SEEDS=1..2000 cargo test --release -p beamgap-budgets --test faults`

mod common;

use beamgap_budgets::spec::BudgetSpec;
use beamgap_budgets::{InjectedBug, FULL_SHARE};
use beamgap_fakes::draw::Draw;
use common::fleet::{Fleet, STEP_MS};
use common::{concurrency, excess, rate};

const RATE_PER_SECOND: f64 = 100.0;
const BURST: u64 = 60;
const MAX_IN_USE: u64 = 24;
const LEASE_MS: f64 = 1800.0;
/// Number of rounds for each seed. At most one random fault is injected at the
/// start of a round; a crash of a member and a change of leaders may coincide.
const ROUNDS: usize = 60;
/// Number of simulation steps in a round. The shares are checked after each step.
const STEPS_PER_ROUND: usize = 30;

/// Simulates a fleet with the faults of one seed. Returns the number
/// of admissions, or a description of the violated guarantee.
fn run_seed(seed: u64, injected_bug: InjectedBug) -> Result<usize, String> {
    let mut draw = Draw::new(seed);
    let mut fleet = random_fleet(seed, &mut draw, injected_bug);
    for round in 0..ROUNDS {
        change_demand(&mut fleet, &mut draw);
        inject_fault(&mut fleet, &mut draw, round);
        for _ in 0..STEPS_PER_ROUND {
            fleet.run(STEP_MS);
            check_shares(&fleet).map_err(|violation| format!("seed {seed}: {violation}"))?;
        }
    }
    check_admissions(&fleet).map_err(|violation| format!("seed {seed}: {violation}"))?;
    Ok(fleet.count(0) + fleet.count(1))
}

fn random_fleet(seed: u64, draw: &mut Draw, injected_bug: InjectedBug) -> Fleet {
    let members = 3 + draw.below(6) as usize;
    let mut first = rate("a", RATE_PER_SECOND, BURST);
    if draw.below(2) == 0 {
        first.floor = 0.4;
        first.max_members = 12;
    }
    let specs = vec![first, concurrency("b", MAX_IN_USE, 2500.0)];
    let mut fleet = Fleet::new(seed, members, specs, LEASE_MS, injected_bug);
    fleet.max_duration_ms = [150.0, 2500.0][draw.below(2) as usize];
    fleet.loss = [0.0, 0.05, 0.3][draw.below(3) as usize];
    fleet
}

fn change_demand(fleet: &mut Fleet, draw: &mut Draw) {
    if draw.below(3) == 0 {
        let front = draw.below(fleet.fronts.len() as u64) as usize;
        let demand = [0.0, 20.0, 300.0][draw.below(3) as usize];
        fleet.fronts[front].demand = vec![demand, demand];
    }
}

fn inject_fault(fleet: &mut Fleet, draw: &mut Draw, round: usize) {
    let front = draw.below(fleet.fronts.len() as u64) as usize;
    match draw.below(14) {
        0 => fleet.elect(),
        1 => fleet.kill(front),
        2 | 3 => start_all_dead(fleet),
        4 => fleet.fronts[front].suspended_until = fleet.now + draw.waits(900.0),
        5 => fleet.fronts[front].cut_off_until = fleet.now + draw.waits(1500.0),
        6 if round.is_multiple_of(3) => {
            fleet.kill(front);
            fleet.elect();
        }
        7 if round.is_multiple_of(4) => change_rate(fleet, draw),
        _ => {}
    }
}

fn start_all_dead(fleet: &mut Fleet) {
    for front in 0..fleet.fronts.len() {
        if !fleet.fronts[front].alive {
            fleet.start(front);
        }
    }
}

fn change_rate(fleet: &mut Fleet, draw: &mut Draw) {
    let per_second = [RATE_PER_SECOND, 10.0][draw.below(2) as usize];
    let first = BudgetSpec {
        floor: fleet.specs[0].floor,
        max_members: fleet.specs[0].max_members,
        ..rate("a", per_second, BURST)
    };
    let second = fleet.specs[1].clone();
    fleet.change(vec![first, second]);
}

fn check_shares(fleet: &Fleet) -> Result<(), String> {
    for budget in 0..2 {
        let usable = fleet.usable_parts(budget);
        if usable > u128::from(FULL_SHARE.parts()) {
            let fraction = usable as f64 / FULL_SHARE.parts() as f64;
            return Err(format!(
                "shares of budget {budget} sum to {fraction:.3} of the budget at {} ms",
                fleet.now
            ));
        }
    }
    Ok(())
}

fn check_admissions(fleet: &Fleet) -> Result<(), String> {
    let over = excess(&fleet.admitted[0], RATE_PER_SECOND, BURST);
    if over > 0.0 {
        return Err(format!(
            "{over:.1} admissions in excess of the rate and its burst"
        ));
    }
    if fleet.most_in_use[1] > MAX_IN_USE {
        return Err(format!(
            "{} units in use at once, {MAX_IN_USE} allowed",
            fleet.most_in_use[1]
        ));
    }
    Ok(())
}

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("BUDGET_SEEDS").unwrap_or("1..41".to_owned());
    let (from, to) = text.split_once("..").expect("BUDGET_SEEDS is A..B");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn a1_with_faults_of_any_seed_shares_never_sum_to_more_than_the_budget() {
    let seeds = seeds();
    let count = seeds.end - seeds.start;
    let mut admitted = 0;
    for seed in seeds {
        admitted +=
            run_seed(seed, InjectedBug::None).unwrap_or_else(|violation| panic!("{violation}"));
    }
    println!("{count} seeds, {admitted} admissions");
    assert!(
        admitted as u64 > 200 * count,
        "only {admitted} admissions, too few to test the budgets"
    );
}

#[test]
fn each_injected_bug_is_found() {
    for bug in [
        InjectedBug::NewLeaderDoesNotWait,
        InjectedBug::ReassignedBeforeConfirmed,
        InjectedBug::FullBurstOnArrival,
        InjectedBug::UsedAfterExpiry,
        InjectedBug::DeadMemberUsageForgotten,
    ] {
        let found: Vec<u64> = (1..25)
            .filter(|seed| run_seed(*seed, bug).is_err())
            .collect();
        println!("{bug:?}: detected by {} of 24 seeds", found.len());
        assert!(!found.is_empty(), "{bug:?} was not detected by any seed");
    }
}
