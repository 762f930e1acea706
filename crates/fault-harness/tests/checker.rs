//! Tests of the policy history checker with constructed histories. A correct history must pass.
//! Each kind of violation must be reported with the number of its promise and the events that prove the violation.

use beamgap_fault_harness::breaks::Break;
use beamgap_fault_harness::checker::{judge, Law, Version};
use beamgap_fault_harness::history::{Event, What};

fn law() -> Law {
    let version = |hash: &str| Version { hash: hash.to_owned(), ..Version::default() };
    let mut one = version("b");
    one.refused.insert(1);
    one.left_out.insert("e1".to_owned());
    one.attempts = Some(2);
    Law { switch_bound: 100.0, versions: [(0, version("a")), (1, one)].into(), load: 1 }
}

fn at(at: f64, what: What) -> Event {
    Event { at, what }
}

fn admit(t: f64, member: &str, id: &str, class: usize, version: u64) -> Event {
    at(
        t,
        What::Admit {
            member: member.to_owned(),
            id: id.to_owned(),
            class,
            version,
            account: "leinster".to_owned(),
        },
    )
}

fn came(t: f64, engine: &str, id: &str) -> Event {
    at(t, What::Came { engine: engine.to_owned(), id: id.to_owned() })
}

fn answered(t: f64, id: &str) -> Event {
    at(t, What::Answered { id: id.to_owned(), answer: "served".to_owned() })
}

fn used(t: f64, version: u64, hash: &str) -> Event {
    at(t, What::Use { member: "n".to_owned(), version, hash: hash.to_owned() })
}

fn said(t: f64, version: u64) -> Event {
    at(t, What::Command { change: "c".to_owned(), code: 0, version: Some(version) })
}

fn violation(events: &[Event]) -> Break {
    judge(events, &law()).expect_err("a violation")
}

/// Guards against false violations: an overlap within the switch bound is permitted, and the summary has its length.
#[test]
fn a_good_history_passes_and_is_summed_up() {
    let events = [
        used(0.0, 0, "a"),
        admit(1.0, "x", "1", 1, 0),
        came(2.0, "e1", "1"),
        answered(3.0, "1"),
        used(10.0, 1, "b"),
        admit(11.0, "x", "2", 0, 1),
        came(12.0, "e2", "2"),
        came(13.0, "e3", "2"),
        admit(60.0, "y", "3", 0, 0),
        answered(61.0, "2"),
        said(200.0, 1),
        admit(201.0, "y", "4", 0, 1),
    ];
    let seen = judge(&events, &law()).expect("no promise is broken");
    assert_eq!((seen.admitted, seen.served, seen.overlap, seen.gap), (4, 2, 49.0, 141.0));
}

/// Guards against a checker that misses a violation, or that reports the wrong promise or events for a violation.
#[test]
fn each_break_is_seen_with_its_promise_and_the_events_that_show_it() {
    let first = admit(11.0, "x", "2", 0, 1);
    for (promise, shown, events) in [
        // Promise 1: a policy text that never was active; an admission under a version that does not exist.
        (1, 1, vec![used(1.0, 1, "z")]),
        (1, 1, vec![admit(1.0, "x", "1", 0, 2)]),
        // Promise 2: an admission under the old version just after the switch bound, and one long after the bound.
        (2, 2, vec![first.clone(), admit(111.5, "y", "3", 0, 0)]),
        (2, 2, vec![first.clone(), admit(50.0, "y", "3", 0, 0), admit(5000.0, "y", "4", 0, 0)]),
        // Promise 3: an admission of a refused class, an attempt at an excluded engine, a third attempt where two are allowed.
        (3, 1, vec![admit(1.0, "x", "1", 1, 1)]),
        (3, 2, vec![first.clone(), came(12.0, "e1", "2")]),
        (3, 3, vec![first.clone(), came(12.0, "e2", "2"), came(13.0, "e3", "2"), came(14.0, "e2", "2")]),
        // Promise 3: a load that arrives at engines twice, a request that is admitted twice, a request with two answers.
        (3, 2, vec![admit(1.0, "x", "1", 1, 0), came(2.0, "e1", "1"), came(3.0, "e2", "1")]),
        (3, 2, vec![admit(1.0, "x", "1", 0, 0), admit(2.0, "y", "1", 0, 0)]),
        (3, 2, vec![admit(1.0, "x", "1", 0, 0), answered(2.0, "1"), answered(3.0, "1")]),
        // Promise 4: an engine received a request that no member admitted.
        (4, 1, vec![came(2.0, "e1", "1")]),
        // Promise 5: an admission under an old version after a command reported the new version as active.
        (5, 2, vec![said(10.0, 1), admit(11.0, "y", "3", 0, 0)]),
    ] {
        let violation = violation(&events);
        assert_eq!((violation.promise, violation.excerpt.len()), (promise, shown), "{violation}");
        assert!(violation.to_string().contains("promise"), "{violation}");
    }
}

/// Guards against an overlap that is measured from the newest version instead of the first admission under any newer one.
#[test]
fn an_overlap_is_measured_from_the_first_under_any_newer_version() {
    let mut law = law();
    law.versions.insert(2, Version { hash: "c".to_owned(), ..Version::default() });
    let events = [admit(0.0, "x", "1", 0, 1), admit(90.0, "x", "2", 0, 2), admit(95.0, "y", "3", 0, 0)];
    assert_eq!(judge(&events, &law).expect("within the bound").overlap, 95.0);
    let late = [events.as_slice(), &[admit(101.0, "y", "4", 0, 0)]].concat();
    assert_eq!(judge(&late, &law).expect_err("a violation").promise, 2);
}
