//! Checks the model of leases: the guarantees of `docs/leases.md` hold, and each injected bug and each fault leads to a
//! violation of a property.

use beamgap_leases::InjectedBug;
use beamgap_protocol_models::leases::{Fault, LeaseModel};
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use std::collections::BTreeSet;
use std::time::Duration;

const ONE_HOLDER: &str = "1: no two hold a lease";
const TOKENS_GROW: &str = "1: tokens do not go back at the target";
const TOKENS_UNIQUE: &str = "1: a token is one lease's";
const STEPS_RUN_ONCE: &str = "4: no step runs twice";

const FULL_MODEL: LeaseModel = LeaseModel {
    injected_bug: InjectedBug::None,
    fault: Fault::None,
    member_count: 3,
    task_count: 2,
    ticks: 9,
    max_elections: 2,
    max_restarts: 2,
    max_drains: 1,
    max_redefinitions: 2,
    splits_polls: true,
    duplicates_messages: true,
    pause_ticks: 0,
};
const SMALL_MODEL: LeaseModel = LeaseModel {
    member_count: 2,
    task_count: 1,
    ticks: 5,
    max_elections: 1,
    max_restarts: 0,
    max_redefinitions: 1,
    duplicates_messages: false,
    ..FULL_MODEL
};

/// The length of the lease changes twice, and no other fault distracts a search from it.
const REDEFINITION_MODEL: LeaseModel = LeaseModel {
    member_count: 2,
    task_count: 1,
    ticks: 3,
    max_elections: 0,
    max_restarts: 0,
    max_drains: 0,
    max_redefinitions: 1,
    splits_polls: false,
    duplicates_messages: false,
    ..FULL_MODEL
};

/// The violated properties among the checker's discoveries.
fn violated(found: impl Iterator<Item = &'static str>) -> Vec<&'static str> {
    found.filter(|name| must_always_hold(name)).collect()
}

/// Whether a property must always hold. The names of these properties begin with a digit, the number of the guarantee;
/// the other properties describe states that the search must reach.
fn must_always_hold(name: &str) -> bool {
    name.starts_with(|c: char| c.is_ascii_digit())
}

#[test]
fn the_first_120_000_states_keep_all_promises() {
    let checker = SMALL_MODEL.checker().threads(4).target_state_count(120_000).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 20_000);
    assert_eq!(violated(checker.discoveries().into_keys()), [""; 0]);
}

#[test]
fn random_walks_with_three_members_two_leases_and_all_faults_keep_all_promises() {
    let seconds = std::env::var("WALK_SECONDS").ok().and_then(|n| n.parse().ok()).unwrap_or(5);
    let properties: BTreeSet<&'static str> = [ONE_HOLDER, TOKENS_GROW, TOKENS_UNIQUE, STEPS_RUN_ONCE].into();
    let checker = FULL_MODEL
        .checker()
        .threads(4)
        .target_max_depth(200)
        .finish_when(HasDiscoveries::AnyOf(properties))
        .timeout(Duration::from_secs(seconds))
        .spawn_simulation(3, UniformChooser)
        .join();
    println!("{} steps walked", checker.state_count());
    let found: Vec<_> = checker.discoveries().into_iter().collect();
    for (name, path) in &found {
        assert!(!must_always_hold(name), "{name}: {:?}", path.clone().into_actions());
    }
    let was_found = |name: &str| found.iter().any(|(found, _)| *found == name);
    assert!(
        was_found("a run is over") && was_found("a second holder goes on"),
        "no walk completed a run, or none continued a run under a second holder"
    );
}

// Guards against two holders after a change of the lease's length while the first holder is cut off.
#[test]
fn a_change_of_the_length_of_a_lease_keeps_all_promises() {
    let checker = REDEFINITION_MODEL.checker().threads(4).target_state_count(MAX_STATES).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.state_count() < MAX_STATES, "the search is not complete");
    let found = checker.discovery(ONE_HOLDER).map(|path| path.into_actions());
    assert_eq!(found, None, "two members hold the lease");
}

/// An injected bug or a fault, with the property that it violates.
struct Case {
    injected_bug: InjectedBug,
    fault: Fault,
    pause_ticks: u64,
    property: &'static str,
}

const fn bug(injected_bug: InjectedBug, property: &'static str) -> Case {
    Case { injected_bug, fault: Fault::None, pause_ticks: 0, property }
}

const fn fault(fault: Fault, pause_ticks: u64, property: &'static str) -> Case {
    Case { injected_bug: InjectedBug::None, fault, pause_ticks, property }
}

const CASES: [Case; 7] = [
    bug(InjectedBug::NoMargin, ONE_HOLDER),
    bug(InjectedBug::NoWait, ONE_HOLDER),
    bug(InjectedBug::HoldsOn, ONE_HOLDER),
    bug(InjectedBug::ActFirst, STEPS_RUN_ONCE),
    fault(Fault::TargetIgnoresTokens, 8, TOKENS_GROW),
    fault(Fault::TokensRestart, 0, TOKENS_UNIQUE),
    fault(Fault::UnknownStepsRepeat, 0, STEPS_RUN_ONCE),
];

impl Case {
    fn model(&self) -> LeaseModel {
        // A fault that needs a paused member needs no elections, restarts or shutdowns besides; without them random walks
        // find the violation sooner.
        let pause_only = self.pause_ticks > 0;
        LeaseModel {
            injected_bug: self.injected_bug,
            fault: self.fault,
            member_count: 2,
            task_count: 1,
            ticks: 12,
            max_elections: if pause_only { 0 } else { 2 },
            max_restarts: if pause_only { 0 } else { 1 },
            max_drains: if pause_only { 0 } else { 1 },
            max_redefinitions: 0,
            splits_polls: true,
            duplicates_messages: false,
            pause_ticks: self.pause_ticks,
        }
    }
}

#[test]
fn each_injected_bug_and_each_fault_is_found() {
    for case in &CASES {
        let checker = case
            .model()
            .checker()
            .threads(4)
            .target_max_depth(250)
            .finish_when(HasDiscoveries::AllOf([case.property].into()))
            .timeout(Duration::from_secs(90))
            .spawn_simulation(11, UniformChooser)
            .join();
        let name = format!("{:?} {:?}", case.injected_bug, case.fault);
        let steps = checker.state_count();
        let found = checker.discovery(case.property).map(|path| path.into_actions().len());
        println!("{name}: {steps} steps walked, found in {found:?}");
        assert!(found.is_some(), "{name}: not found after {steps} steps");
    }
}

/// Number of generated states after which the exhaustive search ends; `is_done` of the checker is true then, too.
const MAX_STATES: usize = 6_000_000;

/// An exhaustive search of the small model, as far as 6,000,000 states allow, run by hand:
/// `cargo test --release -p beamgap-protocol-models --test leases -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn a_complete_search_keeps_all_promises() {
    for (name, model) in [
        ("two members, one lease, an election, three ticks", LeaseModel { ticks: 3, ..SMALL_MODEL }),
        ("and a restart", LeaseModel { ticks: 2, max_restarts: 1, ..SMALL_MODEL }),
        ("a change of the lease's length", REDEFINITION_MODEL),
        ("as far as it goes", SMALL_MODEL),
    ] {
        let checker = model.checker().threads(6).target_state_count(MAX_STATES).spawn_bfs().join();
        let violated = violated(checker.discoveries().into_keys());
        let is_complete = checker.state_count() < MAX_STATES;
        println!("{name}: {} states, complete {is_complete}, {violated:?}", checker.unique_state_count());
        assert!(violated.is_empty(), "{name}: {violated:?}");
    }
}
