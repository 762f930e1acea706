//! Minimal MySQL servers that act as engines in the tests of the MySQL front, written from the public protocol. They
//! record every statement that they execute, and a test chooses how the next execution is answered.
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

/// How an engine responds to the execution of a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    Answer,
    /// Sends no response, and leaves the connection open until the node closes it.
    Hold,
    /// Closes the connection without a response.
    Drop,
    /// Responds with an ERR packet with this error code.
    Error(u16),
    /// Answers with an OK packet that tells of an open transaction.
    OpenTransaction,
    /// Discards the session's prepared statements first, so that the execution fails with "unknown statement".
    Forget,
}

/// A query whose result is the name of the database in which it runs.
pub const WHICH_DATABASE: &str = "select database()";

/// The result of [`WHICH_DATABASE`] on a connection without a default database.
pub const NO_DATABASE: &str = "none";

/// One executed statement: the engine's index, the default database for its unqualified table names, the SQL text and
/// the bytes of the bound parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    pub house: usize,
    pub database: Option<String>,
    pub text: String,
    pub bound: Vec<u8>,
    /// The node's end of the connection.
    pub connection: Option<std::net::SocketAddr>,
}

/// A prepared statement. As in MySQL, its unqualified table names belong to the database that was the default when it
/// was prepared.
#[derive(Clone)]
struct Prepared {
    text: String,
    database: Option<String>,
}

#[derive(Default)]
struct Session {
    connection: Option<std::net::SocketAddr>,
    logged_in: bool,
    greeted: bool,
    database: Option<String>,
    prepared: HashMap<u32, Prepared>,
    long: Vec<u8>,
}

pub struct Boxes {
    pub stage: Stage,
    sessions: HashMap<(usize, std::net::SocketAddr), Session>,
    pub runs: Vec<Run>,
    pub kills: usize,
    /// Seconds since the start of the engines' processes, as the engines report them.
    pub uptime_seconds: u64,
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

/// Encodes a result set with one row and one text column, in the text or the binary protocol.
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

/// Encodes a result set with the name and the value of a status variable.
fn status_row(name: &str, value: u64) -> Vec<u8> {
    let value = value.to_string();
    let mut out = Vec::new();
    append_packet(&mut out, 1, &[2]);
    column(&mut out, 2);
    column(&mut out, 3);
    append_packet(&mut out, 4, &eof());
    let fields = [name, &value].map(|field| [&[field.len() as u8], field.as_bytes()].concat());
    append_packet(&mut out, 5, &fields.concat());
    append_packet(&mut out, 6, &eof());
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
        self.prepared.insert(id, Prepared { text, database: self.database.clone() });
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

impl Session {
    /// Changes the default database as the statements `use NAME` and `drop database NAME` do.
    fn change_database(&mut self, text: &str) {
        if let Some(name) = text.strip_prefix("use ") {
            self.database = Some(name.to_owned());
        }
        let dropped = text.strip_prefix("drop database ");
        if dropped.is_some() && dropped == self.database.as_deref() {
            self.database = None;
        }
    }
}

impl Boxes {
    pub fn new(count: usize) -> Boxes {
        Boxes::on(Stage::new(count, MYSQL))
    }

    /// MySQL engines for a stage whose configuration has a MySQL front.
    pub fn on(stage: Stage) -> Boxes {
        Boxes {
            stage,
            sessions: HashMap::new(),
            runs: Vec::new(),
            kills: 0,
            uptime_seconds: 1_000_000,
            next: Vec::new(),
        }
    }

    /// Options for a client's login at the MySQL front, with this password.
    pub fn login(&self, password: &str) -> OptsBuilder {
        let port = self.stage.node.address(Front::Mysql).expect("the MySQL front is listening").port();
        let opts = OptsBuilder::new().ip_or_hostname(Some("127.0.0.1")).tcp_port(port).prefer_socket(false);
        let opts = opts.user(Some("till")).pass(Some(password));
        opts.max_allowed_packet(Some(1 << 20))
    }

    /// Runs the node's event loop once, then answers all packets that the engines have received.
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

    /// Answers the packets received on an engine's connection. Returns `false` if the engine closes the connection.
    fn serve(&mut self, house: usize, peer: &mut Peer) -> bool {
        let key = (house, peer.address());
        let mut session = self.sessions.remove(&key).unwrap_or_default();
        session.connection = Some(key.1);
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
        let single_packet = |body: &[u8]| {
            let mut out = Vec::new();
            append_packet(&mut out, 1, body);
            out
        };
        if !session.logged_in {
            let expected_scramble = scramble_native(NONCE, b"frost").unwrap();
            session.logged_in = body.windows(20).any(|w| w == expected_scramble);
            let answer = if session.logged_in { ok() } else { error(1045, "28000", "denied") };
            let mut out = Vec::new();
            append_packet(&mut out, 2, &answer);
            return Some(out);
        }
        let text = String::from_utf8_lossy(&body[1..]).into_owned();
        match body[0] {
            2 => {
                session.database = Some(text);
                Some(single_packet(&ok()))
            }
            14 => Some(single_packet(&ok())),
            3 if text.starts_with("KILL QUERY 7") => {
                self.kills += 1;
                Some(single_packet(&ok()))
            }
            3 if text == "SHOW GLOBAL STATUS LIKE 'Uptime'" => {
                Some(status_row("Uptime", self.uptime_seconds))
            }
            3 => {
                let statement = Prepared { text, database: session.database.clone() };
                self.run(house, session, statement, Vec::new(), false)
            }
            22 => Some(session.prepare(text)),
            23 => {
                let id = u32::from_le_bytes(body[1..5].try_into().unwrap());
                if self.next.last() == Some(&Next::Forget) {
                    self.next.pop();
                    session.prepared.clear();
                }
                let Some(statement) = session.prepared.get(&id).cloned() else {
                    return Some(single_packet(&error(1243, "HY000", "unknown statement")));
                };
                let bound = [std::mem::take(&mut session.long), body[10..].to_vec()].concat();
                self.run(house, session, statement, bound, true)
            }
            24 => {
                session.long.extend_from_slice(&body[7..]);
                Some(Vec::new())
            }
            25 => Some(Vec::new()),
            _ => None,
        }
    }

    fn run(
        &mut self,
        house: usize,
        session: &mut Session,
        statement: Prepared,
        bound: Vec<u8>,
        binary: bool,
    ) -> Option<Vec<u8>> {
        let mut out = Vec::new();
        let Prepared { text, database } = statement;
        session.change_database(&text);
        let returns_ok = ["insert", "use", "drop", "call"].iter().any(|verb| text.starts_with(verb));
        let answer = match &database {
            _ if text != WHICH_DATABASE => format!("box {house}"),
            Some(database) => database.clone(),
            None => NO_DATABASE.to_owned(),
        };
        let connection = session.connection;
        self.runs.push(Run { house, database, text, bound, connection });
        match self.next.pop().unwrap_or(Next::Answer) {
            Next::Answer | Next::Forget if returns_ok => append_packet(&mut out, 1, &ok()),
            Next::Answer | Next::Forget => out = result(&answer, binary),
            Next::OpenTransaction => {
                let status = StatusFlags::SERVER_STATUS_AUTOCOMMIT | StatusFlags::SERVER_STATUS_IN_TRANS;
                append_packet(&mut out, 1, &[&[0, 0, 0][..], &status.bits().to_le_bytes(), &[0, 0]].concat());
            }
            Next::Hold => {}
            Next::Drop => return None,
            Next::Error(code) => append_packet(&mut out, 1, &error(code, "HY000", "the box's own words")),
        }
        Some(out)
    }

    /// Runs a client on a separate thread, and the node and the engines on this thread until the client ends. `watch`
    /// is called after every turn of the event loop.
    pub fn with_client<T: Send + 'static>(
        &mut self,
        client: impl FnOnce() -> T + Send + 'static,
        mut watch: impl FnMut(&mut Boxes),
    ) -> T {
        let thread = std::thread::spawn(client);
        let started = std::time::Instant::now();
        while !thread.is_finished() {
            assert!(started.elapsed().as_secs() < 20, "the client got no answer within 20 s");
            self.turn();
            watch(self);
        }
        thread.join().expect("the client thread panicked")
    }

    /// Runs the node and the engines until the condition `done` is true. Panics after 20 s; `what` names the condition.
    pub fn until(&mut self, what: &str, done: impl Fn(&Boxes) -> bool) {
        let started = std::time::Instant::now();
        while !done(self) {
            assert!(started.elapsed().as_secs() < 20, "timed out waiting for: {what}");
            self.turn();
        }
    }
}
