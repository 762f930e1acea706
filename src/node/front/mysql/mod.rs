//! The MySQL front: sessions of clients that speak the MySQL wire, with prepared statements.
//!
//! A prepared statement belongs to the session. The front keeps its text and the types of its parameters, and each
//! execution carries them to whichever box it goes to. What would leave state in a box's session is refused.
mod login;
mod run;
mod session;
pub mod statement;
use crate::node::backend::BackendContext;
use crate::node::config::{MysqlSettings, OrderBy};
use crate::node::dispatcher::{
    Bound, ClientHandle, ClientRequest, DispatcherEvent, FinalResponse, Front, Payload,
};
use crate::node::front::withdraw;
use crate::node::mysql_packets::{self, error, PACKET_MOST};
use crate::node::reactor::{heaviest, BufferedSocket, ReadEnd, SocketOwner};
use crate::node::slab::{Slab, SlotKey};
use crate::node::table_group;
use crate::node::timer_queue::TimerEvent;
use crate::Repeat;
use crate::Settings;
use mio::net::TcpStream;
use mysql_common::constants::{CapabilityFlags, Command, StatusFlags};
use mysql_common::io::ParseBuf;
use mysql_common::packets::{HandshakePacket, HandshakeResponse};
use mysql_common::proto::MySerialize;
use mysql_common::scramble::scramble_native;
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;
use std::sync::Arc;

const LOGIN_MS: f64 = 10_000.0; // from connecting to the end of the login, as MySQL's connect_timeout
const STATEMENTS_MOST: usize = 256; // prepared at one time in one session
const SESSION_MOST: usize = 2 << 20; // bytes of their texts and long values
const SESSION_LIGHT: usize = 32 * 1024; // bytes of one session that call for no look at all of them
const PARAMETERS_MOST: usize = 65_535; // the wire counts them in 16 bits
const OUT_HIGH: usize = 256 * 1024; // unwritten bytes past which no further command is taken
const PLUGIN: &[u8] = b"mysql_native_password";
const COLLATION: u8 = 45; // utf8mb4_general_ci

const QUIT: u8 = Command::COM_QUIT as u8;
const PING: u8 = Command::COM_PING as u8;
const INIT_DB: u8 = Command::COM_INIT_DB as u8;
const RESET_CONNECTION: u8 = Command::COM_RESET_CONNECTION as u8;
const QUERY: u8 = Command::COM_QUERY as u8;
const STMT_PREPARE: u8 = Command::COM_STMT_PREPARE as u8;
const STMT_EXECUTE: u8 = Command::COM_STMT_EXECUTE as u8;
const STMT_SEND_LONG_DATA: u8 = Command::COM_STMT_SEND_LONG_DATA as u8;
const STMT_CLOSE: u8 = Command::COM_STMT_CLOSE as u8;
const STMT_RESET: u8 = Command::COM_STMT_RESET as u8;
const STMT_FETCH: u8 = Command::COM_STMT_FETCH as u8;
const CHANGE_USER: u8 = Command::COM_CHANGE_USER as u8;
const SET_OPTION: u8 = Command::COM_SET_OPTION as u8;
const PROCESS_KILL: u8 = Command::COM_PROCESS_KILL as u8;
const FIELD_LIST: u8 = Command::COM_FIELD_LIST as u8;

const MALFORMED: (u16, &str, &str) = (1835, "HY000", "Malformed communication packet");
const UNKNOWN_STATEMENT: (u16, &str, &str) = (1243, "HY000", "Unknown prepared statement handler");
const UNKNOWN_COMMAND: (u16, &str, &str) = (1047, "08S01", "Unknown command");
const WRONG_ARGUMENTS: (u16, &str, &str) = (1210, "HY000", "Incorrect arguments to EXECUTE");
const TOO_MANY: (u16, &str, &str) = (1461, "42000", "Too many prepared statements in this session");
const TOO_LONG: (u16, &str, &str) = (1153, "08S01", "Got a packet bigger than is taken");
const DENIED: (u16, &str, &str) = (1045, "28000", "Access denied");
const REFUSED: (u16, &str) = (1040, "08004");
const UNSUPPORTED: (u16, &str) = (1235, "42000");
const FAILED: (u16, &str, &str) = (1105, "HY000", "failed; it may have run");
const TIMED_OUT: (u16, &str, &str) = (3024, "HY000", "no answer in time; it may have run");

#[derive(Debug)]
struct Statement {
    text: Vec<u8>,
    parameters: usize,
    types: Vec<u8>,
    long: BTreeMap<u16, Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The greeting is sent.
    Greeted,
    /// The client was asked to answer in our way.
    Switched,
    /// Logged in.
    Ready,
    /// A request is out; its answer follows the packet of this number.
    Busy(u8),
}

struct Session {
    link: BufferedSocket,
    phase: Phase,
    nonce: [u8; 20],
    user: Vec<u8>,
    tenant: Option<Arc<str>>,
    schema: Option<String>,
    statements: HashMap<u32, Statement>,
    next_statement: u32,
    requests: u64,
}

impl Session {
    fn weight(&self) -> usize {
        self.link.waiting() + self.link.input.len() + self.bytes()
    }
    fn bytes(&self) -> usize {
        let long = |s: &Statement| s.long.values().map(Vec::len).sum::<usize>();
        self.statements.values().map(|s| s.text.len() + s.types.len() + long(s)).sum()
    }
    fn reply(&mut self, after: u8, body: &[u8]) {
        let mut out = Vec::new();
        mysql_packets::push(&mut out, after.wrapping_add(1), body);
        self.link.put(&out);
    }
    fn wrong(&mut self, after: u8, (code, state, message): (u16, &str, &str)) {
        self.reply(after, &error(code, state, message));
    }
}

/// The clients of the MySQL front.
pub struct MysqlFront {
    settings: MysqlSettings,
    /// Whether a class may be repeated, its time, and whether it keeps the order of a key.
    classes: Vec<(Repeat, f64, bool)>,
    sessions: Slab<Session>,
    connections: u32,
    total_most: usize,
}

impl MysqlFront {
    /// A front without clients. What waits and is kept in all sessions is bounded by `total_most` bytes.
    pub fn new(settings: MysqlSettings, module: &Settings, total_most: usize) -> MysqlFront {
        let classes = module.classes.iter().map(|c| (c.repeat, c.deadline.as_millis(), c.in_order)).collect();
        MysqlFront { settings, classes, sessions: Slab::default(), connections: 0, total_most }
    }

    /// Connected clients.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// A client has connected: greets it.
    pub fn accept(&mut self, stream: TcpStream, context: &mut BackendContext) {
        self.connections = self.connections.wrapping_add(1);
        let nonce = nonce();
        let mut link = BufferedSocket::new(stream);
        let (first, rest) = nonce.split_at(8);
        let first: [u8; 8] = first.try_into().unwrap_or_default();
        let greeting = HandshakePacket::new(
            10,
            &b"8.0.36-beamgap"[..],
            self.connections,
            first,
            Some([rest, &[0]].concat()),
            mysql_packets::capabilities(),
            COLLATION,
            StatusFlags::SERVER_STATUS_AUTOCOMMIT,
            Some(PLUGIN),
        );
        let (mut body, mut out) = (Vec::new(), Vec::new());
        greeting.serialize(&mut body);
        mysql_packets::push(&mut out, 0, &body);
        link.put(&out);
        let key = self.sessions.insert(Session {
            link,
            phase: Phase::Greeted,
            nonce,
            user: Vec::new(),
            tenant: None,
            schema: None,
            statements: HashMap::new(),
            next_statement: 1,
            requests: 0,
        });
        let Some(session) = self.sessions.get_mut(key) else { return };
        if session.link.watch(context.registry, SocketOwner::Mysql(key)).is_err() {
            self.sessions.remove(key);
            return;
        }
        context.timers.set(context.now + LOGIN_MS, TimerEvent::MysqlLogin(key));
        self.ready(key, false, context);
    }

    /// Lets a client go that has not logged in.
    pub fn login_over(&mut self, key: SlotKey, context: &mut BackendContext) {
        if self.sessions.get(key).is_some_and(|s| matches!(s.phase, Phase::Greeted | Phase::Switched)) {
            self.close(key, context);
        }
    }

    /// A socket has something to say, or a command may be taken again. A client that has closed its side is gone, however
    /// much it has sent before.
    pub fn ready(&mut self, key: SlotKey, read_closed: bool, context: &mut BackendContext) {
        if read_closed {
            return self.close(key, context);
        }
        loop {
            let Some(session) = self.sessions.get_mut(key) else { return };
            if session.link.flush().is_err() {
                return self.close(key, context);
            }
            let end = session.link.read(PACKET_MOST + 8);
            let mut more = session.link.has_more();
            while let Some(session) = self.sessions.get_mut(key) {
                if matches!(session.phase, Phase::Busy(_)) || session.link.waiting() > OUT_HIGH {
                    more = false; // The answer, or a client that takes it, brings us back here.
                    break;
                }
                match mysql_packets::packet(&session.link.input) {
                    Ok(None) => break,
                    Ok(Some((number, body))) => {
                        let body = body.to_vec();
                        session.link.used(4 + body.len());
                        if !self.packet(key, number, &body, context) {
                            return self.part(key, context);
                        }
                    }
                    Err(too_long) => {
                        session.wrong(too_long.0, TOO_LONG);
                        return self.part(key, context);
                    }
                }
            }
            let Some(session) = self.sessions.get_mut(key) else { return };
            let broken = session.link.flush().is_err();
            if broken || !matches!(end, Ok(ReadEnd::Open)) {
                return self.close(key, context);
            }
            if !more {
                break;
            }
        }
        if self.sessions.get(key).is_some_and(|session| session.weight() > SESSION_LIGHT) {
            self.bound_total(context);
        }
    }

    /// Lets a client go, which may first read what is written.
    fn part(&mut self, key: SlotKey, context: &mut BackendContext) {
        if let Some(session) = self.remove(key, context) {
            context.closing.add(session.link, context.now, context.registry, context.timers);
        }
    }

    fn close(&mut self, key: SlotKey, context: &mut BackendContext) {
        drop(self.remove(key, context));
    }

    fn remove(&mut self, key: SlotKey, context: &mut BackendContext) -> Option<Session> {
        let session = self.sessions.remove(key)?;
        if matches!(session.phase, Phase::Busy(_)) {
            withdraw(ClientHandle { front: Front::Mysql, conn: key, id: session.requests }, context.heard);
        }
        Some(session)
    }

    /// Writes an answer, if its client still waits for it, and takes the next command.
    pub fn answer(&mut self, asker: ClientHandle, answer: FinalResponse, context: &mut BackendContext) {
        let Some(session) = self.sessions.get_mut(asker.conn).filter(|s| s.requests == asker.id) else {
            return;
        };
        let Phase::Busy(number) = session.phase else { return };
        session.phase = Phase::Ready;
        match answer {
            FinalResponse::Served(mut body) => {
                mysql_packets::renumber(&mut body, number.wrapping_add(1));
                session.link.put(&body);
            }
            FinalResponse::Error(body) => session.reply(number, &body),
            FinalResponse::Refused { backoff_ms } => {
                let back = backoff_ms.ceil().max(1.0);
                let message = format!("refused, not run; come back in {back} ms");
                session.wrong(number, (REFUSED.0, REFUSED.1, &message));
            }
            FinalResponse::TimedOut => session.wrong(number, TIMED_OUT),
            FinalResponse::Failed => session.wrong(number, FAILED),
        }
        self.ready(asker.conn, false, context);
    }

    /// Guards the memory limit against many sessions that take nothing or keep much: the heaviest goes.
    fn bound_total(&mut self, context: &mut BackendContext) {
        let (total, most) = heaviest(self.sessions.iter().map(|(key, s)| (s.weight(), key)));
        if let Some(key) = most.filter(|_| total > self.total_most) {
            context.log.push(format!("slow client: closed, bytes={total}"));
            self.close(key, context);
        }
    }

    /// Closes the sessions in which nothing is open or half said; used in a graceful shutdown.
    pub fn close_quiet(&mut self, context: &mut BackendContext) {
        for key in self.sessions.keys() {
            self.ready(key, false, context); // What came since the poll is not to be lost by a close over it.
            let is_busy = |s: &Session| matches!(s.phase, Phase::Busy(_));
            let is_quiet = |s: &Session| !is_busy(s) && s.link.waiting() == 0 && s.link.input.is_empty();
            if self.sessions.get(key).is_some_and(is_quiet) {
                self.part(key, context);
            }
        }
    }
}

/// Twenty bytes that nobody can foresee, none of them zero, from the system's own randomness.
fn nonce() -> [u8; 20] {
    let mut nonce = [0; 20];
    for chunk in nonce.chunks_mut(8) {
        let random = RandomState::new().build_hasher().finish().to_le_bytes();
        chunk.iter_mut().zip(random).for_each(|(to, from)| *to = from % 94 + 33);
    }
    nonce
}
