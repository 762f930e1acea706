//! What the model of budgets shows: promise A1 of `docs/budgets.md` holds, and each planted fault is found.

use beamgap_budgets::Plant;
use beamgap_sim::budgets::Budgets;
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use std::time::Duration;

const SUM: &str = "A1: parts never sum to more than the whole";
const RATE: &str = "A1: no window has more than the rate and its burst";
const OUT: &str = "A1: no more are out than the stock";

const WHOLE: Budgets = Budgets {
    plant: Plant::None,
    members: 3,
    rate: true,
    ticks: 24,
    rounds: 40,
    elections: 2,
    restarts: 2,
    repeats: true,
    quick: true,
};

/// Small enough to be searched completely.
const SMALL: Budgets = Budgets {
    members: 2,
    rate: false,
    ticks: 1,
    rounds: 2,
    elections: 1,
    restarts: 0,
    repeats: false,
    quick: false,
    ..WHOLE
};

fn failed(names: impl Iterator<Item = &'static str>) -> Vec<&'static str> {
    names.filter(|name| name.starts_with("A1")).collect()
}

#[test]
fn the_first_states_keep_the_promise() {
    let model = Budgets { ticks: 6, rounds: 5, ..SMALL };
    let checker = model.checker().threads(4).target_state_count(60_000).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000);
    assert_eq!(failed(checker.discoveries().into_keys()), [""; 0]);
}

#[test]
fn walks_by_lot_through_three_members_two_budgets_and_all_faults_keep_the_promise() {
    let seconds = std::env::var("WALK_SECONDS").ok().and_then(|n| n.parse().ok()).unwrap_or(5);
    let checker = WHOLE
        .checker()
        .threads(4)
        .target_max_depth(220)
        .finish_when(HasDiscoveries::AnyOf([SUM, RATE, OUT].into()))
        .timeout(Duration::from_secs(seconds))
        .spawn_simulation(5, UniformChooser)
        .join();
    println!("{} steps walked", checker.state_count());
    let found: Vec<_> = checker.discoveries().into_iter().collect();
    for (name, path) in &found {
        assert!(!name.starts_with("A1"), "{name}: {:?}", path.clone().into_actions());
    }
    assert!(!found.is_empty(), "the walks came to nothing");
}

#[test]
fn each_planted_fault_is_found() {
    for plant in [Plant::NoWait, Plant::GivenTwice, Plant::FullBucket, Plant::NoEnd, Plant::DeadIsOver] {
        let model = Budgets { plant, members: 2, repeats: false, ..WHOLE };
        let checker = model
            .checker()
            .threads(4)
            .target_max_depth(250)
            .finish_when(HasDiscoveries::AnyOf([SUM, RATE, OUT].into()))
            .timeout(Duration::from_secs(90))
            .spawn_simulation(7, UniformChooser)
            .join();
        let found: Vec<_> = checker
            .discoveries()
            .into_iter()
            .filter(|(name, _)| name.starts_with("A1"))
            .map(|(name, path)| (name, path.into_actions().len()))
            .collect();
        println!("{plant:?}: {} steps walked, found {found:?}", checker.state_count());
        assert!(!found.is_empty(), "{plant:?}: not found after {} steps", checker.state_count());
    }
}

/// By hand: `cargo test --release -p beamgap-sim --test budgets -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn a_complete_search_keeps_the_promise() {
    for (name, model) in [
        ("one question each, an election, a tick", Budgets { rounds: 1, ..SMALL }),
        ("two questions each, an election, a tick", SMALL),
        ("two questions each, an election, two ticks", Budgets { ticks: 2, ..SMALL }),
        ("one question each, a restart, four ticks", Budgets { rounds: 1, restarts: 1, ticks: 4, ..SMALL }),
    ] {
        // Without a bound on states: it ends when there are no more.
        let checker = model.checker().threads(6).timeout(Duration::from_secs(240)).spawn_bfs().join();
        let failed = failed(checker.discoveries().into_keys());
        println!("{name}: {} states, whole {}, {failed:?}", checker.unique_state_count(), checker.is_done());
        assert!(failed.is_empty(), "{name}: {failed:?}");
    }
}
