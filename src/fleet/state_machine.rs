//! The fleet's replicated state machine: the policy and the tasks are replicated, the budgets are state of the leader.
//!
//! The policy, lease and budget crates do not depend on each other. This module puts their commands into one log and
//! passes the requests of members and operators to the leader component of each.

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
use beamgap_config::Problem;
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

/// File name in errors about a policy text, which comes from the log rather than from a file.
const POLICY_FILE: &str = "policy";

/// The parsed budgets of one policy version.
#[derive(Debug, Default)]
struct VersionBudgets {
    /// The policy version that `specs` was parsed from; `None` before the first parse and after a reset.
    version: Option<Version>,
    specs: Vec<BudgetSpec>,
}

/// The fleet's state machine.
#[derive(Debug)]
pub struct FleetStateMachine {
    policy: RolloutState,
    policy_leader: PolicyLeader,
    /// Timings with which a new fleet is bootstrapped.
    initial_timings: PolicyTimings,
    tasks: TaskState,
    lease_leader: LeaseLeader,
    budgets: VersionBudgets,
    budget_leader: BudgetLeader,
}

/// The result of a request: the response to its sender, and the commands to append to the log.
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

/// The result of a poll for the policy and tasks: both responses, and the commands to append to the log.
struct PolicyAndTasks {
    policy: PolicyPollResponse,
    leases: LeasePollResponse,
    commands: Vec<LogCommand>,
}

/// Logs that this program can't read the text of a policy version, which a newer program has accepted.
fn log_unreadable_policy(version: Version, problems: &[Problem]) {
    let problem = problems.first().map(Problem::to_string).unwrap_or_default();
    tracing::error!(target: "fleet", version, problem, "unreadable policy: update this program");
}

fn policy_commands(commands: Vec<PolicyCommand>) -> impl Iterator<Item = LogCommand> {
    commands.into_iter().map(LogCommand::Policy)
}

impl FleetStateMachine {
    /// Creates an empty state machine.
    ///
    /// A new fleet is bootstrapped with `timings`. `seed` must differ for each incarnation of the member: it makes the
    /// epochs of the budget leader unique.
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

    /// Parses the budgets of the active policy version, and sets the budget leader's timings.
    ///
    /// Does nothing if the budgets of this version are already parsed.
    fn refresh_budgets(&mut self) {
        let version = self.policy.version();
        if self.budgets.version == Some(version) {
            return;
        }
        // Without the specs of a policy that it can't read, this leader grants no shares of budgets.
        let specs = match document::parse(POLICY_FILE, self.policy.policy_text()) {
            Ok(policy) => policy.budgets,
            Err(problems) => {
                log_unreadable_policy(version, &problems);
                Vec::new()
            }
        };
        self.budgets = VersionBudgets { version: Some(version), specs };
        let timings = self.policy.timings.unwrap_or(self.initial_timings);
        self.budget_leader.set_timings(BudgetTimings::for_lease(timings.lease_ms, timings.max_drift));
    }

    /// Updates which tasks are forbidden, as listed by the active policy.
    ///
    /// If this program can't read the policy's text, the tasks that are forbidden stay forbidden.
    fn update_forbidden_tasks(&mut self) {
        match document::parse(POLICY_FILE, self.policy.policy_text()) {
            Ok(policy) => {
                let names = policy.parsed.policy.forbidden_tasks.into_iter().collect();
                self.tasks.apply(&TaskCommand::SetForbidden(names));
            }
            Err(problems) => log_unreadable_policy(self.policy.version(), &problems),
        }
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
            .filter(|command| self.member_may_submit(lease_request, command))
            .collect();
        let (policy, commands) = self.policy_leader.handle_poll(now, &self.policy, policy_request);
        // Only members hold leases. A process that has not joined yet gets an empty lease response, and a policy
        // response without an admission lease.
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
        self.refresh_budgets();
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

    /// Returns whether a member may submit this command: members may only begin steps, record outcomes and end leases,
    /// and only under the fencing token of a lease that they hold.
    fn member_may_submit(&self, request: &LeasePollRequest, command: &TaskCommand) -> bool {
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
        self.refresh_budgets();
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

    /// Handles the requests that only read the state.
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
                    self.update_forbidden_tasks();
                }
            }
            Some(LogCommand::Task(command)) => {
                self.tasks.apply(&command);
                if matches!(command, TaskCommand::DefineTasks(_)) {
                    self.update_forbidden_tasks();
                }
            }
            // A newer program version wrote this command. Its effect is unknown here, so the state stays unchanged.
            None => {
                let bytes = command.len();
                tracing::error!(target: "fleet", bytes, "unreadable command in the log: update this program");
            }
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // The policy comes first: program versions without tasks decode it and ignore the remaining bytes.
        [encode(&self.policy), self.tasks.to_snapshot()].concat()
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
        // Snapshots of program versions without tasks end after the policy.
        let (policy, rest) = postcard::take_from_bytes(snapshot).map_err(RestoreError::new)?;
        let tasks = match rest {
            [] => TaskState::default(),
            rest => TaskState::from_snapshot(rest).map_err(RestoreError::new)?,
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
        let request: Option<FleetRequest> = decode(request);
        let sender_repeats = request.as_ref().is_some_and(FleetRequest::is_poll);
        let handled = match request {
            Some(request) => self.handle(now, request),
            None => Handled::response(FleetResponse::Unreadable),
        };
        HandledRequest {
            response: encode(&handled.response),
            commands: handled.commands.iter().map(LogCommand::encode).collect(),
            sender_repeats,
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
        self.refresh_budgets();
        self.tick_budgets(now);
        let tasks = tasks.into_iter().map(LogCommand::Task);
        policy_commands(policy).chain(tasks).map(|command| command.encode()).collect()
    }
}
