//! What the model of the leases shows: the promises of `docs/leases.md` hold, and each planted fault is found.

use beamgap_leases::Plant;
use beamgap_sim::leases::{Fault, Leases};
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use std::collections::BTreeSet;
use std::time::Duration;

const HOLD: &str = "1: no two hold a lease";
const BACK: &str = "1: tokens do not go back at the target";
const SHARED: &str = "1: a token is one lease's";
const TWICE: &str = "4: no step runs twice";

const WHOLE: Leases = Leases {
    plant: Plant::None,
    fault: Fault::None,
    members: 3,
    tasks: 2,
    ticks: 9,
    elections: 2,
    restarts: 2,
    drains: 1,
    repeats: true,
    stands: 0,
};
const SMALL: Leases =
    Leases { members: 2, tasks: 1, ticks: 5, elections: 1, restarts: 0, repeats: false, ..WHOLE };

fn failed(names: impl Iterator<Item = &'static str>) -> Vec<&'static str> {
    names.filter(|name| name.starts_with(|c: char| c.is_ascii_digit())).collect()
}

#[test]
fn the_first_states_keep_all_promises() {
    let checker = SMALL.checker().threads(4).target_state_count(120_000).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 20_000);
    assert_eq!(failed(checker.discoveries().into_keys()), [""; 0]);
}

#[test]
fn walks_by_lot_through_three_members_two_leases_and_all_faults_keep_all_promises() {
    let seconds = std::env::var("WALK_SECONDS").ok().and_then(|n| n.parse().ok()).unwrap_or(5);
    let all: BTreeSet<&'static str> = [HOLD, BACK, SHARED, TWICE].into();
    let checker = WHOLE
        .checker()
        .threads(4)
        .target_max_depth(200)
        .finish_when(HasDiscoveries::AnyOf(all))
        .timeout(Duration::from_secs(seconds))
        .spawn_simulation(3, UniformChooser)
        .join();
    println!("{} steps walked", checker.state_count());
    let found: Vec<_> = checker.discoveries().into_iter().collect();
    for (name, path) in &found {
        assert!(!name.starts_with(|c: char| c.is_ascii_digit()), "{name}: {:?}", path.clone().into_actions());
    }
    let seen = |name: &str| found.iter().any(|(n, _)| *n == name);
    assert!(seen("a run is over") && seen("a second holder goes on"), "the walks came to nothing");
}

#[test]
fn each_planted_fault_is_found() {
    let one = Leases { members: 2, tasks: 1, ticks: 12, restarts: 1, repeats: false, ..WHOLE };
    for (plant, fault, stands, promise) in [
        (Plant::NoMargin, Fault::None, 0, HOLD),
        (Plant::NoWait, Fault::None, 0, HOLD),
        (Plant::HoldsOn, Fault::None, 0, HOLD),
        (Plant::ActFirst, Fault::None, 0, TWICE),
        (Plant::None, Fault::NoFence, 8, BACK),
        (Plant::None, Fault::TokensRestart, 0, SHARED),
        (Plant::None, Fault::Repeats, 0, TWICE),
    ] {
        // One that stands still is all the trouble that this needs.
        let (elections, restarts, drains) = if stands > 0 { (0, 0, 0) } else { (2, 1, 1) };
        let model = Leases { plant, fault, stands, elections, restarts, drains, ..one };
        let checker = model
            .checker()
            .threads(4)
            .target_max_depth(250)
            .finish_when(HasDiscoveries::AllOf([promise].into()))
            .timeout(Duration::from_secs(90))
            .spawn_simulation(11, UniformChooser)
            .join();
        let found = checker.discovery(promise).map(|path| path.into_actions().len());
        println!("{plant:?} {fault:?}: {} steps walked, found in {found:?}", checker.state_count());
        assert!(found.is_some(), "{plant:?} {fault:?}: not found after {} steps", checker.state_count());
    }
}

/// By hand: `cargo test --release -p beamgap-sim --test leases -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn a_complete_search_keeps_all_promises() {
    for (name, model) in [
        ("two members, one lease, an election, three ticks", Leases { ticks: 3, ..SMALL }),
        ("and a restart", Leases { ticks: 2, restarts: 1, ..SMALL }),
        ("as far as it goes", SMALL),
    ] {
        let checker = model.checker().threads(6).target_state_count(6_000_000).spawn_bfs().join();
        let failed = failed(checker.discoveries().into_keys());
        println!("{name}: {} states, whole {}, {failed:?}", checker.unique_state_count(), checker.is_done());
        assert!(failed.is_empty(), "{name}: {failed:?}");
    }
}
