//! The core: requests, attempts and outcomes, and no wire. It keeps the table of open requests, drives the
//! decision module, and owns two promises: one final answer for each request, and one attempt out at most.

use super::clock::{from_micros, to_micros};
use super::deadlines::{Deadlines, Handle, Wake};
use super::slots::{Key, Slots};
use crate::fleet::gate::Admitted;
use crate::{
    Action, Attempt, ClassId, Closed, EngineId, Event, Gateway, ListKind, LoadReport, Member, MemberState,
    Micros, Note, Outcome, Repeat, Request, RequestId, Settings, SettingsError, TimerId, TrueCost,
};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tracing::trace;

/// The part of the log with a line for each step of each request: off unless asked for (`--log account=trace`).
pub const ACCOUNT: &str = "account";

/// After the client's deadline, an answer that is still owed is given this much later: the decision module has
/// had its time-out by then, and the platform's grace is 20 ms.
const LAST_WORD: f64 = 10.0;

/// When a refused client is to come back, in milliseconds, where the decision module does not say.
const BACKOFF: f64 = 1000.0;

/// Which front a client came by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Front {
    /// The platform's.
    JsonRpc,
    /// The MySQL wire.
    Mysql,
}

/// Who asked: a request's place on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Asker {
    /// By which front.
    pub front: Front,
    /// On which connection.
    pub conn: Key,
    /// Under which number there.
    pub id: u64,
}

/// Parameters bound to a prepared statement; only fronts and backends of the kind that uses them look inside.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bound {
    /// How many parameters.
    pub count: usize,
    /// Their types, as the client gave them.
    pub types: Vec<u8>,
    /// The null bits, as the client gave them.
    pub nulls: Vec<u8>,
    /// The values.
    pub values: Vec<u8>,
    /// Long values that came ahead, by their parameter.
    pub long: Vec<(u16, Vec<u8>)>,
}

/// What is to be run. The core passes it on unread.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload {
    /// The statement.
    pub statement: Vec<u8>,
    /// For a prepared statement, what is bound to it.
    pub bound: Option<Bound>,
    /// The schema that unqualified names mean, if one was chosen.
    pub schema: Option<String>,
}

impl Payload {
    /// The bytes that it holds.
    pub fn size(&self) -> usize {
        let bound = self.bound.as_ref().map_or(0, |b| {
            let long: usize = b.long.iter().map(|(_, value)| value.len()).sum();
            b.types.len() + b.nulls.len() + b.values.len() + long
        });
        self.statement.len() + bound
    }
}

/// A request as a front hands it over.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Whose answer it is.
    pub asker: Asker,
    /// Its name, new with every request.
    pub name: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// When the client sent it, as far as can be told.
    pub sent: f64,
    /// How long the client waits from then, in milliseconds.
    pub budget: f64,
    /// Its group of tables.
    pub tables: u64,
    /// Estimated work in milliseconds.
    pub work_ms: Option<f64>,
    /// Estimated memory in megabytes.
    pub memory_mb: Option<f64>,
    /// The tenant.
    pub tenant: Option<Arc<str>>,
    /// In a class that keeps order, the key: what has it in common runs one after the other, as it was taken.
    pub order: Option<Arc<str>>,
    /// What to run.
    pub payload: Rc<Payload>,
    /// What it lives under, where a fleet has a policy.
    pub admitted: Option<Admitted>,
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result, whole and unchanged, in the form that backend and front share.
    Served(Vec<u8>),
    /// Not run; trying again is harmless after so many milliseconds.
    Refused {
        /// When to come back.
        backoff_ms: f64,
    },
    /// Failed; it may have run.
    Failed,
    /// Failed, as the time that the client gave has passed.
    TimedOut,
    /// The box ran it and answered with an error of its own, which the client understands.
    Error(Vec<u8>),
}

impl Answer {
    /// Its kind in one word, for the log.
    fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
            Answer::TimedOut => "late",
            Answer::Error(_) => "error",
        }
    }
}

/// Names an attempt of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptRef {
    /// The request's slot.
    pub request: Key,
    /// Which attempt.
    pub attempt: Attempt,
}

/// An attempt as a backend is handed it.
#[derive(Clone, Debug)]
pub struct Start {
    /// Which attempt.
    pub attempt: AttemptRef,
    /// Which front the request came by: the engines of its kind are to run it.
    pub front: Front,
    /// The request's name.
    pub name: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// The engine.
    pub engine: EngineId,
    /// How long it may take, in milliseconds.
    pub max_ms: f64,
    /// Memory granted in megabytes; 0: the engine chooses.
    pub memory_mb: u64,
    /// Priority from 0 to 3.
    pub priority: u8,
    /// What to run.
    pub payload: Rc<Payload>,
}

/// What the core wants done.
#[derive(Clone, Debug)]
pub enum Order {
    /// Answer a client.
    Answer(Asker, Answer),
    /// Begin an attempt.
    Start(Start),
    /// Give an attempt up; if it is still owed an end, that is told when it is sure that the engine knows.
    GiveUp(AttemptRef, bool),
    /// Change an attempt's priority.
    Hurry(AttemptRef, u8),
    /// Give an engine's idle connections back.
    CloseIdle(EngineId),
}

/// The end of an attempt, as a backend tells it.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Which attempt.
    pub attempt: AttemptRef,
    /// What the end proves.
    pub outcome: Outcome,
    /// The answer for the client, where the box gave one: a result, or its own error.
    pub answer: Option<Answer>,
    /// What it took, where told.
    pub cost: Option<TrueCost>,
    /// The engine's load, where told.
    pub report: Option<LoadReport>,
}

impl Ended {
    /// An end that tells nothing more than its outcome.
    pub fn bare(attempt: AttemptRef, outcome: Outcome) -> Ended {
        Ended { attempt, outcome, answer: None, cost: None, report: None }
    }
}

/// What fronts, backends and the bulletin tell the core.
#[derive(Clone, Debug)]
pub enum Heard {
    /// A request came whole.
    Asked(Ask),
    /// A client gave its request up, or is gone.
    Gone(Asker),
    /// An attempt ended.
    Ended(Ended),
    /// News of a running attempt.
    Noted(AttemptRef, Note),
    /// The list of engines, or changes to it.
    Members(ListKind, u64, Vec<Member>),
}

struct Out {
    attempt: Attempt,
    engine: EngineId,
    since: f64,
    due: Handle,
}

struct Open {
    asker: Option<Asker>,
    ask: Ask,
    deadline: f64,
    over: Option<Handle>,
    attempts: u32,
    /// Of these, those that went out.
    sent: u32,
    out: Option<Out>,
    memory_mb: u64,
    priority: u8,
    may_have_run: bool,
}

impl Open {
    /// Whether it has had all the attempts that its policy allows.
    fn is_spent(&self) -> bool {
        let most = self.ask.admitted.as_ref().and_then(|a| a.terms.attempts);
        self.asker.is_some() && most.is_some_and(|most| self.sent >= most)
    }
}

/// The table of open requests round the decision module.
pub struct Exchange {
    gateway: Gateway,
    settings: Settings,
    open_most: usize,
    payload_most: usize,
    payload: usize,
    open: Slots<Open>,
    names: HashMap<RequestId, Key>,
    askers: HashMap<Asker, Key>,
    /// Zones of engines, kept only where a fleet's policy may ask for them.
    zones: Option<HashMap<EngineId, String>>,
    orders: Vec<Order>,
    logs: Vec<String>,
}

impl Exchange {
    /// A core with no requests. It holds at most so many open, and so many bytes of what they are to run.
    pub fn new(
        settings: Settings,
        seed: u64,
        open_most: usize,
        payload_most: usize,
    ) -> Result<Exchange, SettingsError> {
        let gateway = Gateway::new(settings.clone(), seed)?;
        Ok(Exchange {
            gateway,
            settings,
            open_most,
            payload_most,
            payload: 0,
            open: Slots::default(),
            names: HashMap::new(),
            askers: HashMap::new(),
            zones: None,
            orders: Vec::new(),
            logs: Vec::new(),
        })
    }

    /// What the decision module was told at the start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// From now on requests may be bound by a policy that speaks of zones.
    pub fn keep_zones(&mut self) {
        self.zones = Some(HashMap::new());
    }

    /// Turns a request away before it is taken: nothing was run.
    pub fn turn_away(&mut self, asker: Asker, backoff_ms: f64) {
        self.orders.push(Order::Answer(asker, Answer::Refused { backoff_ms }));
    }

    /// Requests that are owed an answer, or still have an attempt out.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// The decision module, to look at.
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// What is to be done, in order.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// The decision module's lines for the operators.
    pub fn take_logs(&mut self) -> Vec<String> {
        std::mem::take(&mut self.logs)
    }

    /// Takes news in.
    pub fn hear(&mut self, now: f64, heard: Heard, deadlines: &mut Deadlines) {
        match heard {
            Heard::Asked(ask) => self.asked(now, ask, deadlines),
            Heard::Gone(asker) => {
                let Some(key) = self.askers.remove(&asker) else { return };
                let Some(open) = self.open.get_mut(key) else { return };
                open.asker = None;
                let id = RequestId(open.ask.name.clone());
                self.tell(now, Event::Abandoned(id), deadlines);
                self.forget(key, deadlines);
            }
            Heard::Ended(ended) => self.ended(now, ended, deadlines),
            Heard::Noted(r, note) => {
                let Some(open) = self.open.get(r.request) else { return };
                let Some(out) = open.out.as_ref().filter(|out| out.attempt == r.attempt) else { return };
                let (request, engine) = (RequestId(open.ask.name.clone()), out.engine.clone());
                self.tell(now, Event::Noted { request, attempt: r.attempt, engine, note }, deadlines);
            }
            Heard::Members(kind, version, members) => {
                if let Some(zones) = &mut self.zones {
                    for m in &members {
                        match m.state {
                            MemberState::Gone => drop(zones.remove(&m.engine)),
                            _ => drop(zones.insert(m.engine.clone(), m.zone.clone())),
                        }
                    }
                }
                self.tell(now, Event::Members { kind, version, members }, deadlines);
            }
        }
    }

    /// A timer of the decision module is up.
    pub fn timer(&mut self, now: f64, timer: TimerId, deadlines: &mut Deadlines) {
        self.tell(now, Event::Timer(timer), deadlines);
    }

    /// An attempt has had its time.
    pub fn attempt_over(&mut self, now: f64, r: AttemptRef, deadlines: &mut Deadlines) {
        let out = self.open.get(r.request).and_then(|open| open.out.as_ref());
        if out.is_some_and(|out| out.attempt == r.attempt) {
            self.orders.push(Order::GiveUp(r, false));
            self.ended(now, Ended::bare(r, Outcome::TimedOut), deadlines);
        }
    }

    /// A client has stopped waiting. The decision module has answered by now as a rule; if not, the core does.
    pub fn request_over(&mut self, now: f64, key: Key, deadlines: &mut Deadlines) {
        let Some(open) = self.open.get(key) else { return };
        let id = RequestId(open.ask.name.clone());
        self.answer(key, Answer::TimedOut);
        self.tell(now, Event::Abandoned(id), deadlines);
        self.forget(key, deadlines);
    }

    fn asked(&mut self, now: f64, ask: Ask, deadlines: &mut Deadlines) {
        let id = RequestId(ask.name.clone());
        let size = ask.payload.size();
        let full = self.open.len() >= self.open_most || self.payload + size > self.payload_most;
        // Likewise a name in use: nothing was run for this request, and the one before keeps its own answer.
        if full || self.names.contains_key(&id) || self.askers.contains_key(&ask.asker) {
            let backoff_ms = self.settings.retry_after.map_or(BACKOFF, from_micros);
            self.orders.push(Order::Answer(ask.asker, Answer::Refused { backoff_ms }));
            return;
        }
        self.payload += size;
        let deadline = ask.sent + ask.budget;
        let request = Request {
            id: id.clone(),
            class: ask.class,
            left: to_micros(deadline - now),
            tables: ask.tables,
            work_hint: ask.work_ms.filter(|ms| *ms > 0.0).map(to_micros),
            memory_hint_mb: ask.memory_mb.filter(|mb| *mb > 0.0),
            key: ask.order.clone(),
            tenant: ask.tenant.clone(),
            repeat: false,
        };
        let asker = ask.asker;
        let key = self.open.insert(Open {
            asker: Some(asker),
            ask,
            deadline,
            over: None,
            attempts: 0,
            sent: 0,
            out: None,
            memory_mb: 0,
            priority: 1,
            may_have_run: false,
        });
        if let Some(open) = self.open.get_mut(key) {
            open.over = Some(deadlines.set(deadline + LAST_WORD, Wake::RequestOver(key)));
        }
        trace!(target: ACCOUNT, "ask: id={} class={}", id.0, self.open.get(key).map_or(0, |o| o.ask.class.0));
        self.names.insert(id, key);
        self.askers.insert(asker, key);
        self.tell(now, Event::Arrived(request), deadlines);
    }

    fn ended(&mut self, now: f64, ended: Ended, deadlines: &mut Deadlines) {
        let Some(mut closed) = self.close_attempt(now, &ended, deadlines) else { return };
        let (id, engine, outcome) = (&closed.request.0, &closed.engine.0, closed.outcome);
        let ms = closed.latency.as_millis();
        trace!(target: ACCOUNT, "end: id={id} engine={engine} outcome={outcome:?} ms={ms:.1}");
        let key = ended.attempt.request;
        if let Some(answer) = ended.answer {
            self.answer(key, answer);
        } else if self.open.get(key).is_some_and(Open::is_spent) {
            // Its policy allows no further attempt: it hears so at once.
            let answer = self.given_up(key, BACKOFF);
            self.answer(key, answer);
            closed.request_over = true;
        }
        self.tell(now, Event::Closed(closed), deadlines);
        self.forget(key, deadlines);
    }

    /// Takes an attempt out of the table; `None` if it is not out any more (a late line tells nothing).
    fn close_attempt(&mut self, now: f64, ended: &Ended, deadlines: &mut Deadlines) -> Option<Closed> {
        let open = self.open.get_mut(ended.attempt.request)?;
        let out = open.out.take_if(|out| out.attempt == ended.attempt.attempt)?;
        deadlines.clear(out.due);
        open.may_have_run |= !ended.outcome.never_ran();
        Some(Closed {
            request: RequestId(open.ask.name.clone()),
            attempt: out.attempt,
            engine: out.engine,
            outcome: ended.outcome,
            latency: to_micros(now - out.since),
            request_over: open.asker.is_none() || ended.answer.is_some(),
            cost: ended.cost,
            report: ended.report.clone(),
        })
    }

    /// Gives a request its final answer, unless it had one or the client is gone.
    fn answer(&mut self, key: Key, answer: Answer) {
        let Some(asker) = self.open.get_mut(key).and_then(|open| open.asker.take()) else { return };
        self.askers.remove(&asker);
        if let Some(open) = self.open.get(key) {
            trace!(target: ACCOUNT, "answer: id={} {}", open.ask.name, answer.word());
        }
        self.orders.push(Order::Answer(asker, answer));
    }

    /// Drops a request that is answered and has nothing out.
    fn forget(&mut self, key: Key, deadlines: &mut Deadlines) {
        let done = self.open.get(key).is_some_and(|open| open.asker.is_none() && open.out.is_none());
        if let Some(open) = done.then(|| self.open.remove(key)).flatten() {
            open.over.into_iter().for_each(|over| deadlines.clear(over));
            self.names.remove(&RequestId(open.ask.name.clone()));
            self.payload -= open.ask.payload.size();
        }
    }

    /// Tells the decision module and does what it says; what its actions end at once is told it in turn.
    fn tell(&mut self, now: f64, event: Event, deadlines: &mut Deadlines) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.gateway.handle(to_micros(now), event, &mut actions);
            for action in actions.drain(..) {
                if let Some(closed) = self.apply(now, action, deadlines) {
                    events.push_back(Event::Closed(closed));
                }
            }
        }
    }

    /// What a request that is given up hears. Guards against a load that may have run being sent again by its client
    /// on our word.
    fn given_up(&self, key: Key, backoff_ms: f64) -> Answer {
        let may_have_run = self.open.get(key).is_some_and(|open| {
            let unsafe_class = self.settings.classes[open.ask.class.0].repeat == Repeat::Unsafe;
            unsafe_class && (open.may_have_run || open.out.is_some())
        });
        if may_have_run {
            Answer::Failed
        } else {
            Answer::Refused { backoff_ms }
        }
    }

    fn key(&self, id: &RequestId) -> Option<Key> {
        self.names.get(id).copied()
    }

    fn apply(&mut self, now: f64, action: Action, deadlines: &mut Deadlines) -> Option<Closed> {
        match action {
            Action::Send { request, engine, give_up_after } => {
                self.send(now, request, engine, give_up_after, deadlines)
            }
            Action::Refuse { request, retry_after } => {
                let key = self.key(&request)?;
                let answer = self.given_up(key, retry_after.map_or(BACKOFF, from_micros));
                self.answer(key, answer);
                self.forget(key, deadlines);
                None
            }
            Action::Fail { request } => {
                let key = self.key(&request)?;
                let late = self.open.get(key).is_some_and(|open| now >= open.deadline);
                self.answer(key, if late { Answer::TimedOut } else { Answer::Failed });
                self.forget(key, deadlines);
                None
            }
            Action::Cancel { request, attempt } => {
                let attempt = AttemptRef { request: self.key(&request)?, attempt };
                let open = self.open.get(attempt.request)?;
                let (again, ordered) = (open.asker.is_some(), open.ask.order.is_some());
                let is_out = open.out.as_ref().is_some_and(|out| out.attempt == attempt.attempt);
                if is_out && (again || ordered) {
                    // It may be sent again, or the next of its key comes, but not before this one is over for sure:
                    // its end comes from outside.
                    self.orders.push(Order::GiveUp(attempt, true));
                    return None;
                }
                let closed = self.close_attempt(now, &Ended::bare(attempt, Outcome::Cancelled), deadlines)?;
                self.orders.push(Order::GiveUp(attempt, false));
                self.forget(attempt.request, deadlines);
                Some(closed)
            }
            Action::Terms { request, memory_mb, priority } => {
                let key = self.key(&request)?;
                let open = self.open.get_mut(key)?;
                (open.memory_mb, open.priority) = (memory_mb, priority);
                if let Some(out) = &open.out {
                    let attempt = AttemptRef { request: key, attempt: out.attempt };
                    self.orders.push(Order::Hurry(attempt, priority));
                }
                None
            }
            Action::CloseIdle(engine) => {
                self.orders.push(Order::CloseIdle(engine));
                None
            }
            Action::SetTimer { after, timer } => {
                deadlines.set(now + from_micros(after), Wake::Module(timer));
                None
            }
            Action::Log(text) => {
                self.logs.push(text);
                None
            }
            // Talk between front ends is not allowed, and the list comes by itself.
            Action::Tell { .. } | Action::Subscribe(_) | Action::FetchList => None,
        }
    }

    fn send(
        &mut self,
        now: f64,
        request: RequestId,
        engine: EngineId,
        give_up_after: Option<Micros>,
        deadlines: &mut Deadlines,
    ) -> Option<Closed> {
        let key = self.key(&request)?;
        let open = self.open.get_mut(key)?;
        let attempt = Attempt(open.attempts);
        open.attempts += 1;
        let left = open.deadline - now;
        let max_ms = give_up_after.map_or(left, |after| left.min(from_micros(after)));
        // An engine that the request's own version leaves out is not for it, whatever the version of now says.
        let barred = open.ask.admitted.as_ref().is_some_and(|a| {
            let zone = self.zones.as_ref().and_then(|zones| zones.get(&engine)).map_or("", String::as_str);
            a.ruling.leaves_out(&engine.0, zone)
        });
        // Guards: never two attempts out, nothing after the end, nothing without time left.
        if open.out.is_some() || open.asker.is_none() || max_ms < 1.0 || barred {
            let outcome = Outcome::Moot;
            let (latency, request_over) = (Micros(0), open.asker.is_none());
            let (cost, report) = (None, None);
            return Some(Closed { request, attempt, engine, outcome, latency, request_over, cost, report });
        }
        let (class, work) = (open.ask.class.0, open.ask.work_ms.unwrap_or(0.0));
        let (id, to, no) = (&request.0, &engine.0, attempt.0);
        trace!(target: ACCOUNT, "send: id={id} class={class} engine={to} attempt={no} work={work:.0}");
        open.sent += 1;
        let due = deadlines.set(now + max_ms, Wake::AttemptOver(key, attempt));
        open.out = Some(Out { attempt, engine: engine.clone(), since: now, due });
        self.orders.push(Order::Start(Start {
            attempt: AttemptRef { request: key, attempt },
            front: open.ask.asker.front,
            name: open.ask.name.clone(),
            class: open.ask.class,
            engine,
            max_ms,
            memory_mb: open.memory_mb,
            priority: open.priority,
            payload: open.ask.payload.clone(),
        }));
        None
    }
}
