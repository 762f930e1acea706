//! The messages of a fleet: requests to the leader's state machine, its responses, and the commands in the log.
//!
//! They are encoded by position: the order of variants and fields is the format on the wire and in the log.

use beamgap_budgets::message::{
    BudgetStatus, PollRequest as BudgetPollRequest, PollResponse as BudgetPollResponse,
};
use beamgap_leases::{
    Command as TaskCommand, PollRequest as LeasePollRequest, PollResponse as LeasePollResponse, Task,
};
use beamgap_policy::rollout::{
    ChangeOutcome, ChangeRecord, ChangeRequest, Command as PolicyCommand, LeaseKind, PolicyTimings,
    PollRequest as PolicyPollRequest, PollResponse as PolicyPollResponse, Version,
};
use serde::{Deserialize, Serialize};

/// The first byte of a task's command in the log. No encoded command of the policy begins with it.
const TASK_COMMAND_TAG: u8 = 0xff;

/// A request to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetRequest {
    /// A member renews its admission lease.
    PollPolicy(PolicyPollRequest),
    /// An operator proposes a change of the policy.
    Propose(ChangeRequest),
    /// An operator withdraws the change with this id.
    Withdraw(String),
    /// The outcome of the change with this id.
    Outcome(String),
    /// The fleet's status.
    Status,
    /// The outcomes of all changes.
    History,
    /// The text of a version; of the active one if none is named.
    PolicyText(Option<Version>),
    /// A member renews its admission lease and its task leases, and submits commands for its tasks.
    PollPolicyAndTasks(PolicyPollRequest, LeasePollRequest, Vec<TaskCommand>),
    /// An operator submits a command for a task.
    SubmitTaskCommand(TaskCommand),
    /// An operator ends the renewal of the lease of a task.
    ReleaseLease(String),
    /// The status of the task of this name with its history, or of all tasks without theirs.
    Tasks(Option<String>),
    /// As [`FleetRequest::PollPolicyAndTasks`], where the policy in use has budgets.
    PollAll(PolicyPollRequest, LeasePollRequest, Vec<TaskCommand>, BudgetPollRequest),
    /// How the budgets are divided.
    Budgets,
}

/// A response of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetResponse {
    /// To [`FleetRequest::PollPolicy`].
    Policy(PolicyPollResponse),
    /// The command was accepted; its outcome has to be requested.
    Accepted,
    /// The outcome of a change.
    Outcome(OutcomeReport),
    /// The fleet's status.
    Status(Box<FleetStatus>),
    /// Changes, oldest first.
    History(Vec<ChangeRecord>),
    /// A version's text, if it is kept.
    PolicyText(Option<PolicyText>),
    /// The request can't be decoded: its sender is another version of the program.
    Unreadable,
    /// To [`FleetRequest::PollPolicyAndTasks`].
    PolicyAndTasks(PolicyPollResponse, LeasePollResponse),
    /// Tasks.
    Tasks(Vec<TaskStatus>),
    /// To [`FleetRequest::PollAll`].
    All(PolicyPollResponse, LeasePollResponse, BudgetPollResponse),
    /// How the budgets are divided.
    Budgets(Vec<BudgetStatus>),
}

/// How far a change is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// The outcome, if the change is known.
    pub outcome: Option<ChangeOutcome>,
    /// How many members polled lately and do not have the active version yet.
    pub members_behind: usize,
}

/// A version of the policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyText {
    /// Its number.
    pub version: Version,
    /// Its text.
    pub text: String,
}

/// A task and its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub task: Task,
    /// Milliseconds since its lease was renewed.
    pub renewed_ms_ago: Option<f64>,
}

/// The fleet's status as its leader knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The active version.
    pub version: Version,
    /// The pending change.
    pub pending: Option<PendingSummary>,
    /// The fleet's timings.
    pub timings: Option<PolicyTimings>,
    /// Its members.
    pub members: Vec<MemberSummary>,
}

/// A pending change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PendingSummary {
    /// Its id.
    pub id: String,
    /// Who proposed it.
    pub by: String,
    /// Whether it is committed.
    pub committed: bool,
}

/// A member as of its last poll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// The version that it has.
    pub version: Option<Version>,
    /// The admission lease that it held.
    pub lease: Option<LeaseKind>,
    /// Milliseconds since its last poll; none if it has not polled this leader.
    pub polled_ms_ago: Option<f64>,
    /// Why it admits nothing, if so.
    pub blocked_reason: Option<String>,
    /// A line for the operator.
    pub note: String,
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // These types always have an encoding; no decoder accepts an empty one.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a message; none if it is of another version of the program.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// A command in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogCommand {
    /// To the policy.
    Policy(PolicyCommand),
    /// To the tasks.
    Task(TaskCommand),
}

impl LogCommand {
    /// The encoded form in the log.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            LogCommand::Policy(command) => encode(command),
            LogCommand::Task(command) => [vec![TASK_COMMAND_TAG], encode(command)].concat(),
        }
    }

    /// Decodes a command; none if a newer program wrote it.
    pub fn decode(bytes: &[u8]) -> Option<LogCommand> {
        match bytes.split_first() {
            Some((&TASK_COMMAND_TAG, rest)) => decode(rest).map(LogCommand::Task),
            _ => decode(bytes).map(LogCommand::Policy),
        }
    }
}
