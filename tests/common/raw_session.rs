//! A MySQL client that writes packets as a test composes them, without waiting for the responses to earlier ones.
#![allow(dead_code)]

use super::boxes::Boxes;
use super::stage::Peer;
use beamgap::node::dispatcher::Front;
use beamgap::node::mysql_packets::{append_packet, capabilities, parse_packet};
use mysql_common::io::ParseBuf;
use mysql_common::packets::{AuthPlugin, HandshakePacket, HandshakeResponse};
use mysql_common::proto::MySerialize;
use mysql_common::scramble::scramble_native;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time for which a test waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// The commands that the tests write, by the names of the protocol.
pub const COM_INIT_DB: u8 = 2;
pub const COM_QUERY: u8 = 3;
pub const COM_PING: u8 = 14;
pub const COM_STMT_PREPARE: u8 = 22;
pub const COM_STMT_EXECUTE: u8 = 23;
pub const COM_STMT_SEND_LONG_DATA: u8 = 24;
pub const COM_STMT_CLOSE: u8 = 25;

/// A packet with a command and its arguments.
pub fn command(command: u8, arguments: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    append_packet(&mut out, 0, &[&[command], arguments].concat());
    out
}

pub struct RawSession {
    pub peer: Peer,
}

impl RawSession {
    /// Connects without logging in.
    pub fn connect(boxes: &mut Boxes) -> RawSession {
        let address = boxes.stage.node.address(Front::Mysql).expect("the MySQL front is listening");
        RawSession { peer: Peer::new(TcpStream::connect(address).expect("the connect failed")) }
    }

    /// Connects and logs in with this default database. Returns the session and the body of the login's reply.
    pub fn log_in(boxes: &mut Boxes, database: Option<&str>) -> (RawSession, Vec<u8>) {
        let mut session = RawSession::connect(boxes);
        let greeting = session.response(boxes);
        let greeting: HandshakePacket = ParseBuf(&greeting).parse(()).expect("a greeting");
        let mut nonce = greeting.nonce();
        nonce.truncate(20);
        let scramble = scramble_native(&nonce, b"frost").expect("a password");
        let response = HandshakeResponse::new(
            Some(scramble.to_vec()),
            (8, 0, 36),
            Some(&b"till"[..]),
            database.map(str::as_bytes),
            Some(AuthPlugin::MysqlNativePassword),
            capabilities(),
            None,
            1 << 20,
        );
        let (mut body, mut out) = (Vec::new(), Vec::new());
        response.serialize(&mut body);
        append_packet(&mut out, 1, &body);
        session.peer.push(&out);
        let reply = session.response(boxes);
        (session, reply)
    }

    /// The body of the next packet, once it has arrived.
    pub fn response(&mut self, boxes: &mut Boxes) -> Vec<u8> {
        let started = Instant::now();
        loop {
            if let Some(body) = self.next_packet() {
                return body;
            }
            assert!(!self.peer.closed, "the session was closed");
            assert!(started.elapsed() < RESPONSE_TIMEOUT, "no response");
            boxes.turn();
            self.peer.pull();
        }
    }

    /// Removes and returns the body of the next packet that has arrived.
    pub fn next_packet(&mut self) -> Option<Vec<u8>> {
        let (_, body) = parse_packet(&self.peer.input).expect("a packet")?;
        let body = body.to_vec();
        self.peer.input.drain(..4 + body.len());
        Some(body)
    }
}
