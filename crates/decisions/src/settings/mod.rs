//! Settings of a gateway: classes, kinds of machine, tenants, and the rules that its decisions
//! respect.

mod check;
mod class;

pub use check::SettingsError;
pub use class::{ClassSettings, Repeat, RepeatGroup};

use crate::Micros;

/// A kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// Its name, as in [`EngineEntry::kind`](crate::EngineEntry::kind).
    pub name: String,
    /// Cores, if known.
    pub cores: Option<f64>,
    /// Memory in megabytes, if known.
    pub memory_mb: Option<f64>,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Its name, as in [`Request::tenant`](crate::Request::tenant).
    pub name: String,
    /// Requests a second within its quota, over all gateways; `None` for no bound.
    pub quota_per_s: Option<f64>,
}

/// How load reports reach the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// In answers and probe results.
    InAnswers,
    /// In probe results only.
    InProbes,
    /// Never.
    Absent,
}

/// What an engine does with a query when its memory is all granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenShort {
    /// It is queued for memory at the engine.
    Waits,
    /// It gets what is left, and spills to disk.
    GetsLess,
    /// It is admitted, and all queries slow down once the memory in use passes what there is.
    LetIn,
}

/// How the list of engines reaches the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are delivered without being asked for.
    Pushed,
    /// Changes are delivered after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchList`](crate::Action::FetchList) only.
    Subscribed {
        /// A gateway that has not asked for this long is held to know the list.
        ask_within: Micros,
    },
}

/// A bound on retries over a sliding span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub free: f64,
    /// Retries that each request adds.
    pub per_request: f64,
    /// Length of the span.
    pub span: Micros,
}

/// Slow start: what a freshly started engine bears from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Share of its capacity that it has at its start, at least.
    pub start_share: f64,
    /// Time after which it has its whole capacity, at the latest.
    pub warm_within: Micros,
    /// Work of more than this many times its present capacity, over `fall_span`, brings it down.
    pub fall_multiple: f64,
    /// Time over which work is compared with its capacity.
    pub fall_span: Micros,
}

/// Cores of a kind of machine that states none.
const UNSTATED_CORES: f64 = 8.0;

/// Memory of a kind of machine that states none, in megabytes.
const UNSTATED_MEMORY_MB: f64 = 16_384.0;

/// What a kind of machine has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// Place of the kind in [`Settings::kinds`], behind the last if it is not there.
    pub kind: usize,
    /// Cores.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
}

/// One gateway's part of what engines that warm up bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartShare {
    /// Gateways that share the engines.
    pub gateways: f64,
    /// Which of them this one is, from 0.
    pub number: u64,
}

/// Settings of a gateway. What is absent binds nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Gateways that share the engines, this one included; at least 1.
    pub gateways: u32,
    /// Its part of what engines that warm up bear, where that is set while it runs.
    pub slow_start_share: Option<SlowStartShare>,
    /// Number of this gateway among them, from 0.
    pub own_number: u32,
    /// Zone of this gateway.
    pub zone: Option<String>,
    /// Classes of requests; at least one.
    pub classes: Vec<ClassSettings>,
    /// Kinds of machine; may be empty.
    pub kinds: Vec<KindSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Share of the priority weight that a request over its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// How load reports reach the gateway.
    pub reports: Reports,
    /// How the engine list reaches the gateway.
    pub discovery: Discovery,
    /// Attempts of one request at most; `None` for no bound.
    pub max_attempts: Option<u32>,
    /// Whether a request may have two attempts in flight at once.
    pub hedging: bool,
    /// Whether [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub cancel: bool,
    /// Whether [`Action::SendToPeer`](crate::Action::SendToPeer) is allowed.
    pub peers: bool,
    /// Longest `retry_after` in an [`Action::Reject`](crate::Action::Reject); `None` where none is
    /// given.
    pub retry_after: Option<Micros>,
    /// Bound on retries, where one is stated.
    pub retry_budget: Option<RetryBudget>,
    /// Slow start of engines, where a rule is stated.
    pub slow_start: Option<SlowStart>,
    /// Time in which sends to an engine that drains or is removed must end.
    pub drain_grace: Micros,
    /// Time that a key rests after an attempt that may still run.
    pub key_rest: Micros,
    /// Whether engines respect the memory in [`Action::SetTerms`](crate::Action::SetTerms).
    pub grants: bool,
    /// Whether engines respect the priority in [`Action::SetTerms`](crate::Action::SetTerms).
    pub priorities: bool,
    /// What happens to a query when an engine's memory is all granted.
    pub when_short: WhenShort,
    /// Share of an engine's memory that one query gets at most.
    pub largest_grant: f64,
    /// Time between reports of progress; `None` where there are none.
    pub progress_interval: Option<Micros>,
    /// Whether answers report the true work and memory.
    pub reports_cost: bool,
}

impl Settings {
    /// Settings with the given classes and nothing else stated: one gateway, pushed lists, no
    /// allowance.
    pub fn plain(classes: Vec<ClassSettings>) -> Settings {
        Settings {
            gateways: 1,
            slow_start_share: None,
            own_number: 0,
            zone: None,
            classes,
            kinds: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            reports: Reports::Absent,
            discovery: Discovery::Pushed,
            max_attempts: None,
            hedging: false,
            cancel: false,
            peers: false,
            retry_after: None,
            retry_budget: None,
            slow_start: None,
            drain_grace: Micros(0),
            key_rest: Micros(0),
            grants: false,
            priorities: false,
            when_short: WhenShort::Waits,
            largest_grant: 1.0,
            progress_interval: None,
            reports_cost: false,
        }
    }

    /// What a kind of machine has; where no cores or memory are stated, a small machine's.
    pub fn machine(&self, kind: &str) -> Machine {
        let place = self.kinds.iter().position(|stated| stated.name == kind);
        let stated = place.map(|place| &self.kinds[place]);
        let cores = stated
            .and_then(|kind| kind.cores)
            .filter(|cores| *cores > 0.0);
        let memory_mb = stated
            .and_then(|kind| kind.memory_mb)
            .filter(|mb| *mb > 0.0);
        Machine {
            kind: place.unwrap_or(self.kinds.len()),
            cores: cores.unwrap_or(UNSTATED_CORES),
            memory_mb: memory_mb.unwrap_or(UNSTATED_MEMORY_MB),
        }
    }
}

/// [`Settings::plain`] without classes; not enough to start a gateway.
impl Default for Settings {
    fn default() -> Settings {
        Settings::plain(Vec::new())
    }
}
