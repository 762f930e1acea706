//! End-to-end tests of the JSON-RPC front over TCP, with well-behaved and misbehaving clients.

#[path = "common/stage.rs"]
mod stage;

use stage::Stage;

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
fn clients_that_never_end_a_message_are_let_go_before_memory_is_short() {
    // Memory exhaustion: 60 clients each send 1 MB of a longer message and then nothing more. The buffers of all
    // clients may use 48 MB in total, so the front must close slow clients to be able to serve a new client.
    let mut stage = Stage::new(1, r#""listen":"127.0.0.1:0","#);
    let part = format!("raw Content-Length: 1048576\\r\\n\\r\\n{}", "x".repeat(1_000_000));
    for client in 0..60 {
        stage.go(&format!("c{client} send {part}"));
    }
    stage.expect("a log line about a closed slow client", |stage| {
        stage.turn();
        stage.node.take_log().iter().any(|line| line.starts_with("slow client"))
    });
    stage.go(r#"last send {"jsonrpc":"2.0","id":1,"method":"alive"}
        last expect {"jsonrpc":"2.0","id":1,"result":{"pass":true}}"#);
}

/// Truncates, duplicates, inserts or overwrites some bytes. The same seed gives the same corruption in every run.
fn corrupt(bytes: &[u8], seed: &mut u64) -> Vec<u8> {
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
    // No input may make the node panic. Clients send corrupted messages, then engines send corrupted answers.
    let mut seed = 7;
    let mut stage = Stage::new(1, r#""listen":"127.0.0.1:0","#);
    let address = stage.node.address(beamgap::node::dispatcher::Front::JsonRpc).unwrap();
    let body = r#"{"jsonrpc":"2.0","id":3,"method":"lookup","params":{"rid":"00000000000000ab","budget":900,"acct":"leinster",
        "est":1e3,"memory":2,"doc":"c2VsZWN0IDEgZnJvbSBzXzEudA=="}}"#;
    let valid_request = format!("Content-Length: {}\r\n\r\n{body}", body.len());
    for _ in 0..600 {
        let corrupt_frame = corrupt(valid_request.as_bytes(), &mut seed);
        let corrupt_body = corrupt(body.as_bytes(), &mut seed);
        let frame_of_corrupt_body =
            [format!("Content-Length: {}\r\n\r\n", corrupt_body.len()).as_bytes(), &corrupt_body].concat();
        for bytes in [corrupt_frame, frame_of_corrupt_body] {
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
            peer.push(&corrupt(line.as_bytes(), &mut seed));
        }
        stage.houses[0].conns.retain(|peer| !peer.closed);
        stage.turn();
        stage.go(&format!("c{round} close"));
    }
    stage.go(r#"end send {"jsonrpc":"2.0","id":1,"method":"alive"}
        end expect {"jsonrpc":"2.0","id":1,"result":{"pass":true}}"#);
}

#[test]
fn figures_and_names_that_cannot_be_are_turned_down_before_an_engine_sees_them() {
    // The front must reject invalid parameters itself: an engine that can't parse a request closes the connection,
    // and every other request in flight on that connection would be lost too.
    let mut stage = Stage::new(1, r#""listen":"127.0.0.1:0","#);
    let valid_request =
        r#"{"jsonrpc":"2.0","id":1,"method":"lookup","params":{"rid":"00000000000000ab","budget":900,
        "acct":"leinster","est":10.5,"memory":2,"doc":"eA=="}}"#
            .replace('\n', "");
    for (valid, invalid) in [
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
        stage.go(&format!(
            "c1 send {}\nc1 expect 1 error -32602\nw wait silent",
            valid_request.replace(valid, invalid)
        ));
    }
    stage.go(&format!("c1 send {valid_request}\nw expect want *"));
}

#[test]
fn clients_that_say_nothing_or_half_a_thing_are_let_go_in_time() {
    // Descriptor exhaustion: a client that sends no complete message must get an error or a close within 3 s.
    // A client that has sent a complete request may stay connected while it is idle.
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
    // Descriptor exhaustion: 40 clients each send one request and stay connected, but only 16 of 32 descriptors are for
    // clients. The front must close idle clients to accept new ones, but no client that has a request in flight.
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
    // Starvation: one client sends 400 requests at once.
    // A request of another client must not wait until the front has answered all 400 requests.
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
    assert!(answers < 400, "all requests of the flooding client were answered first");
    stage.expect("the remaining answers to the flooding client", |stage| {
        answers += usize::from(stage.answered("c1"));
        answers == 400
    });
}
