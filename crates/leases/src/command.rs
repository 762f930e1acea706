//! The commands of the replicated log.

use crate::spec::TaskSpec;
use crate::task::Outcome;
use crate::token::FencingToken;
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};

/// A change of the replicated state. [`State::apply`](crate::State::apply) takes commands in the
/// order of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// These are the tasks from now on. Others are removed as soon as their leases have ended.
    DefineTasks(Vec<TaskSpec>),
    /// A member gets the lease of a task that has no holder.
    GrantLease {
        /// The task.
        task: String,
        /// The member.
        holder: MemberId,
    },
    /// A lease has ended: it was given up, or it has expired everywhere. A step that is open may
    /// have run.
    EndLease {
        /// The task.
        task: String,
        /// The token of the lease.
        token: FencingToken,
    },
    /// A run is started, if its number is the next one.
    StartRun {
        /// The task.
        task: String,
        /// The number of the run.
        run: u64,
        /// For a daily task, the day whose run it is, counted from 1970.
        day: u64,
    },
    /// A step is begun: its holder is about to act.
    BeginStep {
        /// The task.
        task: String,
        /// The token of the holder's lease.
        token: FencingToken,
        /// The number of the run.
        run: u64,
        /// The step.
        step: u32,
    },
    /// A step that was begun is over.
    RecordOutcome {
        /// The task.
        task: String,
        /// The token of the holder's lease.
        token: FencingToken,
        /// The step.
        step: u32,
        /// What became of it.
        outcome: Outcome,
    },
    /// An operator pauses a task, or resumes it, also after a halt.
    SetPaused {
        /// The task.
        task: String,
        /// Whether it is paused.
        paused: bool,
    },
    /// The active policy forbids the tasks of these names, and no others.
    SetForbidden(Vec<String>),
}
