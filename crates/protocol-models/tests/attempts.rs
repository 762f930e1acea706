//! What the model of attempts shows: what holds in every state, and which rule is needed for it.

use beamgap_protocol_models::attempts::{Attempts, Confirm, Step};
use stateright::{Checker, Model};

const ONE: &str = "one attempt runs at most";
const ONCE: &str = "a load runs once at most";

/// Explores all states; gives how many there are and the promises that fail.
fn explored(model: Attempts) -> (usize, Vec<&'static str>) {
    let checker = model.checker().spawn_bfs().join();
    let found = checker.discoveries();
    assert!(found.contains_key("both are answered"), "the model gets nowhere");
    let mut failed: Vec<_> = found.into_keys().filter(|name| *name != "both are answered").collect();
    failed.sort_unstable();
    (checker.unique_state_count(), failed)
}

/// The shortest way to a state in which a promise fails: a search that goes no deeper than it must.
fn shortest(model: Attempts, promise: &'static str) -> Vec<Step> {
    (1..20)
        .find_map(|depth| {
            let checker = model.checker().target_max_depth(depth).spawn_bfs().join();
            checker.discovery(promise).map(|path| path.into_actions())
        })
        .expect("it fails within twenty steps")
}

#[test]
fn with_confirmed_cancels_every_promise_holds_through_deaths() {
    let (states, failed) = explored(Attempts::default());
    assert!(failed.is_empty() && states > 4_000, "{states} states, {failed:?}");
}

#[test]
fn cancels_without_confirmation_let_two_attempts_run_at_once() {
    // The second copies seen once on a long day: the cancel and the new attempt race by two connections.
    let model = Attempts { confirm: Confirm::Never, deaths: false, ..Attempts::default() };
    assert_eq!(explored(model).1, [ONE]);
    let way = shortest(model, ONE);
    let reads = way.iter().filter(|step| matches!(step, Step::Read(_))).count();
    assert!(way.len() == 5 && reads == 2 && way.contains(&Step::Cancel(0)), "{way:?}");
}

#[test]
fn a_cut_connection_keeps_the_promise_only_while_nothing_is_sent_again() {
    let held = Attempts { cuts: true, deaths: false, ..Attempts::default() };
    assert!(explored(held).1.is_empty());
    // What the program does today: after 100 ms without a sign it sends again, and a machine that is cut off runs on.
    let model = Attempts { confirm: Confirm::UnlessCut, ..held };
    assert_eq!(explored(model).1, [ONE]);
    let way = shortest(model, ONE);
    assert!(way.len() == 7 && way.contains(&Step::Unconfirmed(0)), "{way:?}");
}

#[test]
fn a_load_sent_again_after_a_reset_runs_twice() {
    let model = Attempts { repeats_loads: true, ..Attempts::default() };
    assert_eq!(explored(model).1, [ONCE]);
    let way = shortest(model, ONCE);
    assert!(way.iter().any(|step| matches!(step, Step::Die(_))), "{way:?}");
}
