//! A response "refused, not run" invites the client to send its request again, so a request may be rejected only if
//! running it again is harmless. That depends on the class (`Repeat`, `KeyScope`) on each path that ends a request.

#[path = "common/stage.rs"]
mod stage;

use stage::{Stage, LIMITS, SETTINGS};

const JSONRPC: &str = r#""listen":"127.0.0.1:0","#;
const REJECTED: &str = "error -32011 backoff";
const FAILED: &str = "error -32010";

/// What the class of the loads allows in each scenario, and the response to a load that may have run.
const EFFECTS: [(&str, &str); 5] = [
    (r#""Repeat":"pure","#, REJECTED),
    (r#""Repeat":"token","KeyScope":"all","Window":60000,"#, REJECTED),
    (r#""Repeat":"token","KeyScope":"zone","Window":60000,"#, FAILED),
    (r#""Repeat":"token","KeyScope":"cell","Window":60000,"#, FAILED),
    (r#""Repeat":"side_effect","#, FAILED),
];

/// Starts a node whose class `delivery-load` has these settings.
fn stage_with(class: &str) -> Stage {
    Stage::with(2, JSONRPC, LIMITS, &SETTINGS.replace(r#""Repeat":"side_effect","#, class))
}

fn load(id: u64, name: &str, work_ms: u64) -> String {
    let rid = stage::rid(name);
    let params = format!(r#"{{"rid":"{rid}","budget":25000,"est":{work_ms},"doc":"c2VsZWN0IDE="}}"#);
    format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"delivery-load","params":{params}}}"#)
}

/// Expects `response` to request `id` within 4 s, in which a shutdown has passed its response deadline.
fn expect_within_shutdown(stage: &mut Stage, id: u64, response: &str, class: &str) {
    let mut message = None;
    stage.expect("the response", |stage| {
        stage.clock.set(stage.clock.now() + 10.0);
        message = stage.message("c1");
        message.is_some()
    });
    assert_eq!(message, Some(format!("{id} {response}")), "{class}");
}

// Guards against a repeated load after a planned restart: its client was told "not run" while an engine ran it.
#[test]
fn a_request_that_runs_at_the_response_deadline_of_a_shutdown_is_rejected_only_if_a_repeat_is_harmless() {
    for (class, response) in EFFECTS {
        let mut stage = stage_with(class);
        stage.go(&format!("c1 send {}\nw expect want c1-1 *", load(1, "c1-1", 20)));
        stage.node.begin_shutdown();
        expect_within_shutdown(&mut stage, 1, response, class);
    }
}

// Guards against a repeated load whose attempt crashed during a planned restart, with no time left for another attempt.
#[test]
fn a_request_whose_attempt_crashed_in_a_shutdown_is_rejected_only_if_a_repeat_is_harmless() {
    for (class, response) in EFFECTS {
        let mut stage = stage_with(class);
        stage.go(&format!("c1 send {}\nw expect want c1-1 *", load(1, "c1-1", 20_000)));
        stage.node.begin_shutdown();
        stage.go("clock wait 100\nw send c1-1 crashed -");
        stage.go(&format!("c1 expect 1 {response}"));
    }
}

// Guards against a repeated load whose client sent the same request name twice: the first request may have run.
#[test]
fn a_request_with_the_name_of_an_earlier_one_is_rejected_only_if_a_repeat_is_harmless() {
    for (class, response) in EFFECTS {
        let mut stage = stage_with(class);
        stage.go(&format!(
            "c1 send {}
            w expect want c1-1 *
            w send c1-1 served pages=1 x\\t\\t\\n
            c1 expect 1 served x\\t\\t\\n
            c2 send {}
            c2 expect 2 {response}
            c2 wait silent",
            load(1, "c1-1", 20),
            load(2, "c1-1", 20)
        ));
    }
}

// Guards against a repeated load whose key the engines have forgotten: a repeat is harmless only within the window.
#[test]
fn a_request_with_a_key_is_not_rejected_once_its_window_has_passed() {
    let class = r#""Repeat":"token","KeyScope":"all","Window":2000,"#;
    let mut stage = stage_with(class);
    stage.go(&format!("c1 send {}\nw expect want c1-1 *", load(1, "c1-1", 20)));
    stage.go(&format!("c2 send {}\nc2 expect 2 {REJECTED}", load(2, "c1-1", 20)));
    stage.go("clock wait 1900");
    stage.go(&format!("c2 send {}\nc2 expect 3 {FAILED}", load(3, "c1-1", 20)));
    stage.node.begin_shutdown();
    expect_within_shutdown(&mut stage, 1, FAILED, class);
}

// Guards against the opposite fault: a request that certainly never ran is rejected, so that its client sends it again.
#[test]
fn a_request_that_never_ran_is_rejected_whatever_its_class() {
    for (class, _) in EFFECTS {
        let mut stage = stage_with(class);
        stage.go(&format!("c1 send {}\nw expect want c1-1 *", load(1, "c1-1", 20_000)));
        stage.node.begin_shutdown();
        stage.go(&format!("clock wait 100\nw send c1-1 overload -\nc1 expect 1 {REJECTED}"));
    }
}
