//! Boxes that speak MySQL: logging in, preparing a statement on whichever box runs its next execution, and what
//! each end proves. A connection carries one attempt at a time.

use super::engine_registry::EngineRegistry;
use super::BackendContext;
mod connection;
mod wire;

use crate::node::config::MysqlSettings;
use crate::node::discovery::ListedEngine;
use crate::node::dispatcher::{
    AttemptRef, AttemptStart, Bound, DispatcherEvent, FinalResponse, FinishedAttempt, Payload,
};
use crate::node::mysql_packets::{self, Course, Step, PACKET_MOST};
use crate::node::reactor::{BufferedSocket, ReadEnd, SocketOwner};
use crate::node::slab::{Slab, SlotKey};
use crate::node::timer_queue::TimerEvent;
use crate::{EngineId, ListKind, Outcome};
use mysql_common::constants::Command;
use mysql_common::io::ParseBuf;
use mysql_common::packets::{AuthPlugin, HandshakePacket, HandshakeResponse};
use mysql_common::proto::MySerialize;
use mysql_common::scramble::{scramble_native, scramble_sha256};
use std::collections::HashMap;
use std::rc::Rc;

const LOGIN_MS: f64 = 1500.0; // from connecting to the end of the login; a standing box needs some hundred
const LOOK_MS: f64 = 1000.0; // between looks at a connection
const IDLE_PART: f64 = 0.6; // of the time after which boxes close: nothing may cross their close
const RESULT_MOST: usize = 4 << 20; // a larger result is not kept in memory
const PREPARED_MOST: usize = 64; // statements kept prepared on one connection
const NATIVE: &[u8] = b"mysql_native_password";
const SHA2: &[u8] = b"caching_sha2_password";

/// Errors that say no more than that the box had no place for us: nothing ran.
const NO_PLACE: &[u16] = &[1040, 1203, 1226];
/// Errors of a box in trouble, or of an attempt cut short: it may have run.
const BOX_TROUBLE: &[u16] = &[1053, 1077, 1079, 1152, 1158, 1159, 1160, 1161, 1317, 2006, 2013, 3024, 3169];
/// The box does not know the statement any more: it did not run.
const NOT_PREPARED: u16 = 1243;

/// A statement as it is prepared: under a schema, with a text.
type Text = (Option<String>, Vec<u8>);

#[derive(Debug)]
struct Job {
    at: AttemptRef,
    payload: Rc<Payload>,
    /// The execution or the query is written, at least in part: from here on it may run.
    sent: bool,
    /// The statement was prepared anew for this job, so that it can't have been lost again.
    renewed: bool,
}

#[derive(Debug)]
enum Phase {
    Dialling,
    Greeting,
    /// The login is sent; what the plugin in use needs is kept for a switch.
    Login,
    Idle,
    /// The schema is being chosen.
    Schema,
    /// The statement is being prepared; so many packets of definitions are still to come.
    Preparing(Option<(u32, u64)>),
    /// The answer is coming.
    Running(Course),
    /// A kill was sent for another connection; its answer is of no use.
    Killing,
}

#[derive(Debug)]
struct Conn {
    engine: EngineId,
    link: BufferedSocket,
    phase: Phase,
    since: f64,
    used: f64,
    /// The box's own number of the connection, for a kill.
    number: u32,
    nonce: Vec<u8>,
    schema: Option<String>,
    prepared: HashMap<Text, u32>,
    order: Vec<Text>,
    job: Option<Job>,
    kill: Option<u32>,
    answer: Vec<u8>,
}

fn text_of(payload: &Payload) -> Text {
    (payload.schema.clone(), payload.statement.clone())
}

/// The pool of connections to boxes.
pub struct MysqlBackend {
    settings: MysqlSettings,
    dial_ms: f64,
    idle_ms: f64,
    sockets: usize,
    answers_most: usize,
    roster: EngineRegistry,
    conns: Slab<Conn>,
    placed: HashMap<AttemptRef, SlotKey>,
}

/// What becomes of a connection after a packet.
enum Next {
    Go,
    Lose,
}

impl MysqlBackend {
    /// A pool with no boxes yet. `sockets` is how many descriptors it may take, `answers_most` how many bytes the
    /// answers that are coming in may take together.
    pub fn new(
        settings: MysqlSettings,
        dial_ms: f64,
        idle_ms: f64,
        sockets: usize,
        answers_most: usize,
    ) -> MysqlBackend {
        MysqlBackend {
            settings,
            dial_ms,
            idle_ms: idle_ms * IDLE_PART,
            sockets,
            answers_most,
            roster: EngineRegistry::default(),
            conns: Slab::default(),
            placed: HashMap::new(),
        }
    }

    /// News of the list. What a box that takes no new work has not been sent yet is taken back.
    pub fn members(&mut self, kind: ListKind, listings: &[ListedEngine], context: &mut BackendContext) {
        for key in self.roster.apply(kind, listings) {
            self.lose(key, Outcome::Reset, context);
        }
        for key in self.conns.keys() {
            let Some(conn) = self.conns.get_mut(key) else { continue };
            if self.roster.serving(&conn.engine).is_some() || conn.kill.is_some() {
                continue;
            }
            if !conn.job.as_ref().is_some_and(|job| job.sent) {
                if let Some(job) = conn.job.take() {
                    self.placed.remove(&job.at);
                    context
                        .heard
                        .push(DispatcherEvent::Ended(FinishedAttempt::bare(job.at, Outcome::Overloaded)));
                }
                self.lose(key, Outcome::Reset, context);
            }
        }
    }

    /// Begins an attempt.
    pub fn start(&mut self, start: AttemptStart, context: &mut BackendContext) {
        let at = start.attempt;
        let job = Job { at, payload: start.payload, sent: false, renewed: false };
        let outcome = if self.roster.serving(&start.engine).is_none() {
            Outcome::Overloaded // The list changed between the decision and now.
        } else if let Some(key) = self.idle(&start.engine, &job) {
            return self.take(key, job, context);
        } else if self.roster.links(&start.engine).len() >= self.settings.box_connections {
            Outcome::Overloaded
        } else {
            match self.dial(&start.engine, context) {
                Some(key) => return self.take(key, job, context),
                None => Outcome::ConnectFailed,
            }
        };
        context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(at, outcome)));
    }

    /// An idle connection, best one on which the statement is prepared already.
    fn idle(&self, engine: &EngineId, job: &Job) -> Option<SlotKey> {
        let text = text_of(&job.payload);
        let idle =
            |key: &&SlotKey| self.conns.get(**key).is_some_and(|conn| matches!(conn.phase, Phase::Idle));
        let known =
            |key: &&SlotKey| self.conns.get(**key).is_some_and(|conn| conn.prepared.contains_key(&text));
        self.roster.links(engine).iter().filter(idle).max_by_key(known).copied()
    }

    fn take(&mut self, key: SlotKey, job: Job, context: &mut BackendContext) {
        self.placed.insert(job.at, key);
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.job = Some(job);
        if matches!(conn.phase, Phase::Idle) {
            conn.advance(context.now);
            self.flush(key, context);
        }
    }

    fn dial(&mut self, id: &EngineId, context: &mut BackendContext) -> Option<SlotKey> {
        if self.conns.len() >= self.sockets {
            let idle = self.conns.iter().find(|(_, conn)| matches!(conn.phase, Phase::Idle));
            let idle = idle.map(|(key, _)| key)?;
            self.lose(idle, Outcome::Reset, context);
        }
        let engine = self.roster.get_mut(id)?;
        let link = BufferedSocket::dial(engine.address)
            .map_err(|e| context.log.push(format!("dial: engine={} error={e}", id.0)))
            .ok()?;
        let key = self.conns.insert(Conn {
            engine: id.clone(),
            link,
            phase: Phase::Dialling,
            since: context.now,
            used: context.now,
            number: 0,
            nonce: Vec::new(),
            schema: None,
            prepared: HashMap::new(),
            order: Vec::new(),
            job: None,
            kill: None,
            answer: Vec::new(),
        });
        engine.links.push(key);
        if self.conns.get_mut(key)?.link.watch(context.registry, SocketOwner::MysqlBox(key)).is_err() {
            self.lose(key, Outcome::ConnectFailed, context);
            return None;
        }
        context.timers.set(context.now + self.dial_ms, TimerEvent::MysqlBox(key));
        Some(key)
    }

    /// Whether an attempt is here.
    pub fn carries(&self, at: AttemptRef) -> bool {
        self.placed.contains_key(&at)
    }

    /// Gives an attempt up: takes it back if it is not sent, else has the box kill it. The connection goes with it,
    /// so that a late answer finds nobody.
    pub fn give_up(&mut self, at: AttemptRef, again: bool, context: &mut BackendContext) {
        if again {
            context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(at, Outcome::Cancelled)));
        }
        let Some(key) = self.placed.remove(&at) else { return };
        let Some(conn) = self.conns.get_mut(key) else { return };
        let sent = conn.job.take().is_some_and(|job| job.sent);
        if !sent {
            // A login under way may serve the next; anything else stands between two commands.
            if !matches!(conn.phase, Phase::Dialling | Phase::Greeting | Phase::Login) {
                self.lose(key, Outcome::Cancelled, context);
            }
            return;
        }
        let (engine, number) = (conn.engine.clone(), conn.number);
        self.lose(key, Outcome::Cancelled, context);
        let idle = self.roster.links(&engine).iter().copied();
        let mut idle = idle.filter(|k| self.conns.get(*k).is_some_and(|c| matches!(c.phase, Phase::Idle)));
        let Some(by) = idle.next().or_else(|| self.dial(&engine, context)) else {
            context.log.push(format!("kill: engine={} connection={number} not sent", engine.0));
            return;
        };
        if let Some(conn) = self.conns.get_mut(by) {
            conn.kill = Some(number);
            if matches!(conn.phase, Phase::Idle) {
                conn.advance(context.now);
                self.flush(by, context);
            }
        }
    }

    /// Takes an attempt back if it is not sent.
    pub fn withdraw(&mut self, at: AttemptRef, context: &mut BackendContext) {
        let Some(key) = self.placed.get(&at) else { return };
        if self.conns.get(*key).and_then(|conn| conn.job.as_ref()).is_some_and(|job| !job.sent) {
            self.give_up(at, false, context);
            context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(at, Outcome::NotSent)));
        }
    }

    /// Closes a box's idle connections.
    pub fn close_idle(&mut self, id: &EngineId, context: &mut BackendContext) {
        for key in self.roster.links(id).to_vec() {
            if self.conns.get(key).is_some_and(|conn| matches!(conn.phase, Phase::Idle)) {
                self.lose(key, Outcome::Reset, context);
            }
        }
    }

    fn flush(&mut self, key: SlotKey, context: &mut BackendContext) {
        let broken = self.conns.get_mut(key).is_some_and(|conn| conn.link.flush().is_err());
        if broken {
            self.lose(key, Outcome::Reset, context);
        }
    }

    /// A socket has something to say.
    pub fn ready(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if matches!(conn.phase, Phase::Dialling) {
            match conn.link.connected() {
                None => return,
                Some(Err(_)) => return self.lose(key, Outcome::ConnectFailed, context),
                Some(Ok(())) => {
                    conn.phase = Phase::Greeting;
                    context.timers.set(conn.since + LOGIN_MS, TimerEvent::MysqlBox(key));
                }
            }
        }
        loop {
            let Some(conn) = self.conns.get_mut(key) else { return };
            let end = conn.link.read(PACKET_MOST + 8);
            let input = std::mem::take(&mut conn.link.input);
            let mut used = 0;
            let mut lost = false;
            while let Ok(Some((number, body))) = mysql_packets::packet(&input[used..]) {
                used += 4 + body.len();
                if matches!(self.packet(key, number, body, context), Next::Lose) {
                    lost = true;
                    break;
                }
            }
            lost |= mysql_packets::packet(&input[used..]).is_err();
            let Some(conn) = self.conns.get_mut(key) else { return };
            conn.link.input = input;
            conn.link.used(used);
            let more = conn.link.has_more();
            if lost || !matches!(end, Ok(ReadEnd::Open)) {
                return self.lose(key, Outcome::Reset, context);
            }
            if !more {
                return self.flush(key, context);
            }
        }
    }

    /// Ends the attempt on a connection, which is free again.
    fn end(
        &mut self,
        key: SlotKey,
        outcome: Outcome,
        answer: Option<FinalResponse>,
        context: &mut BackendContext,
    ) -> Next {
        let Some(conn) = self.conns.get_mut(key) else { return Next::Lose };
        conn.answer = Vec::new();
        if let Some(job) = conn.job.take() {
            self.placed.remove(&job.at);
            let ended = FinishedAttempt { answer, ..FinishedAttempt::bare(job.at, outcome) };
            context.heard.push(DispatcherEvent::Ended(ended));
        }
        conn.advance(context.now);
        let serving = self.roster.serving(&conn.engine).is_some();
        if serving || conn.kill.is_some() {
            Next::Go
        } else {
            Next::Lose
        }
    }

    /// Drops a connection. An attempt that was sent on it ends as `outcome` says; one that was not never ran.
    fn lose(&mut self, key: SlotKey, outcome: Outcome, context: &mut BackendContext) {
        let Some(conn) = self.conns.remove(key) else { return };
        self.roster.unlink(&conn.engine, key);
        if let Some(number) = conn.kill {
            context.log.push(format!("kill: engine={} connection={number} not sent", conn.engine.0));
        }
        if let Some(job) = conn.job {
            self.placed.remove(&job.at);
            let outcome = if job.sent { outcome } else { Outcome::ConnectFailed };
            context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(job.at, outcome)));
        }
    }

    /// Looks after a connection: did it come up in time, has it long been idle?
    pub fn look(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.conns.get(key) else { return };
        let age = context.now - conn.since;
        match conn.phase {
            Phase::Dialling if age >= self.dial_ms => self.lose(key, Outcome::ConnectFailed, context),
            Phase::Greeting | Phase::Login if age >= LOGIN_MS => {
                self.lose(key, Outcome::ConnectFailed, context)
            }
            Phase::Dialling | Phase::Greeting | Phase::Login => {}
            Phase::Idle if context.now - conn.used >= self.idle_ms => self.lose(key, Outcome::Reset, context),
            _ => {
                context.timers.set(context.now + LOOK_MS, TimerEvent::MysqlBox(key));
            }
        }
    }
}
