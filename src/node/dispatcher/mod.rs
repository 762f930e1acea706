//! The request dispatcher: the table of open requests around the decision module, independent of any wire protocol.
//!
//! The dispatcher guarantees that each request gets one final response and has at most one attempt in flight.

mod arrival;
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
    LoadReport, Micros, Outcome, Progress, Request, RequestId, Settings, SettingsError, SlowStartShare,
    TimerId, TrueCost,
};
pub use message::*;
use recent_names::RecentNames;
pub use request::*;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tracing::trace;

/// Log target with a line for each step of each request; off unless enabled with `--log account=trace`.
pub const ACCOUNT: &str = "account";

/// Time after a request's deadline at which the dispatcher itself sends a response that is still owed, in
/// milliseconds. The decision module's own timeout has fired by then, and the platform allows 20 ms.
const RESPONSE_GRACE_MS: f64 = 10.0;

/// Time after the end of a client's budget for which a response is still valid, in milliseconds. The platform
/// allows 500 ms; the remaining 50 ms are for the network latency to the client.
const LATE_RESPONSE_GRACE_MS: f64 = 450.0;

/// Delay that a rejected client is told to wait before a retry, in milliseconds, if the decision module sets none.
const DEFAULT_BACKOFF_MS: f64 = 1000.0;

/// The attempt of a request that is in flight.
struct OutstandingAttempt {
    attempt: Attempt,
    engine: EngineId,
    sent_at: f64,
    timeout: TimerHandle,
}

/// A request that is owed a response or has an attempt in flight.
struct OpenRequest {
    /// `None` once the client has its response or is gone.
    client: Option<ClientHandle>,
    request: ClientRequest,
    deadline: f64,
    deadline_timer: Option<TimerHandle>,
    attempts: u32,
    /// Attempts that were handed to a backend; the others ended as not sent.
    attempts_sent: u32,
    outstanding: Option<OutstandingAttempt>,
    memory_mb: u64,
    priority: u8,
    /// When the first attempt was sent that has ended and may have run, in milliseconds.
    may_run_since: Option<f64>,
    arrived_at: f64,
    /// Whether an engine may still run an attempt that has ended here.
    may_still_run: bool,
}

impl OpenRequest {
    /// Whether the request has used all the attempts that its policy allows.
    fn has_no_attempt_left(&self) -> bool {
        let max_attempts = self.request.admitted.as_ref().and_then(|a| a.limits.max_attempts);
        self.client.is_some() && max_attempts.is_some_and(|max| self.attempts_sent >= max)
    }
}

/// Dispatches requests: passes them to the decision module and tracks them until their final response.
pub struct RequestDispatcher {
    gateway: Gateway,
    settings: Settings,
    max_open: usize,
    max_payload_bytes: usize,
    payload_bytes: usize,
    open: Slab<OpenRequest>,
    by_name: HashMap<RequestId, SlotKey>,
    by_client: HashMap<ClientHandle, SlotKey>,
    recent_names: RecentNames,
    /// Units of fleet budgets held for ended requests that an engine may still run, each with its release time.
    retained_units: Vec<(f64, Rc<HeldUnits>)>,
    /// Zones of the engines; `None` without a fleet policy, which may exclude engines by zone.
    zones: Option<HashMap<EngineId, String>>,
    /// Time by which a graceful shutdown responds to all requests; infinite before a shutdown.
    response_deadline: f64,
    /// Whether new requests are rejected, since a graceful shutdown is closing the client connections.
    rejects_new: bool,
    commands: Vec<DispatcherCommand>,
    logs: Vec<String>,
}

impl RequestDispatcher {
    /// Creates a dispatcher without requests. At most `max_open` requests are open at a time, and their payloads
    /// have at most `max_payload_bytes` in total.
    pub fn new(
        settings: Settings,
        seed: u64,
        max_open: usize,
        max_payload_bytes: usize,
    ) -> Result<RequestDispatcher, SettingsError> {
        let gateway = Gateway::new(settings.clone(), seed)?;
        Ok(RequestDispatcher {
            recent_names: RecentNames::new(&settings),
            gateway,
            settings,
            max_open,
            max_payload_bytes,
            payload_bytes: 0,
            open: Slab::default(),
            by_name: HashMap::new(),
            by_client: HashMap::new(),
            retained_units: Vec::new(),
            zones: None,
            response_deadline: f64::INFINITY,
            rejects_new: false,
            commands: Vec::new(),
            logs: Vec::new(),
        })
    }

    /// Settings of the decision module.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Sets this front end's part of the load on engines that warm up, if a fleet budget divides that load: the
    /// number of front ends that share it, and this front end's number among them.
    pub fn set_warm_up_share(&mut self, share: Option<(f64, u64)>) {
        self.gateway
            .set_slow_start_share(share.map(|(gateways, number)| SlowStartShare { gateways, number }));
    }

    /// Starts to record the zones of the engines, for policies that exclude engines by zone.
    pub fn track_zones(&mut self) {
        self.zones = Some(HashMap::new());
    }

    /// Number of requests that are owed a response or have an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// The decision module, for status views.
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// Removes and returns the commands that are to be carried out, in order.
    pub fn take_commands(&mut self) -> Vec<DispatcherCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Removes and returns the decision module's lines for the operators' log.
    pub fn take_logs(&mut self) -> Vec<String> {
        std::mem::take(&mut self.logs)
    }

    /// Handles an event from a front, a backend or service discovery.
    pub fn handle(&mut self, now: f64, event: DispatcherEvent, timers: &mut TimerQueue) {
        match event {
            DispatcherEvent::RequestReceived(request) => self.accept_request(now, request, timers),
            DispatcherEvent::ClientGone(client) => {
                let Some(key) = self.by_client.remove(&client) else { return };
                let Some(open) = self.open.get_mut(key) else { return };
                open.client = None;
                let id = RequestId(open.request.name.clone());
                trace!(target: ACCOUNT, "gone: id={}", id.0);
                self.decide(now, Event::ClientGone(id), timers);
                self.withdraw_attempt(key);
                self.remove_if_done(now, key, timers);
            }
            DispatcherEvent::AttemptEnded(finished) => self.finish_attempt(now, finished, timers),
            DispatcherEvent::AttemptProgress(AttemptRef { request: key, attempt }, progress) => {
                let Some(open) = self.open.get(key) else { return };
                let Some(out) = open.outstanding.as_ref().filter(|out| out.attempt == attempt) else {
                    return;
                };
                let (request, engine) = (RequestId(open.request.name.clone()), out.engine.clone());
                self.decide(now, Event::AttemptProgress { request, attempt, engine, progress }, timers);
            }
            DispatcherEvent::EngineList(kind, version, entries) => {
                if let Some(zones) = &mut self.zones {
                    for entry in &entries {
                        match entry.state {
                            EngineState::Removed => drop(zones.remove(&entry.engine)),
                            _ => drop(zones.insert(entry.engine.clone(), entry.zone.clone())),
                        }
                    }
                }
                self.decide(now, Event::EngineList { kind, version, entries }, timers);
            }
        }
    }

    /// Handles the expiry of a timer that the decision module has set.
    pub fn module_timer_fired(&mut self, now: f64, timer: TimerId, timers: &mut TimerQueue) {
        self.decide(now, Event::Timer(timer), timers);
    }

    /// Handles the timeout of an attempt: cancels the attempt, and ends it here without waiting for the engine.
    pub fn attempt_timed_out(&mut self, now: f64, attempt: AttemptRef, timers: &mut TimerQueue) {
        let outstanding = self.open.get(attempt.request).and_then(|open| open.outstanding.as_ref());
        if outstanding.is_some_and(|out| out.attempt == attempt.attempt) {
            self.commands.push(DispatcherCommand::Cancel(attempt, false));
            self.finish_attempt(now, FinishedAttempt::bare(attempt, Outcome::TimedOut), timers);
        }
    }

    /// Handles the deadline of a request. The decision module has usually ended the request by then; if not, the
    /// dispatcher sends the response itself.
    pub fn request_timed_out(&mut self, now: f64, key: SlotKey, timers: &mut TimerQueue) {
        let Some(open) = self.open.get(key) else { return };
        let id = RequestId(open.request.name.clone());
        // The timer fires before the request's own deadline only if a graceful shutdown has moved it.
        let is_cut_short = now < open.deadline;
        let response = if is_cut_short {
            self.unserved_response(now, key, DEFAULT_BACKOFF_MS)
        } else {
            FinalResponse::TimedOut
        };
        self.respond(key, response);
        self.decide(now, Event::ClientGone(id), timers);
        self.remove_if_done(now, key, timers);
    }

    /// Handles the end of an attempt: responds to the client if the attempt had a response or no further attempt is
    /// possible, and otherwise leaves the next step to the decision module.
    fn finish_attempt(&mut self, now: f64, finished: FinishedAttempt, timers: &mut TimerQueue) {
        let Some(mut attempt_end) = self.close_attempt(now, &finished, timers) else { return };
        let (id, engine, outcome) = (&attempt_end.request.0, &attempt_end.engine.0, attempt_end.outcome);
        let ms = attempt_end.latency.as_millis();
        trace!(target: ACCOUNT, "end: id={id} engine={engine} outcome={outcome:?} ms={ms:.1}");
        let key = finished.attempt.request;
        if let Some(response) = finished.response {
            self.respond(key, response);
        } else if self
            .open
            .get(key)
            .is_some_and(|open| open.has_no_attempt_left() || self.is_unfinishable(now, open))
        {
            // The request's policy allows no further attempt, or none could end before the response deadline of a
            // graceful shutdown.
            let response = self.unserved_response(now, key, DEFAULT_BACKOFF_MS);
            self.respond(key, response);
            attempt_end.request_answered = true;
        }
        self.decide(now, Event::AttemptEnded(attempt_end), timers);
        self.remove_if_done(now, key, timers);
    }

    /// Records the end of the attempt that is in flight. Returns `None` if the attempt has ended before: a backend
    /// may report an end after the attempt has timed out here.
    fn close_attempt(
        &mut self,
        now: f64,
        finished: &FinishedAttempt,
        timers: &mut TimerQueue,
    ) -> Option<AttemptEnd> {
        let open = self.open.get_mut(finished.attempt.request)?;
        let outstanding = open.outstanding.take_if(|out| out.attempt == finished.attempt.attempt)?;
        timers.cancel(outstanding.timeout);
        if !finished.outcome.never_ran() {
            open.may_run_since.get_or_insert(outstanding.sent_at);
        }
        open.may_still_run |= finished.outcome.may_still_run() && !finished.confirmed;
        Some(AttemptEnd {
            request: RequestId(open.request.name.clone()),
            attempt: outstanding.attempt,
            engine: outstanding.engine,
            outcome: finished.outcome,
            latency: to_micros(now - outstanding.sent_at),
            request_answered: open.client.is_none() || finished.response.is_some(),
            cost: finished.cost,
            report: finished.report.clone(),
        })
    }

    /// Sends the final response to a request, unless one was sent before or the client is gone.
    fn respond(&mut self, key: SlotKey, response: FinalResponse) {
        let Some(client) = self.open.get_mut(key).and_then(|open| open.client.take()) else { return };
        self.by_client.remove(&client);
        if let Some(open) = self.open.get(key) {
            trace!(target: ACCOUNT, "answer: id={} {}", open.request.name, response.word());
        }
        self.commands.push(DispatcherCommand::Respond(client, response));
    }

    /// Removes a request that is owed no response and has no attempt in flight.
    fn remove_if_done(&mut self, now: f64, key: SlotKey, timers: &mut TimerQueue) {
        let is_done =
            self.open.get(key).is_some_and(|open| open.client.is_none() && open.outstanding.is_none());
        if let Some(open) = is_done.then(|| self.open.remove(key)).flatten() {
            open.deadline_timer.into_iter().for_each(|timer| timers.cancel(timer));
            self.by_name.remove(&RequestId(open.request.name.clone()));
            self.payload_bytes -= open.request.payload.size();
            if open.may_run_since.is_some() {
                let repeat = self.settings.classes[open.request.class.0].repeat;
                self.recent_names.record_end(now, &open.request.name, open.arrived_at, repeat);
            }
            self.retain_units(open);
        }
    }
}
