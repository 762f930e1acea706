//! `beamgap task`: defines, shows and changes the tasks of the fleet.

mod output;

use super::{Asker, End, NO, UNKNOWN};
use crate::cli::{Ask, Named, Task as TaskCommand};
use beamgap::fleet::message::{FleetRequest, FleetResponse, TaskStatus};
use beamgap_leases::{Command, Task, TaskSpec};
use std::time::{Duration, Instant};

/// How long one request to the leader may take.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// How long to wait for a change to take effect.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause before the fleet is asked whether a change has taken effect, in milliseconds.
const PAUSE_MS: u64 = 60;
/// A lease that is not renewed ends within its length times this.
const LEASE_END_FACTOR: f64 = 1.5;

/// Runs a command.
///
/// # Errors
///
/// The exit code and a line on why the command was not done.
pub fn run(command: TaskCommand) -> Result<(), End> {
    match command {
        TaskCommand::Apply(ask) => apply(&ask),
        TaskCommand::List(ask) => list(&ask),
        TaskCommand::Show(named) | TaskCommand::History(named) => show(&named),
        TaskCommand::Run(named) => change(&named, TaskChange::StartRun),
        TaskCommand::Pause(named) => change(&named, TaskChange::Pause),
        TaskCommand::Resume(named) => change(&named, TaskChange::Resume),
        TaskCommand::Release(named) => change(&named, TaskChange::Release),
    }
}

/// A change of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskChange {
    /// Starts the next run.
    StartRun,
    /// Begins no further step.
    Pause,
    /// Goes on after a pause or a halt.
    Resume,
    /// Ends the lease.
    Release,
}

impl TaskChange {
    /// What to ask the leader for, given the task before the change. Asked again, it means the same change.
    fn request(self, before: &Task) -> FleetRequest {
        let task = before.spec.name.clone();
        match self {
            TaskChange::StartRun => {
                FleetRequest::SubmitTaskCommand(Command::StartRun { task, run: before.runs + 1, day: 0 })
            }
            TaskChange::Pause => FleetRequest::SubmitTaskCommand(Command::SetPaused { task, paused: true }),
            TaskChange::Resume => FleetRequest::SubmitTaskCommand(Command::SetPaused { task, paused: false }),
            TaskChange::Release => FleetRequest::ReleaseLease(task),
        }
    }

    /// Whether the change has taken effect.
    fn is_done(self, before: &Task, now: &Task) -> bool {
        match self {
            TaskChange::StartRun => now.runs > before.runs,
            TaskChange::Pause => now.paused,
            TaskChange::Resume => {
                let is_halted = now.run.as_ref().is_some_and(|run| run.halted_reason.is_some());
                !now.paused && !is_halted
            }
            TaskChange::Release => now.lease != before.lease,
        }
    }

    /// What is printed once the change has taken effect.
    fn message(self) -> &'static str {
        match self {
            TaskChange::StartRun => "a run begins",
            TaskChange::Pause => "paused: no further step begins",
            TaskChange::Resume => "goes on",
            TaskChange::Release => "its lease has ended",
        }
    }

    /// How long to wait for the change.
    fn timeout(self, before: &Task) -> Duration {
        match self {
            TaskChange::Release => {
                let lease_end = before.spec.lease_ms * LEASE_END_FACTOR / 1000.0;
                Duration::from_secs_f64(lease_end) + CHANGE_TIMEOUT
            }
            TaskChange::StartRun | TaskChange::Pause | TaskChange::Resume => CHANGE_TIMEOUT,
        }
    }

    /// Why the change can't take effect, judged before it is asked for.
    fn problem_before(self, before: &Task) -> Option<String> {
        let releases_nothing = self == TaskChange::Release && before.lease.is_none();
        releases_nothing.then(|| "nobody holds it".to_owned())
    }

    /// Why the change can't take effect, judged after it was asked for.
    fn problem_after(self, before: &Task, now: &Task) -> Option<String> {
        if self != TaskChange::StartRun || before.run.is_none() || now.runs != before.runs {
            return None;
        }
        now.run.as_ref().map(|run| format!("run {} is under way", run.number))
    }
}

/// Asks the leader for the status of all tasks, or of one with its history.
fn statuses(asker: &mut Asker, name: Option<&str>) -> Result<Vec<TaskStatus>, End> {
    match asker.ask(&FleetRequest::Tasks(name.map(str::to_owned)), REQUEST_TIMEOUT) {
        Ok(FleetResponse::Tasks(statuses)) => Ok(statuses),
        Ok(_) => Err((UNKNOWN, "another answer".to_owned())),
        Err(why) => Err((UNKNOWN, format!("no leader with a majority: {why}"))),
    }
}

fn status(asker: &mut Asker, name: &str) -> Result<TaskStatus, End> {
    let found = statuses(asker, Some(name))?.into_iter().next();
    found.ok_or_else(|| (NO, format!("task {name} is not known; `beamgap task list` names all")))
}

/// Asks for a change until it has taken effect, and says so.
fn change(named: &Named, change: TaskChange) -> Result<(), End> {
    let name = &named.name;
    let mut asker = Asker::new(&named.ask.operator)?;
    let before = status(&mut asker, name)?.task;
    if let Some(problem) = change.problem_before(&before) {
        return Err((NO, format!("task {name}: {problem}")));
    }
    let request = change.request(&before);
    let deadline = Instant::now() + change.timeout(&before);
    loop {
        // Whether this was answered does not matter: the status tells.
        let _ = asker.ask(&request, REQUEST_TIMEOUT);
        asker.sleep(PAUSE_MS);
        if let Ok(TaskStatus { task: now, .. }) = status(&mut asker, name) {
            if change.is_done(&before, &now) {
                println!("task {name}: {}", change.message());
                return Ok(());
            }
            if let Some(problem) = change.problem_after(&before, &now) {
                return Err((NO, format!("task {name}: {problem}")));
            }
        }
        if Instant::now() > deadline {
            return Err((UNKNOWN, format!("task {name}: not known yet; `beamgap task show` tells")));
        }
    }
}

/// Has the tasks of the operator's file be those of the fleet.
fn apply(ask: &Ask) -> Result<(), End> {
    let mut asker = Asker::new(&ask.operator)?;
    let specs = asker.fleet.tasks.clone();
    let request = FleetRequest::SubmitTaskCommand(Command::DefineTasks(specs.clone()));
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    loop {
        // Whether this was answered does not matter: the status tells.
        let _ = asker.ask(&request, REQUEST_TIMEOUT);
        asker.sleep(PAUSE_MS);
        let known = statuses(&mut asker, None).unwrap_or_default();
        if are_defined(&specs, &known) {
            println!("{} tasks are known to the fleet", specs.len());
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err((UNKNOWN, "not known yet; `beamgap task list` tells".to_owned()));
        }
    }
}

/// Whether these tasks and no others are those of the fleet.
fn are_defined(specs: &[TaskSpec], known: &[TaskStatus]) -> bool {
    let defined: Vec<&Task> = known.iter().map(|status| &status.task).filter(|task| !task.removed).collect();
    let is_defined = |spec: &TaskSpec| defined.iter().any(|task| task.spec == *spec);
    defined.len() == specs.len() && specs.iter().all(is_defined)
}

fn list(ask: &Ask) -> Result<(), End> {
    let mut asker = Asker::new(&ask.operator)?;
    let statuses = statuses(&mut asker, None)?;
    if ask.json {
        println!("{}", serde_json::Value::from_iter(statuses.iter().map(output::json)));
        return Ok(());
    }
    for status in &statuses {
        println!("{}", output::line(status));
    }
    Ok(())
}

fn show(named: &Named) -> Result<(), End> {
    let mut asker = Asker::new(&named.ask.operator)?;
    let status = status(&mut asker, &named.name)?;
    if named.ask.json {
        println!("{}", output::json(&status));
        return Ok(());
    }
    println!("{}", output::line(&status));
    for record in &status.task.history {
        println!("{}", output::history_line(record));
    }
    Ok(())
}
