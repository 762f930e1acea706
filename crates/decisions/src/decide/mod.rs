//! Decision logic of the gateway. [`Gateway`] passes each event to the module that handles it.
//!
//! The modules, in the order in which a request passes through them:
//!
//! - `arrival`: a new request is estimated and recorded.
//! - `estimates`: expected work and memory of queries, learned from answers.
//! - `flagging`: SAFELoad's prefilter, prediction and quota for queries likely to run short of
//!   memory.
//! - `routing`: the order in which engines are tried for a table group; `dispatch`: sends, queues
//!   or rejects a request.
//! - `admission`: load shedding by cost under overload, and rejection of requests that are too
//!   late.
//! - `load`: load estimates and the limit on threads of each engine.
//! - `send_rules`: rules that every send must satisfy, based on `ordering` (one request at a time
//!   per ordering key), `retry_budget` and `slow_start`.
//! - `attempts`: send, progress and outcome of attempts; `retries`: retries, hedged requests and
//!   cancellation; `completion`: end of a request.
//! - `outlier_ejection`: health of engines and zones.
//! - `tenant_quota`: quotas of tenants; `engine_list`: updates of the engine list; `status`:
//!   read-only status for callers.

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

/// Interval at which flagging quotas are refilled and the placement of table groups is recomputed;
/// also how long some observations of an engine stay valid.
const WINDOW: Micros = Micros::from_millis(3000);

/// Interval between updates of the load estimates.
const LOAD_UPDATE_INTERVAL: Micros = Micros::from_millis(100);

/// Interval of the gateway's periodic timer.
const TICK_INTERVAL: Micros = Micros::from_millis(25);

/// Id of the gateway's periodic timer.
const TICK_TIMER: TimerId = TimerId(1);

/// Half-life of the query counts per table group, in milliseconds.
const GROUP_HALF_LIFE_MS: f64 = 20_000.0;

/// Half-life of the work recorded in the cost histogram, in milliseconds.
const COST_HALF_LIFE_MS: f64 = 5000.0;

/// Initial backoff before the gateway requests the engine list again after a failure.
const MIN_LIST_BACKOFF: Micros = Micros::from_millis(1000);

/// Maximum backoff before the gateway requests the engine list again after a failure.
const MAX_LIST_BACKOFF: Micros = Micros::from_millis(8000);

/// Decides for one gateway instance which engine runs each request, and when. The decisions are
/// deterministic: the same settings, seed and events produce the same actions.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    clock: Clock,
    random: RandomSource,
    engines: EngineTable,
    requests: RequestTable,
    keys: KeyQueues,
    costs: CostModel,
    /// Load estimates by kind of machine; the last entry is for kinds that the settings don't list.
    kinds: Vec<ObservedLoad>,
    stretch: FleetStretch,
    health: FleetHealth,
    admission: AdmissionState,
    flagging: FlaggingState,
    placement: Placement,
    retries: RetryState,
    /// Decaying request counts by tenant.
    tenants: DecayingCounts,
    list_backoff: Backoff,
}

impl Gateway {
    /// Creates a gateway without any engines or requests. `seed` initializes its random number
    /// generator.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first invalid setting.
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

    /// Sets this gateway's share of the work for engines that are warming up. `None` derives the
    /// share from the number of gateways in the settings.
    pub fn set_slow_start_share(&mut self, share: Option<SlowStartShare>) {
        self.settings.slow_start_share = share;
    }

    /// Handles one event at the time `now` and appends the resulting actions. `now` must not
    /// decrease between calls.
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
            .failed(self.clock.now, draw, MIN_LIST_BACKOFF, MAX_LIST_BACKOFF);
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
        if self.clock.since(self.clock.last_survey) >= LOAD_UPDATE_INTERVAL {
            self.update_load_estimates();
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

    /// Updates all load estimates, then the admitted share; runs at a fixed interval.
    fn update_load_estimates(&mut self) {
        self.costs.update_mean_work();
        let elapsed = self.clock.since(self.clock.last_survey);
        self.clock.last_survey = self.clock.now;
        self.update_engine_loads(elapsed);
        self.decay_tenant_counts(elapsed);
        self.update_kind_loads(elapsed);
        self.update_admitted_share(elapsed);
        self.update_best_stretch();
    }

    fn gateways(&self) -> f64 {
        f64::from(self.settings.gateways)
    }

    fn class(&self, request: &TrackedRequest) -> &ClassSettings {
        &self.settings.classes[request.request.class.0]
    }

    /// Number of threads that the query of a request runs on.
    fn threads(&self, request: &TrackedRequest) -> f64 {
        self.class(request).threads.max(0.1)
    }
}
