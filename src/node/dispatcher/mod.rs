//! The core: requests, attempts and outcomes, and no wire. It keeps the table of open requests, drives the
//! decision module, and owns two promises: one final answer for each request, and one attempt out at most.

mod decisions;
pub mod message;
pub mod recent_names;
pub mod request;
mod shutdown;

use super::clock::{from_micros, to_micros};
use super::slab::{Slab, SlotKey};
use super::timer_queue::{TimerEvent, TimerHandle, TimerQueue};
use crate::fleet::admission::Admitted;
use crate::fleet::budgets::HeldUnits;
use crate::{
    Action, Attempt, AttemptEnd, ClassId, EngineEntry, EngineId, EngineState, Event, Gateway, ListKind,
    LoadReport, Micros, Outcome, Progress, Repeat, Request, RequestId, Settings, SettingsError,
    SlowStartShare, TimerId, TrueCost,
};
pub use message::*;
use recent_names::RecentNames;
pub use request::*;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tracing::trace;

/// The part of the log with a line for each step of each request: off unless asked for (`--log account=trace`).
pub const ACCOUNT: &str = "account";

/// After the client's deadline, an answer that is still owed is given this much later: the decision module has
/// had its time-out by then, and the platform's grace is 20 ms.
const ANSWER_GRACE_MS: f64 = 10.0;

/// How long after its client's time an answer still counts as one. The platform's grace is 500 ms; the rest is for the
/// way to the client.
const LATE_ANSWER_GRACE_MS: f64 = 450.0;

/// When a refused client is to come back, in milliseconds, where the decision module does not say.
const BACKOFF: f64 = 1000.0;

struct OutstandingAttempt {
    attempt: Attempt,
    engine: EngineId,
    since: f64,
    due: TimerHandle,
}

struct OpenRequest {
    asker: Option<ClientHandle>,
    ask: ClientRequest,
    deadline: f64,
    over: Option<TimerHandle>,
    attempts: u32,
    /// Of these, those that went out.
    sent: u32,
    out: Option<OutstandingAttempt>,
    memory_mb: u64,
    priority: u8,
    may_have_run: bool,
    /// When it came, and whether something of it may still run at an engine though it is over here.
    came: f64,
    unsure: bool,
}

impl OpenRequest {
    /// Whether it has had all the attempts that its policy allows.
    fn is_spent(&self) -> bool {
        let most = self.ask.admitted.as_ref().and_then(|a| a.limits.max_attempts);
        self.asker.is_some() && most.is_some_and(|most| self.sent >= most)
    }
}

/// The table of open requests round the decision module.
pub struct RequestDispatcher {
    gateway: Gateway,
    settings: Settings,
    open_most: usize,
    payload_most: usize,
    payload: usize,
    open: Slab<OpenRequest>,
    names: HashMap<RequestId, SlotKey>,
    askers: HashMap<ClientHandle, SlotKey>,
    recent_names: RecentNames,
    /// What the fleet's stocks still count, and until when: it may run on at an engine.
    lingering: Vec<(f64, Rc<HeldUnits>)>,
    /// Zones of engines, kept only where a fleet's policy may ask for them.
    zones: Option<HashMap<EngineId, String>>,
    /// The response deadline of a graceful shutdown; nothing is owed beyond.
    response_deadline: f64,
    /// Whether what comes from now on is refused, since a graceful shutdown closes its connections.
    refuses_new: bool,
    orders: Vec<DispatcherCommand>,
    logs: Vec<String>,
}

impl RequestDispatcher {
    /// A core with no requests. It holds at most so many open, and so many bytes of what they are to run.
    pub fn new(
        settings: Settings,
        seed: u64,
        open_most: usize,
        payload_most: usize,
    ) -> Result<RequestDispatcher, SettingsError> {
        let gateway = Gateway::new(settings.clone(), seed)?;
        Ok(RequestDispatcher {
            recent_names: RecentNames::new(&settings),
            gateway,
            settings,
            open_most,
            payload_most,
            payload: 0,
            open: Slab::default(),
            names: HashMap::new(),
            askers: HashMap::new(),
            lingering: Vec::new(),
            zones: None,
            response_deadline: f64::INFINITY,
            refuses_new: false,
            orders: Vec::new(),
            logs: Vec::new(),
        })
    }

    /// What the decision module was told at the start.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Which part of what cold engines bear is this front end's, where the fleet divides that.
    pub fn cold_among(&mut self, among: Option<(f64, u64)>) {
        self.gateway
            .set_slow_start_share(among.map(|(gateways, number)| SlowStartShare { gateways, number }));
    }

    /// From now on requests may be bound by a policy that speaks of zones.
    pub fn keep_zones(&mut self) {
        self.zones = Some(HashMap::new());
    }

    /// Turns a request away before it is taken: nothing was run.
    pub fn turn_away(&mut self, asker: ClientHandle, backoff_ms: f64) {
        self.orders.push(DispatcherCommand::Answer(asker, FinalResponse::Refused { backoff_ms }));
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
    pub fn take_orders(&mut self) -> Vec<DispatcherCommand> {
        std::mem::take(&mut self.orders)
    }

    /// The decision module's lines for the operators.
    pub fn take_logs(&mut self) -> Vec<String> {
        std::mem::take(&mut self.logs)
    }

    /// Takes news in.
    pub fn hear(&mut self, now: f64, heard: DispatcherEvent, timers: &mut TimerQueue) {
        match heard {
            DispatcherEvent::Asked(ask) => self.asked(now, ask, timers),
            DispatcherEvent::Gone(asker) => {
                let Some(key) = self.askers.remove(&asker) else { return };
                let Some(open) = self.open.get_mut(key) else { return };
                open.asker = None;
                let id = RequestId(open.ask.name.clone());
                trace!(target: ACCOUNT, "gone: id={}", id.0);
                self.tell(now, Event::ClientGone(id), timers);
                self.withdraw(key);
                self.forget(key, timers);
            }
            DispatcherEvent::Ended(ended) => self.ended(now, ended, timers),
            DispatcherEvent::Noted(r, note) => {
                let Some(open) = self.open.get(r.request) else { return };
                let Some(out) = open.out.as_ref().filter(|out| out.attempt == r.attempt) else { return };
                let (request, engine) = (RequestId(open.ask.name.clone()), out.engine.clone());
                self.tell(
                    now,
                    Event::AttemptProgress { request, attempt: r.attempt, engine, progress: note },
                    timers,
                );
            }
            DispatcherEvent::Members(kind, version, members) => {
                if let Some(zones) = &mut self.zones {
                    for m in &members {
                        match m.state {
                            EngineState::Removed => drop(zones.remove(&m.engine)),
                            _ => drop(zones.insert(m.engine.clone(), m.zone.clone())),
                        }
                    }
                }
                self.tell(now, Event::EngineList { kind, version, entries: members }, timers);
            }
        }
    }

    /// A timer of the decision module is up.
    pub fn timer(&mut self, now: f64, timer: TimerId, timers: &mut TimerQueue) {
        self.tell(now, Event::Timer(timer), timers);
    }

    /// An attempt has had its time.
    pub fn attempt_over(&mut self, now: f64, r: AttemptRef, timers: &mut TimerQueue) {
        let out = self.open.get(r.request).and_then(|open| open.out.as_ref());
        if out.is_some_and(|out| out.attempt == r.attempt) {
            self.orders.push(DispatcherCommand::GiveUp(r, false));
            self.ended(now, FinishedAttempt::bare(r, Outcome::TimedOut), timers);
        }
    }

    /// A client has stopped waiting. The decision module has answered by now as a rule; if not, the core does.
    pub fn request_over(&mut self, now: f64, key: SlotKey, timers: &mut TimerQueue) {
        let Some(open) = self.open.get(key) else { return };
        let id = RequestId(open.ask.name.clone());
        // Before its time only a graceful shutdown cuts it off.
        let cut = now < open.deadline;
        let answer = if cut { self.given_up(key, BACKOFF) } else { FinalResponse::TimedOut };
        self.answer(key, answer);
        self.tell(now, Event::ClientGone(id), timers);
        self.forget(key, timers);
    }

    fn asked(&mut self, now: f64, ask: ClientRequest, timers: &mut TimerQueue) {
        let id = RequestId(ask.name.clone());
        let size = ask.payload.size();
        let full =
            self.refuses_new || self.open.len() >= self.open_most || self.payload + size > self.payload_most;
        let used = self.names.contains_key(&id) || self.askers.contains_key(&ask.asker);
        let came = !self.recent_names.insert(now, &ask.name) || used;
        if full || came {
            // Nothing is run for this request; but under a name that came before something may have been.
            let backoff_ms = self.settings.retry_after.map_or(BACKOFF, from_micros);
            let once = self.settings.classes[ask.class.0].repeat == Repeat::Unsafe;
            let answer =
                if once && came { FinalResponse::Failed } else { FinalResponse::Refused { backoff_ms } };
            self.orders.push(DispatcherCommand::Answer(ask.asker, answer));
            return;
        }
        self.payload += size;
        let deadline = ask.due(LATE_ANSWER_GRACE_MS);
        let request = Request {
            id: id.clone(),
            class: ask.class,
            time_left: to_micros(deadline.min(self.response_deadline) - now),
            table_group: ask.tables,
            work_hint: ask.work_ms.filter(|ms| *ms > 0.0).map(to_micros),
            memory_hint_mb: ask.memory_mb.filter(|mb| *mb > 0.0),
            key: ask.order.clone(),
            tenant: ask.tenant.clone(),
            repeat: false,
        };
        let asker = ask.asker;
        let key = self.open.insert(OpenRequest {
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
            came: now,
            unsure: false,
        });
        if let Some(open) = self.open.get_mut(key) {
            let over = (deadline + ANSWER_GRACE_MS).min(self.response_deadline.max(now));
            open.over = Some(timers.set(over, TimerEvent::RequestOver(key)));
        }
        if let Some(open) = self.open.get(key) {
            let (class, budget) = (open.ask.class.0, open.ask.budget);
            let order = open.ask.order.as_deref().unwrap_or("-");
            let waited = open.ask.waited_at_client;
            trace!(
                target: ACCOUNT,
                "ask: id={} class={class} budget={budget:.0} waited_at_client={waited:.0} order={order}",
                id.0
            );
        }
        self.names.insert(id, key);
        self.askers.insert(asker, key);
        self.tell(now, Event::RequestArrived(request), timers);
    }

    fn ended(&mut self, now: f64, ended: FinishedAttempt, timers: &mut TimerQueue) {
        let Some(mut closed) = self.close_attempt(now, &ended, timers) else { return };
        let (id, engine, outcome) = (&closed.request.0, &closed.engine.0, closed.outcome);
        let ms = closed.latency.as_millis();
        trace!(target: ACCOUNT, "end: id={id} engine={engine} outcome={outcome:?} ms={ms:.1}");
        let key = ended.attempt.request;
        if let Some(answer) = ended.answer {
            self.answer(key, answer);
        } else if self.open.get(key).is_some_and(|open| open.is_spent() || self.is_unfinishable(now, open)) {
            // Its policy allows no further attempt, or none could end before the response deadline of a shutdown.
            let answer = self.given_up(key, BACKOFF);
            self.answer(key, answer);
            closed.request_answered = true;
        }
        self.tell(now, Event::AttemptEnded(closed), timers);
        self.forget(key, timers);
    }

    /// Takes an attempt out of the table; `None` if it is not out any more (a late line tells nothing).
    fn close_attempt(
        &mut self,
        now: f64,
        ended: &FinishedAttempt,
        timers: &mut TimerQueue,
    ) -> Option<AttemptEnd> {
        let open = self.open.get_mut(ended.attempt.request)?;
        let out = open.out.take_if(|out| out.attempt == ended.attempt.attempt)?;
        timers.clear(out.due);
        open.may_have_run |= !ended.outcome.never_ran();
        open.unsure |= ended.outcome.may_still_run() && !ended.confirmed;
        Some(AttemptEnd {
            request: RequestId(open.ask.name.clone()),
            attempt: out.attempt,
            engine: out.engine,
            outcome: ended.outcome,
            latency: to_micros(now - out.since),
            request_answered: open.asker.is_none() || ended.answer.is_some(),
            cost: ended.cost,
            report: ended.report.clone(),
        })
    }

    /// Gives a request its final answer, unless it had one or the client is gone.
    fn answer(&mut self, key: SlotKey, answer: FinalResponse) {
        let Some(asker) = self.open.get_mut(key).and_then(|open| open.asker.take()) else { return };
        self.askers.remove(&asker);
        if let Some(open) = self.open.get(key) {
            trace!(target: ACCOUNT, "answer: id={} {}", open.ask.name, answer.word());
        }
        self.orders.push(DispatcherCommand::Answer(asker, answer));
    }

    /// Drops a request that is answered and has nothing out.
    fn forget(&mut self, key: SlotKey, timers: &mut TimerQueue) {
        let done = self.open.get(key).is_some_and(|open| open.asker.is_none() && open.out.is_none());
        if let Some(open) = done.then(|| self.open.remove(key)).flatten() {
            open.over.into_iter().for_each(|over| timers.clear(over));
            self.names.remove(&RequestId(open.ask.name.clone()));
            self.payload -= open.ask.payload.size();
            self.linger(open);
        }
    }
}
