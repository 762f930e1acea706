//! What members and the leader send each other.

use crate::clock_bounds::ClockBounds;
use crate::task::{Run, Task};
use crate::token::FencingToken;
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};

/// The exponent of the backoff is bounded by this.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

/// What a member sends to the leader with each poll.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The member.
    pub member: MemberId,
    /// Its zone.
    pub zone: String,
    /// Whether it is shutting down: it takes no more leases.
    pub draining: bool,
    /// The state's count of changes at the time of the list that it has, if it has one.
    pub known_change_count: Option<u64>,
}

/// What the leader answers. All leases that the member holds are renewed by it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The state's count of changes.
    pub change_count: u64,
    /// The bounds on clocks.
    pub clock_bounds: ClockBounds,
    /// The leases that the member holds; none if the list that it has is up to date.
    pub leases: Option<Vec<LeaseView>>,
    /// The tokens of those that are not renewed any more.
    pub ending: Vec<FencingToken>,
}

/// A lease as its holder sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseView {
    /// The task.
    pub task: String,
    /// The token of the lease.
    pub token: FencingToken,
    /// The length of the lease, in milliseconds.
    pub length_ms: f64,
    /// Longest time of a step, in milliseconds.
    pub max_step_ms: f64,
    /// Leases with a higher priority go first.
    pub priority: u8,
    /// What the holder does.
    pub action: String,
    /// Whether the task is still to have a holder; if not, the lease is given up.
    pub runnable: bool,
    /// Whether the target refuses older tokens.
    pub requires_fencing: bool,
    /// The run in progress.
    pub run: Option<Run>,
    /// Pause before the next step, in milliseconds; 0 unless the last attempt at it did not run.
    pub pause_ms: f64,
}

impl LeaseView {
    /// The view of a task that is held under this token.
    pub(crate) fn new(task: &Task, token: FencingToken) -> LeaseView {
        LeaseView {
            task: task.spec.name.clone(),
            token,
            length_ms: task.spec.lease_ms,
            max_step_ms: task.spec.max_step_ms,
            priority: task.spec.priority,
            action: task.spec.action.clone(),
            runnable: task.runnable(),
            requires_fencing: task.spec.requires_fencing,
            run: task.run.clone(),
            pause_ms: pause_before_next_attempt(task),
        }
    }

    /// Whether a step is begun and not over.
    pub(crate) fn has_open_step(&self) -> bool {
        self.run
            .as_ref()
            .is_some_and(|run| run.open_token.is_some())
    }
}

/// Exponential backoff between attempts at the same step.
fn pause_before_next_attempt(task: &Task) -> f64 {
    let attempts = task.run.as_ref().map_or(0, |run| run.attempts);
    if attempts == 0 {
        return 0.0;
    }
    let doublings = (attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
    task.spec.backoff_ms * f64::from(1u32 << doublings)
}
