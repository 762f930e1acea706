//! A task as the operator defines it.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Largest number of tasks in a fleet.
pub const MAX_TASKS: usize = 1024;
/// Longest name of a task, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;
/// Largest number of steps in a run.
pub const MAX_STEPS: u32 = 10_000;

/// Shortest and longest lease, in milliseconds.
const LEASE_RANGE_MS: std::ops::RangeInclusive<f64> = 1000.0..=600_000.0;
/// Longest step, as a fraction of the lease: a holder renews each third of it, and a step must fit
/// into what is left.
const MAX_STEP_PER_LEASE: f64 = 0.5;
/// Largest number of attempts at a step that did not run.
const MAX_ATTEMPTS: u32 = 100;
/// Longest pause before a step is begun again, in milliseconds.
const MAX_BACKOFF_MS: f64 = 3_600_000.0;
/// Shortest and longest interval of a periodic task, in milliseconds.
const INTERVAL_RANGE_MS: std::ops::RangeInclusive<f64> = 1000.0..=31.0 * 86_400_000.0;
/// Minutes of a day.
pub(crate) const MINUTES_PER_DAY: u32 = 1440;

/// When a task runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Schedule {
    /// It has a holder all the time, and no steps.
    Always,
    /// When an operator starts it.
    OnDemand,
    /// So many milliseconds after the last run was started.
    Every(f64),
    /// Once a day.
    Daily {
        /// The time of day from which on a run may be started, in minutes since midnight (UTC).
        minute: u32,
        /// How long after it a run may still be started, in minutes.
        window: u32,
    },
}

/// What happens to a run whose step may have run or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnUnknownOutcome {
    /// The step is begun again: it is idempotent.
    Repeat,
    /// The run halts until an operator resumes it behind that step.
    Halt,
    /// The run goes on behind that step.
    Skip,
}

/// A task as the operator defines it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Its name.
    pub name: String,
    /// When it runs.
    pub schedule: Schedule,
    /// Zones whose members may hold it; all if empty.
    pub zones: Vec<String>,
    /// Names of members that may hold it; all if empty.
    pub members: Vec<String>,
    /// Length of its lease, in milliseconds.
    pub lease_ms: f64,
    /// Number of steps in a run.
    pub step_count: u32,
    /// Longest time of a step, in milliseconds: as much must be left of the lease when it begins.
    pub max_step_ms: f64,
    /// What happens after a step that may have run.
    pub on_unknown: OnUnknownOutcome,
    /// Largest number of attempts at a step that did not run.
    pub max_attempts: u32,
    /// Pause before the second attempt, in milliseconds; it doubles with each further one.
    pub backoff_ms: f64,
    /// Among the tasks of one holder, those with a higher priority go first.
    pub priority: u8,
    /// Whether the target refuses older tokens. If not, two holders may act at once when a process
    /// stands still.
    pub requires_fencing: bool,
    /// What the holder does; the program that embeds this crate gives it a meaning.
    pub action: String,
}

/// Why a task is refused.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidTask {
    /// The name has a length or a character that is not allowed.
    #[error("is not 1 to {MAX_NAME_LENGTH} letters, digits, dots and dashes")]
    Name,
    /// The lease is too short or too long.
    #[error("is {0} ms; write 1 s to 10 min")]
    LeaseLength(f64),
    /// A run has no steps or too many.
    #[error("is {0}; write 1 to {MAX_STEPS}")]
    StepCount(u32),
    /// A step does not fit into the lease.
    #[error("is {0} ms, over half the lease; split the step or lengthen the lease")]
    StepLength(f64),
    /// The number of attempts or the pause between them is out of range.
    #[error("is not 1 to 100, or backoff not 0 to 1 h")]
    Retries,
    /// The interval of a periodic task is too short or too long.
    #[error("is {0} ms; write 1 s to 31 days")]
    Interval(f64),
    /// The time of day or the window of a daily task is out of range.
    #[error("is no time of the day, or window not 1 min to 24 h")]
    TimeOfDay,
}

impl InvalidTask {
    /// The key of the operator's file that is wrong.
    pub fn key(&self) -> &'static str {
        match self {
            InvalidTask::Name => "name",
            InvalidTask::LeaseLength(_) => "lease",
            InvalidTask::StepCount(_) => "steps",
            InvalidTask::StepLength(_) => "step",
            InvalidTask::Retries => "tries",
            InvalidTask::Interval(_) => "every",
            InvalidTask::TimeOfDay => "at",
        }
    }
}

impl TaskSpec {
    /// A task with the default values.
    pub fn new(name: &str, schedule: Schedule, action: &str) -> TaskSpec {
        TaskSpec {
            name: name.to_owned(),
            schedule,
            zones: Vec::new(),
            members: Vec::new(),
            lease_ms: 5000.0,
            step_count: 1,
            max_step_ms: 1000.0,
            on_unknown: OnUnknownOutcome::Halt,
            max_attempts: 3,
            backoff_ms: 1000.0,
            priority: 0,
            requires_fencing: true,
            action: action.to_owned(),
        }
    }

    /// Whether all values are within their bounds.
    ///
    /// # Errors
    ///
    /// The first value that is not.
    pub fn validate(&self) -> Result<(), InvalidTask> {
        if !is_valid_task_name(&self.name) {
            return Err(InvalidTask::Name);
        }
        if !LEASE_RANGE_MS.contains(&self.lease_ms) {
            return Err(InvalidTask::LeaseLength(self.lease_ms));
        }
        if self.schedule != Schedule::Always {
            self.validate_steps()?;
        }
        let backoff_is_valid = (0.0..=MAX_BACKOFF_MS).contains(&self.backoff_ms);
        if !(1..=MAX_ATTEMPTS).contains(&self.max_attempts) || !backoff_is_valid {
            return Err(InvalidTask::Retries);
        }
        self.validate_schedule()
    }

    fn validate_steps(&self) -> Result<(), InvalidTask> {
        if !(1..=MAX_STEPS).contains(&self.step_count) {
            return Err(InvalidTask::StepCount(self.step_count));
        }
        if !(1.0..=self.lease_ms * MAX_STEP_PER_LEASE).contains(&self.max_step_ms) {
            return Err(InvalidTask::StepLength(self.max_step_ms));
        }
        Ok(())
    }

    fn validate_schedule(&self) -> Result<(), InvalidTask> {
        match self.schedule {
            Schedule::Every(interval_ms) if !INTERVAL_RANGE_MS.contains(&interval_ms) => {
                Err(InvalidTask::Interval(interval_ms))
            }
            Schedule::Daily { minute, window }
                if minute >= MINUTES_PER_DAY || !(1..=MINUTES_PER_DAY).contains(&window) =>
            {
                Err(InvalidTask::TimeOfDay)
            }
            _ => Ok(()),
        }
    }

    /// Whether a member of this name and zone may hold the task.
    pub fn allows(&self, member: &str, zone: &str) -> bool {
        let is_listed = |list: &[String], name: &str| {
            list.is_empty() || list.iter().any(|listed| listed == name)
        };
        is_listed(&self.members, member) && is_listed(&self.zones, zone)
    }
}

/// Task names are narrower than those of members: no underscores and colons.
fn is_valid_task_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed)
}
