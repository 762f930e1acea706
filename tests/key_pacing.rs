//! Deadlines of requests that queued at their client, which sends requests with the same ordering key at a minimum
//! interval.

#[path = "common/stage.rs"]
mod stage;

use beamgap::node::front::jsonrpc::key_pacing::KeyPacing;
use stage::Stage;
use std::sync::Arc;

const BUDGET_MS: f64 = 1500.0;

/// Returns, for requests with one key sent at these times on an existing connection, the longest time for which each
/// may have queued at the client.
fn longest_waits(times: &[f64]) -> Vec<f64> {
    let mut pacing = KeyPacing::default();
    let key: Arc<str> = Arc::from("k1");
    times.iter().map(|at| pacing.longest_wait(*at, &key, BUDGET_MS, false)).collect()
}

/// Sends loads with the same key at these gaps. The engine answers every load at once except the last, which it never
/// answers.
fn stage_with_silent_last_load(gaps_ms: &[f64]) -> Stage {
    let mut stage = Stage::in_order(1);
    for (index, gap) in gaps_ms.iter().enumerate() {
        let id = index + 1;
        stage.go(&format!(
            "c1 send ask {id} delivery-load@k1 1500 insert into s_1.t values (1)
            w expect want c1-{id} *"
        ));
        if id < gaps_ms.len() {
            stage.go(&format!(
                "w send c1-{id} served pages=1 x\\t\\t\\n
                c1 expect {id} served x\\t\\t\\n
                clock wait {gap}"
            ));
        }
    }
    stage
}

/// Guards against an answer that arrives after the client has timed out. A load may already have queued at its client,
/// behind loads with the same key, for a part of its budget.
#[test]
fn a_load_at_its_keys_least_interval_is_answered_before_its_client_gives_up() {
    let mut gaps = vec![250.0];
    gaps.resize(20, 60.0);
    let mut stage = stage_with_silent_last_load(&gaps);
    // The load may have queued at the client for 250 + 18 x 60 = 1330 ms, so the front must answer within
    // 1500 - 1330 + 450 = 620 ms of the time it was sent.
    stage.go("clock wait 600");
    assert!(!stage.answered("c1"), "the load was answered before its reduced deadline");
    stage.go("clock wait 40\nc1 expect 20 error -32012");
}

/// Guards against a shortened deadline for a load whose gaps of 100 ms, above the minimum interval, show no queue at
/// the client.
#[test]
fn a_load_of_a_key_that_is_not_pressed_has_its_whole_budget() {
    let mut stage = stage_with_silent_last_load(&[100.0; 20]);
    stage.go("clock wait 1490");
    assert!(!stage.answered("c1"), "answered before its budget has passed");
    stage.go("clock wait 30\nc1 expect 20 error -32012");
}

/// Guards against a shortened deadline in a run of loads at the minimum interval that is too short for a load to have
/// timed out at the client.
#[test]
fn a_load_in_a_short_run_has_its_whole_budget() {
    let mut gaps = vec![250.0];
    gaps.resize(4, 60.0);
    let mut stage = stage_with_silent_last_load(&gaps);
    stage.go("clock wait 1490");
    assert!(!stage.answered("c1"), "answered before its budget has passed");
    stage.go("clock wait 30\nc1 expect 4 error -32012");
}

#[test]
fn in_a_run_the_wait_is_bounded_by_its_length_and_by_the_budget() {
    let times: Vec<f64> = (0..40).map(|i| 60.0 * f64::from(i)).collect();
    let waits = longest_waits(&times);
    assert_eq!(waits[..3], [0.0, 60.0, 120.0]);
    assert_eq!(waits[25..27], [BUDGET_MS, BUDGET_MS]);
}

#[test]
fn a_gap_of_several_intervals_continues_an_established_run_only() {
    assert_eq!(longest_waits(&[0.0, 60.0, 180.0]), [0.0, 60.0, 0.0]);
    assert_eq!(longest_waits(&[0.0, 60.0, 120.0, 300.0, 361.0]), [0.0, 60.0, 120.0, 300.0, 361.0]);
}

#[test]
fn another_gap_or_one_of_a_whole_budget_ends_a_run() {
    assert_eq!(longest_waits(&[0.0, 60.0, 120.0, 210.0]), [0.0, 60.0, 120.0, 0.0]);
    assert_eq!(longest_waits(&[0.0, 60.0, 120.0, 1620.0]), [0.0, 60.0, 120.0, 0.0]);
    assert_eq!(longest_waits(&[0.0, 30.0, 60.0]), [0.0, 0.0, 0.0]);
}

#[test]
fn behind_a_new_connection_the_least_interval_is_longer() {
    let mut pacing = KeyPacing::default();
    let key: Arc<str> = Arc::from("k1");
    assert_eq!(pacing.longest_wait(0.0, &key, BUDGET_MS, true), 0.0);
    assert_eq!(pacing.longest_wait(250.0, &key, BUDGET_MS, false), 250.0);
    assert_eq!(pacing.longest_wait(310.0, &key, BUDGET_MS, false), 310.0);
}

#[test]
fn keys_have_runs_of_their_own_beyond_any_number_of_them() {
    let mut pacing = KeyPacing::default();
    let keys: Vec<Arc<str>> = (0..5000).map(|i| Arc::from(format!("k{i}"))).collect();
    for round in 0..2 {
        for key in &keys {
            let wait = pacing.longest_wait(60.0 * f64::from(round), key, BUDGET_MS, false);
            assert_eq!(wait, 60.0 * f64::from(round));
        }
    }
}
