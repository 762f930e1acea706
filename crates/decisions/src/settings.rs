//! What a gateway is told at its start: classes, machines, tenants, rules.

use crate::Micros;
use std::fmt;

/// Whether a request of a class may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// May run any number of times.
    Safe,
    /// Repeats are dropped by the engines of a group, for a while.
    Keyed {
        /// The engines that drop repeats.
        group: RepeatGroup,
        /// For how long from the send of the first attempt that may have run.
        window: Micros,
    },
    /// May be tried again, or refused, only if it has certainly not run.
    Unsafe,
}

impl Repeat {
    /// Whether a refusal is harmless though an attempt may have run: every engine takes or drops a repeat.
    pub fn may_be_refused(self) -> bool {
        matches!(self, Repeat::Safe | Repeat::Keyed { group: RepeatGroup::All, .. })
    }
}

/// Which engines drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// Every engine.
    All,
    /// Those in the zone of the first attempt that may have run.
    Zone,
    /// Those in its cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Its name, for logs only.
    pub name: String,
    /// An answer within this (and `objective_stretch`) earns the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this times the true work over the threads.
    pub objective_stretch: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of an answer in time.
    pub priority_weight: f64,
    /// Share of the worth for a late answer.
    pub late_weight: f64,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Whether requests with one key run in the order of arrival.
    pub in_order: bool,
    /// Machine kinds open to the class; `None` for all.
    pub kinds: Option<Vec<String>>,
    /// Zones open to the class; `None` for all.
    pub zones: Option<Vec<String>>,
    /// Threads that one query runs on.
    pub threads: f64,
    /// Whether it holds its table group on its engine while it runs.
    pub holds_tables: bool,
    /// Whether it stands still while such a holder runs on its table group there.
    pub waits_for_holder: bool,
}

impl ClassSettings {
    /// A safe class on one thread with no bound of place or order; aim and deadline as given.
    pub fn plain(name: &str, latency_objective: Micros, deadline: Micros) -> ClassSettings {
        ClassSettings {
            name: name.to_owned(),
            latency_objective,
            objective_stretch: 0.0,
            deadline,
            priority_weight: 1.0,
            late_weight: 0.0,
            repeat: Repeat::Safe,
            in_order: false,
            kinds: None,
            zones: None,
            threads: 1.0,
            holds_tables: false,
            waits_for_holder: false,
        }
    }
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq)]
pub struct KindSettings {
    /// Its name, as in [`EngineEntry::kind`](crate::Member::kind).
    pub name: String,
    /// Cores, if known.
    pub cores: Option<f64>,
    /// Memory in megabytes, if known.
    pub memory_mb: Option<f64>,
}

/// A tenant and what it is entitled to.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Its name, as in [`Request::tenant`](crate::Request::tenant).
    pub name: String,
    /// Requests a second inside its share, over all gateways; `None` for no bound.
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
    /// It waits in the engine's line.
    Waits,
    /// It gets what is left, and spills.
    GetsLess,
    /// It is let in, and all slow down once the memory in use passes what there is.
    LetIn,
}

/// How the list of engines reaches the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come by themselves.
    Pushed,
    /// Changes come after [`Action::Subscribe`](crate::Action::Subscribe) or
    /// [`Action::FetchList`](crate::Action::FetchList) only.
    Subscribed {
        /// Whoever has not asked for this long counts as told.
        ask_within: Micros,
    },
}

/// A bound on further attempts, over a sliding span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Further attempts that need no request to earn them.
    pub free: f64,
    /// Further attempts that one request taken earns.
    pub per_request: f64,
    /// How far back both counts look.
    pub span: Micros,
}

/// Bounds on what a freshly started engine may be sent by all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// It starts at this share of its capacity or more.
    pub start_share: f64,
    /// It is warm after this at the latest.
    pub warm_within: Micros,
    /// More than this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... over this long brings it down.
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

/// What a gateway is told at its start. What is absent binds nothing.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Gateways that share the engines, this one included; at least 1.
    pub gateways: u32,
    /// Where it is told while it runs: one of how many gateways it is for cold engines, and which.
    pub slow_start_share: Option<SlowStartShare>,
    /// This gateway's number among them, from 0.
    pub own_number: u32,
    /// This gateway's zone.
    pub zone: Option<String>,
    /// Classes; at least one.
    pub classes: Vec<ClassSettings>,
    /// Machine kinds; may be empty.
    pub kinds: Vec<KindSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Worth share that remains for a request over its tenant's quota.
    pub over_quota_weight: f64,
    /// Load reports.
    pub reports: Reports,
    /// Engine list.
    pub discovery: Discovery,
    /// Most attempts of one request; `None` for no bound.
    pub max_attempts: Option<u32>,
    /// Whether a request may have two attempts out at once.
    pub hedging: bool,
    /// Whether [`Action::Cancel`](crate::Action::Cancel) is allowed.
    pub cancel: bool,
    /// Whether [`Action::SendToPeer`](crate::Action::SendToPeer) is allowed.
    pub peers: bool,
    /// The longest [`Action::Reject`](crate::Action::Reject) advice that clients heed; `None` where none is
    /// given.
    pub retry_after: Option<Micros>,
    /// Bound on further attempts, where one is stated.
    pub retry_budget: Option<RetryBudget>,
    /// Cold engines, where a rule is stated.
    pub slow_start: Option<SlowStart>,
    /// Time in which sends to a draining or gone engine must end.
    pub drain_grace: Micros,
    /// Rest of a key after an attempt whose end is not sure.
    pub key_rest: Micros,
    /// Whether the memory in [`Action::SetTerms`](crate::Action::SetTerms) is heeded.
    pub grants: bool,
    /// Whether the priority in [`Action::SetTerms`](crate::Action::SetTerms) is heeded.
    pub priorities: bool,
    /// What happens when grants pass an engine's memory.
    pub when_short: WhenShort,
    /// Share of an engine's memory that one query gets at most.
    pub largest_grant: f64,
    /// Time between notes of progress; `None` where there are none.
    pub progress_interval: Option<Micros>,
    /// Whether answers tell the true work and memory.
    pub reports_cost: bool,
}

impl Settings {
    /// Settings with the given classes and nothing else stated: one gateway, pushed lists, no allowance.
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
        let cores = stated.and_then(|kind| kind.cores).filter(|cores| *cores > 0.0);
        let memory_mb = stated.and_then(|kind| kind.memory_mb).filter(|mb| *mb > 0.0);
        Machine {
            kind: place.unwrap_or(self.kinds.len()),
            cores: cores.unwrap_or(UNSTATED_CORES),
            memory_mb: memory_mb.unwrap_or(UNSTATED_MEMORY_MB),
        }
    }

    /// Says which setting makes no sense, if one does not.
    pub fn check(&self) -> Result<(), SettingsError> {
        let figure = |name: &str, value: f64| {
            if value.is_finite() && value >= 0.0 {
                Ok(())
            } else {
                Err(SettingsError { setting: name.to_owned(), problem: format!("is {value}") })
            }
        };
        let broken = |name: &str, problem: &str| {
            Err(SettingsError { setting: name.to_owned(), problem: problem.to_owned() })
        };
        if self.classes.is_empty() {
            return broken("classes", "is empty");
        }
        if self.gateways == 0 {
            return broken("gateways", "is 0");
        }
        for (i, c) in self.classes.iter().enumerate() {
            figure(&format!("classes[{i}].aim_stretch"), c.objective_stretch)?;
            figure(&format!("classes[{i}].worth"), c.priority_weight)?;
            figure(&format!("classes[{i}].late_worth"), c.late_weight)?;
            figure(&format!("classes[{i}].threads"), c.threads)?;
            if c.deadline == Micros(0) {
                return broken(&format!("classes[{i}].deadline"), "is 0");
            }
        }
        for (i, k) in self.kinds.iter().enumerate() {
            figure(&format!("kinds[{i}].cores"), k.cores.unwrap_or(0.0))?;
            figure(&format!("kinds[{i}].memory_mb"), k.memory_mb.unwrap_or(0.0))?;
        }
        for (i, t) in self.tenants.iter().enumerate() {
            figure(&format!("tenants[{i}].quota_per_s"), t.quota_per_s.unwrap_or(0.0))?;
        }
        figure("over_share_worth", self.over_quota_weight)?;
        figure("largest_grant", self.largest_grant)?;
        if let Some(b) = self.retry_budget {
            figure("budget.free", b.free)?;
            figure("budget.per_request", b.per_request)?;
        }
        if let Some(c) = self.slow_start {
            figure("cold.start_share", c.start_share)?;
            figure("cold.fall_multiple", c.fall_multiple)?;
        }
        Ok(())
    }
}

/// [`Settings::plain`] without classes; not enough to start a gateway.
impl Default for Settings {
    fn default() -> Settings {
        Settings::plain(Vec::new())
    }
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the setting.
    pub setting: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} {}", self.setting, self.problem)
    }
}

impl std::error::Error for SettingsError {}
