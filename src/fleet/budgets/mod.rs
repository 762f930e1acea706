//! The fleet's budgets in this front end: applies what it holds of them (`crates/budgets`) to admission, to retries and to
//! connections. An admission looks at memory only.

mod bindings;
mod in_use;
mod retries;

pub use in_use::HeldUnits;
pub use retries::FleetRetryBudget;

use super::test_hooks::TestHooks;
use beamgap_budgets::member::{BudgetMember, Exhausted};
use beamgap_budgets::message::{PollRequest, PollResponse};
use beamgap_budgets::spec::{BudgetSpec, Resource};
use beamgap_fleet_types::MemberId;
use bindings::ClassBindings;
use in_use::{ConcurrencyLimit, InUseCounter};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use thiserror::Error;

/// A request was rejected because a budget is exhausted here.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("budget {budget} is exhausted")]
pub struct BudgetExhausted {
    /// The budget's name.
    pub budget: String,
}

/// What an admitted request has of the fleet's budgets.
#[derive(Debug, Default)]
pub struct AdmittedByBudgets {
    /// The units that it holds while it is in flight.
    pub held_units: HeldUnits,
    /// The budgets that apply to its retries, if there are any.
    pub retry_budget: Option<FleetRetryBudget>,
}

/// Connections of this front end to engines, as far as budgets limit them.
#[derive(Debug, Default)]
struct Connections {
    /// The numbers of the budgets that limit them.
    limits: Vec<usize>,
    /// Most connections that one engine has.
    most_used: u64,
}

/// The fleet's budgets as this front end applies them.
#[derive(Debug)]
pub struct FleetBudgets {
    member: BudgetMember,
    test_hooks: TestHooks,
    classes: Vec<String>,
    /// Units in use by the name of their budget. They go on counting whatever else a new version changes.
    counters: BTreeMap<String, InUseCounter>,
    /// Concurrency limits by the number of their budget.
    limits: Vec<Option<ConcurrencyLimit>>,
    connections: Connections,
    /// By class.
    bindings: Vec<ClassBindings>,
}

impl FleetBudgets {
    /// A member that has just started: no budget is in use.
    pub fn new(
        name: &str,
        incarnation: u64,
        zone: &str,
        classes: &[String],
        test_hooks: TestHooks,
    ) -> FleetBudgets {
        FleetBudgets {
            member: BudgetMember::new(MemberId::new(name, incarnation), zone, test_hooks.budget_bug),
            test_hooks,
            classes: classes.to_vec(),
            counters: BTreeMap::new(),
            limits: Vec::new(),
            connections: Connections::default(),
            bindings: Vec::new(),
        }
    }

    /// Whether the policy in use has no budgets.
    pub fn is_empty(&self) -> bool {
        self.member.is_empty()
    }

    /// Admits by the budgets of this policy version from now on.
    pub fn activate(&mut self, now: f64, version: u64, specs: Vec<BudgetSpec>) {
        self.member.activate(now, version, specs);
        let specs: Vec<BudgetSpec> = self.member.specs().cloned().collect();
        let is_in_use = |name: &String| specs.iter().any(|spec| spec.name == *name);
        self.counters.retain(|name, counter| counter.count() > 0 || is_in_use(name));
        self.limits = specs.iter().map(|spec| self.concurrency_limit(spec)).collect();
        self.connections.limits = self.member.applicable(Resource::Connections, "", None);
        let member = &self.member;
        let of_class = |class: &String| ClassBindings::new(member, &specs, class);
        self.bindings = self.classes.iter().map(of_class).collect();
    }

    fn concurrency_limit(&mut self, spec: &BudgetSpec) -> Option<ConcurrencyLimit> {
        if spec.resource != Resource::OpenRequests {
            return None;
        }
        let counter = self.counters.entry(spec.name.clone()).or_default().clone();
        Some(ConcurrencyLimit { counter, max_duration_ms: spec.outlives_share_ms() })
    }

    /// Admits a request of a class, given by its number, and of an account.
    ///
    /// # Errors
    ///
    /// The first budget that is exhausted.
    pub fn admit(
        budgets: &Rc<RefCell<FleetBudgets>>,
        now: f64,
        class: usize,
        account: Option<&str>,
    ) -> Result<AdmittedByBudgets, BudgetExhausted> {
        let mut own = budgets.borrow_mut();
        let Some(of_class) = own.bindings.get(class) else {
            return Ok(AdmittedByBudgets::default());
        };
        let binding = of_class.of_account(account).clone();
        if let Err(Exhausted { number }) = own.try_acquire(now, &binding.admission) {
            return Err(own.exhausted(number));
        }
        let limits = binding.admission.iter().filter_map(|number| own.limits[*number].as_ref());
        let held_units = HeldUnits::acquire(limits);
        let has_retry_budget = !binding.retries.is_empty();
        let retry_budget =
            has_retry_budget.then(|| FleetRetryBudget { budgets: budgets.clone(), binding: binding.clone() });
        Ok(AdmittedByBudgets { held_units, retry_budget })
    }

    fn exhausted(&self, number: usize) -> BudgetExhausted {
        let name = self.member.specs().nth(number).map(|spec| spec.name.clone());
        BudgetExhausted { budget: name.unwrap_or_default() }
    }

    fn try_acquire(&mut self, now: f64, numbers: &[usize]) -> Result<(), Exhausted> {
        let in_use = units_in_use(&self.limits, &self.connections);
        self.member.try_acquire(now, numbers, in_use)
    }

    /// Connections that this front end may have to each engine, if a budget limits them. `most_used` is the most that one
    /// engine has; `wants_more` says whether another was wanted.
    pub fn connection_limit(&mut self, now: f64, most_used: u64, wants_more: bool) -> Option<u64> {
        self.connections.most_used = most_used;
        let numbers = self.connections.limits.clone();
        for number in &numbers {
            if wants_more && most_used >= self.member.unit_limit(*number, now) {
                // The rejection counts as demand, which moves shares here.
                let _ = self.try_acquire(now, &[*number]);
            }
        }
        numbers.iter().map(|number| self.member.unit_limit(*number, now)).min()
    }

    /// How the load of warming engines is split, if a budget divides it: among how many front ends, and which of them this
    /// one is.
    pub fn warming_split(&self, now: f64) -> Option<(f64, u64)> {
        let is_warming = |spec: &BudgetSpec| spec.resource == Resource::WarmingEngines;
        let number = self.member.specs().position(is_warming)?;
        let split = self.member.warming_split(number, now);
        Some((split.members, split.index))
    }

    /// From now on it demands nothing more.
    pub fn start_draining(&mut self) {
        self.member.start_draining();
    }

    /// The next request to the leader; `sequence` has to grow.
    pub fn poll_request(&mut self, now: f64, sequence: u64) -> PollRequest {
        let in_use = units_in_use(&self.limits, &self.connections);
        self.member.poll_request(now, sequence, in_use)
    }

    /// Handles the leader's response.
    pub fn handle_response(&mut self, now: f64, response: PollResponse) {
        self.member.handle_response(now, response);
    }

    /// In how many milliseconds after the last response the next poll should follow, if sooner than usual.
    pub fn wants_early_poll(&self, now: f64) -> Option<f64> {
        self.member.wants_early_poll(now)
    }
}

/// Units in use by the number of their budget; none of a rate.
fn units_in_use<'a>(
    limits: &'a [Option<ConcurrencyLimit>],
    connections: &'a Connections,
) -> impl Fn(usize) -> u64 + 'a {
    |number| match limits.get(number).and_then(Option::as_ref) {
        Some(limit) => limit.counter.count(),
        None if connections.limits.contains(&number) => connections.most_used,
        None => 0,
    }
}
