//! A request id may be used only once: a request that repeats an earlier id must be rejected and must not run.

#[path = "common/stage.rs"]
mod stage;

use beamgap::node::dispatcher::recent_names::MAX_NAMES;
use stage::Stage;

/// Requests that one connection may have open.
const OPEN_AT_ONCE: usize = 32;

#[test]
fn a_client_that_sends_one_request_again_and_again_earns_nothing_by_it() {
    // Seen in the second deployment: a faulty client sent and cancelled the same request 200 times at once. Each
    // repetition counted as an admitted request and increased the retry budget beyond the platform's limit.
    let mut stage = Stage::play(
        2,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        c1 send cancel 1
        w expect never_mind c1-1",
    );
    let rid = stage::rid("c1-1");
    let doc = "c2VsZWN0IDE=";
    for id in 2..200 {
        let params = format!(r#"{{"rid":"{rid}","budget":2500,"doc":"{doc}"}}"#);
        stage.go(&format!(r#"c1 send {{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{params}}}"#));
        stage.go(&format!("c1 expect {id} error -32011 backoff"));
    }
    // A load changes data, and a load with this id may have run already. The error must be -32010 (failed):
    // -32011 (refused, not run) would tell the client that a retry is safe.
    let load = format!(
        r#"{{"jsonrpc":"2.0","id":200,"method":"delivery-load","params":{{"rid":"{rid}","budget":2500,"doc":"{doc}"}}}}"#
    );
    stage.go(&format!("c1 send {load}\nc1 expect 200 error -32010\nc1 wait silent"));
}

/// Sends a load under the name of the request `c1-1`, and expects that it fails and reaches no engine.
fn expect_refused_repeat(stage: &mut Stage, id: u64) {
    let params = format!(r#"{{"rid":"{}","budget":2500,"doc":"c2VsZWN0IDE="}}"#, stage::rid("c1-1"));
    stage.go(&format!(r#"c2 send {{"jsonrpc":"2.0","id":{id},"method":"delivery-load","params":{params}}}"#));
    stage.go(&format!("c2 expect {id} error -32010\nw wait silent"));
}

/// A node whose only client sent the load `c1-1` and left while an engine ran the load.
fn load_of_a_client_that_left() -> Stage {
    Stage::play(
        2,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        clock wait 500
        c1 close
        w expect never_mind c1-1",
    )
}

// Guards against a load that runs twice: its name was remembered for 10 s from its arrival.
#[test]
fn a_load_whose_client_left_does_not_run_again_under_its_name() {
    let mut stage = load_of_a_client_that_left();
    expect_refused_repeat(&mut stage, 1);
    stage.go("clock wait 60000");
    stage.sent_to_engines();
    expect_refused_repeat(&mut stage, 2);
}

// Guards against a load that runs twice: a flood of new names evicted the name of the load.
#[test]
fn a_flood_of_names_does_not_make_the_node_forget_a_load_that_may_have_run() {
    let mut stage = load_of_a_client_that_left();
    stage.go(r#"flood send {"jsonrpc":"2.0","id":900000,"method":"alive"}
        flood expect *pass*"#);
    let framed = |text: String| format!("Content-Length: {}\r\n\r\n{text}", text.len());
    let request = |n: usize| {
        let params = format!(r#"{{"rid":"{n:016x}","budget":2500,"doc":"c2VsZWN0IDE="}}"#);
        framed(format!(r#"{{"jsonrpc":"2.0","id":{n},"method":"lookup","params":{params}}}"#))
    };
    let cancel =
        |n: usize| framed(format!(r#"{{"jsonrpc":"2.0","method":"cancelRequest","params":{{"id":{n}}}}}"#));
    for first in (1..=MAX_NAMES).step_by(OPEN_AT_ONCE) {
        let ids = || first..first + OPEN_AT_ONCE;
        stage.client("flood").push(ids().map(request).collect::<String>().as_bytes());
        stage.turn();
        stage.client("flood").push(ids().map(cancel).collect::<String>().as_bytes());
        stage.turn();
    }
    stage.sent_to_engines();
    expect_refused_repeat(&mut stage, 1);
}
