//! The node on real sockets, against parties that the scenarios speak for.

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
    // Guards the rule that a load is never run twice: `overload` proves that it did not run, `crashed` does not.
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
fn a_late_answer_does_not_pass_for_that_of_the_next_attempt() {
    // Guards a request that goes to the same warehouse again: its name is on the old connection still.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        clock wait 550
        w expect never_mind c1-1
        w expect there g1
        w wait silent",
    );
    // Guards the rule on second copies: the two go by two connections, and the cancel may be read last.
    stage.houses[0].conns[0].push(b"g1 green - 0\r\n\r\n");
    stage.go("w expect want c1-1 *");
    assert_eq!(stage.houses[0].conns.len(), 2, "the second attempt has a connection of its own");
    stage.push(0, "c1-1", b"served pages=1 7\r\nlate\t\t\n\r\n");
    stage.go("c1 wait silent
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        c1 wait silent");
}

#[test]
fn a_client_that_leaves_has_its_requests_called_off() {
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        c1 close
        w expect never_mind c1-1
        w wait silent",
    );
    stage.turn();
    assert_eq!(stage.node.open_requests(), 0);
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
    assert!(stage.clock.now() < START + 650.0, "within the grace after the deadline");
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
fn an_address_that_passes_to_another_id_loses_the_old_ones_connections() {
    // Guards against taking the answers of one process for those of the one that had its address before.
    Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        list send 2 1
        list send 3 0 77
        c1 expect 1 error -32010
        c1 send ask 2 lookup 2500 select 1 from s_1.t
        w expect want c1-2 *
        w send c1-2 served pages=1 x\\t\\t\\n
        c1 expect 2 served x\\t\\t\\n",
    );
}

#[test]
fn a_refusal_says_when_to_come_back() {
    // No warehouse is left: a request that nobody can serve in its time is refused, with advice.
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
fn malformed_messages_get_their_error_and_lost_framing_a_close() {
    Stage::play(
        1,
        r#"c1 send {"jsonrpc":"2.0",
        c1 expect null error -32700
        c1 send [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[
        c1 expect null error -32700
        c1 send {"jsonrpc":"1.0","id":3,"method":"lookup"}
        c1 expect 3 error -32600
        c1 send {"jsonrpc":"2.0","id":"x","method":"lookup"}
        c1 expect null error -32600
        c1 send {"jsonrpc":"2.0","id":4,"method":"no-such"}
        c1 expect 4 error -32601
        c1 send {"jsonrpc":"2.0","id":5,"method":"lookup","params":{"rid":"a b","budget":5,"doc":"eA=="}}
        c1 expect 5 error -32602
        c1 send {"jsonrpc":"2.0","id":6,"method":"lookup","params":{"budget":5,"doc":"eA=="}}
        c1 expect 6 error -32602
        c1 send {"jsonrpc":"2.0","id":7,"method":"lookup","params":{"rid":"00000000000000ab","budget":5,"doc":"?"}}
        c1 expect 7 error -32602
        c1 send {"jsonrpc":"2.0","method":"lookup","params":{"rid":"00000000000000ab","budget":5,"doc":"eA=="}}
        c1 expect null error -32600
        c1 send {"jsonrpc":"2.0","method":"some-notification"}
        c1 send {"jsonrpc":"2.0","method":"cancelRequest","params":{"id":"x"}}
        c1 send {"jsonrpc":"2.0","id":9,"method":"cancelRequest","params":{"id":"x"}}
        c1 expect 9 error -32602
        c1 send ask 8 lookup 2500 select 1 from s_1.t
        c1 send ask 8 lookup 2500 select 1 from s_1.t
        c1 expect 8 error -32600
        c1 expect closed
        c2 send raw Content-Length: x\r\n\r\n
        c2 expect null error -32700
        c2 expect closed
        c3 send raw Content-Length: 99999999\r\n\r\n
        c3 expect null error -32700
        c3 expect closed"#,
    );
}

#[test]
fn a_planned_end_goes_on_serving_and_then_finishes() {
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *",
    );
    stage.node.end();
    stage.go("clock wait 700
        c2 send ask 1 lookup 2500 select 2 from s_1.t
        w expect want c2-1 *
        w send c2-1 served pages=1 y\\t\\t\\n
        c2 expect 1 served y\\t\\t\\n
        clock wait 400");
    assert!(!stage.node.ended(), "one request is still open");
    stage.push(0, "c1-1", b"served pages=1 4\r\nx\t\t\n\r\n");
    stage.go("c1 expect 1 served x\\t\\t\\n
        clock wait 60");
    assert!(stage.node.ended());
}

#[test]
fn a_silent_connection_is_asked_and_gets_nothing_new() {
    // Guards against a machine that was cut off: its connections stay open and say nothing.
    Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *
        clock wait 2000
        w expect there *
        clock wait 9500
        c1 expect 1 error -32010",
    );
}

#[test]
fn clients_that_never_end_a_message_are_let_go_before_memory_is_short() {
    // Guards against many clients that each send most of a long message and then nothing: 48 MB for all of them.
    let mut stage = Stage::new(1, r#""listen":"127.0.0.1:0","#);
    let part = format!("raw Content-Length: 1048576\\r\\n\\r\\n{}", "x".repeat(1_000_000));
    for client in 0..60 {
        stage.go(&format!("c{client} send {part}"));
    }
    stage.expect("a log line of the close", |stage| {
        stage.turn();
        stage.node.take_log().iter().any(|line| line.starts_with("slow client"))
    });
    stage.go(r#"last send {"jsonrpc":"2.0","id":1,"method":"alive"}
        last expect {"jsonrpc":"2.0","id":1,"result":{"pass":true}}"#);
}

/// Cuts, doubles and changes bytes, the same way in every run.
fn spoil(bytes: &[u8], seed: &mut u64) -> Vec<u8> {
    let mut draw = |below: usize| {
        *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*seed >> 33) as usize % below.max(1)
    };
    let mut out = bytes.to_vec();
    for _ in 0..1 + draw(4) {
        let at = draw(out.len());
        match draw(4) {
            0 => out.truncate(at),
            1 => out.extend_from_within(at..),
            2 => out.insert(at.min(out.len()), draw(256) as u8),
            _ => out.iter_mut().skip(at).take(1).for_each(|byte| *byte = draw(256) as u8),
        }
    }
    out
}

#[test]
fn no_bytes_of_a_client_or_a_warehouse_bring_the_node_down() {
    // Guards against input that panics: spoiled messages from clients, spoiled answers from warehouses.
    let mut seed = 7;
    let mut stage = Stage::new(1, r#""listen":"127.0.0.1:0","#);
    let address = stage.node.address(beamgap::node::exchange::Front::JsonRpc).unwrap();
    let body = r#"{"jsonrpc":"2.0","id":3,"method":"lookup","params":{"rid":"00000000000000ab","budget":900,"acct":"leinster",
        "est":1e3,"memory":2,"doc":"c2VsZWN0IDEgZnJvbSBzXzEudA=="}}"#;
    let good = format!("Content-Length: {}\r\n\r\n{body}", body.len());
    for _ in 0..600 {
        let framed = spoil(good.as_bytes(), &mut seed);
        let inner = spoil(body.as_bytes(), &mut seed);
        let whole = [format!("Content-Length: {}\r\n\r\n", inner.len()).as_bytes(), &inner].concat();
        for bytes in [framed, whole] {
            let mut peer = stage::Peer::new(std::net::TcpStream::connect(address).unwrap());
            peer.push(&bytes);
            stage.turn();
        }
    }
    let answers = [
        "served pages=3,cost=1.5,need=2,report=inflight:1 2\r\nab\r\n",
        "update remark=so_far,v=0.5 0\r\n\r\n",
    ];
    for round in 0..400u64 {
        stage.go(&format!("c{round} send ask 1 lookup 2500 select 1 from s_1.t"));
        (0..4).for_each(|_| stage.turn());
        stage.clock.set(stage.clock.now() + 300.0);
        for peer in &mut stage.houses[0].conns {
            let id = stage::rid(&format!("c{round}-1"));
            let line = format!("{id} {}{id} rows page=9 1\r\nx\r\n", answers[round as usize % 2]);
            peer.push(&spoil(line.as_bytes(), &mut seed));
        }
        stage.houses[0].conns.retain(|peer| !peer.closed);
        stage.turn();
        stage.go(&format!("c{round} close"));
    }
    stage.go(r#"end send {"jsonrpc":"2.0","id":1,"method":"alive"}
        end expect {"jsonrpc":"2.0","id":1,"result":{"pass":true}}"#);
}

#[test]
fn a_reload_takes_new_events_once_and_leaves_open_requests_alone() {
    // Guards a bulletin that moves: its events go on by number, and those of the file that are known are old.
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
        assert_eq!(told, listed, "number {no}");
    }
    assert_eq!(stage.node.open_requests(), 1);
}

#[test]
fn a_spoilt_answer_costs_its_connection_and_is_never_passed_on() {
    // Guards against warehouses and networks that spoil answers: noise, lengths that do not fit, huge claims, pages
    // that are no whole rows of three columns. The load on the connection may have run and ends at once.
    let endless = [b"served pages=1 ".as_slice(), &[b'9'; 2000]].concat();
    for spoilt in [
        b"\x00\xff\x13noise\r\n".as_slice(),
        &endless,
        b"served pages=1 3000000000\r\n",
        b"served pages=1 6\r\na\tb\tc\nd\r\n",
        b"served pages=1 9\r\na\tb\tc\n\r\n6331 update - 0\r\n\r\n",
        b"served pages=1 4\r\na\tb\n\r\n",
        b"served pages=1 5\r\na\tb\tc\r\n",
        b"served pages=1 6\r\na\tb\t\xff\n\r\n",
        b"served pages=999999 6\r\na\tb\tc\n\r\n",
        b"served - 6\r\na\tb\tc\n\r\n",
        b"servod pages=1 6\r\na\tb\tc\n\r\n",
        b"served pages=1\r\n",
    ] {
        let mut stage = Stage::play(
            1,
            "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
            w expect want c1-1 *",
        );
        stage.push(0, "c1-1", spoilt);
        stage.go("c1 expect 1 error -32010\nc1 wait silent");
        stage.expect("the close", |stage| stage.houses[0].conns[0].closed);
    }
}

#[test]
fn an_answer_that_stops_short_is_waited_for_briefly() {
    // Guards against a connection that stays open in the middle of an answer: it is of no further use.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-1 *",
    );
    stage.push(0, "c1-1", b"served pages=1 6\r\na\t");
    stage.go("c1 wait silent\nclock wait 1000\nc1 expect 1 error -32010");
}

#[test]
fn answers_that_bring_more_than_is_theirs_harm_nothing() {
    // Guards against second copies, and against answers under ids that are not, or not yet, asked for there.
    Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        w send c1-2 served pages=1 e\\ta\\tr\\n
        w send zz served pages=1 a\\tb\\tc\\n
        w send c1-1 served pages=2 a\\tb\\tc\\n
        w expect turn c1-1 1
        w send c1-1 served pages=2 x\\ty\\tz\\n
        w send c1-1 rows page=1 d\\te\\tf\\n
        w send c1-1 rows page=1 x\\ty\\tz\\n
        w expect shut c1-1
        c1 expect 1 served a\\tb\\tc\\nd\\te\\tf\\n
        c1 send ask 2 lookup 2500 select 1 from s_1.t
        w expect want c1-2 *
        w send c1-2 served pages=1 x\\ty\\tz\\n
        c1 expect 2 served x\\ty\\tz\\n
        c1 wait silent",
    );
}

#[test]
fn each_attempt_has_a_connection_of_its_own_while_there_is_room() {
    // Guards against one bad connection that takes the answers of many requests along.
    let stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        c1 send ask 2 lookup 2500 select 2 from s_1.t
        w expect want c1-2 *",
    );
    assert_eq!(stage.houses[0].conns.len(), 2);
}

#[test]
fn figures_and_names_that_cannot_be_are_turned_down_before_an_engine_sees_them() {
    // Guards the engines' connections: what an engine can't read makes it close, whatever else is open there.
    let mut stage = Stage::new(1, r#""listen":"127.0.0.1:0","#);
    let good = r#"{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"rid":"00000000000000ab","budget":900,
        "acct":"leinster","est":10.5,"memory":2,"doc":"eA=="}}"#
        .replace('\n', "");
    for (from, to) in [
        ("900", "1e18"),
        ("900", "-5"),
        ("900", "\"900\""),
        ("10.5", "-1"),
        ("10.5", "1e300"),
        ("10.5", "true"),
        ("\"memory\":2", "\"memory\":1e12"),
        ("leinster", "nobody"),
        ("ab\"", "xy\""),
        ("eA==", ""),
        ("eA==", "/w=="),
    ] {
        stage.go(&format!("c1 send {}\nc1 expect 1 error -32602\nw wait silent", good.replace(from, to)));
    }
    stage.go(&format!("c1 send {good}\nw expect want *"));
}

#[test]
fn clients_that_say_nothing_or_half_a_thing_are_let_go_in_time() {
    // Guards the descriptors: a client is owed a word or a close within 3 s, and one that has asked may stay.
    Stage::play(
        1,
        r#"c1 send raw Content-Le
        c2 send raw Content-Length: 50\r\n\r\n{"json
        c3 send raw \n
        c4 send {"jsonrpc":"2.0","id":1,"method":"alive"}
        c4 expect {"jsonrpc":"2.0","id":1,"result":{"pass":true}}
        clock wait 1900
        c1 wait silent
        clock wait 200
        c1 expect null error -32600
        c1 expect closed
        c2 expect null error -32600
        c2 expect closed
        c3 expect null error -32600
        clock wait 9000
        c4 send {"jsonrpc":"2.0","id":2,"method":"alive"}
        c4 expect {"jsonrpc":"2.0","id":2,"result":{"pass":true}}"#,
    );
}

#[test]
fn those_who_come_are_let_in_where_the_descriptors_are_all_held() {
    // Guards against clients that ask once and keep their connection: 32 descriptors are 16 for clients.
    let mut stage = Stage::with_limits(1, r#"{"memory_mb":32,"sockets":32}"#);
    stage.go("busy send ask 1 lookup 2500 select 1 from s_1.t
        w expect want busy-1 *");
    for client in 0..40 {
        stage.go(&format!(
            r#"c{client} send {{"jsonrpc":"2.0","id":1,"method":"alive"}}
            c{client} expect {{"jsonrpc":"2.0","id":1,"result":{{"pass":true}}}}
            clock wait 10"#
        ));
    }
    stage.go("c0 expect closed
        w send busy-1 served pages=1 x\\t\\t\\n
        busy expect 1 served x\\t\\t\\n");
}

#[test]
fn a_client_that_floods_leaves_the_others_their_turn() {
    // Guards against one connection that is worked off to its end while all others wait.
    let mut stage = Stage::new(1, r#""listen":"127.0.0.1:0","#);
    let message = r#"{"jsonrpc":"2.0","id":1,"method":"no-such"}"#;
    let flood = format!("Content-Length: {}\\r\\n\\r\\n{message}", message.len()).repeat(400);
    stage.go(&format!("c1 send raw {flood}"));
    stage.go(r#"c2 send {"jsonrpc":"2.0","id":1,"method":"alive"}
        c2 expect {"jsonrpc":"2.0","id":1,"result":{"pass":true}}"#);
    let mut answers = 0;
    while stage.answered("c1") {
        answers += 1;
    }
    assert!(answers < 400, "the flood was worked off first");
    stage.expect("the rest of the flood", |stage| {
        answers += usize::from(stage.answered("c1"));
        answers == 400
    });
}

#[test]
fn a_cancel_that_nobody_confirms_is_over_soon() {
    // Guards against a machine that is cut off: what is called off there goes on elsewhere all the same.
    Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        clock wait 550
        w expect never_mind c1-1
        w expect there g1
        w wait silent
        clock wait 300
        w expect want c1-1 *",
    );
}

#[test]
fn a_load_goes_by_a_connection_of_its_own_and_a_look_up_by_an_idle_one() {
    // Guards against an idle connection that is reset as the load comes: nobody could tell whether it was read.
    let mut stage = Stage::play(
        1,
        "c1 send ask 1 lookup 2500 select 1 from s_1.t
        w expect want c1-1 *
        w send c1-1 served pages=1 x\\t\\t\\n
        c1 expect 1 served x\\t\\t\\n
        c1 send ask 2 lookup 2500 select 1 from s_1.t
        w expect want c1-2 *",
    );
    assert_eq!(stage.houses[0].conns.len(), 1);
    stage.go("w send c1-2 served pages=1 x\\t\\t\\n
        c1 expect 2 served x\\t\\t\\n
        c1 send ask 3 delivery-load 25000 insert into s_1.t values (1)
        w expect want c1-3 *");
    assert_eq!(stage.houses[0].conns.len(), 2);
}

#[test]
fn connections_that_die_while_they_are_quiet_are_not_used_after_such_a_time() {
    // Guards against a box between that forgets quiet connections: each request on one is reset, read or not. A break
    // after a sign of life is another thing, and teaches nothing of quiet ones.
    for (sign, then) in [("", 2), ("w send c1-2 update remark=so_far,v=0.5", 1)] {
        let mut stage = Stage::play(
            1,
            &format!(
                "c1 send ask 1 lookup 2500 select 1 from s_1.t
                w expect want c1-1 *
                w send c1-1 served pages=1 x\\t\\t\\n
                c1 expect 1 served x\\t\\t\\n
                clock wait 200
                c1 send ask 2 lookup 2500 select 1 from s_1.t
                w expect want c1-2 *
                {sign}
                w close
                w expect want c1-2 *
                w send c1-2 served pages=1 x\\t\\t\\n
                c1 expect 2 served x\\t\\t\\n"
            ),
        );
        for (wait, connections) in [(100, 1), (170, then)] {
            stage.go(&format!(
                "clock wait {wait}
                c1 send ask {wait} lookup 2500 select 1 from s_1.t
                w expect want c1-{wait} *
                w send c1-{wait} served pages=1 x\\t\\t\\n
                c1 expect {wait} served x\\t\\t\\n"
            ));
            assert_eq!(stage.houses[0].conns.len(), connections, "after {wait} ms, {sign}");
        }
    }
}
