//! Tests of the task history checker with constructed histories.
//! Correct histories must pass, and each kind of violation must be reported.

use beamgap_fault_harness::history::{Event, What};
use beamgap_fault_harness::operations::{check_operations, StepKey, TaskRules};

fn began(at: f64, step: u64, token: u64) -> Event {
    Event { at, what: What::Began { task: "feed".to_owned(), run: 1, step, token } }
}

fn ended(at: f64, step: u64, token: u64) -> Event {
    Event { at, what: What::Ended { task: "feed".to_owned(), run: 1, step, token } }
}

fn stale(at: f64, step: u64, token: u64) -> Event {
    Event { at, what: What::Stale { task: "feed".to_owned(), run: 1, step, token } }
}

fn key(step: u64) -> StepKey {
    StepKey { task: "feed".to_owned(), run: 1, step }
}

/// Guards against false violations: a refused stale token and an unknown step before the next step are permitted.
#[test]
fn a_history_without_violations_is_summed_up() {
    let events = [
        began(10.0, 0, 1),
        ended(30.0, 0, 1),
        began(100.0, 1, 2),
        ended(120.0, 1, 2),
        stale(130.0, 1, 1),
        began(300.0, 3, 2),
        ended(310.0, 3, 2),
    ];
    let mut rules = TaskRules::default();
    rules.unknown.insert(key(2));
    rules.done.insert(key(3));
    let summary = check_operations(&events, &rules).expect("no promise is broken");
    assert_eq!(
        (summary.executed, summary.refused_as_stale, summary.tokens, summary.longest_gap_ms),
        (3, 1, 2, 180.0)
    );
}

/// Guards against a checker that misses a violation: two holders, an old token, a repeated step or a skipped step.
#[test]
fn each_violation_is_seen_with_its_promise_its_text_and_its_events() {
    let first = || began(10.0, 0, 2);
    let first_ended = || ended(20.0, 0, 2);
    for (promise, excerpt, text, events) in [
        (1, 2, "two holders act on feed at once", vec![first(), began(15.0, 1, 3)]),
        (1, 2, "token 1 acts on feed after 2", vec![first(), first_ended(), began(30.0, 1, 1)]),
        (4, 2, "step 0 of run 1 of feed ran twice", vec![first(), first_ended(), began(30.0, 0, 2)]),
        (
            4,
            1,
            "step 2 of run 1 of feed ran, and the one before it never did",
            vec![first(), first_ended(), began(30.0, 2, 2)],
        ),
    ] {
        let found = check_operations(&events, &TaskRules::default()).expect_err("a violation");
        assert_eq!((found.promise, found.excerpt.len(), found.text.as_str()), (promise, excerpt, text));
    }
}

/// Guards against a fleet that records a step as done although no target executed the step.
#[test]
fn a_step_that_is_recorded_as_done_and_never_ran_is_a_violation() {
    let mut rules = TaskRules::default();
    rules.done.insert(key(0));
    let found = check_operations(&[], &rules).expect_err("a violation");
    assert_eq!((found.promise, found.excerpt.len()), (4, 0));
    assert_eq!(found.text, "step 0 of run 1 of feed is told as done and never ran");
}

/// Guards against a false violation when a step of a repeatable task runs again.
#[test]
fn a_repeatable_task_may_run_a_step_twice() {
    let mut rules = TaskRules::default();
    rules.repeatable.insert("feed".to_owned());
    let events = [began(10.0, 0, 1), ended(20.0, 0, 1), began(30.0, 0, 1)];
    assert_eq!(check_operations(&events, &rules).expect("no promise is broken").executed, 2);
}
