//! Backend for MySQL servers: login, prepared statements and attempt outcomes.
//! A statement is prepared on the server that executes it; a connection runs at most one attempt at a time.

use super::engine_registry::EngineRegistry;
use super::BackendContext;
mod connection;
mod kill;
mod pool;
mod wire;

use crate::node::config::MysqlSettings;
use crate::node::discovery::ListedEngine;
use crate::node::dispatcher::{
    AttemptRef, AttemptStart, BoundParameters, DispatcherEvent, FinalResponse, FinishedAttempt, Payload,
};
use crate::node::mysql_packets::{self, PacketEffect, ResponseState, MAX_PACKET_BYTES};
use crate::node::reactor::{BufferedSocket, ReadStatus, SocketOwner};
use crate::node::slab::{Slab, SlotKey};
use crate::node::timer_queue::TimerEvent;
use crate::{EngineId, ListKind, Outcome};
use kill::{Kill, UptimeResult};
use mysql_common::constants::Command;
use mysql_common::io::ParseBuf;
use mysql_common::packets::{AuthPlugin, HandshakePacket, HandshakeResponse};
use mysql_common::proto::MySerialize;
use mysql_common::scramble::{scramble_native, scramble_sha256};
use std::collections::HashMap;
use std::rc::Rc;

/// Milliseconds from the start of a dial to the end of the login; a server under load may need several hundred.
const LOGIN_TIMEOUT_MS: f64 = 1500.0;
/// Milliseconds between periodic checks of a connection.
const CHECK_INTERVAL_MS: f64 = 1000.0;
/// Fraction of the server idle timeout after which this side closes, so that no command races with the server's close.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Maximum bytes of a result that is buffered in memory; a larger result fails the statement.
const MAX_RESULT_BYTES: usize = 4 << 20;
/// Maximum number of prepared statements per connection; the oldest is closed beyond this.
const MAX_PREPARED: usize = 64;
const NATIVE_PLUGIN: &[u8] = b"mysql_native_password";
const SHA2_PLUGIN: &[u8] = b"caching_sha2_password";

/// Error codes for exceeded connection or user limits of the server; the statement did not run.
const CONNECTION_LIMIT_ERRORS: &[u16] = &[1040, 1203, 1226];
/// Error codes for a failing server or an interrupted statement; the statement may have run.
const SERVER_ERRORS: &[u16] = &[1053, 1077, 1079, 1152, 1158, 1159, 1160, 1161, 1317, 2006, 2013, 3024, 3169];
/// Error code for an unknown prepared statement handle; the statement did not run.
const UNKNOWN_STATEMENT: u16 = 1243;

/// Identifies a prepared statement: schema and statement text.
type StatementKey = (Option<String>, Vec<u8>);

#[derive(Debug)]
struct Job {
    attempt: AttemptRef,
    payload: Rc<Payload>,
    /// Whether the query or execute command was written, at least in part; the server may run it from then on.
    sent: bool,
    /// Whether the statement was already prepared again for this job, which happens at most once.
    reprepared: bool,
}

#[derive(Debug)]
enum Phase {
    Dialling,
    Greeting,
    /// The login response was sent; the server may still request another authentication plugin.
    Login,
    Idle,
    /// Waiting for the reply to `COM_INIT_DB`.
    Schema,
    /// Waiting for the prepare reply (`None`), then for definition packets (statement id, packets left).
    Preparing(Option<(u32, u64)>),
    /// Receiving the result of a query or an execution.
    Running(ResponseState),
    /// Receiving the uptime of the server, to learn whether it is the process whose statement is to be killed.
    CheckingUptime(UptimeResult),
    /// Waiting for the reply to `KILL QUERY` for another connection; the reply is ignored.
    Killing,
}

#[derive(Debug)]
struct Connection {
    engine: EngineId,
    socket: BufferedSocket,
    phase: Phase,
    dialed_at: f64,
    last_used: f64,
    /// The server's id of this connection, for `KILL QUERY`.
    server_connection_id: u32,
    nonce: Vec<u8>,
    schema: Option<String>,
    prepared: HashMap<StatementKey, u32>,
    prepare_order: Vec<StatementKey>,
    job: Option<Job>,
    /// `KILL QUERY` that this connection has to send.
    kill: Option<Kill>,
    answer: Vec<u8>,
    /// Whether the last response left a transaction open, or autocommit off.
    in_transaction: bool,
}

fn statement_key(payload: &Payload) -> StatementKey {
    (payload.schema.clone(), payload.statement.clone())
}

/// The pool of connections to MySQL servers.
pub struct MysqlBackend {
    settings: MysqlSettings,
    dial_timeout_ms: f64,
    idle_timeout_ms: f64,
    max_connections: usize,
    max_result_bytes_total: usize,
    engines: EngineRegistry,
    connections: Slab<Connection>,
    placements: HashMap<AttemptRef, SlotKey>,
}

/// Whether a connection stays open after a packet.
enum AfterPacket {
    KeepOpen,
    Close,
}

impl MysqlBackend {
    /// Creates a pool without servers. `sockets` limits the descriptors of the pool;
    /// `max_result_bytes_total` limits the bytes of all partially received results together.
    pub fn new(
        settings: MysqlSettings,
        dial_ms: f64,
        idle_ms: f64,
        sockets: usize,
        max_result_bytes_total: usize,
    ) -> MysqlBackend {
        MysqlBackend {
            settings,
            dial_timeout_ms: dial_ms,
            idle_timeout_ms: idle_ms * IDLE_TIMEOUT_SHARE,
            max_connections: sockets,
            max_result_bytes_total,
            engines: EngineRegistry::default(),
            connections: Slab::default(),
            placements: HashMap::new(),
        }
    }

    /// Applies an engine list. Unsent attempts of servers that accept no new work end as overloaded.
    pub fn update_engines(&mut self, kind: ListKind, engines: &[ListedEngine], context: &mut BackendContext) {
        let connections = &self.connections;
        let dialed_at = |key| connections.get(key).map_or(f64::INFINITY, |conn| conn.dialed_at);
        for key in self.engines.apply(kind, engines, dialed_at) {
            self.close(key, Outcome::Reset, context);
        }
        for key in self.connections.keys() {
            let Some(conn) = self.connections.get_mut(key) else { continue };
            if self.engines.serving(&conn.engine).is_some() || conn.kill.is_some() {
                continue;
            }
            if !conn.job.as_ref().is_some_and(|job| job.sent) {
                if let Some(job) = conn.job.take() {
                    self.placements.remove(&job.attempt);
                    let ended = FinishedAttempt::bare(job.attempt, Outcome::Overloaded);
                    context.events.push(DispatcherEvent::AttemptEnded(ended));
                }
                self.close(key, Outcome::Reset, context);
            }
        }
    }

    /// Whether an attempt is assigned to a connection of this backend.
    pub fn has_attempt(&self, at: AttemptRef) -> bool {
        self.placements.contains_key(&at)
    }

    /// Cancels an attempt. A sent attempt is killed over another connection and its own connection is closed, so that
    /// a late result cannot match another statement. With `report_end`, the end is reported at once.
    pub fn cancel(&mut self, at: AttemptRef, report_end: bool, context: &mut BackendContext) {
        if report_end {
            context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(at, Outcome::Cancelled)));
        }
        let Some(key) = self.placements.remove(&at) else { return };
        let Some(conn) = self.connections.get_mut(key) else { return };
        let sent = conn.job.take().is_some_and(|job| job.sent);
        if !sent {
            // A connection that is still logging in stays usable; in other phases a reply is outstanding.
            if !matches!(conn.phase, Phase::Dialling | Phase::Greeting | Phase::Login) {
                self.close(key, Outcome::Cancelled, context);
            }
            return;
        }
        let engine = conn.engine.clone();
        let kill = Kill { connection_id: conn.server_connection_id, dialed_at: conn.dialed_at };
        self.close(key, Outcome::Cancelled, context);
        self.send_kill(&engine, kill, context);
    }

    /// Ends an attempt as not sent if its command was not written; else does nothing.
    pub fn cancel_if_unsent(&mut self, at: AttemptRef, context: &mut BackendContext) {
        let Some(key) = self.placements.get(&at) else { return };
        if self.connections.get(*key).and_then(|conn| conn.job.as_ref()).is_some_and(|job| !job.sent) {
            self.cancel(at, false, context);
            context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(at, Outcome::NotSent)));
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, id: &EngineId, context: &mut BackendContext) {
        for key in self.engines.connections(id).to_vec() {
            if self.connections.get(key).is_some_and(|conn| matches!(conn.phase, Phase::Idle)) {
                self.close(key, Outcome::Reset, context);
            }
        }
    }

    fn flush(&mut self, key: SlotKey, context: &mut BackendContext) {
        let broken = self.connections.get_mut(key).is_some_and(|conn| conn.socket.flush().is_err());
        if broken {
            self.close(key, Outcome::Reset, context);
        }
    }

    /// Handles a readiness event of a connection: completes the dial, reads packets and writes buffered commands.
    pub fn ready(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        if matches!(conn.phase, Phase::Dialling) {
            match conn.socket.connect_result() {
                None => return,
                Some(Err(_)) => return self.close(key, Outcome::ConnectFailed, context),
                Some(Ok(())) => {
                    conn.phase = Phase::Greeting;
                    context.timers.set(conn.dialed_at + LOGIN_TIMEOUT_MS, TimerEvent::MysqlBackend(key));
                }
            }
        }
        loop {
            let Some(conn) = self.connections.get_mut(key) else { return };
            let end = conn.socket.read(MAX_PACKET_BYTES + 8);
            let input = std::mem::take(&mut conn.socket.input);
            let mut used = 0;
            let mut failed = false;
            while let Ok(Some((sequence, body))) = mysql_packets::parse_packet(&input[used..]) {
                used += 4 + body.len();
                if matches!(self.handle_packet(key, sequence, body, context), AfterPacket::Close) {
                    failed = true;
                    break;
                }
            }
            failed |= mysql_packets::parse_packet(&input[used..]).is_err();
            let Some(conn) = self.connections.get_mut(key) else { return };
            conn.socket.input = input;
            conn.socket.consume(used);
            let more = conn.socket.read_limit_reached();
            if failed || !matches!(end, Ok(ReadStatus::Open)) {
                return self.close(key, Outcome::Reset, context);
            }
            if !more {
                return self.flush(key, context);
            }
        }
    }

    /// Ends the attempt on a connection and makes the connection available for the next command, unless the state of its
    /// session is no longer known: the next command may be that of another client.
    fn end_attempt(
        &mut self,
        key: SlotKey,
        outcome: Outcome,
        response: Option<FinalResponse>,
        context: &mut BackendContext,
    ) -> AfterPacket {
        let Some(conn) = self.connections.get_mut(key) else { return AfterPacket::Close };
        conn.answer = Vec::new();
        let mut is_session_known = !conn.in_transaction;
        if let Some(job) = conn.job.take() {
            is_session_known &= !(job.sent && job.payload.may_change_session);
            self.placements.remove(&job.attempt);
            let ended = FinishedAttempt { response, ..FinishedAttempt::bare(job.attempt, outcome) };
            context.events.push(DispatcherEvent::AttemptEnded(ended));
        }
        conn.advance(context.now);
        let serving = self.engines.serving(&conn.engine).is_some();
        if is_session_known && (serving || conn.kill.is_some()) {
            AfterPacket::KeepOpen
        } else {
            AfterPacket::Close
        }
    }

    /// Closes a connection. An attempt that was sent ends with `outcome`; an unsent one ends as a connect failure.
    fn close(&mut self, key: SlotKey, outcome: Outcome, context: &mut BackendContext) {
        let Some(conn) = self.connections.remove(key) else { return };
        self.engines.remove_connection(&conn.engine, key);
        if let Some(kill) = conn.kill {
            kill.log_not_sent(&conn.engine, context);
        }
        if let Some(job) = conn.job {
            self.placements.remove(&job.attempt);
            let outcome = if job.sent { outcome } else { Outcome::ConnectFailed };
            context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(job.attempt, outcome)));
        }
    }

    /// Periodic check of a connection: connect, login and idle timeouts.
    pub fn check_connection(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.connections.get(key) else { return };
        let age = context.now - conn.dialed_at;
        match conn.phase {
            Phase::Dialling if age >= self.dial_timeout_ms => {
                self.close(key, Outcome::ConnectFailed, context)
            }
            Phase::Greeting | Phase::Login if age >= LOGIN_TIMEOUT_MS => {
                self.close(key, Outcome::ConnectFailed, context)
            }
            Phase::Dialling | Phase::Greeting | Phase::Login => {}
            // The server may have stopped responding.
            Phase::CheckingUptime(_) | Phase::Killing if context.now - conn.last_used >= LOGIN_TIMEOUT_MS => {
                self.close(key, Outcome::Reset, context)
            }
            Phase::Idle if context.now - conn.last_used >= self.idle_timeout_ms => {
                self.close(key, Outcome::Reset, context)
            }
            _ => {
                context.timers.set(context.now + CHECK_INTERVAL_MS, TimerEvent::MysqlBackend(key));
            }
        }
    }
}
