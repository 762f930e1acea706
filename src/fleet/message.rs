//! Requests to the leader's state machine, its responses, and the commands in the replicated log.
//!
//! Messages are encoded with postcard, which writes no field names: the order of variants and fields is part of the
//! format on the wire and in the log.

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

/// First byte of an encoded task command in the log, which distinguishes it from a policy command.
///
/// A policy command begins with the index of its variant, which is always smaller.
const TASK_COMMAND_TAG: u8 = 0xff;

/// A request to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetRequest {
    /// A member renews only its admission lease.
    PollPolicy(PolicyPollRequest),
    /// An operator proposes a policy change.
    Propose(ChangeRequest),
    /// An operator withdraws the policy change with this ID.
    Withdraw(String),
    /// Requests the outcome of the policy change with this ID.
    Outcome(String),
    /// Requests the fleet's status.
    Status,
    /// Requests the recorded outcomes of policy changes.
    History,
    /// Requests the text of a policy version, or of the active version if none is given.
    PolicyText(Option<Version>),
    /// A member renews its admission lease and task leases and submits commands for its tasks.
    PollPolicyAndTasks(PolicyPollRequest, LeasePollRequest, Vec<TaskCommand>),
    /// An operator submits a command for a task.
    SubmitTaskCommand(TaskCommand),
    /// An operator stops the renewal of a task's lease, so that the task moves to another member.
    ReleaseLease(String),
    /// Requests the named task with its history or, without a name, all tasks without their histories.
    Tasks(Option<String>),
    /// Like [`FleetRequest::PollPolicyAndTasks`], and the member also renews its shares of budgets.
    PollAll(PolicyPollRequest, LeasePollRequest, Vec<TaskCommand>, BudgetPollRequest),
    /// Requests how each budget is divided among the members.
    Budgets,
}

impl FleetRequest {
    /// Whether this is a member's poll, which the member repeats until it sees the effect of its commands.
    pub fn is_poll(&self) -> bool {
        matches!(
            self,
            FleetRequest::PollPolicy(..) | FleetRequest::PollPolicyAndTasks(..) | FleetRequest::PollAll(..)
        )
    }
}

/// A response of the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetResponse {
    /// Response to [`FleetRequest::PollPolicy`].
    Policy(PolicyPollResponse),
    /// The command was accepted for the log; its outcome must be requested separately.
    Accepted,
    /// Response to [`FleetRequest::Outcome`].
    Outcome(OutcomeReport),
    /// Response to [`FleetRequest::Status`].
    Status(Box<FleetStatus>),
    /// Response to [`FleetRequest::History`]: policy changes, oldest first.
    History(Vec<ChangeRecord>),
    /// Response to [`FleetRequest::PolicyText`]; `None` if the text of that version is no longer stored.
    PolicyText(Option<PolicyText>),
    /// The leader could not decode the request, because its sender runs another version of the program.
    Unreadable,
    /// Response to [`FleetRequest::PollPolicyAndTasks`].
    PolicyAndTasks(PolicyPollResponse, LeasePollResponse),
    /// Response to [`FleetRequest::Tasks`].
    Tasks(Vec<TaskStatus>),
    /// Response to [`FleetRequest::PollAll`].
    All(PolicyPollResponse, LeasePollResponse, BudgetPollResponse),
    /// Response to [`FleetRequest::Budgets`].
    Budgets(Vec<BudgetStatus>),
}

/// The outcome of a policy change and how far the active version has spread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OutcomeReport {
    /// Outcome of the change; `None` if the leader does not know the change.
    pub outcome: Option<ChangeOutcome>,
    /// Number of members that polled within the length of a long lease but do not have the active version yet.
    pub members_behind: usize,
}

/// The text of one policy version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyText {
    /// The policy version.
    pub version: Version,
    /// The policy document of this version.
    pub text: String,
}

/// A task and the age of its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task as the replicated state holds it.
    pub task: Task,
    /// Milliseconds since the task's lease was last renewed; `None` if this leader knows of no lease.
    pub renewed_ms_ago: Option<f64>,
}

/// The status of the fleet as known to its leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The active policy version.
    pub version: Version,
    /// The policy change in progress, if any.
    pub pending: Option<PendingSummary>,
    /// The fleet's timings; `None` before the fleet is bootstrapped.
    pub timings: Option<PolicyTimings>,
    /// All members of the fleet.
    pub members: Vec<MemberSummary>,
}

/// A policy change in progress.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PendingSummary {
    /// ID of the change.
    pub id: String,
    /// The operator who proposed the change.
    pub by: String,
    /// Whether the change is committed, so that it can no longer be withdrawn.
    pub committed: bool,
}

/// The status of a member as of its last poll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// Name of the member.
    pub name: String,
    /// Incarnation of the member: identifies one start of its process.
    pub incarnation: u64,
    /// The policy version in use at the member.
    pub version: Option<Version>,
    /// Kind of the member's admission lease.
    pub lease: Option<LeaseKind>,
    /// Milliseconds since the member's last poll; `None` if it has not polled this leader.
    pub polled_ms_ago: Option<f64>,
    /// Why the member admits no requests; `None` while it does.
    pub blocked_reason: Option<String>,
    /// A line that the member reports for operators: its request counters.
    pub note: String,
}

/// Encodes a message with postcard.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Encoding these types can't fail. If it did, the empty result would be rejected by every decoder.
    postcard::to_stdvec(message).unwrap_or_default()
}

/// Decodes a message. Returns `None` for bytes that another program version encoded in a different format.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogCommand {
    /// A command that changes the policy or the state of its rollout.
    Policy(PolicyCommand),
    /// A command that changes the tasks, their runs or their leases.
    Task(TaskCommand),
}

impl LogCommand {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Vec<u8> {
        match self {
            LogCommand::Policy(command) => encode(command),
            LogCommand::Task(command) => [vec![TASK_COMMAND_TAG], encode(command)].concat(),
        }
    }

    /// Decodes a command from the log. Returns `None` for a command that only a newer program version knows.
    pub fn decode(bytes: &[u8]) -> Option<LogCommand> {
        match bytes.split_first() {
            Some((&TASK_COMMAND_TAG, rest)) => decode(rest).map(LogCommand::Task),
            _ => decode(bytes).map(LogCommand::Policy),
        }
    }
}
