//! Tests of the budget history checker with constructed histories.
//! Histories within the limits must pass, and each history beyond a limit must be reported with its violation.

use beamgap_fault_harness::budget_checker::{check_budgets, BudgetLimit, RateLimit};
use beamgap_fault_harness::history::{Event, What};

fn admit(at: f64, id: &str, account: &str) -> Event {
    let (member, id, account) = ("n0".to_owned(), id.to_owned(), account.to_owned());
    Event { at, what: What::Admit { member, id, class: 0, version: 1, account } }
}

fn came(at: f64, engine: &str, id: &str) -> Event {
    Event { at, what: What::Came { engine: engine.to_owned(), id: id.to_owned() } }
}

fn left(at: f64, engine: &str, id: &str) -> Event {
    Event { at, what: What::Left { engine: engine.to_owned(), id: id.to_owned() } }
}

fn further(at: f64, id: &str) -> Event {
    Event { at, what: What::Further { member: "n0".to_owned(), id: id.to_owned() } }
}

fn limit() -> BudgetLimit {
    BudgetLimit { account: "a".to_owned(), versions: [1].into(), ..BudgetLimit::default() }
}

fn violation(events: &[Event], limit: BudgetLimit) -> String {
    check_budgets(events, &[limit]).expect_err("the violation is reported").to_string()
}

/// Guards against a checker that misses a rate violation or counts admissions to which the limit does not apply.
#[test]
fn a_rate_is_checked_in_every_window() {
    let rate = BudgetLimit { rate: Some(RateLimit { per_second: 10.0, burst: 3.0 }), ..limit() };
    // The maximum that the limit permits: a burst of three admissions, then one admission every 100 ms.
    let mut good: Vec<Event> = (0..3).map(|i| admit(0.0, &format!("a{i}"), "a")).collect();
    good.extend((1..20).map(|i| admit(f64::from(i) * 100.0, &format!("b{i}"), "a")));
    let usage = check_budgets(&good, std::slice::from_ref(&rate)).expect("the history is within the limit");
    assert_eq!((usage[0].admitted, usage[0].burst), (22, 3.0));
    // Admissions of another account, and admissions under a version without the budget, must not be counted.
    good.push(admit(1900.0, "other", "b"));
    good.push(Event {
        at: 1900.0,
        what: match admit(0.0, "old", "a").what {
            What::Admit { member, id, class, account, .. } => {
                What::Admit { member, id, class, account, version: 0 }
            }
            other => other,
        },
    });
    assert!(check_budgets(&good, std::slice::from_ref(&rate)).is_ok());
    let mut bad = good.clone();
    bad.push(admit(1910.0, "more", "a"));
    assert!(violation(&bad, rate).contains("beyond 10 a second and 3 at once"));
}

/// Guards against a checker that counts attempts instead of requests, or that misses a second request in flight.
#[test]
fn a_concurrency_limit_is_checked_by_requests_in_flight_at_engines() {
    let concurrency = BudgetLimit { max_in_flight: Some(1), ..limit() };
    let good = [
        admit(0.0, "x", "a"),
        came(1.0, "e1", "x"),
        // The attempt at e1 is cancelled after the retry arrived at e2: both attempts count as one request in flight.
        came(2.0, "e2", "x"),
        left(3.0, "e1", "x"),
        left(4.0, "e2", "x"),
        admit(5.0, "y", "a"),
        came(6.0, "e1", "y"),
    ];
    assert_eq!(
        check_budgets(&good, std::slice::from_ref(&concurrency)).expect("the history is within the limit")[0]
            .most_in_flight,
        1
    );
    let mut bad = good.to_vec();
    bad.remove(4);
    bad.push(left(9.0, "e2", "x"));
    assert!(violation(&bad, concurrency).contains("2 of 'a' are in hand"));
}

/// Guards against a checker that misses a retry without permission, or more permitted retries than the rate allows.
#[test]
fn a_retry_without_permission_is_found_and_permitted_retries_are_counted() {
    let limit = BudgetLimit { retries: Some(RateLimit { per_second: 1.0, burst: 1.0 }), ..limit() };
    let good = [admit(0.0, "x", "a"), came(1.0, "e", "x"), further(2.0, "x"), came(3.0, "e", "x")];
    assert!(check_budgets(&good, std::slice::from_ref(&limit)).is_ok());
    let without = [good[0].clone(), good[1].clone(), good[3].clone()];
    assert!(violation(&without, limit.clone()).contains("with leave for 0"));
    let mut many = good.to_vec();
    many.push(further(4.0, "x"));
    assert!(violation(&many, limit).contains("2 further attempts"));
}
