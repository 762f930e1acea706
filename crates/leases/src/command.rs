//! Commands of the replicated log that change tasks and their leases.

use crate::spec::TaskSpec;
use crate::task::Outcome;
use crate::token::FencingToken;
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};

/// A change of the replicated state. [`State::apply`](crate::State::apply) applies commands in the
/// order of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the list of defined tasks. A task that is not in the new list is removed as soon as
    /// its lease has ended.
    DefineTasks(Vec<TaskSpec>),
    /// Grants the lease of a task that has no holder to a member.
    GrantLease {
        /// Name of the task.
        task: String,
        /// Id of the member that receives the lease.
        holder: MemberId,
    },
    /// Ends a lease that its holder gave up or that has expired on every clock within the drift
    /// bound. A step that is still open gets an unknown outcome.
    EndLease {
        /// Name of the task.
        task: String,
        /// Fencing token of the lease that ends.
        token: FencingToken,
    },
    /// Starts a run of a task. Has no effect unless `run` is the number after the last run.
    StartRun {
        /// Name of the task.
        task: String,
        /// Number of the run.
        run: u64,
        /// Day of a scheduled run of a daily task, in days since 1970; 0 for all other runs.
        day: u64,
    },
    /// Begins a step: the holder of the task may run the step once this command is committed.
    BeginStep {
        /// Name of the task.
        task: String,
        /// Fencing token of the lease under which the step is begun.
        token: FencingToken,
        /// Number of the run.
        run: u64,
        /// Index of the step in the run, from 0.
        step: u32,
    },
    /// Records the outcome of a step that was begun.
    RecordOutcome {
        /// Name of the task.
        task: String,
        /// Fencing token of the lease under which the step was begun.
        token: FencingToken,
        /// Index of the step in the run, from 0.
        step: u32,
        /// Whether the step was done, did not run, or may have run.
        outcome: Outcome,
    },
    /// Pauses or resumes a task at an operator's request. Resuming also continues a halted run.
    SetPaused {
        /// Name of the task.
        task: String,
        /// Whether the task is paused from now on.
        paused: bool,
    },
    /// Sets the names of the tasks that the active policy forbids. All other tasks are no longer
    /// forbidden.
    SetForbidden(Vec<String>),
}
