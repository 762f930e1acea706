//! Replicated state of a task: its lease, its run in progress, and the history of its steps.

use crate::spec::{OnUnknownOutcome, Schedule, TaskSpec};
use crate::token::FencingToken;
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Largest number of records in the step history of a task; older records are dropped.
pub const MAX_HISTORY: usize = 128;
/// Largest number of characters of an outcome's reason; longer reasons are truncated.
const MAX_REASON_LENGTH: usize = 200;

/// Outcome of a step that was begun.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The step was done.
    Done,
    /// The step did not run. Contains the reason.
    NotRun(String),
    /// The step may have run. Contains the reason why the outcome is unknown.
    Unknown(String),
}

impl Outcome {
    /// Returns the outcome with its reason truncated to [`MAX_REASON_LENGTH`] characters.
    pub(crate) fn truncated(&self) -> Outcome {
        let truncate = |reason: &String| reason.chars().take(MAX_REASON_LENGTH).collect();
        match self {
            Outcome::Done => Outcome::Done,
            Outcome::NotRun(reason) => Outcome::NotRun(truncate(reason)),
            Outcome::Unknown(reason) => Outcome::Unknown(truncate(reason)),
        }
    }
}

/// Record of a finished step in the history of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepRecord {
    /// Number of the run that the step belongs to.
    pub run: u64,
    /// Index of the step in the run, from 0.
    pub step: u32,
    /// Fencing token of the lease under which the step was begun.
    pub token: FencingToken,
    /// Name of the member that held this lease and so began the step.
    pub member: String,
    /// Outcome of the step.
    pub outcome: Outcome,
}

/// A lease of a task that was granted and has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the member that holds the lease.
    pub holder: MemberId,
    /// Fencing token of the lease.
    pub token: FencingToken,
}

/// A run of a task that is in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Run {
    /// Number of the run. The runs of a task are numbered from 1.
    pub number: u64,
    /// Index of the next step to be done, from 0.
    pub next_step: u32,
    /// Number of attempts at the next step so far in which the step did not run.
    pub attempts: u32,
    /// Fencing token of the lease under which the next step was begun; `None` if that step is not
    /// open.
    pub open_token: Option<FencingToken>,
    /// Why the run is halted until an operator resumes the task; `None` if the run is not halted.
    pub halted_reason: Option<String>,
}

/// Replicated state of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// The operator's definition of the task.
    pub spec: TaskSpec,
    /// The task's current lease, if one is granted.
    pub lease: Option<Lease>,
    /// Whether an operator paused the task.
    pub paused: bool,
    /// Whether the active policy forbids the task.
    pub forbidden: bool,
    /// Whether the operator's list no longer contains the task. The task is deleted once its lease
    /// has ended.
    pub removed: bool,
    /// The run in progress, if any.
    pub run: Option<Run>,
    /// Number of runs of the task that were started so far.
    pub runs: u64,
    /// Day of the last scheduled run of a daily task, in days since 1970; 0 if there was no such
    /// run.
    pub last_started_day: u64,
    /// Records of the most recent steps, oldest first, at most [`MAX_HISTORY`].
    pub history: VecDeque<StepRecord>,
}

impl Task {
    /// Creates the state of a newly defined task.
    pub(crate) fn new(spec: TaskSpec) -> Task {
        Task {
            spec,
            lease: None,
            paused: false,
            forbidden: false,
            removed: false,
            run: None,
            runs: 0,
            last_started_day: 0,
            history: VecDeque::new(),
        }
    }

    /// Whether the task should have a lease holder. The task must not be paused, forbidden or
    /// removed, and must either have no steps or have a run in progress that is not halted.
    pub fn runnable(&self) -> bool {
        let is_blocked = self.paused || self.forbidden || self.removed;
        let has_active_run = self
            .run
            .as_ref()
            .is_some_and(|run| run.halted_reason.is_none());
        !is_blocked && (self.spec.schedule == Schedule::Always || has_active_run)
    }

    /// Why the task does not run, in words for the operator; `None` if it runs or has no run to
    /// do.
    pub fn blocked_reason(&self) -> Option<String> {
        if self.removed {
            return Some("not among the tasks any more".to_owned());
        }
        if self.paused {
            return Some("paused by an operator".to_owned());
        }
        if self.forbidden {
            return Some("forbidden by the policy in force".to_owned());
        }
        if let Some(reason) = self.run.as_ref().and_then(|run| run.halted_reason.clone()) {
            return Some(reason);
        }
        if self.runnable() && self.lease.is_none() {
            return Some("no member that may hold it is there".to_owned());
        }
        None
    }

    /// Whether the task's current lease has this token.
    pub(crate) fn is_held_under(&self, token: FencingToken) -> bool {
        self.lease
            .as_ref()
            .is_some_and(|lease| lease.token == token)
    }

    /// Whether a step of the run was begun and has no recorded outcome yet.
    pub(crate) fn has_open_step(&self) -> bool {
        self.run
            .as_ref()
            .is_some_and(|run| run.open_token.is_some())
    }

    /// Closes the open step with this outcome, adds a record to the history, and continues, halts
    /// or ends the run. Does nothing if no step is open.
    pub(crate) fn finish_step(&mut self, outcome: Outcome) {
        let Some(run) = self.run.as_mut() else { return };
        let Some(token) = run.open_token.take() else {
            return;
        };
        let member = self
            .lease
            .as_ref()
            .map(|lease| lease.holder.name.clone())
            .unwrap_or_default();
        let record = StepRecord {
            run: run.number,
            step: run.next_step,
            token,
            member,
            outcome,
        };
        run.advance(&record, &self.spec);
        if run.next_step >= self.spec.step_count && run.halted_reason.is_none() {
            self.run = None;
        }
        self.history.push_back(record);
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }
}

impl Run {
    /// Creates the run with this number, before its first step.
    pub(crate) fn new(number: u64) -> Run {
        Run {
            number,
            ..Run::default()
        }
    }

    /// Updates the run after a finished step: goes to the next step, retries the step or halts.
    fn advance(&mut self, record: &StepRecord, spec: &TaskSpec) {
        match (&record.outcome, spec.on_unknown) {
            (Outcome::Done, _) | (Outcome::Unknown(_), OnUnknownOutcome::Skip) => {
                self.go_to_next_step();
            }
            (Outcome::Unknown(_), OnUnknownOutcome::Repeat) => {}
            (Outcome::Unknown(reason), OnUnknownOutcome::Halt) => {
                // An operator who resumes the run has checked this step, so the run continues with
                // the following step.
                self.go_to_next_step();
                self.halt(record, &format!("may have run ({reason})"));
            }
            (Outcome::NotRun(reason), _) => {
                self.attempts += 1;
                if self.attempts >= spec.max_attempts {
                    self.attempts = 0;
                    self.halt(
                        record,
                        &format!("never ran in {} tries ({reason})", spec.max_attempts),
                    );
                }
            }
        }
    }

    fn go_to_next_step(&mut self) {
        self.next_step += 1;
        self.attempts = 0;
    }

    fn halt(&mut self, record: &StepRecord, reason: &str) {
        self.halted_reason = Some(format!(
            "step {} of run {}: {reason}",
            record.step, record.run
        ));
    }
}
