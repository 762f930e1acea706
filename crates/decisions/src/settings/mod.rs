//! Settings of a gateway: request classes, kinds of machine, tenants, and the limits that every
//! decision respects.

mod check;
mod class;

pub use check::SettingsError;
pub use class::{ClassSettings, Repeat, RepeatGroup};

use crate::Micros;

/// A kind of machine that engines run on.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// Name of the kind, as in [`EngineEntry::kind`](crate::EngineEntry::kind).
    pub name: String,
    /// Number of cores, if known.
    pub cores: Option<f64>,
    /// Memory in megabytes, if known.
    pub memory_mb: Option<f64>,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Name of the tenant, as in [`Request::tenant`](crate::Request::tenant).
    pub name: String,
    /// Request rate per second that the tenant may send through all gateways together; `None` for
    /// no limit.
    pub quota_per_s: Option<f64>,
}

/// How load reports reach the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With answers and with probe results.
    InAnswers,
    /// With probe results only.
    InProbes,
    /// No load reports are sent.
    Absent,
}

/// What an engine does with a new query when all of its memory is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenMemoryFull {
    /// The query waits in the engine's memory queue.
    Queues,
    /// The query gets the memory that is left, and spills to disk.
    Spills,
    /// The engine admits the query and overcommits its memory; all of its queries slow down once
    /// the memory in use exceeds the physical memory.
    Overcommits,
}

/// How the engine list reaches the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The discovery service pushes changes without a request.
    Pushed,
    /// Changes arrive only after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchList`](crate::Action::FetchList).
    Subscribed {
        /// A gateway that has not requested the list for this long is assumed to have the current
        /// list.
        ask_within: Micros,
    },
}

/// A retry budget: a limit on retries within a sliding time window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are allowed in any window, whatever the number of requests.
    pub free: f64,
    /// Additional retries allowed for each request in the window.
    pub per_request: f64,
    /// Length of the sliding window.
    pub span: Micros,
}

/// Slow start: limits the work that all gateways together send to a freshly started engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Lower bound on the engine's capacity right after its start, as a fraction of its full
    /// capacity.
    pub start_share: f64,
    /// Time after its start within which an engine reaches its full capacity.
    pub warm_within: Micros,
    /// The engine fails if the work sent to it within `fall_span` exceeds this multiple of its
    /// current capacity.
    pub fall_multiple: f64,
    /// Length of the time window in which the work sent to an engine that is warming up is compared
    /// with its capacity.
    pub fall_span: Micros,
}

/// Number of cores assumed for a kind of machine whose settings give none.
const DEFAULT_CORES: f64 = 8.0;

/// Memory assumed for a kind of machine whose settings give none, in megabytes.
const DEFAULT_MEMORY_MB: f64 = 16_384.0;

/// Cores and memory of a kind of machine, with defaults for missing settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Machine {
    /// Index of the kind in [`Settings::kinds`], or the length of that list if the kind is not in
    /// it.
    pub kind: usize,
    /// Number of cores.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: f64,
}

/// One gateway's share of the work that may be sent to engines that are warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartShare {
    /// Number of gateways that share the engines.
    pub gateways: f64,
    /// Index of this gateway among those gateways, from 0.
    pub number: u64,
}

/// Settings of a gateway. An optional setting that is absent imposes no limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of gateways that share the engines, including this one; at least 1.
    pub gateways: u32,
    /// This gateway's share of the work for engines that are warming up, if it was assigned at run
    /// time; `None` derives it from `gateways` and `own_number`.
    pub slow_start_share: Option<SlowStartShare>,
    /// Index of this gateway among all gateways, from 0.
    pub own_number: u32,
    /// Zone that this gateway runs in; engines in the same zone are preferred. `None` disables the
    /// preference.
    pub zone: Option<String>,
    /// Request classes; at least one.
    pub classes: Vec<ClassSettings>,
    /// Kinds of machine; may be empty.
    pub kinds: Vec<KindSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Factor on the priority weight of a request whose tenant is over its quota; 1 applies no
    /// penalty.
    pub over_quota_weight: f64,
    /// How load reports reach the gateway.
    pub reports: Reports,
    /// How the engine list reaches the gateway.
    pub discovery: Discovery,
    /// Maximum number of attempts per request; `None` for no limit.
    pub max_attempts: Option<u32>,
    /// Whether a request may have two attempts in flight at the same time (a hedged request).
    pub hedging: bool,
    /// Whether the gateway may emit [`Action::Cancel`](crate::Action::Cancel).
    pub cancel: bool,
    /// Whether the gateway may emit [`Action::SendToPeer`](crate::Action::SendToPeer).
    pub peers: bool,
    /// Maximum `retry_after` in an [`Action::Reject`](crate::Action::Reject); with `None`,
    /// rejections carry no `retry_after`.
    pub retry_after: Option<Micros>,
    /// Limit on retries; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Limits for engines that are warming up; `None` disables slow start.
    pub slow_start: Option<SlowStart>,
    /// Time within which the gateway must stop sending to an engine that is draining or was
    /// removed.
    pub drain_grace: Micros,
    /// How long requests with the same ordering key are held back after an attempt that may still
    /// be running on its engine.
    pub key_pause: Micros,
    /// Whether engines apply the memory grant in [`Action::SetTerms`](crate::Action::SetTerms).
    pub grants: bool,
    /// Whether engines apply the priority in [`Action::SetTerms`](crate::Action::SetTerms).
    pub priorities: bool,
    /// What an engine does with a new query when all of its memory is granted.
    pub when_memory_full: WhenMemoryFull,
    /// Maximum fraction of an engine's memory that one query can be granted.
    pub largest_grant: f64,
    /// Interval at which engines report the progress of an attempt; `None` if they report no
    /// progress.
    pub progress_interval: Option<Micros>,
    /// Whether answers report the actual work and memory of the query.
    pub reports_cost: bool,
}

impl Settings {
    /// Settings with the given classes and defaults for everything else: one gateway, a pushed
    /// engine list, and every optional feature disabled.
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
            key_pause: Micros(0),
            grants: false,
            priorities: false,
            when_memory_full: WhenMemoryFull::Queues,
            largest_grant: 1.0,
            progress_interval: None,
            reports_cost: false,
        }
    }

    /// Cores and memory of a kind of machine; missing settings are replaced by those of a small
    /// machine.
    pub fn machine(&self, kind: &str) -> Machine {
        let index = self.kinds.iter().position(|known| known.name == kind);
        let known = index.map(|index| &self.kinds[index]);
        let cores = known
            .and_then(|kind| kind.cores)
            .filter(|cores| *cores > 0.0);
        let memory_mb = known.and_then(|kind| kind.memory_mb).filter(|mb| *mb > 0.0);
        Machine {
            kind: index.unwrap_or(self.kinds.len()),
            cores: cores.unwrap_or(DEFAULT_CORES),
            memory_mb: memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
        }
    }
}

/// Same as [`Settings::plain`] without any class. [`Settings::check`] rejects these settings until
/// a class is added.
impl Default for Settings {
    fn default() -> Settings {
        Settings::plain(Vec::new())
    }
}
