//! Backend for engines that speak the line protocol: connection pool, protocol messages and attempt outcomes.

mod connection_io;
mod connection_limit;
mod dial;
mod wire;

use super::engine_registry::EngineRegistry;
use super::BackendContext;
use crate::node::discovery::ListedEngine;
use crate::node::dispatcher::{
    AttemptRef, AttemptStart, DispatcherEvent, FinalResponse, FinishedAttempt, ACCOUNT,
};
use crate::node::reactor::{BufferedSocket, ReadStatus, SocketOwner};
use crate::node::slab::{Slab, SlotKey};
use crate::node::timer_queue::{TimerEvent, TimerHandle, TimerQueue};
use crate::{settings, EngineId, ListKind, LoadReport, Micros, Outcome, Progress, TrueCost};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::trace;
use wire::{parse_line, parse_page, ConnectionLost, Line};

/// Milliseconds between periodic checks of a connection: half the interval of the engines' progress updates.
const CHECK_INTERVAL_MS: f64 = 250.0;
/// Milliseconds without a received byte, with attempts in flight, before a keep-alive probe (`there`) is sent.
const PROBE_AFTER_MS: f64 = 700.0;
/// Milliseconds without a probe reply before new attempts avoid the connection; longer than any normal engine pause.
const PROBE_LATE_MS: f64 = 500.0;
/// Milliseconds without a further byte of an incomplete answer before the connection is closed.
const ANSWER_STALL_MS: f64 = 500.0;
/// Milliseconds without a probe reply before the connection is closed; short network outages end sooner than this.
const PROBE_TIMEOUT_MS: f64 = 8000.0;
/// Fraction of the engine idle timeout after which this side closes, so that no request races with the engine's close.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;
/// Maximum length of a header line in bytes; a longer line is a protocol error.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum bytes of a result page under the platform's protocol; a longer body is a protocol error.
const MAX_BODY_BYTES: usize = 6000;
/// Maximum pages of a result under the platform's protocol: eight full pages, or more with long rows.
const MAX_PAGES: usize = 64;
/// Maximum bytes of a complete result under the platform's protocol; a larger result closes the connection.
const MAX_RESULT_BYTES: usize = 48_000;
/// The learned idle limit of an engine is this fraction of the idle time after which a connection was found dead.
const IDLE_LIMIT_SHARE: f64 = 0.8;
/// Minimum idle time in milliseconds for which the reset of a request is attributed to a dropped idle connection.
const MIN_IDLE_LOSS_MS: f64 = 50.0;
/// Milliseconds until a learned idle limit expires; if idle connections are still dropped, the next reset renews it.
const IDLE_LIMIT_VALID_MS: f64 = 10_000.0;
/// Maximum cancelled request names stored per connection; a connection at the limit receives no new attempts.
const MAX_CANCELLED_NAMES: usize = 512;
/// Maximum connections to one engine: usually as many as the attempts that one node has on an engine.
const MAX_CONNECTIONS_PER_ENGINE: usize = 12;
/// Milliseconds to wait for the confirmation of a cancel; an unreachable engine never confirms.
const CANCEL_CONFIRM_TIMEOUT_MS: f64 = 100.0;
/// Milliseconds that a dial may take before the attempts queued on it try other connections.
const SLOW_DIAL_MS: f64 = 80.0;
/// An engine counts as alive during a slow dial if it sent data at most this many milliseconds before the dial began.
const ENGINE_ALIVE_MS: f64 = 250.0;
/// Maximum number of times that an unsent attempt moves to another connection after its own was closed.
const MAX_MOVES: u8 = 2;

/// An attempt whose `want` command was written to the socket or its output buffer.
#[derive(Debug)]
struct SentAttempt {
    attempt: AttemptRef,
    /// Result pages in order; the vector is empty until the `served` message arrives.
    pages: Vec<Option<Vec<u8>>>,
    cost: Option<TrueCost>,
    report: Option<LoadReport>,
}

/// An attempt of which no byte was written.
#[derive(Debug)]
struct QueuedAttempt {
    attempt: AttemptRef,
    name: Arc<str>,
    bytes: Vec<u8>,
    at_most_once: bool,
    moves: u8,
}

#[derive(Debug)]
struct Connection {
    engine: EngineId,
    socket: BufferedSocket,
    connected: bool,
    /// Whether the dial exceeded the connect timeout.
    dial_timed_out: bool,
    dialed_at: f64,
    /// When the last byte was received, or when the first attempt in flight was written if that is later.
    silent_since: f64,
    check_timer: Option<TimerHandle>,
    /// When a request was last written or a byte was last received.
    last_used: f64,
    /// Idle milliseconds before the last request; 0 again once a byte was received.
    idle_before_request: f64,
    /// When the unanswered `there` probe was sent.
    probe_sent_at: Option<f64>,
    /// Attempts of which no byte was written, so the engine cannot have run them.
    unsent: VecDeque<QueuedAttempt>,
    /// The attempt written last; part of it may still be in the output buffer.
    last_written: Option<AttemptRef>,
    in_flight: HashMap<Arc<str>, SentAttempt>,
    /// Cancelled attempts: tag of the `there` probe whose reply confirms the cancel, the attempt, time of the cancel.
    unconfirmed_cancels: VecDeque<(String, AttemptRef, f64)>,
    /// Names of cancelled requests, for which late answers may still arrive.
    cancelled_names: HashSet<Arc<str>>,
}

impl Connection {
    fn load(&self) -> usize {
        self.unsent.len() + self.in_flight.len()
    }

    /// Schedules the next check, replacing any that is scheduled.
    fn schedule_check(&mut self, at: f64, key: SlotKey, timers: &mut TimerQueue) {
        self.check_timer.take().into_iter().for_each(|before| timers.cancel(before));
        self.check_timer = Some(timers.set(at, TimerEvent::LineProtocol(key)));
    }
}

/// Result of cancelling an attempt.
#[derive(Clone, Copy)]
enum CancelResult {
    /// No byte of the attempt had been written; it was removed from the queue.
    NotSent,
    /// A cancel command was buffered on this connection.
    Sent(SlotKey),
    /// The attempt is only partly written, and no other attempt is in flight on this connection.
    PartlySent(SlotKey),
    /// The attempt is no longer tracked.
    Unknown,
}

/// The connection pool for engines that speak the line protocol.
#[derive(Debug)]
pub struct LineProtocolBackend {
    classes: Vec<(String, bool)>,
    dial_timeout_ms: f64,
    idle_timeout_ms: f64,
    /// Maximum attempts per connection, unsent and in flight.
    max_load: usize,
    max_connections: usize,
    max_connections_per_engine: usize,
    /// Whether a dial reached the limit of connections per engine since the last call of `connection_usage`.
    connection_limit_hit: bool,
    last_tag: u64,
    engines: EngineRegistry,
    connections: Slab<Connection>,
    placements: HashMap<AttemptRef, (SlotKey, Arc<str>)>,
}

impl LineProtocolBackend {
    /// Creates a pool without engines. `classes` lists class names and whether a request must run at most once;
    /// `streams` limits the attempts per connection, `sockets` the descriptors of the pool.
    pub fn new(
        classes: Vec<(String, bool)>,
        dial_ms: f64,
        idle_ms: f64,
        streams: usize,
        sockets: usize,
    ) -> LineProtocolBackend {
        LineProtocolBackend {
            classes,
            dial_timeout_ms: dial_ms,
            idle_timeout_ms: idle_ms * IDLE_TIMEOUT_SHARE,
            max_load: streams,
            max_connections: sockets,
            max_connections_per_engine: MAX_CONNECTIONS_PER_ENGINE,
            connection_limit_hit: false,
            last_tag: 0,
            engines: EngineRegistry::default(),
            connections: Slab::default(),
            placements: HashMap::new(),
        }
    }

    /// Applies an engine list. Unsent attempts of engines that accept no new work end as overloaded.
    pub fn update_engines(&mut self, kind: ListKind, engines: &[ListedEngine], context: &mut BackendContext) {
        let connections = &self.connections;
        let dialed_at = |key| connections.get(key).map_or(f64::INFINITY, |conn| conn.dialed_at);
        for key in self.engines.apply(kind, engines, dialed_at) {
            self.close(key, Outcome::Reset, context);
        }
        for key in self.connections.keys() {
            let Some(conn) = self.connections.get(key) else { continue };
            if self.engines.serving(&conn.engine).is_none() {
                self.fail_unsent(key, context);
                if self.connections.get(key).is_some_and(|conn| conn.in_flight.is_empty()) {
                    self.close(key, Outcome::Reset, context);
                }
            }
        }
    }

    /// The address on which an engine listens.
    pub fn address(&self, id: &EngineId) -> Option<SocketAddr> {
        self.engines.address(id)
    }

    /// Starts an attempt: queues it on a connection to its engine, or ends it if no connection is available.
    pub fn start(&mut self, start: AttemptStart, context: &mut BackendContext) {
        let at = start.attempt;
        let at_most_once = self.classes.get(start.class.0).is_some_and(|(_, at_most_once)| *at_most_once);
        let outcome = match self.engines.serving(&start.engine) {
            Some(_) => match self.choose_connection(&start.engine, &start.name, at_most_once, context) {
                Some(key) => return self.enqueue(key, start, at_most_once, context),
                // The fleet's connection budget is exhausted, which is no sign of an unhealthy engine.
                None if self.fleet_limit_reached(&start.engine) => Outcome::Overloaded,
                None => Outcome::ConnectFailed,
            },
            // The engine list changed after the engine was chosen.
            None => Outcome::Overloaded,
        };
        context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(at, outcome)));
    }

    fn enqueue(
        &mut self,
        key: SlotKey,
        start: AttemptStart,
        at_most_once: bool,
        context: &mut BackendContext,
    ) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        let class = self.classes.get(start.class.0).map_or("", |(name, _)| name);
        let mut head = format!("want {} profile={class},max={}", start.name, start.max_ms.floor().max(1.0));
        if start.memory_mb > 0 {
            head.push_str(&format!(",mem={}", start.memory_mb));
        }
        let statement = &start.payload.statement;
        head.push_str(&format!(",prio={} {}\r\n", start.priority.min(3), statement.len()));
        let bytes = [head.as_bytes(), statement, b"\r\n"].concat();
        self.placements.insert(start.attempt, (key, start.name.clone()));
        let queued =
            QueuedAttempt { attempt: start.attempt, name: start.name, bytes, at_most_once, moves: 0 };
        conn.unsent.push_back(queued);
        self.flush(key, context);
    }

    /// Cancels an attempt: removes it from the queue if no byte was written, else sends a cancel to the engine. With
    /// `report_end`, another attempt or a request of the same key waits for this one to end. The end is then reported
    /// once the engine confirms the cancel, because the next attempt could overtake the cancel on another connection.
    pub fn cancel(&mut self, at: AttemptRef, report_end: bool, context: &mut BackendContext) {
        let cancelled = self.do_cancel(at, report_end, context);
        match cancelled {
            CancelResult::Sent(key) => self.flush(key, context),
            // The engine lacks part of the attempt, and a cancel could not be written to the blocked socket either.
            CancelResult::PartlySent(key) => self.close(key, Outcome::Reset, context),
            CancelResult::NotSent | CancelResult::Unknown => {}
        }
        let outcome = match cancelled {
            CancelResult::Sent(_) => return,
            CancelResult::NotSent => Outcome::NotSent,
            CancelResult::PartlySent(_) | CancelResult::Unknown => Outcome::Cancelled,
        };
        if report_end {
            context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(at, outcome)));
        }
    }

    fn do_cancel(&mut self, at: AttemptRef, report_end: bool, context: &mut BackendContext) -> CancelResult {
        let Some((key, name)) = self.placements.remove(&at) else { return CancelResult::Unknown };
        let Some(conn) = self.connections.get_mut(key) else { return CancelResult::Unknown };
        if let Some(index) = conn.unsent.iter().position(|queued| queued.attempt == at) {
            conn.unsent.remove(index);
            return CancelResult::NotSent;
        }
        if conn.in_flight.remove(&name).is_none() {
            return CancelResult::Unknown;
        }
        if conn.last_written == Some(at) && conn.socket.unsent_bytes() > 0 && conn.in_flight.is_empty() {
            return CancelResult::PartlySent(key);
        }
        conn.socket.queue_write(format!("never_mind {name}\r\n").as_bytes());
        conn.cancelled_names.insert(name);
        if report_end {
            self.last_tag += 1;
            let tag = format!("g{}", self.last_tag);
            conn.socket.queue_write(format!("there {tag}\r\n").as_bytes());
            conn.unconfirmed_cancels.push_back((tag, at, context.now));
            conn.schedule_check(context.now + CANCEL_CONFIRM_TIMEOUT_MS, key, context.timers);
        }
        CancelResult::Sent(key)
    }

    /// Ends an attempt as not sent if no byte of it was written; else does nothing.
    pub fn cancel_if_unsent(&mut self, at: AttemptRef, context: &mut BackendContext) {
        let Some((key, _)) = self.placements.get(&at) else { return };
        let Some(conn) = self.connections.get_mut(*key) else { return };
        let Some(index) = conn.unsent.iter().position(|queued| queued.attempt == at) else { return };
        conn.unsent.remove(index);
        self.placements.remove(&at);
        context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(at, Outcome::NotSent)));
    }

    /// Sends the engine a new priority for an attempt that has no result yet.
    pub fn set_priority(&mut self, at: AttemptRef, priority: u8, context: &mut BackendContext) {
        let Some((key, name)) = self.placements.get(&at).cloned() else { return };
        let Some(conn) = self.connections.get_mut(key) else { return };
        if conn.in_flight.get(&name).is_some_and(|attempt| attempt.pages.is_empty()) {
            conn.socket.queue_write(format!("hurry {name} {}\r\n", priority.min(3)).as_bytes());
            self.flush(key, context);
        }
    }

    /// Closes the idle connections to an engine.
    pub fn close_idle(&mut self, id: &EngineId, context: &mut BackendContext) {
        for key in self.engines.connections(id).to_vec() {
            if self.connections.get(key).is_some_and(|conn| conn.load() == 0) {
                self.close(key, Outcome::Reset, context);
            }
        }
    }

    /// Closes a connection. Attempts in flight end with `outcome`. Unsent attempts never ran: each moves to another
    /// connection, since one broken connection does not mean a failed engine, or ends as a connect failure.
    fn close(&mut self, key: SlotKey, outcome: Outcome, context: &mut BackendContext) {
        let Some(conn) = self.connections.remove(key) else { return };
        let (id, up, ms) = (&conn.engine.0, conn.connected, context.now - conn.dialed_at);
        trace!(target: ACCOUNT, "close: engine={id} up={up} ms={ms:.1} load={}", conn.load());
        self.engines.remove_connection(&conn.engine, key);
        conn.check_timer.into_iter().for_each(|timer| context.timers.cancel(timer));
        let cancelled = conn.unconfirmed_cancels.into_iter().map(|(_, at, _)| (at, Outcome::Cancelled));
        let mut ends: Vec<_> =
            conn.in_flight.into_values().map(|a| (a.attempt, outcome)).chain(cancelled).collect();
        for mut queued in conn.unsent {
            queued.moves += 1;
            // After a dial timeout the engine counts as alive if another connection received data recently.
            let alive = conn.connected
                || (conn.dial_timed_out
                    && self.engines.last_received(&conn.engine) >= conn.dialed_at - ENGINE_ALIVE_MS);
            let can_move = alive && queued.moves <= MAX_MOVES && self.engines.serving(&conn.engine).is_some();
            let to = match can_move {
                true if conn.dial_timed_out => {
                    self.active_connection(&conn.engine, &queued, conn.dialed_at - ENGINE_ALIVE_MS)
                }
                _ => None,
            };
            let choose = |pool: &mut LineProtocolBackend, context: &mut BackendContext| {
                pool.choose_connection(&conn.engine, &queued.name, queued.at_most_once, context)
            };
            let to = if can_move && to.is_none() { choose(self, context) } else { to };
            match to {
                Some(key) => self.move_to(queued, key, context),
                None => ends.push((queued.attempt, Outcome::ConnectFailed)),
            }
        }
        for (at, outcome) in ends {
            self.placements.remove(&at);
            context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(at, outcome)));
        }
    }

    /// Periodic check of a connection: connect timeout, cancel confirmations, stalled answers, probes, idle timeout.
    pub fn check_connection(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        if !conn.connected {
            return self.check_dial(key, context);
        }
        while let Some((_, at, _)) = conn
            .unconfirmed_cancels
            .pop_front_if(|(.., since)| context.now - *since >= CANCEL_CONFIRM_TIMEOUT_MS)
        {
            context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(at, Outcome::Cancelled)));
        }
        let idle = context.now - conn.silent_since;
        if !conn.socket.input.is_empty() && idle >= ANSWER_STALL_MS {
            let (engine, load) = (&conn.engine.0, conn.load());
            context.log.push(format!("lost: engine={engine} attempts={load} answer incomplete"));
            return self.close(key, Outcome::Reset, context);
        }
        if conn.load() == 0 {
            if idle >= self.idle_timeout_ms {
                return self.close(key, Outcome::Reset, context);
            }
        } else if conn.probe_sent_at.is_some_and(|at| context.now - at >= PROBE_TIMEOUT_MS) {
            context.log.push(format!("silent: engine={} attempts={}", conn.engine.0, conn.load()));
            return self.close(key, Outcome::Reset, context);
        } else if idle >= PROBE_AFTER_MS && conn.probe_sent_at.is_none() {
            conn.probe_sent_at = Some(context.now);
            conn.socket.queue_write(format!("there k{}\r\n", key.slot).as_bytes());
            self.flush(key, context);
        }
        if let Some(conn) = self.connections.get_mut(key) {
            conn.schedule_check(context.now + CHECK_INTERVAL_MS, key, context.timers);
        }
    }
}
