//! A request's name comes once: whoever sends it again gains nothing, and nothing is run twice.

#[path = "common/stage.rs"]
mod stage;

use stage::Stage;

#[test]
fn a_client_that_sends_one_request_again_and_again_earns_nothing_by_it() {
    // Seen on an unseen day of the second deployment: a bad client asked and took back one request 200 times at once.
    // Each time counted as a request taken, and the ration of further attempts grew by it past the rule.
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
    // A load of that name may have run: its client is not told that trying again is harmless.
    let load = format!(
        r#"{{"jsonrpc":"2.0","id":200,"method":"delivery-load","params":{{"rid":"{rid}","budget":2500,"doc":"{doc}"}}}}"#
    );
    stage.go(&format!("c1 send {load}\nc1 expect 200 error -32010\nc1 wait silent"));
}
