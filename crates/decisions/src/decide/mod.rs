//! The decisions. [`Gateway`] takes events and hands each to the module that decides about it.
//!
//! In the order of a request's way:
//!
//! - `arrival`: a request is taken, estimated and entered.
//! - `estimates`: expected work and memory, and what answers teach of them.
//! - `flagging`: SAFELoad's cheap pass, prediction and quota.
//! - `routing`: the order of engines for a table group; `dispatch`: send, wait or reject.
//! - `admission`: shedding by cost under overload, and which requests are too late.
//! - `load`: how loaded engines are, and the threads that each bears.
//! - `send_rules`: the bounds that every send passes, with `ordering` by key, `retry_budget` and
//!   `slow_start`.
//! - `attempts`: send, progress and end of an attempt; `retries`: cancelling and sending again,
//!   hedging; `completion`: answered and forgotten.
//! - `outlier_ejection`: which engines and zones are trusted.
//! - `tenant_quota`, `engine_list`, and `status` for outsiders.

mod admission;
mod arrival;
mod attempts;
mod completion;
mod dispatch;
mod engine_list;
mod estimates;
mod flagging;
mod load;
mod ordering;
mod outlier_ejection;
mod retries;
mod retry_budget;
mod routing;
mod send_rules;
mod slow_start;
mod status;
mod tenant_quota;

use crate::state::admission_state::{AdmissionState, FleetStretch};
use crate::state::clock::{Backoff, Clock};
use crate::state::costs::CostModel;
use crate::state::decay::{remaining, DecayingCounts};
use crate::state::engine_table::EngineTable;
use crate::state::hash::RandomSource;
use crate::state::key_queues::KeyQueues;
use crate::state::observed_load::ObservedLoad;
use crate::state::placement::Placement;
use crate::state::request::TrackedRequest;
use crate::state::request_table::RequestTable;
use crate::state::retry_state::RetryState;
use crate::{
    Action, ClassSettings, Discovery, Event, Micros, Settings, SettingsError, SlowStartShare,
    TimerId,
};
use flagging::FlaggingState;
use outlier_ejection::FleetHealth;

/// Interval at which the quota for flagged queries is refilled and placement is planned anew.
const WINDOW: Micros = Micros::from_millis(3000);

/// Interval between surveys of the fleet's load.
const SURVEY_INTERVAL: Micros = Micros::from_millis(100);

/// Interval of the gateway's own timer.
const TICK_INTERVAL: Micros = Micros::from_millis(25);

/// The gateway's own timer.
const TICK_TIMER: TimerId = TimerId(1);

/// Half-life of the counts of table groups, in milliseconds.
const GROUP_HALF_LIFE_MS: f64 = 20_000.0;

/// Half-life of the costs of requested work, in milliseconds.
const COST_HALF_LIFE_MS: f64 = 5000.0;

/// First pause before the engine list is requested again.
const FIRST_LIST_RETRY: Micros = Micros::from_millis(1000);

/// Longest pause before the engine list is requested again.
const LONGEST_LIST_RETRY: Micros = Micros::from_millis(8000);

/// Decides for one workload manager. Deterministic: the same settings, seed and events give the
/// same actions.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    clock: Clock,
    random: RandomSource,
    engines: EngineTable,
    requests: RequestTable,
    keys: KeyQueues,
    costs: CostModel,
    /// By kind of machine; the last is for kinds that the settings do not name.
    kinds: Vec<ObservedLoad>,
    stretch: FleetStretch,
    health: FleetHealth,
    admission: AdmissionState,
    flagging: FlaggingState,
    placement: Placement,
    retries: RetryState,
    /// Requests of each tenant.
    tenants: DecayingCounts,
    list_backoff: Backoff,
}

impl Gateway {
    /// A gateway that has just come up and knows nothing but its settings. `seed` feeds all its
    /// random draws.
    ///
    /// # Errors
    ///
    /// A setting that makes no sense, by its path.
    pub fn new(settings: Settings, seed: u64) -> Result<Gateway, SettingsError> {
        settings.check()?;
        Ok(Gateway {
            costs: CostModel::new(settings.classes.len()),
            kinds: vec![ObservedLoad::default(); settings.kinds.len() + 1],
            settings,
            random: RandomSource::from_seed(seed),
            ..Gateway::default()
        })
    }

    /// Sets its part of what engines that warm up bear; `None`: as the number of gateways in the
    /// settings says.
    pub fn set_slow_start_share(&mut self, share: Option<SlowStartShare>) {
        self.settings.slow_start_share = share;
    }

    /// Takes one event at the time `now` and appends what is to be done. Time never goes backward.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.clock.advance(now);
        if self.clock.started_at.is_none() {
            self.start(actions);
        }
        match event {
            Event::EngineList { kind, entries, .. } => {
                self.update_engine_list(kind, entries, actions);
            }
            Event::ListFailed => self.list_failed(),
            Event::RequestArrived(request) => self.request_arrived(request, actions),
            Event::Streaming { request, .. } => {
                if let Some(sequence) = self.requests.sequence_of(&request) {
                    self.requests.get_mut(sequence).answered = true;
                }
            }
            Event::AttemptEnded(end) => {
                self.store_report(&end.engine, end.report.as_ref());
                self.attempt_ended(&end, actions);
                self.dispatch_waiting(actions);
            }
            Event::ClientGone(request) => {
                if let Some(sequence) = self.requests.sequence_of(&request) {
                    self.finish(sequence, actions);
                }
            }
            Event::Timer(TICK_TIMER) => self.tick(actions),
            Event::ProbeEnded { engine, report, .. } => {
                self.store_report(&engine, report.as_ref());
                self.dispatch_waiting(actions);
            }
            Event::AttemptProgress {
                request,
                attempt,
                progress,
                ..
            } => {
                if let Some(sequence) = self.requests.sequence_of(&request) {
                    self.attempt_progressed(sequence, attempt, progress, actions);
                }
            }
            Event::Timer(_) | Event::Peer { .. } => {}
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.clock.start(WINDOW);
        actions.push(Action::SetTimer {
            after: TICK_INTERVAL,
            timer: TICK_TIMER,
        });
        if self.settings.discovery != Discovery::Pushed {
            actions.push(Action::Subscribe(true));
        }
    }

    fn list_failed(&mut self) {
        let draw = self.random.draw();
        self.list_backoff
            .failed(self.clock.now, draw, FIRST_LIST_RETRY, LONGEST_LIST_RETRY);
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        let now = self.clock.now;
        actions.push(Action::SetTimer {
            after: TICK_INTERVAL,
            timer: TICK_TIMER,
        });
        if now >= self.clock.window_end {
            self.start_window();
        }
        if self.list_backoff.take_due(now) {
            let pushed = self.settings.discovery == Discovery::Pushed;
            actions.push(if pushed {
                Action::FetchList
            } else {
                Action::Subscribe(true)
            });
        }
        self.keys.expire(now);
        self.engines.expire_held_groups(now);
        self.expire_retry_counts();
        self.finish_overdue(actions);
        self.retry_lagging(actions);
        if self.clock.since(self.clock.last_survey) >= SURVEY_INTERVAL {
            self.survey();
            self.dispatch_waiting(actions);
        }
    }

    fn start_window(&mut self) {
        self.clock.window_end = self.clock.now.plus(WINDOW);
        self.refill_flag_quotas();
        self.clock.shrink_longest_stall();
        self.placement
            .counts
            .decay(remaining(WINDOW, GROUP_HALF_LIFE_MS));
        self.admission
            .costs
            .decay(remaining(WINDOW, COST_HALF_LIFE_MS));
        self.plan_all_groups();
    }

    /// Once each survey interval: mean work, each engine's and kind's load, and the share that is
    /// admitted.
    fn survey(&mut self) {
        self.costs.update_mean_work();
        let elapsed = self.clock.since(self.clock.last_survey);
        self.clock.last_survey = self.clock.now;
        self.survey_engines(elapsed);
        self.decay_tenant_counts(elapsed);
        self.survey_kinds(elapsed);
        self.update_admitted_share(elapsed);
        self.update_best_stretch();
    }

    fn gateways(&self) -> f64 {
        f64::from(self.settings.gateways)
    }

    fn class(&self, request: &TrackedRequest) -> &ClassSettings {
        &self.settings.classes[request.request.class.0]
    }

    /// Threads that a request's query runs on.
    fn threads(&self, request: &TrackedRequest) -> f64 {
        self.class(request).threads.max(0.1)
    }
}
