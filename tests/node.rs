//! End-to-end tests of the node over TCP. A script plays its clients, its engines and its service discovery.

#[path = "common/stage.rs"]
mod stage;

use stage::{Stage, START};

#[test]
fn a_request_is_served_with_all_its_pages_in_order() {
    Stage::play(
        2,
        r#"c1 send {"jsonrpc":"2.0","id":1,"method":"alive","params":{}}
        c1 expect {"jsonrpc":"2.0","id":1,"result":{"pass":true}}
        c1 send ask 2 lookup 2500 select 1 from s_3.t
        w expect want c1-2 profile=lookup,max=24*,mem=*,prio=* select 1 from s_3.t
        w send c1-2 update remark=so_far,v=0.5
        w send c1-2 served pages=3,cost=12.5,need=4,report=inflight:2 a\tb\tc\n
        w expect turn c1-2 1
        w expect turn c1-2 2
        w send c1-2 rows page=2 g\th\ti\n
        w send c1-2 rows page=1 d\te\tf\n
        w expect shut c1-2
        c1 expect 2 served a\tb\tc\nd\te\tf\ng\th\ti\n
        c1 wait silent"#,
    );
}

#[test]
fn what_never_ran_goes_on_and_what_may_have_run_is_failed_once() {
    // A non-idempotent request must not run twice. The answer `overload` proves that the engine hasn't run the request,
    // so the request is retried. After the answer `crashed` the engine may have run the request, so the request fails.
    Stage::play(
        2,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 profile=delivery-load,*
        w send c1-1 overload -
        w expect want c1-1 profile=delivery-load,*
        w send c1-1 crashed -
        c1 expect 1 error -32010
        c1 wait silent",
    );
}

#[test]
fn a_load_whose_connection_breaks_is_failed_and_a_look_up_goes_on() {
    Stage::play(
        2,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        w close
        c1 expect 1 error -32010
        c1 send ask 2 lookup 2500 select 1 from s_1.t
        w expect want c1-2 *
        w close
        w expect want c1-2 *
        w send c1-2 served pages=1 x\\t\\t\\n
        c1 expect 2 served x\\t\\t\\n
        c1 wait silent",
    );
}

#[test]
fn pages_lost_with_their_warehouse_are_fetched_anew_elsewhere() {
    Stage::play(
        2,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        w send c1-1 served pages=2 a\\t\\t\\n
        w expect turn c1-1 1
        w send c1-1 crashed -
        w expect want c1-1 *
        w send c1-1 served pages=1 b\\t\\t\\n
        c1 expect 1 served b\\t\\t\\n
        c1 wait silent",
    );
}

#[test]
fn a_cancel_is_passed_on_and_a_late_answer_is_nobodys() {
    Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        c1 send cancel 1
        w expect never_mind c1-1
        w send c1-1 served pages=1 late\\t\\t\\n
        c1 send ask 2 lookup 2500 select 2 from s_1.t
        w expect want c1-2 *
        w send c1-2 served pages=1 x\\t\\t\\n
        c1 expect 2 served x\\t\\t\\n
        c1 wait silent",
    );
}

#[test]
fn the_budget_counts_from_the_send_and_its_end_is_one_answer() {
    let stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 600 insert into s_1.t values (1)
        w expect want c1-1 profile=delivery-load,max=59*
        clock wait 620
        w expect never_mind c1-1
        c1 expect 1 error -32012
        w send c1-1 served pages=1 late\\t\\t\\n
        c1 wait silent",
    );
    assert_eq!(stage.node.open_requests(), 0);
    assert!(
        stage.clock.now() < START + 650.0,
        "the client must get its error within 50 ms after the deadline"
    );
}

#[test]
fn nothing_new_goes_to_a_warehouse_that_drains() {
    Stage::play(
        2,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        list send 2 1
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        w close
        c1 send ask 2 lookup 2500 select 1 from s_1.t
        w expect want c1-2 *
        w send c1-2 served pages=1 y\\t\\t\\n
        c1 expect 2 served y\\t\\t\\n",
    );
}

#[test]
fn a_refusal_says_when_to_come_back() {
    // Discovery has removed the only engine. A request that no engine can serve before its deadline is rejected, and
    // the rejection contains a retry delay for the client.
    Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        list send 2 2
        c1 send ask 2 lookup 300 select 1 from s_1.t
        clock wait 290
        c1 expect 2 error -32011 backoff",
    );
}

#[test]
fn a_planned_end_goes_on_serving_and_then_finishes() {
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *",
    );
    stage.node.begin_shutdown();
    stage.go("clock wait 500
        c2 send ask 1 lookup 2500 select 2 from s_1.t
        w expect want c2-1 *
        w send c2-1 served pages=1 y\\t\\t\\n
        c2 expect 1 served y\\t\\t\\n
        clock wait 600");
    assert!(!stage.node.is_shut_down(), "one request is still in flight");
    stage.push(0, "c1-1", b"served pages=1 4\r\nx\t\t\n\r\n");
    stage.go("c1 expect 1 served x\\t\\t\\n
        clock wait 60
        c1 expect closed
        c2 expect closed
        c1 close
        c2 close
        clock wait 60");
    assert!(stage.node.is_shut_down());
}

#[test]
fn a_reload_takes_new_events_once_and_leaves_open_requests_alone() {
    // A reload can move the node to another discovery server, whose list revisions continue those of the old server.
    // The engine list in the reloaded configuration is applied only if its revision is higher than the last applied.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want *",
    );
    let text = stage.config(r#""listen":"127.0.0.1:0","#);
    stage.node.take_log();
    for (no, listed) in [(1, false), (2, true), (2, false)] {
        let text = text.replace(r#""no":1"#, &format!(r#""no":{no}"#));
        stage.node.reload(beamgap::node::config::Config::read(text.into_bytes(), &|_| None));
        let told = stage.node.take_log().iter().any(|line| line.starts_with("list: "));
        assert_eq!(told, listed, "revision {no}");
    }
    assert_eq!(stage.node.open_requests(), 1);
}
