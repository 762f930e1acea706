//! A task in the replicated state: its lease, the run in progress, and the history of its steps.

use crate::spec::{OnUnknownOutcome, Schedule, TaskSpec};
use crate::token::FencingToken;
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of steps that the history of a task keeps.
pub const MAX_HISTORY: usize = 128;
/// Characters of a reason that are kept.
const MAX_REASON_LENGTH: usize = 200;

/// What became of a step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It was done.
    Done,
    /// It did not run, and why.
    NotRun(String),
    /// It may have run, and why that is not known.
    Unknown(String),
}

impl Outcome {
    /// The same with a reason of bounded length.
    pub(crate) fn truncated(&self) -> Outcome {
        let truncate = |reason: &String| reason.chars().take(MAX_REASON_LENGTH).collect();
        match self {
            Outcome::Done => Outcome::Done,
            Outcome::NotRun(reason) => Outcome::NotRun(truncate(reason)),
            Outcome::Unknown(reason) => Outcome::Unknown(truncate(reason)),
        }
    }
}

/// A step in the history of a task.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StepRecord {
    /// The number of its run.
    pub run: u64,
    /// Which step of the run, from 0.
    pub step: u32,
    /// The token of the lease under which it was begun.
    pub token: FencingToken,
    /// The name of the member that began it.
    pub member: String,
    /// What became of it.
    pub outcome: Outcome,
}

/// A lease that was granted and has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: MemberId,
    /// Its token.
    pub token: FencingToken,
}

/// A run in progress.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Run {
    /// Its number, from 1.
    pub number: u64,
    /// The next step, from 0.
    pub next_step: u32,
    /// How often that step was begun and did not run.
    pub attempts: u32,
    /// The token under which the next step is begun and not over yet.
    pub open_token: Option<FencingToken>,
    /// Why the run waits for an operator, if it does.
    pub halted_reason: Option<String>,
}

/// A task in the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// What the operator defined.
    pub spec: TaskSpec,
    /// The lease that is granted.
    pub lease: Option<Lease>,
    /// Whether an operator paused it.
    pub paused: bool,
    /// Whether the active policy forbids it.
    pub forbidden: bool,
    /// Whether the operator's list no longer has it: it stays until its lease has ended.
    pub removed: bool,
    /// The run in progress.
    pub run: Option<Run>,
    /// Number of runs that were started.
    pub runs: u64,
    /// The day of the last run of a daily task, counted from 1970.
    pub last_started_day: u64,
    /// The last steps, oldest first.
    pub history: VecDeque<StepRecord>,
}

impl Task {
    /// A task that has just been defined.
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

    /// Whether the task is to have a holder.
    pub fn runnable(&self) -> bool {
        let is_blocked = self.paused || self.forbidden || self.removed;
        let run_goes_on = self
            .run
            .as_ref()
            .is_some_and(|run| run.halted_reason.is_none());
        !is_blocked && (self.spec.schedule == Schedule::Always || run_goes_on)
    }

    /// Why the task does not run, if something keeps it from running.
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

    /// Whether the lease of this token is the one that is granted.
    pub(crate) fn is_held_under(&self, token: FencingToken) -> bool {
        self.lease
            .as_ref()
            .is_some_and(|lease| lease.token == token)
    }

    /// Whether a step is begun and not over.
    pub(crate) fn has_open_step(&self) -> bool {
        self.run
            .as_ref()
            .is_some_and(|run| run.open_token.is_some())
    }

    /// Ends the open step with this outcome, adds it to the history, and moves the run on or halts
    /// it.
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
    /// The run of this number, before its first step.
    pub(crate) fn new(number: u64) -> Run {
        Run {
            number,
            ..Run::default()
        }
    }

    /// What follows from a step that is over.
    fn advance(&mut self, record: &StepRecord, spec: &TaskSpec) {
        match (&record.outcome, spec.on_unknown) {
            (Outcome::Done, _) | (Outcome::Unknown(_), OnUnknownOutcome::Skip) => {
                self.go_to_next_step();
            }
            (Outcome::Unknown(_), OnUnknownOutcome::Repeat) => {}
            (Outcome::Unknown(reason), OnUnknownOutcome::Halt) => {
                // An operator who resumes the run has decided about this step: it goes on behind
                // it.
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
