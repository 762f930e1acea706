//! A planned end on sockets: what comes in its windows is served, and nothing is left without an answer at the kill.

#[path = "common/stage.rs"]
mod stage;

use stage::{Stage, LIMITS, SETTINGS};

#[test]
fn what_still_runs_is_answered_before_the_kill_and_called_off() {
    // The longest deadline is over 3 s: the kill may come 3.7 s after the signal, the last word 0.2 s before.
    let mut stage = Stage::play(
        2,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        clock wait 1000
        w expect there *",
    );
    stage.node.end();
    stage.go("clock wait 600
        c1 wait silent
        c1 send ask 2 lookup 2500 select 1 from s_2.t
        w expect want c1-2 *
        clock wait 400");
    assert!(!stage.node.ended(), "two requests are open");
    let mut told = Vec::new();
    stage.expect("both answers", |stage| {
        stage.clock.set(stage.clock.now() + 10.0);
        told.extend(stage.message("c1"));
        assert!(told.is_empty() || stage.clock.now() - stage::START > 3400.0, "too soon: {told:?}");
        told.len() == 2
    });
    told.sort();
    assert_eq!(
        told,
        ["1 error -32010", "2 error -32011 backoff"],
        "a load may have run, a look-up is harmless"
    );
    assert!(stage.clock.now() - stage::START - 1000.0 <= 3600.0, "before the kill");
    stage.expect("the end", |stage| {
        stage.clock.set(stage.clock.now() + 10.0);
        stage.node.ended()
    });
}

#[test]
fn what_was_never_sent_and_cannot_end_in_time_is_refused_at_once() {
    // No engine takes work: both wait. By their own estimates they run for 20 s and for 50 ms.
    let patient = SETTINGS.replace(r#""OnTime":3000"#, r#""OnTime":25000"#);
    let mut stage = Stage::with(1, r#""listen":"127.0.0.1:0","#, LIMITS, &patient);
    stage.go("list send 2 1\nclock wait 100");
    let ask = |id: u64, est: u64| {
        let rid = stage::rid(&format!("c1-{id}"));
        format!(
            r#"c1 send {{"jsonrpc":"2.0","id":{id},"method":"delivery-load","params":{{"rid":"{rid}","budget":25000,"est":{est},"doc":"c2VsZWN0IDE="}}}}"#
        )
    };
    stage.go(&format!("{}\n{}\nc1 wait silent", ask(1, 20_000), ask(2, 100)));
    stage.node.end();
    stage.go(
        "c1 expect 1 error -32011 backoff\nc1 wait silent\nclock wait 3520\nc1 expect 2 error -32011 backoff",
    );
    // The client keeps its connection open: that does not hold the program until the kill at 3700 ms.
    stage.go("clock wait 120");
    assert!(stage.node.ended());
}

#[test]
fn a_connection_that_comes_in_the_window_is_served_and_a_quiet_one_is_closed_after_it() {
    let mut stage =
        Stage::play(1, "c1 send {\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"alive\"}\nc1 expect *pass*");
    stage.node.end();
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
    assert!(!stage.node.ended(), "requests may still come");
    stage.go("clock wait 120\nc1 expect closed\nc2 expect closed");
    assert!(!stage.node.ended(), "the clients have not closed yet");
    stage.go("c1 close\nc2 close\nclock wait 60");
    assert!(stage.node.ended());
}
