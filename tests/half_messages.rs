//! Clients whose message stays incomplete or can't be read while earlier requests of the same connection are open: the
//! responses to those are owed as long as the client reads.

#[path = "common/stage.rs"]
mod stage;

use stage::{rid, Stage};

const OPEN_REQUESTS: &str = "c1 send ask 1 delivery-load 25000 insert into s_1.t values (1)
    w expect want c1-1 *
    c1 send ask 2 delivery-load 25000 insert into s_2.t values (2)
    w expect want c1-2 *";

/// The two halves of a `lookup` request with this id.
fn halves(id: u64) -> (String, String) {
    let rid = rid(&format!("c1-{id}"));
    let params = format!(r#"{{"rid":"{rid}","budget":2500,"est":20,"memory":8,"doc":"c2VsZWN0IDE="}}"#);
    let message = format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{params}}}"#);
    let frame = format!("Content-Length: {}\r\n\r\n{message}", message.len());
    let (first, rest) = frame.split_at(frame.len() / 2);
    (first.to_owned(), rest.to_owned())
}

/// Serves a request at the engine that runs it, whichever connection it came on.
fn serve(stage: &mut Stage, name: &str) {
    let line = format!("{} served pages=1 4\r\nx\t\t\n\r\n", rid(name));
    let engines = stage.houses.iter_mut().flat_map(|house| &mut house.conns);
    engines.for_each(|connection| connection.push(line.as_bytes()));
}

// Guards against lost requests: the front closed a connection whose next message stopped half way for over 2 s.
#[test]
fn a_client_that_pauses_inside_a_message_gets_all_its_responses() {
    let mut stage = Stage::play(2, OPEN_REQUESTS);
    let (first, rest) = halves(3);
    stage.client("c1").push(first.as_bytes());
    stage.go("clock wait 2500");
    serve(&mut stage, "c1-1");
    stage.go("c1 expect 1 served x\\t\\t\\n");
    stage.client("c1").push(rest.as_bytes());
    stage.expect("request 3 at an engine", |stage| {
        stage.sent_to_engines().iter().any(|line| line.starts_with("want c1-3"))
    });
    serve(&mut stage, "c1-2");
    serve(&mut stage, "c1-3");
    stage.go("c1 expect 2 served x\\t\\t\\n\nc1 expect 3 served x\\t\\t\\n");
}

// Guards against descriptors that are held for ever: once nothing is owed, the incomplete message has its time limit.
#[test]
fn a_message_that_stays_incomplete_is_given_up_once_nothing_is_owed() {
    let mut stage = Stage::play(2, OPEN_REQUESTS);
    stage.client("c1").push(halves(3).0.as_bytes());
    stage.go("clock wait 5000");
    serve(&mut stage, "c1-1");
    serve(&mut stage, "c1-2");
    stage.go("c1 expect 1 served x\\t\\t\\n
        c1 expect 2 served x\\t\\t\\n
        clock wait 1900");
    stage.sent_to_engines();
    stage.go("c1 wait silent
        clock wait 200
        c1 expect null error -32600
        c1 expect closed");
}

// Guards against lost requests: an unreadable message closed the connection on which earlier requests were open.
#[test]
fn requests_before_an_unreadable_message_get_their_responses_before_the_close() {
    let mut stage = Stage::play(2, OPEN_REQUESTS);
    stage.go("c1 send raw Content-Length: x\\r\\n\\r\\n
        c1 expect null error -32700
        clock wait 1000
        c1 send ask 3 lookup 2500 select 1 from s_1.t");
    serve(&mut stage, "c1-1");
    stage.go("c1 expect 1 served x\\t\\t\\n\nclock wait 1000");
    let mut sent = stage.sent_to_engines();
    stage.go("c1 wait silent");
    serve(&mut stage, "c1-2");
    stage.go("c1 expect 2 served x\\t\\t\\n\nc1 expect closed");
    sent.extend(stage.sent_to_engines());
    assert!(
        !sent.iter().any(|line| line.contains("c1-3")),
        "input behind an unreadable message was read: {sent:?}"
    );
}

// Guards against attempts for a client that has gone while its input was ignored.
#[test]
fn a_client_that_leaves_behind_an_unreadable_message_has_its_requests_cancelled() {
    let mut stage = Stage::play(2, OPEN_REQUESTS);
    stage.go("c1 send raw Content-Length: x\\r\\n\\r\\n\nc1 expect null error -32700\nc1 close");
    stage.expect("the cancels", |stage| {
        stage.turn();
        stage.node.open_requests() == 0
    });
    let sent = stage.sent_to_engines();
    assert!(
        ["never_mind c1-1", "never_mind c1-2"].iter().all(|line| sent.iter().any(|s| s == line)),
        "{sent:?}"
    );
}

// Guards against lost requests in a graceful shutdown, during which a client pauses inside a message.
#[test]
fn a_client_that_pauses_inside_a_message_in_a_shutdown_gets_its_responses() {
    let mut stage = Stage::play(2, OPEN_REQUESTS);
    stage.client("c1").push(halves(3).0.as_bytes());
    stage.node.begin_shutdown();
    stage.go("clock wait 2500");
    serve(&mut stage, "c1-1");
    stage.go("c1 expect 1 served x\\t\\t\\n\nclock wait 1100\nc1 expect 2 error -32010");
    stage.go("clock wait 200");
    assert!(stage.node.is_shut_down(), "the shutdown must end before SIGKILL at 3700 ms");
}

// Guards against lost requests under pressure of memory: large incomplete messages are given up, not their connections.
#[test]
fn memory_that_incomplete_messages_use_is_freed_without_losing_open_requests() {
    const CLIENTS: usize = 60;
    let mut stage = Stage::new(2, r#""listen":"127.0.0.1:0","#);
    let part = format!("raw Content-Length: 1048576\\r\\n\\r\\n{}", "x".repeat(1_000_000));
    for client in 0..CLIENTS {
        stage.go(&format!("c{client} send ask 1 lookup 2500 select 1 from s_1.t\nc{client} send {part}"));
    }
    stage.expect("a log line about a message that was given up", |stage| {
        stage.turn();
        stage.node.take_log().iter().any(|line| line.starts_with("slow client"))
    });
    let mut answered = 0;
    stage.expect("all responses", |stage| {
        (0..CLIENTS).for_each(|client| serve(stage, &format!("c{client}-1")));
        stage.clock.set(stage.clock.now() + 1.0);
        stage.turn();
        for client in 0..CLIENTS {
            while let Some(message) = stage.client(&format!("c{client}")).message() {
                answered += usize::from(message.starts_with("1 served"));
            }
        }
        answered == CLIENTS
    });
}
