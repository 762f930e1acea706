//! Warehouses: their connections, the lines spoken on them, and what each end proves.

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
use crate::node::reactor::{BufferedSocket, ReadEnd, SocketOwner};
use crate::node::slab::{Slab, SlotKey};
use crate::node::timer_queue::{TimerEvent, TimerHandle, TimerQueue};
use crate::{settings, EngineId, ListKind, LoadReport, Micros, Outcome, Progress, TrueCost};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use tracing::trace;
use wire::{line, page, Line, Lost};

const LOOK_MS: f64 = 250.0; // between looks at a connection: twice as often as notes come
const QUIET_MS: f64 = 700.0; // without a byte while attempts are out; then `there` asks whether it works
const SUSPECT_MS: f64 = 500.0; // without an answer to that, nothing new goes onto it; longer than any pause
const STALL_MS: f64 = 500.0; // in the middle of an answer without a further byte; then the framing is lost
const DEAD_MS: f64 = 8000.0; // and after this the machine is taken for gone; a short cut mends before
const IDLE_PART: f64 = 0.6; // of the time after which warehouses close: no `want` may cross their close
const LINE_MOST: usize = 1024; // longer without an end, the framing is lost
const BODY_MOST: usize = 6000; // of a page, as the platform promises; more is a length that does not fit
const PAGES_MOST: usize = 64; // likewise: eight full pages, more where rows are long
const RESULT_MOST: usize = 48_000; // likewise
const KEEPS_PART: f64 = 0.8; // of the quiet after which a connection was found dead, others are trusted
const KEEPS_LEAST: f64 = 50.0; // after less, a reset is no sign that quiet connections die
const KEEPS_FOR: f64 = 10_000.0; // that this is believed: then one more reset shows whether it still holds
const SPENT_MOST: usize = 512; // names given up on one connection; beyond, it is left to run dry
const LINKS_MOST: usize = 12; // connections to one warehouse: as many as a node has attempts there, as a rule
const CONFIRM_MS: f64 = 100.0; // that a cancel waits for its confirmation: a machine that is cut off gives none
const LATE_MS: f64 = 80.0; // that a dial may take before what waits behind it looks for another connection
const LIFE_MS: f64 = 250.0; // before a late dial began, in which a byte of the engine still says that it lives
const MOVES_MOST: u8 = 2; // connections that a `want` may lose before a byte of it is written

#[derive(Debug)]
struct Attempt {
    at: AttemptRef,
    /// Pages in order; empty until the first has come.
    pages: Vec<Option<Vec<u8>>>,
    cost: Option<TrueCost>,
    report: Option<LoadReport>,
}

#[derive(Debug)]
struct Want {
    at: AttemptRef,
    name: Arc<str>,
    bytes: Vec<u8>,
    once: bool,
    moves: u8,
}

#[derive(Debug)]
struct Conn {
    engine: EngineId,
    link: BufferedSocket,
    up: bool,
    /// It did not come up in its time.
    late: bool,
    since: f64,
    heard: f64,
    next_look: Option<TimerHandle>,
    /// When it last carried a byte, and how long it had been quiet before the last request, till that is answered.
    used: f64,
    quiet: f64,
    /// When `there` was asked, while it is not answered.
    asked: Option<f64>,
    /// Not one byte of these has been written: whatever ends them, they never ran.
    wants: VecDeque<Want>,
    /// The last of which bytes were written; its end may wait in the buffer still.
    writing: Option<AttemptRef>,
    open: HashMap<Arc<str>, Attempt>,
    /// Attempts called off, with the tag whose `green` tells that the engine has read so, and since when.
    called_off: VecDeque<(String, AttemptRef, f64)>,
    /// Names given up here, of which a late line may still come.
    spent: HashSet<Arc<str>>,
}

impl Conn {
    fn load(&self) -> usize {
        self.wants.len() + self.open.len()
    }

    /// Sets the one look to come.
    fn look_at(&mut self, at: f64, key: SlotKey, timers: &mut TimerQueue) {
        self.next_look.take().into_iter().for_each(|before| timers.clear(before));
        self.next_look = Some(timers.set(at, TimerEvent::Backend(key)));
    }
}

/// What giving an attempt up came to.
#[derive(Clone, Copy)]
enum CalledOff {
    /// Not a byte of it was written.
    TakenBack,
    /// The engine is told on this connection.
    Told(SlotKey),
    /// A part of it waits to be written, alone on this connection.
    Stuck(SlotKey),
    /// It is not known any more.
    Gone,
}

/// The pool of warehouse connections.
#[derive(Debug)]
pub struct LineProtocolBackend {
    classes: Vec<(String, bool)>,
    dial_ms: f64,
    idle_ms: f64,
    streams: usize,
    sockets: usize,
    /// Connections to one engine, and whether more were wanted lately.
    links_most: usize,
    links_vain: bool,
    tags: u64,
    roster: EngineRegistry,
    conns: Slab<Conn>,
    placed: HashMap<AttemptRef, (SlotKey, Arc<str>)>,
}

impl LineProtocolBackend {
    /// A pool with no warehouses yet. Classes by name, and whether they must not run twice; `sockets` is how many
    /// descriptors it may take.
    pub fn new(
        classes: Vec<(String, bool)>,
        dial_ms: f64,
        idle_ms: f64,
        streams: usize,
        sockets: usize,
    ) -> LineProtocolBackend {
        LineProtocolBackend {
            classes,
            dial_ms,
            idle_ms: idle_ms * IDLE_PART,
            streams,
            sockets,
            links_most: LINKS_MOST,
            links_vain: false,
            tags: 0,
            roster: EngineRegistry::default(),
            conns: Slab::default(),
            placed: HashMap::new(),
        }
    }

    /// News of the list. What waits behind a dial to a warehouse that takes no new work is taken back.
    pub fn members(&mut self, kind: ListKind, listings: &[ListedEngine], context: &mut BackendContext) {
        for key in self.roster.apply(kind, listings) {
            self.lose(key, Outcome::Reset, context);
        }
        for key in self.conns.keys() {
            let Some(conn) = self.conns.get(key) else { continue };
            if self.roster.serving(&conn.engine).is_none() {
                self.take_back(key, context);
                if self.conns.get(key).is_some_and(|conn| conn.open.is_empty()) {
                    self.lose(key, Outcome::Reset, context);
                }
            }
        }
    }

    /// Where an engine listens.
    pub fn address(&self, id: &EngineId) -> Option<SocketAddr> {
        self.roster.address(id)
    }

    /// Ends what waits unwritten on a connection: turned away unseen.
    fn take_back(&mut self, key: SlotKey, context: &mut BackendContext) {
        let wants = self.conns.get_mut(key).map(|conn| std::mem::take(&mut conn.wants));
        for want in wants.into_iter().flatten() {
            self.placed.remove(&want.at);
            context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(want.at, Outcome::Overloaded)));
        }
    }

    /// Begins an attempt.
    pub fn start(&mut self, start: AttemptStart, context: &mut BackendContext) {
        let at = start.attempt;
        let once = self.classes.get(start.class.0).is_some_and(|(_, once)| *once);
        let outcome = match self.roster.serving(&start.engine) {
            Some(_) => match self.choose(&start.engine, &start.name, once, context) {
                Some(key) => return self.queue(key, start, once, context),
                // It says nothing of the engine where the fleet's budget leaves no room.
                None if self.links_short(&start.engine) => Outcome::Overloaded,
                None => Outcome::ConnectFailed,
            },
            // The list changed between the decision and now.
            None => Outcome::Overloaded,
        };
        context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(at, outcome)));
    }

    fn queue(&mut self, key: SlotKey, start: AttemptStart, once: bool, context: &mut BackendContext) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let class = self.classes.get(start.class.0).map_or("", |(name, _)| name);
        let mut head = format!("want {} profile={class},max={}", start.name, start.max_ms.floor().max(1.0));
        if start.memory_mb > 0 {
            head.push_str(&format!(",mem={}", start.memory_mb));
        }
        let statement = &start.payload.statement;
        head.push_str(&format!(",prio={} {}\r\n", start.priority.min(3), statement.len()));
        let bytes = [head.as_bytes(), statement, b"\r\n"].concat();
        self.placed.insert(start.attempt, (key, start.name.clone()));
        conn.wants.push_back(Want { at: start.attempt, name: start.name, bytes, once, moves: 0 });
        self.flush(key, context);
    }

    /// Gives an attempt up: takes it back if no byte of it is written, else calls it off. If something waits for its
    /// end (a further attempt, or the next of its key), it ends when the engine confirms that it has read so: what
    /// waits goes by another connection, and may be there before the cancel is.
    pub fn give_up(&mut self, at: AttemptRef, again: bool, context: &mut BackendContext) {
        let called_off = self.call_off(at, again, context);
        match called_off {
            CalledOff::Told(key) => self.flush(key, context),
            // It has not come whole, and on a connection that takes nothing nobody reads that it is over.
            CalledOff::Stuck(key) => self.lose(key, Outcome::Reset, context),
            CalledOff::TakenBack | CalledOff::Gone => {}
        }
        let outcome = match called_off {
            CalledOff::Told(_) => return,
            CalledOff::TakenBack => Outcome::NotSent,
            CalledOff::Stuck(_) | CalledOff::Gone => Outcome::Cancelled,
        };
        if again {
            context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(at, outcome)));
        }
    }

    fn call_off(&mut self, at: AttemptRef, again: bool, context: &mut BackendContext) -> CalledOff {
        let Some((key, name)) = self.placed.remove(&at) else { return CalledOff::Gone };
        let Some(conn) = self.conns.get_mut(key) else { return CalledOff::Gone };
        if let Some(place) = conn.wants.iter().position(|want| want.at == at) {
            conn.wants.remove(place);
            return CalledOff::TakenBack;
        }
        if conn.open.remove(&name).is_none() {
            return CalledOff::Gone;
        }
        if conn.writing == Some(at) && conn.link.waiting() > 0 && conn.open.is_empty() {
            return CalledOff::Stuck(key);
        }
        conn.link.put(format!("never_mind {name}\r\n").as_bytes());
        conn.spent.insert(name);
        if again {
            self.tags += 1;
            let tag = format!("g{}", self.tags);
            conn.link.put(format!("there {tag}\r\n").as_bytes());
            conn.called_off.push_back((tag, at, context.now));
            conn.look_at(context.now + CONFIRM_MS, key, context.timers);
        }
        CalledOff::Told(key)
    }

    /// Takes an attempt back if no byte of it is written.
    pub fn withdraw(&mut self, at: AttemptRef, context: &mut BackendContext) {
        let Some((key, _)) = self.placed.get(&at) else { return };
        let Some(conn) = self.conns.get_mut(*key) else { return };
        let Some(place) = conn.wants.iter().position(|want| want.at == at) else { return };
        conn.wants.remove(place);
        self.placed.remove(&at);
        context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(at, Outcome::NotSent)));
    }

    /// Tells a new priority.
    pub fn hurry(&mut self, at: AttemptRef, priority: u8, context: &mut BackendContext) {
        let Some((key, name)) = self.placed.get(&at).cloned() else { return };
        let Some(conn) = self.conns.get_mut(key) else { return };
        if conn.open.get(&name).is_some_and(|attempt| attempt.pages.is_empty()) {
            conn.link.put(format!("hurry {name} {}\r\n", priority.min(3)).as_bytes());
            self.flush(key, context);
        }
    }

    /// Closes a warehouse's idle connections.
    pub fn close_idle(&mut self, id: &EngineId, context: &mut BackendContext) {
        for key in self.roster.links(id).to_vec() {
            if self.conns.get(key).is_some_and(|conn| conn.load() == 0) {
                self.lose(key, Outcome::Reset, context);
            }
        }
    }

    /// Drops a connection. What was sent on it ends as `outcome` says. What was not never ran: it goes on by another
    /// connection, since one that breaks says nothing of the warehouse, or ends so if there was none in time.
    fn lose(&mut self, key: SlotKey, outcome: Outcome, context: &mut BackendContext) {
        let Some(conn) = self.conns.remove(key) else { return };
        let (id, up, ms) = (&conn.engine.0, conn.up, context.now - conn.since);
        trace!(target: ACCOUNT, "close: engine={id} up={up} ms={ms:.1} load={}", conn.load());
        self.roster.unlink(&conn.engine, key);
        conn.next_look.into_iter().for_each(|look| context.timers.clear(look));
        let called_off = conn.called_off.into_iter().map(|(_, at, _)| (at, Outcome::Cancelled));
        let mut ends: Vec<_> = conn.open.into_values().map(|a| (a.at, outcome)).chain(called_off).collect();
        for mut want in conn.wants {
            want.moves += 1;
            // Of a late dial likewise, where the engine was heard of on another connection meanwhile.
            let lives = conn.up || (conn.late && self.roster.heard(&conn.engine) >= conn.since - LIFE_MS);
            let serves = lives && want.moves <= MOVES_MOST && self.roster.serving(&conn.engine).is_some();
            let to = match serves {
                true if conn.late => self.in_use(&conn.engine, &want, conn.since - LIFE_MS),
                _ => None,
            };
            let choose = |pool: &mut LineProtocolBackend, context: &mut BackendContext| {
                pool.choose(&conn.engine, &want.name, want.once, context)
            };
            let to = if serves && to.is_none() { choose(self, context) } else { to };
            match to {
                Some(key) => self.hand_over(want, key, context),
                None => ends.push((want.at, Outcome::ConnectFailed)),
            }
        }
        for (at, outcome) in ends {
            self.placed.remove(&at);
            context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(at, outcome)));
        }
    }

    /// Looks after a connection: is it up in time, does it still answer, has it long been idle?
    pub fn look(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        if !conn.up {
            return self.look_at_dial(key, context);
        }
        while let Some((_, at, _)) =
            conn.called_off.pop_front_if(|(.., since)| context.now - *since >= CONFIRM_MS)
        {
            context.heard.push(DispatcherEvent::Ended(FinishedAttempt::bare(at, Outcome::Cancelled)));
        }
        let idle = context.now - conn.heard;
        if !conn.link.input.is_empty() && idle >= STALL_MS {
            context.log.push(format!(
                "lost: engine={} attempts={} in mid-answer",
                conn.engine.0,
                conn.load()
            ));
            return self.lose(key, Outcome::Reset, context);
        }
        if conn.load() == 0 {
            if idle >= self.idle_ms {
                return self.lose(key, Outcome::Reset, context);
            }
        } else if conn.asked.is_some_and(|at| context.now - at >= DEAD_MS) {
            context.log.push(format!("silent: engine={} attempts={}", conn.engine.0, conn.load()));
            return self.lose(key, Outcome::Reset, context);
        } else if idle >= QUIET_MS && conn.asked.is_none() {
            conn.asked = Some(context.now);
            conn.link.put(format!("there k{}\r\n", key.slot).as_bytes());
            self.flush(key, context);
        }
        if let Some(conn) = self.conns.get_mut(key) {
            conn.look_at(context.now + LOOK_MS, key, context.timers);
        }
    }
}
