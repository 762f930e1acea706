//! Checks the model of the rollout: its safety properties hold in every state that was searched, and each injected bug
//! leads to a violation of a property.

use beamgap_policy::rollout::{ChangeOutcome, InjectedBug};
use beamgap_protocol_models::rollout::{RolloutModel, Step, World};
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use std::time::Duration;

const NOT_EARLY: &str = "1: nothing under a version that is not in force";
const ENDS_WITHIN_BOUND: &str = "2: the old one ends within the bound";

/// Searches at most about `max_states` states. Returns the number of states, whether the search was exhaustive, and the
/// violated properties.
fn search(model: RolloutModel, max_states: usize) -> (usize, bool, Vec<&'static str>) {
    let checker = model.checker().threads(4).target_state_count(max_states).spawn_bfs().join();
    let mut failed: Vec<_> =
        checker.discoveries().into_keys().filter(|name| !name.starts_with('a')).collect();
    failed.sort_unstable();
    (checker.unique_state_count(), checker.is_done(), failed)
}

#[test]
fn one_change_with_a_lost_leader_keeps_both_promises_in_the_first_states() {
    let model =
        RolloutModel { changes: 1, restarts: 0, duplicates: false, ticks: 4, ..RolloutModel::default() };
    let (states, _, failed) = search(model, 150_000);
    println!("{states} states");
    assert!(failed.is_empty() && states > 10_000, "{states} states, {failed:?}");
}

#[test]
fn each_injected_bug_is_found() {
    // Random walks reach late ticks quickly, while a breadth-first search spends most of its time in the first ticks.
    let base = RolloutModel {
        changes: 1,
        restarts: 0,
        elections: 0,
        duplicates: false,
        validation_errors: false,
        ticks: 7,
        injected_bug: InjectedBug::None,
    };
    for (injected_bug, elections, property) in [
        (InjectedBug::EarlyActivation, 0, NOT_EARLY),
        (InjectedBug::NoWait, 0, ENDS_WITHIN_BOUND),
        (InjectedBug::NoCatchUp, 0, ENDS_WITHIN_BOUND),
        (InjectedBug::UnconfirmedLeader, 1, ENDS_WITHIN_BOUND),
        (InjectedBug::VoteBeforeSync, 1, NOT_EARLY),
    ] {
        let model = RolloutModel { injected_bug, elections, ..base };
        let expected: std::collections::BTreeSet<&'static str> = [property].into();
        let checker = model
            .checker()
            .threads(2)
            .target_max_depth(120)
            .finish_when(HasDiscoveries::AllOf(expected))
            .timeout(Duration::from_secs(60))
            .spawn_simulation(7, UniformChooser)
            .join();
        let found = checker.discovery(property).map(|path| path.into_actions());
        println!(
            "{injected_bug:?}: {} steps walked, found in {:?} steps",
            checker.state_count(),
            found.as_ref().map(Vec::len)
        );
        assert!(found.is_some(), "{injected_bug:?}: not found after {} steps", checker.state_count());
    }
}

#[test]
fn random_walks_through_two_changes_and_all_faults_keep_both_promises() {
    let model = RolloutModel { ticks: 9, elections: 2, restarts: 2, ..RolloutModel::default() };
    let walks: u64 = std::env::var("WALKS").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let (mut steps, mut active, mut rejected) = (0u64, 0, 0);
    for seed in 0..walks {
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut world = model.init_states().remove(0);
        let mut path = Vec::new();
        for _ in 0..200 {
            let mut all = Vec::new();
            model.actions(&world, &mut all);
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            // Advances time only in one of three draws (or when nothing else is possible), so that many steps fall within
            // each tick.
            all.retain(|step| {
                !matches!(step, Step::Tick)
                    || (random >> 20).is_multiple_of(3)
                    || only_time_can_advance(&model, &world)
            });
            let Some(step) = all.get((random >> 33) as usize % all.len().max(1)) else { break };
            let Some(next) = model.next_state(&world, *step) else { continue };
            path.push(*step);
            world = next;
            steps += 1;
            for property in model.properties().iter().filter(|p| !p.name.starts_with('a')) {
                assert!(
                    (property.condition)(&model, &world),
                    "{} is violated by walk {seed}: {path:?}",
                    property.name
                );
            }
        }
        active += usize::from(world.admitted.keys().any(|version| *version > 0));
        rejected +=
            usize::from(world.state.history.iter().any(|r| matches!(r.outcome, ChangeOutcome::Rejected(_))));
    }
    println!("{walks} walks, {steps} steps; a change active in {active}, rejected in {rejected}");
    assert!(active * 20 > walks as usize && rejected * 50 > walks as usize, "{active} and {rejected}");
}

/// Whether only time can advance: no member, leader, message or operator has a step to take.
fn only_time_can_advance(model: &RolloutModel, world: &World) -> bool {
    let mut all = Vec::new();
    model.actions(world, &mut all);
    all.iter().all(|step| matches!(step, Step::Tick))
}

/// A breadth-first search of at most about 8,000,000 states for each set of limits, run by hand:
/// `cargo test --release -p beamgap-protocol-models --test rollout -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn a_complete_search_keeps_both_promises() {
    for (name, model) in [
        (
            "one change",
            RolloutModel {
                changes: 1,
                elections: 0,
                restarts: 0,
                duplicates: false,
                ..RolloutModel::default()
            },
        ),
        (
            "and a lost leader",
            RolloutModel { changes: 1, restarts: 0, duplicates: false, ticks: 3, ..RolloutModel::default() },
        ),
        ("and repeats", RolloutModel { changes: 1, restarts: 0, ticks: 3, ..RolloutModel::default() }),
        (
            "and a restart",
            RolloutModel {
                changes: 1,
                ticks: 3,
                validation_errors: false,
                duplicates: false,
                ..RolloutModel::default()
            },
        ),
        (
            "two changes",
            RolloutModel {
                elections: 0,
                restarts: 0,
                duplicates: false,
                ticks: 3,
                ..RolloutModel::default()
            },
        ),
    ] {
        let (states, _, failed) = search(model, 8_000_000);
        println!("{name}: {states} states, {failed:?}");
        assert!(failed.is_empty(), "{name}: {failed:?}");
    }
}
