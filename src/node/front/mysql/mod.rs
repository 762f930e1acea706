//! The MySQL front: client sessions over the MySQL protocol, with prepared statements.
//!
//! A prepared statement belongs to the client session: the front stores its text and parameter types.
//! Each execution includes the text and the types, because it may run on any engine.
//! Statements that would leave state in an engine's session are refused.
mod eviction;
mod login;
mod run;
mod session;
pub mod statement;
use crate::node::backend::BackendContext;
use crate::node::config::{MysqlSettings, OrderBy};
use crate::node::dispatcher::{
    BoundParameters, ClientHandle, ClientRequest, DispatcherEvent, FinalResponse, Front, Payload,
};
use crate::node::front::cancel_request;
use crate::node::mysql_packets::{self, error};
use crate::node::reactor::{memory_use_and_largest, BufferedSocket, ReadStatus, SocketOwner};
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
use session::Statement;
use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher};
use std::rc::Rc;
use std::sync::Arc;

/// Milliseconds from accepting a connection to the end of the login; the default of MySQL's `connect_timeout`.
const LOGIN_TIMEOUT_MS: f64 = 10_000.0;
/// Maximum number of prepared statements per session.
const MAX_STATEMENTS: usize = 256;
/// Maximum total memory of the prepared statements of a session, in bytes.
const MAX_STATEMENT_BYTES: usize = 2 << 20;
/// Sessions that use at most this many bytes of memory do not trigger a check of the total of all sessions.
const SMALL_SESSION_BYTES: usize = 32 * 1024;
/// Maximum number of parameters of a statement; the protocol has a 16-bit field for the count.
const MAX_PARAMETERS: usize = 65_535;
/// Unwritten output bytes of a session above which its further commands wait.
const MAX_UNWRITTEN_BYTES: usize = 256 * 1024;
/// Most bytes read from one session per event loop iteration, so that a client can't starve the others.
const BYTES_PER_TURN: usize = 64 * 1024;
/// Most commands handled for one session per event loop iteration.
const COMMANDS_PER_TURN: usize = 512;
/// Most input bytes that are buffered for one session: more than both socket buffers of a connection usually hold.
const MAX_INPUT_BYTES: usize = 8 << 20;
/// Most input bytes that are buffered before the login.
const MAX_LOGIN_BYTES: usize = 16 * 1024;
const PLUGIN: &[u8] = b"mysql_native_password";
/// Protocol id of the collation `utf8mb4_general_ci`.
const COLLATION: u8 = 45;

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
const NAME_TOO_LONG: (u16, &str, &str) = (1059, "42000", "Identifier name is too long");
const TOO_MANY_STATEMENTS: (u16, &str, &str) =
    (1461, "42000", "Too many prepared statements in this session");
const PACKET_TOO_LARGE: (u16, &str, &str) = (1153, "08S01", "Got a packet bigger than is taken");
const ACCESS_DENIED: (u16, &str, &str) = (1045, "28000", "Access denied");
const REFUSED: (u16, &str) = (1040, "08004");
const UNSUPPORTED: (u16, &str) = (1235, "42000");
const FAILED: (u16, &str, &str) = (1105, "HY000", "failed; it may have run");
const TIMED_OUT: (u16, &str, &str) = (3024, "HY000", "no answer in time; it may have run");

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The server greeting was sent; waiting for the login response.
    Greeted,
    /// The client was asked to switch to `mysql_native_password`; waiting for its reply.
    AuthSwitched,
    /// Logged in and waiting for a command.
    Ready,
    /// A request is in flight; contains the sequence number of its packet, which the response continues.
    Busy(u8),
}

/// Whether a session stays open after its buffered commands.
enum AfterCommands {
    KeepOpen,
    Close,
}

struct Session {
    socket: BufferedSocket,
    phase: Phase,
    nonce: [u8; 20],
    user: Vec<u8>,
    tenant: Option<Arc<str>>,
    schema: Option<String>,
    statements: HashMap<u32, Statement>,
    next_statement: u32,
    requests: u64,
    /// Time of the connect, the last command or the last response, in milliseconds.
    idle_since: f64,
    /// Whether a further read is scheduled.
    is_unread: bool,
}

/// The MySQL front with its client sessions.
pub struct MysqlFront {
    settings: MysqlSettings,
    /// Per class: whether repeats are allowed, default deadline in ms, whether requests of a key run in order.
    classes: Vec<(Repeat, f64, bool)>,
    sessions: Slab<Session>,
    connections: u32,
    max_total_bytes: usize,
    /// Sessions that have reached a limit per iteration and have commands or input left, each once.
    unread: Vec<SlotKey>,
}

impl MysqlFront {
    /// Creates a front without clients.
    /// `max_total_bytes` limits the memory for buffers and prepared statements of all sessions together.
    pub fn new(settings: MysqlSettings, module: &Settings, max_total_bytes: usize) -> MysqlFront {
        let classes = module.classes.iter().map(|c| (c.repeat, c.deadline.as_millis(), c.in_order)).collect();
        MysqlFront {
            settings,
            classes,
            sessions: Slab::default(),
            connections: 0,
            max_total_bytes,
            unread: Vec::new(),
        }
    }

    /// The number of connected clients.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Creates a session for a new client connection and sends the server greeting.
    pub fn accept(&mut self, stream: TcpStream, context: &mut BackendContext) {
        self.connections = self.connections.wrapping_add(1);
        let nonce = nonce();
        let mut socket = BufferedSocket::new(stream);
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
        mysql_packets::append_packet(&mut out, 0, &body);
        socket.queue_write(&out);
        let key = self.sessions.insert(Session {
            socket,
            phase: Phase::Greeted,
            nonce,
            user: Vec::new(),
            tenant: None,
            schema: None,
            statements: HashMap::new(),
            next_statement: 1,
            requests: 0,
            idle_since: context.now,
            is_unread: false,
        });
        let Some(session) = self.sessions.get_mut(key) else { return };
        if session.socket.register(context.registry, SocketOwner::Mysql(key)).is_err() {
            self.sessions.remove(key);
            return;
        }
        context.timers.set(context.now + LOGIN_TIMEOUT_MS, TimerEvent::MysqlLogin(key));
        self.ready(key, false, context);
    }

    /// Closes a session that did not complete its login within the timeout.
    pub fn login_timed_out(&mut self, key: SlotKey, context: &mut BackendContext) {
        if self.sessions.get(key).is_some_and(|s| matches!(s.phase, Phase::Greeted | Phase::AuthSwitched)) {
            self.close(key, context);
        }
    }

    /// Removes and returns the sessions with commands or input left to handle, which get no further event from the poll.
    pub fn take_unread(&mut self) -> Vec<SlotKey> {
        for key in &self.unread {
            if let Some(session) = self.sessions.get_mut(*key) {
                session.is_unread = false;
            }
        }
        std::mem::take(&mut self.unread)
    }

    fn schedule_read(&mut self, key: SlotKey) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        if !session.is_unread {
            session.is_unread = true;
            self.unread.push(key);
        }
    }

    /// Handles a readiness event, or resumes command processing after a response, up to the limits per iteration.
    /// If the client has closed its side, the session is closed and buffered commands are not processed.
    pub fn ready(&mut self, key: SlotKey, read_closed: bool, context: &mut BackendContext) {
        if read_closed {
            return self.close(key, context);
        }
        let Some(session) = self.sessions.get_mut(key) else { return };
        if session.socket.flush().is_err() {
            return self.close(key, context);
        }
        let max_input = session.max_input_bytes();
        let end = session.socket.read((session.socket.input.len() + BYTES_PER_TURN).min(max_input));
        if !matches!(end, Ok(ReadStatus::Open)) {
            return self.close(key, context);
        }
        // The end of the connection may lie behind the unread input, so no command runs before all input is read.
        if session.socket.read_limit_reached() && session.socket.input.len() < max_input {
            self.schedule_read(key);
        } else if matches!(self.handle_commands(key, context), AfterCommands::Close) {
            return self.close_after_flush(key, context);
        }
        self.resume_later(key, context);
        if self.sessions.get(key).is_some_and(|session| session.memory_bytes() > SMALL_SESSION_BYTES) {
            self.enforce_memory_limit(context);
        }
    }

    /// Handles the buffered commands of a session, up to the limit per iteration, until one is in flight or too much
    /// output is unwritten.
    fn handle_commands(&mut self, key: SlotKey, context: &mut BackendContext) -> AfterCommands {
        let Some(session) = self.sessions.get_mut(key) else { return AfterCommands::KeepOpen };
        let input = std::mem::take(&mut session.socket.input);
        let mut used = 0;
        let mut after = AfterCommands::KeepOpen;
        for _ in 0..COMMANDS_PER_TURN {
            let Some(session) = self.sessions.get_mut(key).filter(|session| session.takes_commands()) else {
                break;
            };
            match mysql_packets::parse_packet(&input[used..]) {
                Ok(None) if input.len() - used >= session.max_input_bytes() => {
                    session.send_error(0, PACKET_TOO_LARGE);
                    after = AfterCommands::Close;
                }
                Ok(None) => break,
                Ok(Some((sequence, body))) => {
                    used += 4 + body.len();
                    if !self.handle_packet(key, sequence, body, context) {
                        after = AfterCommands::Close;
                    }
                }
                Err(too_long) => {
                    session.send_error(too_long.0, PACKET_TOO_LARGE);
                    after = AfterCommands::Close;
                }
            }
            if matches!(after, AfterCommands::Close) {
                break;
            }
        }
        if let Some(session) = self.sessions.get_mut(key) {
            session.socket.input = input;
            session.socket.consume(used);
            if used > 0 && !matches!(session.phase, Phase::Greeted | Phase::AuthSwitched) {
                session.idle_since = context.now;
            }
        }
        after
    }

    /// Writes the output of a session. Schedules the session again if it can go on without an event from the poll: that
    /// reports neither commands that are left in the buffer nor a socket that has taken all output.
    fn resume_later(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(session) = self.sessions.get_mut(key) else { return };
        if session.socket.flush().is_err() {
            return self.close(key, context);
        }
        let has_command = !matches!(mysql_packets::parse_packet(&session.socket.input), Ok(None));
        let has_unread = session.socket.read_limit_reached();
        if session.takes_commands() && (has_command || has_unread) {
            self.schedule_read(key);
        }
    }

    /// Closes a session after the client has read the remaining output.
    fn close_after_flush(&mut self, key: SlotKey, context: &mut BackendContext) {
        if let Some(session) = self.remove(key, context) {
            context.closing.add(session.socket, context.now, context.registry, context.timers);
        }
    }

    fn close(&mut self, key: SlotKey, context: &mut BackendContext) {
        drop(self.remove(key, context));
    }

    fn remove(&mut self, key: SlotKey, context: &mut BackendContext) -> Option<Session> {
        let session = self.sessions.remove(key)?;
        if matches!(session.phase, Phase::Busy(_)) {
            cancel_request(
                ClientHandle { front: Front::Mysql, conn: key, id: session.requests },
                context.events,
            );
        }
        Some(session)
    }

    /// Sends a response if the client still waits for it, then continues with the next command.
    pub fn respond(&mut self, client: ClientHandle, response: FinalResponse, context: &mut BackendContext) {
        let Some(session) = self.sessions.get_mut(client.conn).filter(|s| s.requests == client.id) else {
            return;
        };
        let Phase::Busy(sequence) = session.phase else { return };
        session.phase = Phase::Ready;
        session.idle_since = context.now;
        match response {
            FinalResponse::Served(mut body) => {
                mysql_packets::renumber(&mut body, sequence.wrapping_add(1));
                session.socket.queue_write(&body);
            }
            FinalResponse::Error(body) => session.reply(sequence, &body),
            FinalResponse::Rejected { backoff_ms } => {
                let back = backoff_ms.ceil().max(1.0);
                let message = format!("refused, not run; come back in {back} ms");
                session.send_error(sequence, (REFUSED.0, REFUSED.1, &message));
            }
            FinalResponse::TimedOut => session.send_error(sequence, TIMED_OUT),
            FinalResponse::Failed => session.send_error(sequence, FAILED),
        }
        self.ready(client.conn, false, context);
    }

    /// Enforces the memory limit over all sessions: above it, the session that uses the most memory is closed.
    fn enforce_memory_limit(&mut self, context: &mut BackendContext) {
        let (total, most) =
            memory_use_and_largest(self.sessions.iter().map(|(key, s)| (s.memory_bytes(), key)));
        if let Some(key) = most.filter(|_| total > self.max_total_bytes) {
            context.log.push(format!("slow client: closed, bytes={total}"));
            self.close(key, context);
        }
    }

    /// Closes sessions without a request in flight or partial input or output; used by the graceful shutdown.
    pub fn close_idle(&mut self, context: &mut BackendContext) {
        for key in self.sessions.keys() {
            self.ready(key, false, context); // Handles input received since the poll, lest closing discard it.
            let is_busy = |s: &Session| matches!(s.phase, Phase::Busy(_));
            let is_idle = |s: &Session| {
                let has_input = !s.socket.input.is_empty() || s.socket.read_limit_reached();
                !is_busy(s) && s.socket.unsent_bytes() == 0 && !has_input
            };
            if self.sessions.get(key).is_some_and(is_idle) {
                self.close_after_flush(key, context);
            }
        }
    }
}

/// Generates the 20-byte authentication challenge: unpredictable nonzero bytes seeded by the system.
fn nonce() -> [u8; 20] {
    let mut nonce = [0; 20];
    for chunk in nonce.chunks_mut(8) {
        let random = RandomState::new().build_hasher().finish().to_le_bytes();
        chunk.iter_mut().zip(random).for_each(|(to, from)| *to = from % 94 + 33);
    }
    nonce
}
