//! Ordered classes: the loads (write requests) of one ordering key run one at a time, in the order of their arrival,
//! also after a timeout, reset, cancellation, rejection or retry. Each scenario is a script of steps of clients (`c1`,
//! `c2`), of the engine (`w`) and of the clock.

#[path = "common/stage.rs"]
mod stage;

use base64::prelude::{Engine as _, BASE64_STANDARD};
use stage::{rid, Stage};

fn run_scenario(warehouses: usize, scenario: &str) -> Stage {
    let mut stage = Stage::in_order(warehouses);
    stage.go(scenario);
    stage
}

/// While a load of key k1 runs, a second load of k1 waits. A load of key k2 and a request of a class without ordering
/// are sent at once.
#[test]
fn loads_of_a_key_go_one_after_the_other_and_other_keys_and_classes_do_not_wait() {
    run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c1 wait silent
        c2 send ask 2 delivery-load@k2 25000 insert into s_2.t values (3)
        w expect want c2-2 *
        w send c2-2 served pages=1 z\\t\\t\\n
        c2 expect 2 served z\\t\\t\\n
        c2 send ask 3 lookup@k1 2500 select 1 from s_3.t
        w expect want c2-3 *
        w send c2-3 served pages=1 z\\t\\t\\n
        c2 expect 3 served z\\t\\t\\n",
    );
}

/// After a served load, which certainly no longer runs, the next load of its key is sent without the pause of the key.
#[test]
fn the_next_of_a_key_goes_at_once_after_an_end_that_is_sure() {
    run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c1 wait silent
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        clock wait 30
        w expect want c2-1 *",
    );
}

/// The script step with which a client writes a load in its exact wire bytes.
fn load_step(client: &str, id: u64, key: &str) -> String {
    let doc = BASE64_STANDARD.encode("insert into s_1.t values (1)");
    let rid = rid(&format!("{client}-{id}"));
    let body = format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"delivery-load","params":{{"rid":"{rid}","obj":"{key}","budget":25000,"doc":"{doc}"}}}}"#
    );
    format!("raw Content-Length: {}\\r\\n\\r\\n{body}", body.len())
}

/// The order of two loads of one key is the order in which their last bytes arrive, not their first.
#[test]
fn of_two_connections_the_request_that_is_whole_first_is_first() {
    let mut stage = Stage::in_order(2);
    let (first, second) = (load_step("c1", 1, "k1"), load_step("c2", 1, "k1"));
    // The first request arrives in two parts, and the whole second request arrives between them.
    let (head, tail) = first.split_at(first.len() - 9);
    stage.go(&format!("c1 send {head}\nc1 wait silent\nc2 send {second}\nw expect want c2-1 *"));
    stage.go(&format!("c1 send raw {tail}\nc1 wait silent\nw send c2-1 served pages=1 x\\t\\t\\n"));
    stage.go("c2 expect 1 served x\\t\\t\\n\nclock wait 30\nw expect want c1-1 *");
}

/// A client cancels a load that is queued behind another load of its key; the gateway then skips the cancelled load.
#[test]
fn what_waits_for_its_turn_may_be_cancelled_and_is_passed_over() {
    run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c3 send ask 1 delivery-load@k1 25000 insert into s_1.t values (3)
        c1 wait silent
        c2 send cancel 1
        c2 wait silent
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        clock wait 30
        w expect want c3-1 *",
    );
}

/// A load whose deadline passes while it is queued behind its key is rejected; the load after it still runs.
#[test]
fn what_waits_for_its_turn_till_its_time_is_over_is_refused_and_the_rest_go_on() {
    let mut stage = run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 1500 insert into s_1.t values (2)
        c3 send ask 1 delivery-load@k1 25000 insert into s_1.t values (3)
        c1 wait silent",
    );
    stage.go("clock wait 1600\nc2 expect 1 error -32011 backoff\nw send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n\nclock wait 30\nw expect there *\nw expect want c3-1 *");
}

/// After a connection reset the load may still run on its engine, so the next load of its key waits for the pause.
#[test]
fn after_a_reset_the_key_rests() {
    run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c1 wait silent
        w close
        c1 expect 1 error -32010
        clock wait 380
        c2 wait silent
        clock wait 150
        w expect want c2-1 *",
    );
}

/// After a timeout the load may still run on its engine, so the next load of its key waits for the pause.
#[test]
fn after_a_time_out_the_key_rests() {
    run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 600 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c1 wait silent
        clock wait 610
        c1 expect 1 error -32012
        w expect never_mind c1-1
        clock wait 380
        c2 wait silent
        clock wait 150
        w expect want c2-1 *",
    );
}

/// The engine never confirms a cancellation, so the load may still run: the next load of its key waits for the time
/// allowed for the confirmation and then for the pause of the key.
#[test]
fn a_cancel_that_nobody_confirms_holds_the_key_up_for_its_time_and_the_rest() {
    // The engine no longer responds, so the gateway cannot know when the engine reads the cancellation.
    run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c1 send cancel 1
        w expect never_mind c1-1
        w expect there g1
        clock wait 480
        c2 wait silent
        clock wait 150
        w expect want c2-1 *",
    );
}

/// Once the engine has confirmed a cancellation, the next load of its key waits for the pause of the key only.
#[test]
fn a_cancel_that_is_confirmed_frees_the_key_after_its_rest() {
    let mut stage = run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c1 send cancel 1
        w expect never_mind c1-1
        w expect there g1",
    );
    // The engine may answer a probe with red or green health: both prove that it has read the cancellation before.
    let conns = stage.houses.iter_mut().flat_map(|house| &mut house.conns);
    conns.for_each(|conn| conn.push(b"g1 red - 0\r\n\r\n"));
    stage.go("clock wait 380\nc2 wait silent\nclock wait 150\nw expect want c2-1 *");
}

/// A load that an engine rejects for overload is retried; the next load of its key waits until the retry has ended too.
#[test]
fn while_a_second_attempt_follows_the_next_of_the_key_waits_on() {
    run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c1 wait silent
        w send c1-1 overload -
        w expect want c1-1 *
        clock wait 100
        c2 wait silent
        w send c1-1 crashed -
        c1 expect 1 error -32010
        clock wait 30
        w expect want c2-1 *",
    );
}

/// A load without an ordering key, or with a key of more than 64 bytes, fails with "invalid params" and is never sent.
#[test]
fn a_load_without_a_key_or_with_one_that_cannot_be_is_not_run() {
    let long = "x".repeat(65);
    run_scenario(
        1,
        &format!(
            "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
            c1 expect 1 error -32602
            c1 send ask 2 delivery-load@{long} 25000 insert into s_1.t values (1)
            c1 expect 2 error -32602
            c1 wait silent"
        ),
    );
}

/// At most 256 loads of one key are queued. Further loads are rejected, and the queued ones keep their order.
#[test]
fn a_line_of_hundreds_is_bounded_and_what_is_turned_away_leaves_the_order_as_it_is() {
    let mut stage = Stage::in_order(1);
    stage.go("c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)\nw expect want c1-1 *");
    let (mut rejected, mut queued) = (0, 0);
    for n in 0..300 {
        let (client, id) = (format!("d{}", n / 30), n % 30 + 1);
        stage.go(&format!("{client} send ask {id} delivery-load@k1 25000 insert into s_1.t values ({n})"));
        (0..3).for_each(|_| stage.turn());
        match stage.answered(&client) {
            true => rejected += 1,
            false => queued += 1,
        }
        assert!(rejected == 0 || queued >= 250, "rejected with only {queued} queued");
    }
    assert!(rejected > 30 && queued <= 256, "{rejected} rejected, {queued} queued");
    stage.go("w send c1-1 served pages=1 x\\t\\t\\n\nc1 expect 1 served x\\t\\t\\n\nclock wait 30\nw expect want d0-1 *");
}

/// Loads that are queued behind their key when the node begins to shut down are still sent and answered.
#[test]
fn at_a_planned_end_those_that_wait_for_their_turn_are_answered() {
    let mut stage = run_scenario(
        2,
        "c1 send ask 1 delivery-load@k1 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c2 send ask 1 delivery-load@k1 25000 insert into s_1.t values (2)
        c1 wait silent",
    );
    stage.node.begin_shutdown();
    stage.go("w send c1-1 served pages=1 x\\t\\t\\n\nc1 expect 1 served x\\t\\t\\n\nclock wait 30
        w expect want c2-1 *\nw send c2-1 served pages=1 y\\t\\t\\n\nc2 expect 1 served y\\t\\t\\n");
}
