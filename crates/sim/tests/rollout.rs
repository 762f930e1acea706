//! What the model of the switch shows: the promises hold in every state, and each planted fault is found.

use beamgap_policy::rollout::{ChangeOutcome, InjectedBug};
use beamgap_sim::rollout::{Step, Switch};
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use std::time::Duration;

const EARLY: &str = "1: nothing under a version that is not in force";
const BOUND: &str = "2: the old one ends within the bound";

/// Explores; gives how many states there are, whether all were seen, and the promises that fail.
fn explored(model: Switch, most: usize) -> (usize, bool, Vec<&'static str>) {
    let checker = model.checker().threads(4).target_state_count(most).spawn_bfs().join();
    let mut failed: Vec<_> =
        checker.discoveries().into_keys().filter(|name| !name.starts_with('a')).collect();
    failed.sort_unstable();
    (checker.unique_state_count(), checker.is_done(), failed)
}

#[test]
fn one_change_with_a_lost_leader_keeps_both_promises_in_the_first_states() {
    let model = Switch { changes: 1, restarts: 0, repeats: false, ticks: 4, ..Switch::default() };
    let (states, _, failed) = explored(model, 150_000);
    println!("{states} states");
    assert!(failed.is_empty() && states > 10_000, "{states} states, {failed:?}");
}

#[test]
fn each_planted_fault_is_found() {
    // Walks by lot go deep at once, where a search in breadth stays with the first ticks for long.
    let one = Switch {
        changes: 1,
        restarts: 0,
        elections: 0,
        repeats: false,
        faults: false,
        ticks: 7,
        plant: InjectedBug::None,
    };
    for (plant, elections, promise) in [
        (InjectedBug::EarlyActivation, 0, EARLY),
        (InjectedBug::NoWait, 0, BOUND),
        (InjectedBug::NoCatchUp, 0, BOUND),
        (InjectedBug::UnconfirmedLeader, 1, BOUND),
        (InjectedBug::VoteBeforeSync, 1, EARLY),
    ] {
        let model = Switch { plant, elections, ..one };
        let failures: std::collections::BTreeSet<&'static str> = [promise].into();
        let checker = model
            .checker()
            .threads(2)
            .target_max_depth(120)
            .finish_when(HasDiscoveries::AllOf(failures))
            .timeout(Duration::from_secs(60))
            .spawn_simulation(7, UniformChooser)
            .join();
        let found = checker.discovery(promise).map(|path| path.into_actions());
        println!(
            "{plant:?}: {} steps walked, found in {:?} steps",
            checker.state_count(),
            found.as_ref().map(Vec::len)
        );
        assert!(found.is_some(), "{plant:?}: not found after {} steps", checker.state_count());
    }
}

#[test]
fn walks_by_lot_through_two_changes_and_all_faults_keep_both_promises() {
    let model = Switch { ticks: 9, elections: 2, restarts: 2, ..Switch::default() };
    let walks: u64 = std::env::var("WALKS").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let (mut steps, mut in_force, mut turned_down) = (0u64, 0, 0);
    for seed in 0..walks {
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut world = model.init_states().remove(0);
        let mut way = Vec::new();
        for _ in 0..200 {
            let mut all = Vec::new();
            model.actions(&world, &mut all);
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            // Time passes rarely against all else: so much is done within a tick.
            all.retain(|step| {
                !matches!(step, Step::Tick) || (random >> 20).is_multiple_of(3) || all_idle(&model, &world)
            });
            let Some(step) = all.get((random >> 33) as usize % all.len().max(1)) else { break };
            let Some(next) = model.next_state(&world, *step) else { continue };
            way.push(*step);
            world = next;
            steps += 1;
            for property in model.properties().iter().filter(|p| !p.name.starts_with('a')) {
                assert!(
                    (property.condition)(&model, &world),
                    "{} is broken by walk {seed}: {way:?}",
                    property.name
                );
            }
        }
        in_force += usize::from(world.admitted.keys().any(|version| *version > 0));
        turned_down +=
            usize::from(world.state.history.iter().any(|r| matches!(r.outcome, ChangeOutcome::Rejected(_))));
    }
    println!("{walks} walks, {steps} steps; a change in force in {in_force}, turned down in {turned_down}");
    assert!(
        in_force * 20 > walks as usize && turned_down * 50 > walks as usize,
        "{in_force} and {turned_down}"
    );
}

fn all_idle(model: &Switch, world: &beamgap_sim::rollout::World) -> bool {
    let mut all = Vec::new();
    model.actions(world, &mut all);
    all.iter().all(|step| matches!(step, Step::Tick))
}

/// By hand: how far a complete search goes. `cargo test --release -p beamgap-sim --test switch -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes"]
fn a_complete_search_keeps_both_promises() {
    for (name, model) in [
        ("one change", Switch { changes: 1, elections: 0, restarts: 0, repeats: false, ..Switch::default() }),
        (
            "and a lost leader",
            Switch { changes: 1, restarts: 0, repeats: false, ticks: 3, ..Switch::default() },
        ),
        ("and repeats", Switch { changes: 1, restarts: 0, ticks: 3, ..Switch::default() }),
        (
            "and a restart",
            Switch { changes: 1, ticks: 3, faults: false, repeats: false, ..Switch::default() },
        ),
        ("two changes", Switch { elections: 0, restarts: 0, repeats: false, ticks: 3, ..Switch::default() }),
    ] {
        let (states, _, failed) = explored(model, 8_000_000);
        println!("{name}: {states} states, {failed:?}");
        assert!(failed.is_empty(), "{name}: {failed:?}");
    }
}
