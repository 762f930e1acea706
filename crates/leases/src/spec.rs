//! Definitions of tasks, as written by the operator, and their validation.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Largest number of tasks that a fleet accepts.
pub const MAX_TASKS: usize = 1024;
/// Maximum length of a task's name, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;
/// Largest number of steps that a run of a task may have.
pub const MAX_STEPS: u32 = 10_000;

/// Shortest and longest length of a lease that a task may have, in milliseconds.
const LEASE_RANGE_MS: std::ops::RangeInclusive<f64> = 1000.0..=600_000.0;
/// Longest duration of a step, as a fraction of the lease's length. A holder renews its lease after
/// each third of the length, and a step must fit into the time that is left of the lease.
const MAX_STEP_TO_LEASE_RATIO: f64 = 0.5;
/// Largest value of [`TaskSpec::max_attempts`] that is accepted.
const MAX_ATTEMPTS: u32 = 100;
/// Largest value of [`TaskSpec::backoff_ms`] that is accepted, in milliseconds.
const MAX_BACKOFF_MS: f64 = 3_600_000.0;
/// Shortest and longest interval between the starts of a periodic task's runs, in milliseconds.
const INTERVAL_RANGE_MS: std::ops::RangeInclusive<f64> = 1000.0..=31.0 * 86_400_000.0;
/// Number of minutes in a day.
pub(crate) const MINUTES_PER_DAY: u32 = 1440;

/// When the runs of a task are started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Schedule {
    /// The task has no runs and no steps. It has a lease holder at all times.
    Always,
    /// A run is started by an operator's command.
    OnDemand,
    /// A run is started when this time has passed since the start of the last run, in milliseconds.
    Every(f64),
    /// A run is started once a day.
    Daily {
        /// Earliest time of day at which the run may be started, in minutes since midnight (UTC).
        minute: u32,
        /// How long after that time of day the run may still be started, in minutes.
        window: u32,
    },
}

/// How a run continues after a step whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OnUnknownOutcome {
    /// The step is begun again. Suitable only for idempotent steps.
    Repeat,
    /// The run halts. When an operator resumes the task, the run continues with the following step.
    Halt,
    /// The run continues with the following step.
    Skip,
}

/// Definition of a task, as written by the operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskSpec {
    /// Name of the task.
    pub name: String,
    /// When runs of the task are started.
    pub schedule: Schedule,
    /// Zones whose members may hold the task's lease; all zones if empty.
    pub zones: Vec<String>,
    /// Names of the members that may hold the task's lease; all members if empty.
    pub members: Vec<String>,
    /// Length of the task's lease, in milliseconds.
    pub lease_ms: f64,
    /// Number of steps in each run of the task.
    pub step_count: u32,
    /// Longest time that a step may run, in milliseconds. A step is begun only if more than this
    /// time is left of the lease.
    pub max_step_ms: f64,
    /// How a run continues after a step whose outcome is unknown.
    pub on_unknown: OnUnknownOutcome,
    /// Number of attempts at a step after which the run halts if none of them ran the step.
    pub max_attempts: u32,
    /// Pause before the second attempt at a step, in milliseconds. The pause doubles with each
    /// further attempt.
    pub backoff_ms: f64,
    /// Priority among the tasks of one holder: steps of tasks with a higher priority begin first.
    pub priority: u8,
    /// Whether the target of the action refuses fencing tokens older than the newest it has seen.
    /// If not, two holders may act at once when a process is paused past the end of its lease.
    pub requires_fencing: bool,
    /// The action that the holder performs. This crate doesn't interpret the text; the program that
    /// uses this crate does.
    pub action: String,
}

/// Why the definition of a task is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidTask {
    /// The name is empty, too long or contains a character that is not allowed.
    #[error("is not 1 to {MAX_NAME_LENGTH} letters, digits, dots and dashes")]
    Name,
    /// The length of the lease is out of range. Contains that length in milliseconds.
    #[error("is {0} ms; write 1 s to 10 min")]
    LeaseLength(f64),
    /// The number of steps in a run is out of range. Contains that number.
    #[error("is {0}; write 1 to {MAX_STEPS}")]
    StepCount(u32),
    /// The longest time of a step is under 1 ms or too long for the lease. Contains that time in
    /// milliseconds.
    #[error("is {0} ms, over half the lease; split the step or lengthen the lease")]
    StepLength(f64),
    /// The number of attempts at a step, or the pause between attempts, is out of range.
    #[error("is not 1 to 100, or backoff not 0 to 1 h")]
    Retries,
    /// The interval of a periodic task is out of range. Contains that interval in milliseconds.
    #[error("is {0} ms; write 1 s to 31 days")]
    Interval(f64),
    /// The time of day or the start window of a daily task is out of range.
    #[error("is no time of the day, or window not 1 min to 24 h")]
    TimeOfDay,
}

impl InvalidTask {
    /// Key of the invalid setting in the operator's file.
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
    /// Creates the definition of a task with default values for all other fields.
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

    /// Checks that all values are within their bounds.
    ///
    /// # Errors
    ///
    /// Returns an error for the first value that is out of bounds.
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

    /// Whether the steps of the task fit into a lease of this length in milliseconds, which may
    /// have been granted under an earlier definition.
    pub(crate) fn steps_fit(&self, length_ms: f64) -> bool {
        let has_steps = self.schedule != Schedule::Always;
        !has_steps || self.max_step_ms <= length_ms * MAX_STEP_TO_LEASE_RATIO
    }

    fn validate_steps(&self) -> Result<(), InvalidTask> {
        if !(1..=MAX_STEPS).contains(&self.step_count) {
            return Err(InvalidTask::StepCount(self.step_count));
        }
        if !(1.0..=self.lease_ms * MAX_STEP_TO_LEASE_RATIO).contains(&self.max_step_ms) {
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

    /// Whether a member with this name, in this zone, may hold the task's lease.
    pub fn allows(&self, member: &str, zone: &str) -> bool {
        let is_listed = |list: &[String], name: &str| {
            list.is_empty() || list.iter().any(|listed| listed == name)
        };
        is_listed(&self.members, member) && is_listed(&self.zones, zone)
    }
}

/// Whether a task's name is valid. Unlike the name of a member, it must not contain underscores or
/// colons.
fn is_valid_task_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed)
}
