//! Tests of the graceful shutdown, over TCP and of its state machine alone. Requests that arrive while the node accepts
//! requests must be served, and every request must have a response before SIGKILL.

#[path = "common/stage.rs"]
mod stage;

use beamgap::node::shutdown::{GracefulShutdown, Phase};
use stage::{Stage, LIMITS, SETTINGS};

#[test]
fn what_still_runs_is_answered_before_the_kill_and_called_off() {
    // The longest deadline is over 3 s, so SIGKILL may come 3.7 s after SIGTERM.
    // The node must send its last response 0.2 s before SIGKILL.
    let mut stage = Stage::play(
        2,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        clock wait 1000
        w expect there *",
    );
    stage.node.begin_shutdown();
    stage.go("clock wait 600
        c1 wait silent
        c1 send ask 2 lookup 2500 select 1 from s_2.t
        w expect want c1-2 *
        clock wait 400");
    assert!(!stage.node.is_shut_down(), "two requests are in flight");
    let mut responses = Vec::new();
    stage.expect("the responses to both requests", |stage| {
        stage.clock.set(stage.clock.now() + 10.0);
        responses.extend(stage.message("c1"));
        assert!(
            responses.is_empty() || stage.clock.now() - stage::START > 3400.0,
            "response sent too early: {responses:?}"
        );
        responses.len() == 2
    });
    responses.sort();
    assert_eq!(
        responses,
        ["1 error -32010", "2 error -32011 backoff"],
        "the non-idempotent request may have run and fails, the idempotent one is rejected"
    );
    assert!(stage.clock.now() - stage::START - 1000.0 <= 3600.0, "the responses must be sent before SIGKILL");
    stage.expect("the end of the shutdown", |stage| {
        stage.clock.set(stage.clock.now() + 10.0);
        stage.node.is_shut_down()
    });
}

#[test]
fn what_was_never_sent_and_cannot_end_in_time_is_refused_at_once() {
    // The only engine is draining, so two requests wait in the front end. By the clients' estimates the first request
    // takes 20 s, too long to end before SIGKILL, and the second takes 100 ms.
    let relaxed_settings = SETTINGS.replace(r#""OnTime":3000"#, r#""OnTime":25000"#);
    let mut stage = Stage::with(1, r#""listen":"127.0.0.1:0","#, LIMITS, &relaxed_settings);
    stage.go("list send 2 1\nclock wait 100");
    let request_with_estimate = |id: u64, est: u64| {
        let rid = stage::rid(&format!("c1-{id}"));
        format!(
            r#"c1 send {{"jsonrpc":"2.0","id":{id},"method":"delivery-load","params":{{"rid":"{rid}","budget":25000,"est":{est},"doc":"c2VsZWN0IDE="}}}}"#
        )
    };
    stage.go(&format!(
        "{}\n{}\nc1 wait silent",
        request_with_estimate(1, 20_000),
        request_with_estimate(2, 100)
    ));
    stage.node.begin_shutdown();
    stage.go(
        "c1 expect 1 error -32011 backoff\nc1 wait silent\nclock wait 3520\nc1 expect 2 error -32011 backoff",
    );
    // The client doesn't close its connection. The shutdown must not wait for that until SIGKILL at 3700 ms.
    stage.go("clock wait 120");
    assert!(stage.node.is_shut_down());
}

#[test]
fn a_connection_that_comes_in_the_window_is_served_and_a_quiet_one_is_closed_after_it() {
    let mut stage =
        Stage::play(1, "c1 send {\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\nc1 expect *pass*");
    stage.node.begin_shutdown();
    stage.go("clock wait 380
        c2 send ask 1 lookup 2500 select 1 from s_2.t
        w expect want c2-1 *
        w send c2-1 served pages=1 x\\t\\t\\n
        c2 expect 1 served x\\t\\t\\n
        clock wait 250
        c1 send ask 2 lookup 2500 select 1 from s_2.t
        w expect want c1-2 *
        w send c1-2 served pages=1 x\\t\\t\\n
        c1 expect 2 served x\\t\\t\\n
        clock wait 100");
    assert!(!stage.node.is_shut_down(), "clients may still send requests");
    stage.go("clock wait 120\nc1 expect closed\nc2 expect closed");
    assert!(!stage.node.is_shut_down(), "the clients have not closed their connections yet");
    stage.go("c1 close\nc2 close\nclock wait 60");
    assert!(stage.node.is_shut_down());
}

const STEP_MS: f64 = 50.0;

/// Runs a shutdown with new connections at the times `connects` and one request that is open until `open_until`.
/// Returns each phase with its start time, and how many times the state machine closed the listeners.
fn run_shutdown(connects: &[f64], open_until: f64) -> (Vec<(f64, Phase)>, usize) {
    let (mut shutdown, mut now, mut seen, mut closes) =
        (GracefulShutdown::new(0.0, 25_000.0), 0.0, Vec::new(), 0);
    while shutdown.phase() != Phase::Ended {
        now += STEP_MS;
        assert!(now < 5000.0, "the shutdown never ends: {seen:?}");
        connects.iter().filter(|at| (now - STEP_MS..now).contains(*at)).for_each(|at| shutdown.accepted(*at));
        let step = shutdown.advance(now, usize::from(now < open_until), 0);
        closes += usize::from(step.close_listeners);
        assert_eq!(step.next.is_none(), shutdown.phase() == Phase::Ended);
        if seen.last().is_none_or(|(_, phase)| *phase != shutdown.phase()) {
            seen.push((now, shutdown.phase()));
        }
    }
    (seen, closes)
}

#[test]
fn it_accepts_through_the_window_serves_what_is_open_and_ends_when_nothing_is_owed() {
    use Phase::*;
    let (seen, closes) = run_shutdown(&[100.0, 380.0], 0.0);
    assert_eq!(seen, [(50.0, Accepting), (600.0, Serving), (800.0, Ended)]);
    assert_eq!(closes, 1);
    let (seen, _) = run_shutdown(&[], 2000.0);
    assert_eq!(seen, [(50.0, Accepting), (600.0, Serving), (800.0, Closing), (2000.0, Ended)]);
}

#[test]
fn connections_without_end_do_not_hold_the_listeners_open() {
    let all: Vec<f64> = (0..100).map(|i| f64::from(i) * 10.0).collect();
    let (seen, closes) = run_shutdown(&all, 0.0);
    assert_eq!((seen.last(), closes), (Some(&(800.0, Phase::Ended)), 1));
}

#[test]
fn the_response_deadline_comes_before_the_kill_whatever_the_deadlines() {
    for (longest, last) in [(100_000.0, 3500.0), (3000.0, 3500.0), (1000.0, 1500.0), (10.0, 800.0)] {
        assert_eq!(GracefulShutdown::new(0.0, longest).response_deadline(), last);
    }
}

#[test]
fn however_short_the_deadlines_it_does_not_end_in_the_step_in_which_closing_begins() {
    for longest in [10.0, 100.0, 200.0, 300.0, 3000.0] {
        let mut shutdown = GracefulShutdown::new(0.0, longest);
        let (mut now, mut closing_since) = (0.0, None);
        // One request and one connection stay open. The shutdown must end all the same, but not before the response
        // deadline, so that clients have time to read their responses.
        while shutdown.phase() != Phase::Ended {
            now = shutdown.advance(now, 1, 1).next.unwrap_or(now);
            if shutdown.phase() == Phase::Closing {
                closing_since.get_or_insert(now);
            }
            assert!(now < 5000.0, "the shutdown never ends");
        }
        assert!(
            closing_since.is_some(),
            "deadlines of {longest} ms: the shutdown ended without a closing phase"
        );
        assert!(
            now >= shutdown.response_deadline(),
            "deadlines of {longest} ms: the shutdown ended too early, at {now} ms"
        );
    }
}
