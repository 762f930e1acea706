//! Applies this front end's shares of the fleet's budgets to admission, retries and connections to engines.
//!
//! The shares come from the `beamgap-budgets` crate. Each decision uses only local state and needs no message to the
//! leader.

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

/// The error for a request that is rejected because this front end's share of a budget is exhausted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("budget {budget} is exhausted")]
pub struct BudgetExhausted {
    /// Name of the exhausted budget.
    pub budget: String,
}

/// The budget units and retry budgets of an admitted request.
#[derive(Debug, Default)]
pub struct AdmittedByBudgets {
    /// Units of concurrency budgets that the request occupies while it is in flight.
    pub held_units: HeldUnits,
    /// The budgets that limit retries of the request; `None` if no budget does.
    pub retry_budget: Option<FleetRetryBudget>,
}

/// The use of connections from this front end to engines, where budgets limit them.
#[derive(Debug, Default)]
struct Connections {
    /// Budgets that limit connections, as indices into [`BudgetMember::specs`].
    budget_numbers: Vec<usize>,
    /// Number of connections to the engine that has the most.
    max_used: u64,
}

/// The fleet's budgets as enforced by this front end.
#[derive(Debug)]
pub struct FleetBudgets {
    member: BudgetMember,
    test_hooks: TestHooks,
    classes: Vec<String>,
    /// Numbers of units in use, by budget name. A count above 0 is kept when a new policy version is activated, because
    /// requests admitted under an earlier version still occupy units.
    counters: BTreeMap<String, InUseCounter>,
    /// Concurrency limits on requests in flight, by budget index; `None` for other budgets.
    limits: Vec<Option<ConcurrencyLimit>>,
    connections: Connections,
    /// The budgets that apply to requests, by class index.
    bindings: Vec<ClassBindings>,
}

impl FleetBudgets {
    /// Creates the state of a member that has just started and has no budgets yet.
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

    /// Returns whether the active policy has no budgets.
    pub fn is_empty(&self) -> bool {
        self.member.is_empty()
    }

    /// Replaces the budgets by those of a newly activated policy version.
    pub fn activate(&mut self, now: f64, version: u64, specs: Vec<BudgetSpec>) {
        self.member.activate(now, version, specs);
        let specs: Vec<BudgetSpec> = self.member.specs().cloned().collect();
        let is_in_use = |name: &String| specs.iter().any(|spec| spec.name == *name);
        self.counters.retain(|name, counter| counter.count() > 0 || is_in_use(name));
        self.limits = specs.iter().map(|spec| self.concurrency_limit(spec)).collect();
        self.connections.budget_numbers = self.member.applicable(Resource::Connections, "", None);
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

    /// Admits a request if no budget that applies to it is exhausted, and takes the request's tokens and units.
    ///
    /// `class` is the index of the request's class in the settings.
    ///
    /// # Errors
    ///
    /// The first exhausted budget. Nothing is taken from any budget in this case.
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

    /// Returns how many connections this front end may have to each engine; `None` if no budget limits connections.
    ///
    /// `max_used` is the number of connections to the engine that has the most. `wants_more` reports that another
    /// connection was wanted.
    pub fn connection_limit(&mut self, now: f64, max_used: u64, wants_more: bool) -> Option<u64> {
        self.connections.max_used = max_used;
        let numbers = self.connections.budget_numbers.clone();
        for number in &numbers {
            if wants_more && max_used >= self.member.unit_limit(*number, now) {
                // The failed attempt is recorded as demand, so that the leader may move a larger share here.
                let _ = self.try_acquire(now, &[*number]);
            }
        }
        numbers.iter().map(|number| self.member.unit_limit(*number, now)).min()
    }

    /// Returns how a budget divides the load on engines that are warming up: among how many front ends, and the index
    /// of this front end, from 0. The result is `None` if no budget divides that load.
    pub fn warming_split(&self, now: f64) -> Option<(f64, u64)> {
        let is_warming = |spec: &BudgetSpec| spec.resource == Resource::WarmingEngines;
        let number = self.member.specs().position(is_warming)?;
        let split = self.member.warming_split(number, now);
        Some((split.members, split.index))
    }

    /// Begins a graceful shutdown: the front end demands nothing more, so that the leader moves its shares to others.
    pub fn start_draining(&mut self) {
        self.member.start_draining();
    }

    /// Returns the budget part of the next poll to the leader. `sequence` must increase with each poll.
    pub fn poll_request(&mut self, now: f64, sequence: u64) -> PollRequest {
        let in_use = units_in_use(&self.limits, &self.connections);
        self.member.poll_request(now, sequence, in_use)
    }

    /// Applies the leader's response, received at `now`. Responses to earlier polls are ignored.
    pub fn handle_response(&mut self, now: f64, response: PollResponse) {
        self.member.handle_response(now, response);
    }

    /// Returns a poll interval in milliseconds if the next poll should be sent earlier than usual.
    ///
    /// This is the case while shares are moved between members, and when the demand differs from the last report.
    pub fn wants_early_poll(&self, now: f64) -> Option<f64> {
        self.member.wants_early_poll(now)
    }
}

/// Returns a function from a budget's index to the number of its units in use. For rates this number is always 0.
fn units_in_use<'a>(
    limits: &'a [Option<ConcurrencyLimit>],
    connections: &'a Connections,
) -> impl Fn(usize) -> u64 + 'a {
    |number| match limits.get(number).and_then(Option::as_ref) {
        Some(limit) => limit.counter.count(),
        None if connections.budget_numbers.contains(&number) => connections.max_used,
        None => 0,
    }
}
