//! Formats the status of a task as JSON or as text. Scripts read the JSON output, so its keys must not change.

use beamgap::fleet::message::TaskStatus;
use beamgap_leases::{FencingToken, Outcome, Run, Schedule, StepRecord, Task};
use serde::Serialize;
use serde_json::Value;

/// Returns the remaining time of a task's lease, in milliseconds, rounded. `None` if the task has no lease, or if the
/// current leader has not renewed the lease.
fn remaining_ms(status: &TaskStatus) -> Option<f64> {
    status.task.lease.as_ref()?;
    let renewed_ms_ago = status.renewed_ms_ago?;
    Some((status.task.spec.lease_ms - renewed_ms_ago).max(0.0).round())
}

/// JSON output for a task.
#[derive(Serialize)]
struct TaskJson<'a> {
    task: &'a str,
    holder: Option<&'a str>,
    token: Option<FencingToken>,
    left_ms: Option<f64>,
    runs: u64,
    run: Option<RunJson<'a>>,
    why_not: Option<String>,
    fenced: bool,
    record: Vec<StepJson<'a>>,
}

/// JSON output for the run in progress.
#[derive(Serialize)]
struct RunJson<'a> {
    no: u64,
    next: u32,
    of: u32,
    open: bool,
    halted: Option<&'a str>,
}

/// JSON output for a step in the task's history.
#[derive(Serialize)]
struct StepJson<'a> {
    run: u64,
    step: u32,
    token: FencingToken,
    member: &'a str,
    outcome: &'static str,
    why: Option<&'a str>,
}

impl<'a> RunJson<'a> {
    fn new(run: &'a Run, step_count: u32) -> RunJson<'a> {
        RunJson {
            no: run.number,
            next: run.next_step,
            of: step_count,
            open: run.open_token.is_some(),
            halted: run.halted_reason.as_deref(),
        }
    }
}

impl<'a> StepJson<'a> {
    fn new(record: &'a StepRecord) -> StepJson<'a> {
        StepJson {
            run: record.run,
            step: record.step,
            token: record.token,
            member: &record.member,
            outcome: outcome_word(&record.outcome),
            why: outcome_reason(&record.outcome),
        }
    }
}

fn outcome_word(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::NotRun(_) => "never ran",
        Outcome::Unknown(_) => "unknown",
    }
}

fn outcome_reason(outcome: &Outcome) -> Option<&str> {
    match outcome {
        Outcome::Done => None,
        Outcome::NotRun(reason) | Outcome::Unknown(reason) => Some(reason),
    }
}

/// Formats a task as JSON.
pub fn json(status: &TaskStatus) -> Value {
    let task = &status.task;
    let lease = task.lease.as_ref();
    let output = TaskJson {
        task: &task.spec.name,
        holder: lease.map(|lease| lease.holder.name.as_str()),
        token: lease.map(|lease| lease.token),
        left_ms: remaining_ms(status),
        runs: task.runs,
        run: task.run.as_ref().map(|run| RunJson::new(run, task.spec.step_count)),
        why_not: task.blocked_reason(),
        fenced: task.spec.requires_fencing,
        record: task.history.iter().map(StepJson::new).collect(),
    };
    serde_json::to_value(output).expect("all keys of the JSON output are strings")
}

/// Formats a task as a line of text.
pub fn line(status: &TaskStatus) -> String {
    let task = &status.task;
    let blocked = match task.blocked_reason() {
        Some(reason) => format!("; does not run: {reason}"),
        None => String::new(),
    };
    format!("{:<20} {}; {}{blocked}", task.spec.name, lease_text(status), run_text(task))
}

fn lease_text(status: &TaskStatus) -> String {
    let Some(lease) = &status.task.lease else { return "held by nobody".to_owned() };
    let remaining = match remaining_ms(status) {
        Some(remaining_ms) => format!("{remaining_ms} ms left"),
        None => "not renewed lately".to_owned(),
    };
    format!("held by {} with token {}, {remaining}", lease.holder.name, lease.token)
}

fn run_text(task: &Task) -> String {
    match &task.run {
        Some(run) => format!("run {} at step {} of {}", run.number, run.next_step, task.spec.step_count),
        None if task.spec.schedule == Schedule::Always => "without steps".to_owned(),
        None => format!("{} runs are over", task.runs),
    }
}

/// Formats a step of the task's history as a line of text.
pub fn history_line(record: &StepRecord) -> String {
    let word = outcome_word(&record.outcome);
    let outcome = match outcome_reason(&record.outcome) {
        Some(reason) => format!("{word}: {reason}"),
        None => word.to_owned(),
    };
    let StepRecord { run, step, token, member, .. } = record;
    format!("  run {run} step {step} by {member} with token {token}: {outcome}")
}
