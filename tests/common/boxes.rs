//! A small stand-in for boxes that speak MySQL, written from the public protocol. It logs what it runs, and does
//! what a test says with the next execution.
#![allow(dead_code)]

use super::stage::{Peer, Stage};
use beamgap::node::dispatcher::Front;
use beamgap::node::mysql_packets::{self, append_packet, eof, error, ok, parse_packet};
use mysql::OptsBuilder;
use mysql_common::constants::StatusFlags;
use mysql_common::packets::HandshakePacket;
use mysql_common::proto::MySerialize;
use mysql_common::scramble::scramble_native;
use std::collections::HashMap;

pub const MYSQL: &str = r#""mysql":{"listen":"127.0.0.1:0","box_user":"node","box_password_env":"SECRET",
 "accounts":[{"user":"till","password_env":"SECRET","tenant":"leinster"}],"default_class":"delivery-load",
 "rules":[{"verb":"select","class":"lookup","work_ms":20,"memory_mb":8}]},"#;

const NONCE: &[u8; 20] = b"abcdefghijklmnopqrst";

/// What a box does with an execution.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    Answer,
    /// Says nothing until the connection is closed.
    Hold,
    /// Closes the connection.
    Drop,
    /// Answers with an error.
    Error(u16),
    /// Has forgotten what was prepared.
    Forget,
}

/// Something that a box ran: where, the statement, and what was bound to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    pub house: usize,
    pub text: String,
    pub bound: Vec<u8>,
}

#[derive(Default)]
struct Session {
    logged_in: bool,
    greeted: bool,
    prepared: HashMap<u32, String>,
    long: Vec<u8>,
}

pub struct Boxes {
    pub stage: Stage,
    sessions: HashMap<(usize, std::net::SocketAddr), Session>,
    pub runs: Vec<Run>,
    pub kills: usize,
    pub next: Vec<Next>,
}

fn column(out: &mut Vec<u8>, number: u8) {
    let mut body = Vec::new();
    for text in [&b"def"[..], b"", b"", b"", b"box", b""] {
        body.push(text.len() as u8);
        body.extend_from_slice(text);
    }
    body.extend([0x0c, 45, 0, 0, 1, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    append_packet(out, number, &body);
}

/// A result of one text, as rows of text or in the binary form.
fn result(text: &str, binary: bool) -> Vec<u8> {
    let mut out = Vec::new();
    append_packet(&mut out, 1, &[1]);
    column(&mut out, 2);
    append_packet(&mut out, 3, &eof());
    let head: &[u8] = if binary { &[0, 0] } else { &[] };
    append_packet(&mut out, 4, &[head, &[text.len() as u8], text.as_bytes()].concat());
    append_packet(&mut out, 5, &eof());
    out
}

impl Session {
    fn greet(&mut self, peer: &mut Peer) {
        let greeting = HandshakePacket::new(
            10,
            &b"8.0.36"[..],
            7,
            NONCE[..8].try_into().unwrap(),
            Some([&NONCE[8..], &[0]].concat()),
            mysql_packets::capabilities(),
            45,
            StatusFlags::SERVER_STATUS_AUTOCOMMIT,
            Some(&b"mysql_native_password"[..]),
        );
        let (mut body, mut out) = (Vec::new(), Vec::new());
        greeting.serialize(&mut body);
        append_packet(&mut out, 0, &body);
        peer.push(&out);
        self.greeted = true;
    }

    fn prepare(&mut self, text: String) -> Vec<u8> {
        let id = self.prepared.len() as u32 + 1;
        let parameters = text.matches('?').count() as u8;
        self.prepared.insert(id, text);
        let mut out = Vec::new();
        append_packet(&mut out, 1, &[&[0], &id.to_le_bytes()[..], &[1, 0, parameters, 0, 0, 0, 0]].concat());
        for i in 0..parameters {
            column(&mut out, 2 + i);
        }
        if parameters > 0 {
            append_packet(&mut out, 0, &eof());
        }
        column(&mut out, 0);
        append_packet(&mut out, 0, &eof());
        out
    }
}

impl Boxes {
    pub fn new(count: usize) -> Boxes {
        Boxes::on(Stage::new(count, MYSQL))
    }

    /// Boxes on a stage that has a MySQL front.
    pub fn on(stage: Stage) -> Boxes {
        Boxes { stage, sessions: HashMap::new(), runs: Vec::new(), kills: 0, next: Vec::new() }
    }

    /// How to log in.
    pub fn login(&self, password: &str) -> OptsBuilder {
        let port = self.stage.node.address(Front::Mysql).expect("the front listens").port();
        let opts = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(port).prefer_socket(false);
        let opts = opts.user(Some("till")).pass(Some(password));
        opts.max_allowed_packet(Some(1 << 20))
    }

    /// Lets the node and the boxes work off what there is.
    pub fn turn(&mut self) {
        self.stage.turn();
        for house in 0..self.stage.houses.len() {
            let mut i = 0;
            while i < self.stage.houses[house].conns.len() {
                let mut peer = self.stage.houses[house].conns.remove(i);
                if self.serve(house, &mut peer) && !peer.closed {
                    self.stage.houses[house].conns.insert(i, peer);
                    i += 1;
                }
            }
        }
    }

    /// Works off what came on a connection; `false` closes it.
    fn serve(&mut self, house: usize, peer: &mut Peer) -> bool {
        let key = (house, peer.address());
        let mut session = self.sessions.remove(&key).unwrap_or_default();
        if !session.greeted {
            session.greet(peer);
        }
        while let Ok(Some((_, body))) = parse_packet(&peer.input) {
            let body = body.to_vec();
            peer.input.drain(..4 + body.len());
            match self.command(house, &mut session, &body) {
                Some(answer) => peer.push(&answer),
                None => return false,
            }
        }
        self.sessions.insert(key, session);
        true
    }

    fn command(&mut self, house: usize, session: &mut Session, body: &[u8]) -> Option<Vec<u8>> {
        let one = |body: &[u8]| {
            let mut out = Vec::new();
            append_packet(&mut out, 1, body);
            out
        };
        if !session.logged_in {
            let right = scramble_native(NONCE, b"frost").unwrap();
            session.logged_in = body.windows(20).any(|w| w == right);
            let answer = if session.logged_in { ok() } else { error(1045, "28000", "denied") };
            let mut out = Vec::new();
            append_packet(&mut out, 2, &answer);
            return Some(out);
        }
        let text = String::from_utf8_lossy(&body[1..]).into_owned();
        match body[0] {
            2 | 14 => Some(one(&ok())),
            3 if text.starts_with("KILL QUERY 7") => {
                self.kills += 1;
                Some(one(&ok()))
            }
            3 => self.run(house, text, Vec::new(), false),
            22 => Some(session.prepare(text)),
            23 => {
                let id = u32::from_le_bytes(body[1..5].try_into().unwrap());
                if self.next.last() == Some(&Next::Forget) {
                    self.next.pop();
                    session.prepared.clear();
                }
                let Some(text) = session.prepared.get(&id).cloned() else {
                    return Some(one(&error(1243, "HY000", "unknown statement")));
                };
                let bound = [std::mem::take(&mut session.long), body[10..].to_vec()].concat();
                self.run(house, text, bound, true)
            }
            24 => {
                session.long.extend_from_slice(&body[7..]);
                Some(Vec::new())
            }
            25 => Some(Vec::new()),
            _ => None,
        }
    }

    fn run(&mut self, house: usize, text: String, bound: Vec<u8>, binary: bool) -> Option<Vec<u8>> {
        let mut out = Vec::new();
        let writes = text.starts_with("insert");
        self.runs.push(Run { house, text, bound });
        match self.next.pop().unwrap_or(Next::Answer) {
            Next::Answer | Next::Forget if writes => append_packet(&mut out, 1, &ok()),
            Next::Answer | Next::Forget => out = result(&format!("box {house}"), binary),
            Next::Hold => {}
            Next::Drop => return None,
            Next::Error(code) => append_packet(&mut out, 1, &error(code, "HY000", "the box's own words")),
        }
        Some(out)
    }

    /// Runs a client in a thread of its own, and all others here until it is done; `watch` looks on.
    pub fn with_client<T: Send + 'static>(
        &mut self,
        client: impl FnOnce() -> T + Send + 'static,
        mut watch: impl FnMut(&mut Boxes),
    ) -> T {
        let thread = std::thread::spawn(client);
        let from = std::time::Instant::now();
        while !thread.is_finished() {
            assert!(from.elapsed().as_secs() < 20, "a client is left without an answer");
            self.turn();
            watch(self);
        }
        thread.join().expect("the client ends well")
    }

    /// Lets all work until something holds.
    pub fn until(&mut self, what: &str, done: impl Fn(&Boxes) -> bool) {
        let from = std::time::Instant::now();
        while !done(self) {
            assert!(from.elapsed().as_secs() < 20, "never came: {what}");
            self.turn();
        }
    }
}
