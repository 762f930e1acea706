//! JSON-RPC clients that close their connection, or go on writing, while much of their input is not read yet.

#[path = "common/stage.rs"]
mod stage;

use base64::prelude::{Engine as _, BASE64_STANDARD};
use beamgap::node::dispatcher::Front;
use stage::{rid, Stage};
use std::io::Write;
use std::net::TcpStream;

const REQUESTS: u64 = 32;
const LISTEN: &str = r#""listen":"127.0.0.1:0","#;

fn connect(stage: &Stage) -> TcpStream {
    let address = stage.node.address(Front::JsonRpc).expect("the JSON-RPC front is listening");
    let stream = TcpStream::connect(address).expect("the connect failed");
    stream.set_nonblocking(true).expect("a socket option");
    stream
}

/// A `lookup` request with a statement of this length.
fn lookup(id: u64, statement_bytes: usize) -> Vec<u8> {
    let statement = format!("select '{}' from s_1.t", "x".repeat(statement_bytes));
    let (rid, doc) = (rid(&format!("c1-{id}")), BASE64_STANDARD.encode(statement));
    let params = format!(r#"{{"rid":"{rid}","budget":2500,"est":20,"memory":8,"doc":"{doc}"}}"#);
    let message = format!(r#"{{"jsonrpc":"2.0","id":{id},"method":"lookup","params":{params}}}"#);
    format!("Content-Length: {}\r\n\r\n{message}", message.len()).into_bytes()
}

fn lookups() -> Vec<u8> {
    (1..=REQUESTS).flat_map(|id| lookup(id, 15_000)).collect()
}

/// A node with two engines and a client that it has answered once, so that the connection is not new.
fn stage_with_client() -> Stage {
    Stage::play(
        2,
        "c1 send ask 99 lookup 2500 select 1 from s_1.t
        w expect want c1-99 *
        w send c1-99 served pages=1 x\\t\\t\\n
        c1 expect 99 served x\\t\\t\\n",
    )
}

// Guards against work for a client that is gone: requests were sent on as they were read, long before the end of the
// connection behind them was seen.
#[test]
fn no_request_of_a_client_that_closed_with_much_unread_is_sent_on() {
    for is_new in [false, true] {
        let mut stage = if is_new { Stage::new(2, LISTEN) } else { stage_with_client() };
        let mut client = match is_new {
            true => connect(&stage),
            false => stage.client("c1").stream.try_clone().expect("a socket"),
        };
        let bytes = lookups();
        let written = client.write(&bytes).expect("the socket takes bytes");
        assert_eq!(written, bytes.len(), "the socket buffers hold too little");
        drop(client);
        if !is_new {
            stage.go("c1 close");
        }
        (0..50).for_each(|_| stage.one_turn());
        let sent = stage.sent_to_engines();
        let wants = sent.iter().filter(|line| line.starts_with("want ")).count();
        assert_eq!(wants, 0, "{wants} requests of a client that has left (new connection: {is_new})");
        assert_eq!(stage.node.open_requests(), 0);
    }
}

// Guards against requests that are kept back for ever: a client that stays gets all its answers.
#[test]
fn all_requests_of_a_client_that_stays_are_sent_on() {
    let mut stage = stage_with_client();
    let bytes = lookups();
    stage.client("c1").push(&bytes);
    stage.expect("all requests", |stage| stage.node.open_requests() == REQUESTS as usize);
}

// Guards against requests that wait for the end of an input that has none.
#[test]
fn a_request_in_an_input_without_an_end_is_sent_on() {
    const LIMIT_BYTES: usize = 40 << 20;
    let mut stage = stage_with_client();
    stage.client("c1").push(&lookup(1, 10));
    let body = format!(r#"{{"jsonrpc":"2.0","method":"other","params":["{}"]}}"#, "x".repeat(30_000));
    let message = format!("Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
    let (mut written, mut message_rest) = (0, &message[..]);
    while stage.node.open_requests() == 0 {
        assert!(written < LIMIT_BYTES, "not sent on after {written} bytes");
        while let Ok(bytes) = stage.client("c1").stream.write(message_rest) {
            written += bytes;
            message_rest = &message_rest[bytes..];
            if message_rest.is_empty() {
                message_rest = &message;
            }
        }
        stage.one_turn();
    }
}
