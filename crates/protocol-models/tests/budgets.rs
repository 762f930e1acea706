//! Checks the model of budgets: guarantee A1 of `docs/budgets.md` (the fleet never exceeds a budget) holds, and each
//! injected bug leads to a violation of a property.

use beamgap_budgets::InjectedBug;
use beamgap_protocol_models::budgets::BudgetModel;
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use std::time::Duration;

const SUM: &str = "A1: shares never sum to more than the budget";
const RATE: &str = "A1: no window has more than the rate and its burst";
const IN_USE: &str = "A1: no more units are in use than the limit";

const LARGE: BudgetModel = BudgetModel {
    injected_bug: InjectedBug::None,
    members: 3,
    has_rate: true,
    max_ticks: 24,
    max_polls: 40,
    max_elections: 2,
    max_restarts: 2,
    duplicates: true,
    single_step_polls: true,
};

/// Limits that are small enough for an exhaustive search.
const SMALL: BudgetModel = BudgetModel {
    members: 2,
    has_rate: false,
    max_ticks: 1,
    max_polls: 2,
    max_elections: 1,
    max_restarts: 0,
    duplicates: false,
    single_step_polls: false,
    ..LARGE
};

/// The violated properties among the discoveries: the names of the properties that must always hold begin with A1.
fn violated(names: impl Iterator<Item = &'static str>) -> Vec<&'static str> {
    names.filter(|name| name.starts_with("A1")).collect()
}

#[test]
fn the_first_states_keep_the_promise() {
    let model = BudgetModel { max_ticks: 6, max_polls: 5, ..SMALL };
    let checker = model.checker().threads(4).target_state_count(60_000).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000);
    assert_eq!(violated(checker.discoveries().into_keys()), [""; 0]);
}

#[test]
fn random_walks_with_three_members_two_budgets_and_all_faults_keep_the_promise() {
    let seconds = std::env::var("WALK_SECONDS").ok().and_then(|n| n.parse().ok()).unwrap_or(5);
    let checker = LARGE
        .checker()
        .threads(4)
        .target_max_depth(220)
        .finish_when(HasDiscoveries::AnyOf([SUM, RATE, IN_USE].into()))
        .timeout(Duration::from_secs(seconds))
        .spawn_simulation(5, UniformChooser)
        .join();
    println!("{} steps walked", checker.state_count());
    let found: Vec<_> = checker.discoveries().into_iter().collect();
    for (name, path) in &found {
        assert!(!name.starts_with("A1"), "{name}: {:?}", path.clone().into_actions());
    }
    assert!(!found.is_empty(), "no walk reached a state in which both budgets admit requests");
}

#[test]
fn each_injected_bug_is_found() {
    for injected_bug in [
        InjectedBug::NewLeaderDoesNotWait,
        InjectedBug::ReassignedBeforeConfirmed,
        InjectedBug::FullBurstOnArrival,
        InjectedBug::UsedAfterExpiry,
        InjectedBug::DeadMemberUsageForgotten,
    ] {
        let model = BudgetModel { injected_bug, members: 2, duplicates: false, ..LARGE };
        let checker = model
            .checker()
            .threads(4)
            .target_max_depth(250)
            .finish_when(HasDiscoveries::AnyOf([SUM, RATE, IN_USE].into()))
            .timeout(Duration::from_secs(90))
            .spawn_simulation(7, UniformChooser)
            .join();
        let found: Vec<_> = checker
            .discoveries()
            .into_iter()
            .filter(|(name, _)| name.starts_with("A1"))
            .map(|(name, path)| (name, path.into_actions().len()))
            .collect();
        println!("{injected_bug:?}: {} steps walked, found {found:?}", checker.state_count());
        assert!(!found.is_empty(), "{injected_bug:?}: not found after {} steps", checker.state_count());
    }
}

/// An exhaustive search of the small model, run by hand:
/// `cargo test --release -p beamgap-protocol-models --test budgets -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn a_complete_search_keeps_the_promise() {
    for (name, model) in [
        ("one question each, an election, a tick", BudgetModel { max_polls: 1, ..SMALL }),
        ("two questions each, an election, a tick", SMALL),
        ("two questions each, an election, two ticks", BudgetModel { max_ticks: 2, ..SMALL }),
        (
            "one question each, a restart, four ticks",
            BudgetModel { max_polls: 1, max_restarts: 1, max_ticks: 4, ..SMALL },
        ),
    ] {
        // No bound on the number of states: the search ends after the last state, or at the timeout.
        let checker = model.checker().threads(6).timeout(Duration::from_secs(240)).spawn_bfs().join();
        let violated = violated(checker.discoveries().into_keys());
        println!(
            "{name}: {} states, whole {}, {violated:?}",
            checker.unique_state_count(),
            checker.is_done()
        );
        assert!(violated.is_empty(), "{name}: {violated:?}");
    }
}
