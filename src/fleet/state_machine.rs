//! The fleet's replicated state machine: policy and tasks in the log, budgets at the leader.
//!
//! Policy, leases and budgets do not know each other. Here their commands share one log, and their leaders handle the
//! requests of members and operators together.

mod report;

use super::document;
use super::message::{decode, encode, FleetRequest, FleetResponse, LogCommand};
use super::test_hooks::TestHooks;
use beamgap_budgets::leader::{AgreedState, BudgetLeader};
use beamgap_budgets::message::{
    BudgetStatus, PollRequest as BudgetPollRequest, PollResponse as BudgetPollResponse,
};
use beamgap_budgets::spec::BudgetSpec;
use beamgap_budgets::BudgetTimings;
use beamgap_consensus::{HandledRequest, RestoreError, StateMachine};
use beamgap_leases::{
    ClockBounds, Command as TaskCommand, FencingToken, LeaseLeader, PollRequest as LeasePollRequest,
    PollResponse as LeasePollResponse, State as TaskState,
};
use beamgap_policy::rollout::{
    Command as PolicyCommand, PolicyLeader, PolicyTimings, PollRequest as PolicyPollRequest,
    PollResponse as PolicyPollResponse, RolloutState, Version,
};
use std::time::{SystemTime, UNIX_EPOCH};

/// What stands for the file's name in errors of a policy's text.
const POLICY_FILE: &str = "policy";

/// The budgets of one version of the policy.
#[derive(Debug, Default)]
struct VersionBudgets {
    /// The version; none if no version was read yet.
    version: Option<Version>,
    specs: Vec<BudgetSpec>,
}

/// The fleet's state machine.
#[derive(Debug)]
pub struct FleetStateMachine {
    policy: RolloutState,
    policy_leader: PolicyLeader,
    /// The timings that a new fleet gets.
    initial_timings: PolicyTimings,
    tasks: TaskState,
    lease_leader: LeaseLeader,
    budgets: VersionBudgets,
    budget_leader: BudgetLeader,
}

/// A response, and the commands that follow from the request.
struct Handled {
    response: FleetResponse,
    commands: Vec<LogCommand>,
}

impl Handled {
    fn response(response: FleetResponse) -> Handled {
        Handled { response, commands: Vec::new() }
    }

    fn accepted(command: LogCommand) -> Handled {
        Handled { response: FleetResponse::Accepted, commands: vec![command] }
    }
}

/// What a poll for policy and tasks gives.
struct PolicyAndTasks {
    policy: PolicyPollResponse,
    leases: LeasePollResponse,
    commands: Vec<LogCommand>,
}

fn policy_commands(commands: Vec<PolicyCommand>) -> impl Iterator<Item = LogCommand> {
    commands.into_iter().map(LogCommand::Policy)
}

impl FleetStateMachine {
    /// An empty one. A new fleet gets `timings`; `seed` differs for each incarnation of the member.
    pub fn new(timings: PolicyTimings, seed: u64, hooks: &TestHooks) -> FleetStateMachine {
        let clock_bounds = ClockBounds { max_drift: timings.max_drift, ..ClockBounds::default() };
        let budget_timings = BudgetTimings::for_lease(timings.lease_ms, timings.max_drift);
        FleetStateMachine {
            policy: RolloutState::default(),
            policy_leader: PolicyLeader::with_injected_bug(hooks.policy_bug),
            initial_timings: timings,
            tasks: TaskState::default(),
            lease_leader: LeaseLeader::new(clock_bounds, hooks.lease_bug),
            budgets: VersionBudgets::default(),
            budget_leader: BudgetLeader::new(seed, budget_timings, hooks.budget_bug),
        }
    }

    /// Reads the budgets of the active version, unless they are read already.
    fn read_budgets(&mut self) {
        let version = self.policy.version();
        if self.budgets.version == Some(version) {
            return;
        }
        let read = document::parse(POLICY_FILE, self.policy.policy_text()).ok();
        let specs = read.map(|read| read.budgets).unwrap_or_default();
        self.budgets = VersionBudgets { version: Some(version), specs };
        let timings = self.policy.timings.unwrap_or(self.initial_timings);
        self.budget_leader.set_timings(BudgetTimings::for_lease(timings.lease_ms, timings.max_drift));
    }

    /// Tells the tasks which of them the active policy forbids.
    fn forbid_tasks(&mut self) {
        let read = document::parse(POLICY_FILE, self.policy.policy_text()).ok();
        let names =
            read.map(|read| read.parsed.policy.forbidden_tasks.into_iter().collect()).unwrap_or_default();
        self.tasks.apply(&TaskCommand::SetForbidden(names));
    }

    fn poll_policy(&mut self, now: f64, request: &PolicyPollRequest) -> Handled {
        let (response, commands) = self.policy_leader.handle_poll(now, &self.policy, request);
        let commands = policy_commands(commands).collect();
        Handled { response: FleetResponse::Policy(response), commands }
    }

    fn poll_policy_and_tasks(
        &mut self,
        now: f64,
        policy_request: &PolicyPollRequest,
        lease_request: &LeasePollRequest,
        task_commands: Vec<TaskCommand>,
    ) -> PolicyAndTasks {
        let own_commands: Vec<TaskCommand> = task_commands
            .into_iter()
            .filter(|command| self.is_of_own_lease(lease_request, command))
            .collect();
        let (policy, commands) = self.policy_leader.handle_poll(now, &self.policy, policy_request);
        // Only members hold leases. One that is not a member yet learns it from the policy's response.
        let is_member = lease_request.member == policy_request.member
            && self.policy.members.contains_key(&lease_request.member);
        let leases = if is_member {
            self.lease_leader.handle_request(now, &self.tasks, lease_request)
        } else {
            LeasePollResponse::default()
        };
        let own_commands = own_commands.into_iter().map(LogCommand::Task);
        PolicyAndTasks { policy, leases, commands: policy_commands(commands).chain(own_commands).collect() }
    }

    fn poll_budgets(
        &mut self,
        now: f64,
        policy_request: PolicyPollRequest,
        budget_request: &BudgetPollRequest,
    ) -> BudgetPollResponse {
        self.read_budgets();
        if budget_request.member != policy_request.member {
            return BudgetPollResponse::default();
        }
        let agreed = AgreedState {
            version: self.policy.version(),
            specs: &self.budgets.specs,
            members: &self.policy.members,
        };
        self.budget_leader.handle_poll(now, &agreed, budget_request)
    }

    /// Whether a command is one that a member may submit: of a lease that it holds.
    fn is_of_own_lease(&self, request: &LeasePollRequest, command: &TaskCommand) -> bool {
        let holds = |task: &str, token: FencingToken| {
            let lease = self.tasks.tasks.get(task).and_then(|task| task.lease.as_ref());
            lease.is_some_and(|lease| lease.token == token && lease.holder == request.member)
        };
        match command {
            TaskCommand::BeginStep { task, token, .. }
            | TaskCommand::RecordOutcome { task, token, .. }
            | TaskCommand::EndLease { task, token } => holds(task, *token),
            _ => false,
        }
    }

    fn release_lease(&mut self, now: f64, task: &str) {
        let lease = self.tasks.tasks.get(task).and_then(|task| task.lease.as_ref());
        if let Some(lease) = lease {
            self.lease_leader.release(now, lease.token);
        }
    }

    fn budget_statuses(&mut self, now: f64) -> Vec<BudgetStatus> {
        self.read_budgets();
        self.tick_budgets(now);
        self.budget_leader.status()
    }

    fn tick_budgets(&mut self, now: f64) {
        let agreed = AgreedState {
            version: self.policy.version(),
            specs: &self.budgets.specs,
            members: &self.policy.members,
        };
        self.budget_leader.tick(now, &agreed);
    }

    fn handle(&mut self, now: f64, request: FleetRequest) -> Handled {
        match request {
            FleetRequest::PollPolicy(policy) => self.poll_policy(now, &policy),
            FleetRequest::PollPolicyAndTasks(policy, leases, commands) => {
                let polled = self.poll_policy_and_tasks(now, &policy, &leases, commands);
                let response = FleetResponse::PolicyAndTasks(polled.policy, polled.leases);
                Handled { response, commands: polled.commands }
            }
            FleetRequest::PollAll(policy, leases, commands, budgets) => {
                let polled = self.poll_policy_and_tasks(now, &policy, &leases, commands);
                let shares = self.poll_budgets(now, policy, &budgets);
                let response = FleetResponse::All(polled.policy, polled.leases, shares);
                Handled { response, commands: polled.commands }
            }
            FleetRequest::SubmitTaskCommand(command) => Handled::accepted(LogCommand::Task(command)),
            FleetRequest::Propose(change) => {
                Handled::accepted(LogCommand::Policy(PolicyCommand::Propose(change)))
            }
            FleetRequest::Withdraw(id) => {
                Handled::accepted(LogCommand::Policy(PolicyCommand::Withdraw { id }))
            }
            FleetRequest::ReleaseLease(task) => {
                self.release_lease(now, &task);
                Handled::response(FleetResponse::Accepted)
            }
            other => Handled::response(self.report(now, other)),
        }
    }

    /// Handles the requests that only look at the state.
    fn report(&mut self, now: f64, request: FleetRequest) -> FleetResponse {
        match request {
            FleetRequest::Outcome(id) => FleetResponse::Outcome(self.outcome_report(now, &id)),
            FleetRequest::Status => FleetResponse::Status(Box::new(self.status(now))),
            FleetRequest::History => FleetResponse::History(self.policy.history.iter().cloned().collect()),
            FleetRequest::PolicyText(version) => FleetResponse::PolicyText(self.policy_text(version)),
            FleetRequest::Tasks(name) => FleetResponse::Tasks(self.task_statuses(now, name.as_deref())),
            FleetRequest::Budgets => FleetResponse::Budgets(self.budget_statuses(now)),
            _ => FleetResponse::Unreadable,
        }
    }
}

impl StateMachine for FleetStateMachine {
    fn reset(&mut self) {
        self.policy = RolloutState::default();
        self.tasks = TaskState::default();
        self.budgets.version = None;
    }

    fn apply(&mut self, command: &[u8]) {
        match LogCommand::decode(command) {
            Some(LogCommand::Policy(command)) => {
                let version_before = self.policy.version();
                self.policy.apply(&command);
                if self.policy.version() != version_before {
                    self.forbid_tasks();
                }
            }
            Some(LogCommand::Task(command)) => {
                self.tasks.apply(&command);
                if matches!(command, TaskCommand::DefineTasks(_)) {
                    self.forbid_tasks();
                }
            }
            // Written by a newer program. This one can't follow, and does not guess.
            None => {
                let bytes = command.len();
                tracing::error!(target: "fleet", bytes, "unreadable command in the log: update this program");
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // Programs from before there were tasks read the policy and ignore the rest.
        [encode(&self.policy), encode(&self.tasks)].concat()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        let (policy, rest) = postcard::take_from_bytes(snapshot).map_err(RestoreError::new)?;
        let tasks = match rest {
            [] => TaskState::default(),
            rest => postcard::from_bytes(rest).map_err(RestoreError::new)?,
        };
        self.policy = policy;
        self.tasks = tasks;
        self.budgets.version = None;
        Ok(())
    }

    fn set_leadership(&mut self, now: f64, is_leader: bool) {
        self.policy_leader.set_leadership(now, is_leader);
        self.lease_leader.set_leadership(now, is_leader);
        self.budget_leader.set_leadership(now, is_leader);
    }

    fn handle_request(&mut self, now: f64, request: &[u8]) -> HandledRequest {
        let handled = match decode(request) {
            Some(request) => self.handle(now, request),
            None => Handled::response(FleetResponse::Unreadable),
        };
        HandledRequest {
            response: encode(&handled.response),
            commands: handled.commands.iter().map(LogCommand::encode).collect(),
        }
    }

    fn tick(&mut self, now: f64) -> Vec<Vec<u8>> {
        if self.policy.timings.is_none() {
            let bootstrap = LogCommand::Policy(PolicyCommand::Bootstrap(self.initial_timings));
            return vec![bootstrap.encode()];
        }
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).ok();
        let minute = since_epoch.map(|time| time.as_secs() / 60);
        let policy = self.policy_leader.tick(now, &self.policy);
        let tasks = self.lease_leader.tick(now, minute, &self.tasks);
        self.read_budgets();
        self.tick_budgets(now);
        let tasks = tasks.into_iter().map(LogCommand::Task);
        policy_commands(policy).chain(tasks).map(|command| command.encode()).collect()
    }
}
