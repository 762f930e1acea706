//! A request id may be used only once: a request that repeats an earlier id must be rejected and must not run.

#[path = "common/stage.rs"]
mod stage;

use stage::Stage;

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
