//! Admission control: decides which requests a front end admits under the fleet's policy and budgets, and which engines
//! may receive new requests under the policy.
//!
//! - [`AdmissionControl::admit`] decides on one request, using only local state.
//! - [`AdmissionControl::process`] communicates with the leader: one poll renews the admission lease, the task leases
//!   and the shares of budgets.
//!
//! All times are in milliseconds of the member's clock.

mod engines;
mod history;
mod log;
mod polling;
mod rejection;

pub use rejection::RejectReason;

use super::budgets::{FleetBudgets, FleetRetryBudget, HeldUnits};
use super::document::ValidationContext;
use super::settings::FleetSettings;
use super::state_machine::FleetStateMachine;
use super::tasks::TaskRunner;
use super::test_hooks::{machine_clock, TestHooks};
use crate::{EngineEntry, Settings as ModuleSettings};
use beamgap_consensus::{ConsensusNode, Settings as ConsensusSettings};
use beamgap_fleet_types::MemberId;
use beamgap_policy::document::{Policy, FORMAT_VERSION};
use beamgap_policy::rollout::{InjectedBug, PolicyMember, Version};
use beamgap_policy::rules::{AdmissionMeter, CompiledPolicy, RequestLimits};
use beamgap_policy::validation::KnownNames;
use engines::ListedEngines;
use log::AdmissionLog;
use polling::PollState;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

/// The policy, limits and budget units that apply to an admitted request until it ends.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The policy version under which the request was admitted.
    pub version: Version,
    /// Limits that the policy sets for requests of this class.
    pub limits: RequestLimits,
    /// The policy under which the request was admitted.
    pub policy: Rc<CompiledPolicy>,
    /// Units of the fleet's concurrency budgets that the request occupies until it ends.
    pub held_units: Rc<HeldUnits>,
    /// The fleet's budgets that limit retries of the request; `None` if no budget does.
    pub retry_budget: Option<FleetRetryBudget>,
}

/// A request for which admission is to be decided.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// ID of the request.
    pub id: &'a str,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Account of the request, if it has one.
    pub account: Option<&'a str>,
    /// Number of requests in flight at this front end.
    pub in_flight: usize,
}

/// Settings of the front end that admission control needs besides its fleet settings.
#[derive(Clone, Copy, Debug)]
pub struct LocalSettings<'a> {
    /// Name of the front end in log events.
    pub node: &'a str,
    /// Settings of the decision module, which define the classes and accounts.
    pub module: &'a ModuleSettings,
    /// Zones that the front end knows; the first one is the zone it runs in.
    pub zones: &'a [String],
    /// A number that differs between front ends; it becomes part of the incarnation.
    pub seed: u64,
}

/// Numbers of requests admitted and rejected since the process started.
#[derive(Clone, Copy, Debug, Default)]
struct AdmissionCounts {
    admitted: u64,
    rejected: u64,
}

/// Admission control of one front end.
pub struct AdmissionControl {
    consensus: ConsensusNode,
    member: PolicyMember,
    validation: ValidationContext,
    policy: Rc<CompiledPolicy>,
    meter: AdmissionMeter,
    tasks: TaskRunner,
    budgets: Rc<RefCell<FleetBudgets>>,
    poll: PollState,
    engines: ListedEngines,
    counts: AdmissionCounts,
    log: AdmissionLog,
    test_hooks: TestHooks,
    /// When the current iteration of the event loop began; only an injected bug reads it.
    iteration_started_at: f64,
}

impl AdmissionControl {
    /// Joins the fleet and starts the consensus node.
    ///
    /// `wake` must interrupt the event loop's wait. It is called when the leader has responded or an action has ended.
    ///
    /// # Errors
    /// If a voter can't listen on its address, or the consensus node can't start.
    pub fn start(
        fleet: &FleetSettings,
        local: LocalSettings<'_>,
        wake: impl Fn() + Send + Sync + 'static,
    ) -> io::Result<AdmissionControl> {
        fleet.test_hooks.watch_stdin();
        let listener = fleet.listen.map(TcpListener::bind).transpose()?;
        let incarnation = new_incarnation(local.seed);
        let wake: Arc<dyn Fn() + Send + Sync> = Arc::new(wake);
        let zone = local.zones.first().map(String::as_str).unwrap_or_default();
        let id = MemberId::new(fleet.member.clone(), incarnation);
        let tasks = TaskRunner::new(id.clone(), zone, fleet.test_hooks, wake.clone());
        let settings = consensus_settings(fleet, incarnation);
        let machine = FleetStateMachine::new(fleet.timings, incarnation, &fleet.test_hooks);
        let machine = Arc::new(Mutex::new(machine));
        let consensus =
            ConsensusNode::start(settings, listener, fleet.test_hooks.disk(), machine, move || wake())?;
        let validation = validation_context(&local);
        let classes = &validation.names.classes;
        let budgets = FleetBudgets::new(&fleet.member, incarnation, zone, classes, fleet.test_hooks);
        Ok(AdmissionControl {
            consensus,
            member: PolicyMember::new(id, FORMAT_VERSION, fleet.test_hooks.policy_bug),
            policy: Rc::new(CompiledPolicy::new(Policy::default(), classes)),
            validation,
            meter: AdmissionMeter::default(),
            tasks,
            budgets: Rc::new(RefCell::new(budgets)),
            poll: PollState::default(),
            engines: ListedEngines::default(),
            counts: AdmissionCounts::default(),
            log: AdmissionLog::new(local.node),
            test_hooks: fleet.test_hooks,
            iteration_started_at: 0.0,
        })
    }

    /// Begins a graceful shutdown: the front end gives up its task leases and demands no more budget.
    pub fn start_draining(&mut self) {
        self.tasks.start_draining();
        self.budgets.borrow_mut().start_draining();
    }

    /// Returns the address on which a voter accepts connections of other members; `None` if this member is not a voter.
    pub fn listen_address(&self) -> Option<SocketAddr> {
        self.consensus.address()
    }

    /// Reads the member's clock, in milliseconds.
    pub fn now(&self) -> f64 {
        self.test_hooks.member_time(machine_clock())
    }

    /// Returns why no request is admitted at present; `None` while requests are admitted.
    pub fn blocked_reason(&self) -> Option<String> {
        self.member.blocked_reason(self.now())
    }

    /// Decides whether to admit a request.
    ///
    /// # Errors
    /// The reason for a rejection, which determines the Retry-After time.
    pub fn admit(&mut self, request: AdmissionRequest<'_>) -> Result<Admitted, RejectReason> {
        // The clock is read for each request, because the process may have been suspended since the iteration began and
        // the admission lease may have expired meanwhile.
        let machine_time = machine_clock();
        let now = if self.test_hooks.policy_bug == InjectedBug::StaleClock {
            self.iteration_started_at
        } else {
            self.test_hooks.member_time(machine_time)
        };
        let result = self.admit_at(now, request);
        if self.test_hooks.write_history {
            history::write_admission(machine_time, request, &result);
        }
        match &result {
            Ok(_) => self.counts.admitted += 1,
            Err(_) => self.counts.rejected += 1,
        }
        result
    }

    fn admit_at(&mut self, now: f64, request: AdmissionRequest<'_>) -> Result<Admitted, RejectReason> {
        let AdmissionRequest { class, account, in_flight, .. } = request;
        let version = self.member.admits(now).ok_or(RejectReason::NoLease)?;
        let limits = self.meter.admit(now, &self.policy, class, account, in_flight)?;
        match FleetBudgets::admit(&self.budgets, now, class, account) {
            Ok(admitted) => Ok(Admitted {
                version,
                limits,
                policy: self.policy.clone(),
                held_units: Rc::new(admitted.held_units),
                retry_budget: admitted.retry_budget,
            }),
            Err(exhausted) => {
                self.log.count_budget_rejection(&exhausted.budget);
                Err(RejectReason::BudgetExhausted { budget: exhausted.budget })
            }
        }
    }

    /// Records an update of the engine list and returns its entries with their states under the current policy.
    ///
    /// Engines that the policy excludes are returned as draining. `replaces_all` means that `engines` is the complete
    /// list; otherwise it contains only the entries that have changed.
    pub fn update_engine_list(&mut self, replaces_all: bool, engines: Vec<EngineEntry>) -> Vec<EngineEntry> {
        self.engines.update(replaces_all, &engines);
        engines.into_iter().map(|engine| engines::apply_policy(&self.policy, engine)).collect()
    }

    /// Returns how many connections this front end may open to each engine; `None` if no budget limits connections.
    ///
    /// `used` is the number of connections to the engine that has the most. If `more_wanted` is set and all permitted
    /// connections are used, the budget records demand for another one.
    pub fn max_connections_per_engine(&mut self, used: usize, more_wanted: bool) -> Option<usize> {
        let now = self.now();
        let limit = self.budgets.borrow_mut().connection_limit(now, used as u64, more_wanted);
        limit.map(|limit| limit as usize)
    }

    /// Returns how a budget divides the load on engines that are warming up: among how many front ends, and the index
    /// of this front end, from 0. The result is `None` if no budget divides that load.
    pub fn warming_split(&self) -> Option<(f64, u64)> {
        self.budgets.borrow().warming_split(self.now())
    }
}

/// Generates an incarnation that differs for each process started under this member's name.
///
/// It combines the clock, the process ID and the seed. The clock alone tells apart processes that do not start within
/// the same nanosecond.
fn new_incarnation(seed: u64) -> u64 {
    machine_clock().to_bits() ^ u64::from(std::process::id()).rotate_left(48) ^ seed
}

fn consensus_settings(fleet: &FleetSettings, incarnation: u64) -> ConsensusSettings {
    ConsensusSettings {
        fleet: fleet.name.clone(),
        member: fleet.member.clone(),
        voters: fleet.voters.clone(),
        slot: fleet.slot,
        data_dir: fleet.data_dir.clone(),
        seed: incarnation,
        clock: fleet.test_hooks.clock(),
        injected_bugs: fleet.test_hooks.consensus_bugs(),
    }
}

fn validation_context(local: &LocalSettings<'_>) -> ValidationContext {
    let module = local.module;
    let names = KnownNames {
        classes: module.classes.iter().map(|class| class.name.clone()).collect(),
        accounts: module.tenants.iter().map(|tenant| tenant.name.clone()).collect(),
        zones: local.zones.to_vec(),
    };
    let class_deadlines_ms = module.classes.iter().map(|class| class.deadline.as_millis()).collect();
    ValidationContext { names, class_deadlines_ms }
}
