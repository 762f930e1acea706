//! Admission control: which requests a front end admits under the fleet's policy and budgets, and which engines the
//! decision module is offered.
//!
//! - [`AdmissionControl::admit`] decides on one request from memory alone.
//! - [`AdmissionControl::process`] talks to the consensus leader: it renews the lease to admit requests, the leases of
//!   tasks and the shares of budgets in one poll.
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

/// What an admitted request is subject to until it ends.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// The version under which it was admitted.
    pub version: Version,
    /// The limits of its class.
    pub limits: RequestLimits,
    /// The policy of that version.
    pub policy: Rc<CompiledPolicy>,
    /// What it holds of the fleet's budgets until it ends.
    pub held_units: Rc<HeldUnits>,
    /// Permission for retries, where a budget limits them.
    pub retry_budget: Option<FleetRetryBudget>,
}

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Its id.
    pub id: &'a str,
    /// The number of its class.
    pub class: usize,
    /// Its account, if it has one.
    pub account: Option<&'a str>,
    /// Requests that are in flight at this front end.
    pub in_flight: usize,
}

/// What admission control needs to know of the front end that it runs in.
#[derive(Clone, Copy, Debug)]
pub struct LocalSettings<'a> {
    /// The node's name, for the log.
    pub node: &'a str,
    /// The decision module's settings.
    pub module: &'a ModuleSettings,
    /// Zones of the front end; the first is its own.
    pub zones: &'a [String],
    /// Differs between front ends.
    pub seed: u64,
}

/// Requests counted since the start.
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
    /// When the event loop's iteration began; only an injected bug uses it.
    iteration_started_at: f64,
}

impl AdmissionControl {
    /// Takes part in the fleet. `wake` ends the event loop's wait when the leader has answered.
    ///
    /// # Errors
    /// The address for other members can't be listened on, or consensus can't start.
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

    /// The front end shuts down: it gives up what it holds of the fleet's tasks and budgets.
    pub fn start_draining(&mut self) {
        self.tasks.start_draining();
        self.budgets.borrow_mut().start_draining();
    }

    /// Where this voter listens for other members; none if it is no voter.
    pub fn listen_address(&self) -> Option<SocketAddr> {
        self.consensus.address()
    }

    /// The member's clock now.
    pub fn now(&self) -> f64 {
        self.test_hooks.member_time(machine_clock())
    }

    /// Why no request is admitted now, if so.
    pub fn blocked_reason(&self) -> Option<String> {
        self.member.blocked_reason(self.now())
    }

    /// Admits a request or not.
    ///
    /// # Errors
    /// Why it is not admitted, with the time for Retry-After.
    pub fn admit(&mut self, request: AdmissionRequest<'_>) -> Result<Admitted, RejectReason> {
        // Read for this request: the process may have been stopped since the loop's iteration began.
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

    /// Takes in news of the engine list, and gives it as the decision module is to have it. `replaces_all` tells that
    /// the list is complete.
    pub fn engines_listed(&mut self, replaces_all: bool, engines: Vec<EngineEntry>) -> Vec<EngineEntry> {
        self.engines.update(replaces_all, &engines);
        engines.into_iter().map(|engine| engines::under_policy(&self.policy, engine)).collect()
    }

    /// Most connections that each engine may have from here, if a budget limits them. `used` is the most that one
    /// engine has; `more_wanted` tells that more could be used.
    pub fn max_connections_per_engine(&mut self, used: usize, more_wanted: bool) -> Option<usize> {
        let now = self.now();
        let limit = self.budgets.borrow_mut().connection_limit(now, used as u64, more_wanted);
        limit.map(|limit| limit as usize)
    }

    /// This front end's part of the load on engines that warm up, if a budget divides that: one of how many front ends
    /// it is, and which.
    pub fn warm_up_share(&self) -> Option<(f64, u64)> {
        self.budgets.borrow().warming_split(self.now())
    }
}

/// An incarnation unlike that of any other process: no two begin within the same nanosecond under one name.
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
