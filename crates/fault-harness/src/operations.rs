//! History checker for tasks: compares the operations that targets recorded with numbered promises.
//! The promises are those of `docs/leases.md`; all functions are pure.

use crate::breaks::{broken, Break};
use crate::history::{Event, What};
use std::collections::{BTreeMap, BTreeSet};

/// Number of the promise that no two members execute a task at the same time and that fencing tokens never decrease.
const ONE_HOLDER: u8 = 1;
/// Number of the promise that each step of a run is executed once and that steps run in order.
const STEPS_RUN_ONCE: u8 = 4;

/// Identifies one step in one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepKey {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// Index of the step within its run; the first step has index 0.
    pub step: u64,
}

/// Step outcomes that the fleet recorded, and the tasks whose steps may run more than once.
#[derive(Clone, Debug, Default)]
pub struct TaskRules {
    /// Steps with the recorded outcome `unknown`: the step may or may not have been executed.
    pub unknown: BTreeSet<StepKey>,
    /// Steps with the recorded outcome `done`: the target must have executed the step.
    pub done: BTreeSet<StepKey>,
    /// Names of the tasks whose steps may be executed more than once.
    pub repeatable: BTreeSet<String>,
}

/// Counts and measured times of a history without violations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperationSummary {
    /// Number of operations that targets executed, repeated steps included.
    pub executed: usize,
    /// Number of operations that a target refused because of a stale fencing token.
    pub refused_as_stale: usize,
    /// Number of distinct fencing tokens under which a step was executed.
    pub tokens: usize,
    /// Longest time from the end of an operation to the start of the next one on the same task, in milliseconds.
    pub longest_gap_ms: f64,
}

/// Checks a history against the recorded task outcomes. The events must be sorted by time.
///
/// # Errors
///
/// The first violation of a promise, with the events that prove it.
pub fn check_operations(events: &[Event], rules: &TaskRules) -> Result<OperationSummary, Break> {
    let mut checker = Checker::new(rules);
    for event in events {
        checker.observe(event)?;
    }
    checker.finish()
}

/// The execution of a task's step that a target recorded as begun.
#[derive(Clone, Copy)]
struct Operation<'a> {
    event: &'a Event,
    token: u64,
}

/// State of the check after the events that were observed so far.
struct Checker<'a> {
    rules: &'a TaskRules,
    /// Operations that have begun and not ended, per task.
    in_progress: BTreeMap<&'a str, Vec<Operation<'a>>>,
    /// Operation with the highest fencing token, per task.
    newest: BTreeMap<&'a str, Operation<'a>>,
    /// End of the last operation, per task, in milliseconds.
    last_end: BTreeMap<&'a str, f64>,
    executed: BTreeMap<StepKey, &'a Event>,
    tokens: BTreeSet<u64>,
    summary: OperationSummary,
}

impl<'a> Checker<'a> {
    fn new(rules: &'a TaskRules) -> Checker<'a> {
        Checker {
            rules,
            in_progress: BTreeMap::new(),
            newest: BTreeMap::new(),
            last_end: BTreeMap::new(),
            executed: BTreeMap::new(),
            tokens: BTreeSet::new(),
            summary: OperationSummary::default(),
        }
    }

    fn observe(&mut self, event: &'a Event) -> Result<(), Break> {
        match &event.what {
            What::Began { task, run, step, token } => {
                let operation = Operation { event, token: *token };
                self.check_one_holder(task, operation)?;
                self.check_token_order(task, operation)?;
                self.check_step(event, StepKey { task: task.clone(), run: *run, step: *step })?;
                self.count(task, operation);
            }
            What::Ended { task, token, .. } => {
                let in_progress = self.in_progress.entry(task).or_default();
                in_progress.retain(|operation| operation.token != *token);
                self.last_end.insert(task, event.at);
            }
            What::Stale { .. } => self.summary.refused_as_stale += 1,
            _ => {}
        }
        Ok(())
    }

    fn check_one_holder(&mut self, task: &'a str, operation: Operation<'a>) -> Result<(), Break> {
        let in_progress = self.in_progress.entry(task).or_default();
        if let Some(other) = in_progress.iter().find(|other| other.token != operation.token) {
            let text = format!("two holders act on {task} at once");
            return broken(ONE_HOLDER, text, &[other.event, operation.event]);
        }
        in_progress.push(operation);
        Ok(())
    }

    fn check_token_order(&mut self, task: &'a str, operation: Operation<'a>) -> Result<(), Break> {
        if let Some(newest) = self.newest.get(task).filter(|newest| operation.token < newest.token) {
            let text = format!("token {} acts on {task} after {}", operation.token, newest.token);
            return broken(ONE_HOLDER, text, &[newest.event, operation.event]);
        }
        self.newest.insert(task, operation);
        Ok(())
    }

    fn check_step(&mut self, event: &'a Event, key: StepKey) -> Result<(), Break> {
        let StepKey { task, run, step } = &key;
        let is_repeatable = self.rules.repeatable.contains(task);
        if let Some(before) = self.executed.get(&key).filter(|_| !is_repeatable) {
            let text = format!("step {step} of run {run} of {task} ran twice");
            return broken(STEPS_RUN_ONCE, text, &[before, event]);
        }
        if !self.may_follow(&key) {
            let text = format!("step {step} of run {run} of {task} ran, and the one before it never did");
            return broken(STEPS_RUN_ONCE, text, &[event]);
        }
        self.executed.insert(key, event);
        Ok(())
    }

    /// Whether the step's predecessor was executed or has the recorded outcome `unknown`; true for the first step.
    fn may_follow(&self, key: &StepKey) -> bool {
        let Some(step) = key.step.checked_sub(1) else { return true };
        let previous = StepKey { step, ..key.clone() };
        self.executed.contains_key(&previous) || self.rules.unknown.contains(&previous)
    }

    fn count(&mut self, task: &str, operation: Operation<'_>) {
        self.tokens.insert(operation.token);
        self.summary.executed += 1;
        if let Some(last_end) = self.last_end.get(task) {
            let gap_ms = operation.event.at - last_end;
            self.summary.longest_gap_ms = self.summary.longest_gap_ms.max(gap_ms);
        }
    }

    fn finish(self) -> Result<OperationSummary, Break> {
        let never_ran = self.rules.done.iter().find(|key| !self.executed.contains_key(*key));
        if let Some(StepKey { task, run, step }) = never_ran {
            let text = format!("step {step} of run {run} of {task} is told as done and never ran");
            return broken(STEPS_RUN_ONCE, text, &[]);
        }
        Ok(OperationSummary { tokens: self.tokens.len(), ..self.summary })
    }
}
