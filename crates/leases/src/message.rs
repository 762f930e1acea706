//! Messages between the members of a fleet and its leader.

use crate::clock_bounds::ClockBounds;
use crate::task::{Run, Task};
use crate::token::FencingToken;
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};

/// Largest number of times that the retry backoff doubles, which bounds the pause before a retry.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// The poll that a member sends to the leader to renew its leases and to learn of new ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Id of the polling member.
    pub member: MemberId,
    /// Zone of the polling member.
    pub zone: String,
    /// Whether the member is shutting down and accepts no more leases.
    pub draining: bool,
    /// [`PollResponse::change_count`] of the last list of leases that the member received, if it
    /// received one.
    pub known_change_count: Option<u64>,
}

/// The leader's answer to a poll. It renews all leases that the member holds, except those in
/// `ending`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PollResponse {
    /// [`State::change_count`](crate::State::change_count) when the leader answered.
    pub change_count: u64,
    /// Bounds on clock drift that the member uses to compute the expiry of its leases.
    pub clock_bounds: ClockBounds,
    /// The leases that the member holds. `None` if `known_change_count` shows that the member's
    /// list is up to date.
    pub leases: Option<Vec<LeaseView>>,
    /// Fencing tokens of the member's leases that the leader no longer renews.
    pub ending: Vec<FencingToken>,
}

/// A lease as its holder sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseView {
    /// Name of the task.
    pub task: String,
    /// Fencing token of the lease.
    pub token: FencingToken,
    /// Length with which the lease was granted, in milliseconds.
    pub length_ms: f64,
    /// Longest time that a step of the task may run, in milliseconds.
    pub max_step_ms: f64,
    /// Priority of the task: the holder begins steps of tasks with a higher priority first.
    pub priority: u8,
    /// Action that the holder performs; see [`TaskSpec::action`](crate::TaskSpec::action).
    pub action: String,
    /// Whether the task may run and its steps fit into the lease. If not, the holder gives up the
    /// lease.
    pub runnable: bool,
    /// Whether the target of the action refuses fencing tokens older than the newest it has seen.
    pub requires_fencing: bool,
    /// The task's run in progress, if any.
    pub run: Option<Run>,
    /// Pause before the next step is begun again, in milliseconds; 0 unless the last attempt at
    /// that step did not run.
    pub pause_ms: f64,
}

impl LeaseView {
    /// Describes to its holder the lease of a task under this token and with this length.
    pub(crate) fn new(task: &Task, token: FencingToken, length_ms: f64) -> LeaseView {
        LeaseView {
            task: task.spec.name.clone(),
            token,
            length_ms,
            max_step_ms: task.spec.max_step_ms,
            priority: task.spec.priority,
            action: task.spec.action.clone(),
            runnable: task.runnable() && task.spec.steps_fit(length_ms),
            requires_fencing: task.spec.requires_fencing,
            run: task.run.clone(),
            pause_ms: pause_before_next_attempt(task),
        }
    }

    /// Whether a step of the run was begun and has no recorded outcome yet.
    pub(crate) fn has_open_step(&self) -> bool {
        self.run
            .as_ref()
            .is_some_and(|run| run.open_token.is_some())
    }
}

/// Exponential backoff in milliseconds before the next attempt at a step that did not run.
fn pause_before_next_attempt(task: &Task) -> f64 {
    let attempts = task.run.as_ref().map_or(0, |run| run.attempts);
    if attempts == 0 {
        return 0.0;
    }
    let doublings = (attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
    task.spec.backoff_ms * f64::from(1u32 << doublings)
}
