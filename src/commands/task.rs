//! The command `beamgap task`: defines, shows and controls the tasks of the fleet.

mod output;

use super::{CommandError, FleetClient, EXIT_FAILED, EXIT_UNKNOWN};
use crate::cli::{FleetArgs, Task as TaskCommand, TaskArgs};
use beamgap::fleet::message::{FleetRequest, FleetResponse, TaskStatus};
use beamgap_leases::{Command, Task, TaskSpec};
use std::time::{Duration, Instant};

/// Timeout of one request to the leader.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time to wait for a change to take effect.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between a change and the status request that checks whether the change has taken effect, in milliseconds.
const PAUSE_MS: u64 = 60;
/// Upper bound on the time until a lease without renewal has ended, as a multiple of the lease's length.
const LEASE_END_FACTOR: f64 = 1.5;

/// Runs a `task` subcommand.
///
/// # Errors
///
/// The exit code, and why the command failed.
pub fn run(command: TaskCommand) -> Result<(), CommandError> {
    match command {
        TaskCommand::Apply(args) => apply(&args),
        TaskCommand::List(args) => list(&args),
        TaskCommand::Show(args) | TaskCommand::History(args) => show(&args),
        TaskCommand::Run(args) => change(&args, TaskChange::StartRun),
        TaskCommand::Pause(args) => change(&args, TaskChange::Pause),
        TaskCommand::Resume(args) => change(&args, TaskChange::Resume),
        TaskCommand::Release(args) => change(&args, TaskChange::Release),
    }
}

/// An operator's change to one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskChange {
    /// Starts the next run.
    StartRun,
    /// Pauses the task: no further step starts.
    Pause,
    /// Resumes the task after a pause or a halt.
    Resume,
    /// Ends the task's lease, so that another member can acquire it.
    Release,
}

impl TaskChange {
    /// Returns the request to the leader for this change. `before` is the task before the change. The request is
    /// idempotent and can be sent again.
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

    /// Whether the change has taken effect, judged by the task before the change and the task now.
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

    /// Text that is printed after the change has taken effect.
    fn message(self) -> &'static str {
        match self {
            TaskChange::StartRun => "a run begins",
            TaskChange::Pause => "paused: no further step begins",
            TaskChange::Resume => "goes on",
            TaskChange::Release => "its lease has ended",
        }
    }

    /// Maximum time to wait for the change to take effect.
    fn timeout(self, before: &Task) -> Duration {
        match self {
            TaskChange::Release => {
                let lease_end = before.spec.lease_ms * LEASE_END_FACTOR / 1000.0;
                Duration::from_secs_f64(lease_end) + CHANGE_TIMEOUT
            }
            TaskChange::StartRun | TaskChange::Pause | TaskChange::Resume => CHANGE_TIMEOUT,
        }
    }

    /// Why the change can't take effect, judged by the task's status before the change is requested.
    fn problem_before(self, before: &Task) -> Option<String> {
        let releases_nothing = self == TaskChange::Release && before.lease.is_none();
        releases_nothing.then(|| "no member holds its lease".to_owned())
    }

    /// Why the change can't take effect, judged by the task's status after the change was requested.
    fn problem_after(self, before: &Task, now: &Task) -> Option<String> {
        if self != TaskChange::StartRun || before.run.is_none() || now.runs != before.runs {
            return None;
        }
        now.run.as_ref().map(|run| format!("run {} is still in progress", run.number))
    }
}

/// Requests from the leader the status of all tasks, or of one task with its history.
fn statuses(client: &mut FleetClient, name: Option<&str>) -> Result<Vec<TaskStatus>, CommandError> {
    match client.request(&FleetRequest::Tasks(name.map(str::to_owned)), REQUEST_TIMEOUT) {
        Ok(FleetResponse::Tasks(statuses)) => Ok(statuses),
        Ok(_) => Err((EXIT_UNKNOWN, "unexpected response".to_owned())),
        Err(reason) => Err((EXIT_UNKNOWN, format!("no leader with a majority: {reason}"))),
    }
}

fn status(client: &mut FleetClient, name: &str) -> Result<TaskStatus, CommandError> {
    let found = statuses(client, Some(name))?.into_iter().next();
    found.ok_or_else(|| {
        (EXIT_FAILED, format!("task {name} is not known; `beamgap task list` lists all tasks"))
    })
}

/// Requests a change repeatedly until the change has taken effect, and prints the result.
fn change(args: &TaskArgs, change: TaskChange) -> Result<(), CommandError> {
    let name = &args.name;
    let mut client = FleetClient::new(&args.fleet_args.operator)?;
    let before = status(&mut client, name)?.task;
    if let Some(problem) = change.problem_before(&before) {
        return Err((EXIT_FAILED, format!("task {name}: {problem}")));
    }
    let request = change.request(&before);
    let deadline = Instant::now() + change.timeout(&before);
    loop {
        // The response is ignored: the status shows whether the request has taken effect.
        let _ = client.request(&request, REQUEST_TIMEOUT);
        client.sleep(PAUSE_MS);
        if let Ok(TaskStatus { task: now, .. }) = status(&mut client, name) {
            if change.is_done(&before, &now) {
                println!("task {name}: {}", change.message());
                return Ok(());
            }
            if let Some(problem) = change.problem_after(&before, &now) {
                return Err((EXIT_FAILED, format!("task {name}: {problem}")));
            }
        }
        if Instant::now() > deadline {
            return Err((
                EXIT_UNKNOWN,
                format!("task {name}: the outcome is not known yet; check with `beamgap task show`"),
            ));
        }
    }
}

/// Replaces the fleet's tasks with the tasks defined in the operator's file.
fn apply(args: &FleetArgs) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&args.operator)?;
    let specs = client.fleet.tasks.clone();
    let request = FleetRequest::SubmitTaskCommand(Command::DefineTasks(specs.clone()));
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    loop {
        // The response is ignored: the status shows whether the request has taken effect.
        let _ = client.request(&request, REQUEST_TIMEOUT);
        client.sleep(PAUSE_MS);
        let known = statuses(&mut client, None).unwrap_or_default();
        if are_defined(&specs, &known) {
            println!("{} tasks are known to the fleet", specs.len());
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err((
                EXIT_UNKNOWN,
                "the outcome is not known yet; check with `beamgap task list`".to_owned(),
            ));
        }
    }
}

/// Whether the fleet's tasks are exactly the tasks in `specs`, ignoring tasks that are being removed.
fn are_defined(specs: &[TaskSpec], known: &[TaskStatus]) -> bool {
    let defined: Vec<&Task> = known.iter().map(|status| &status.task).filter(|task| !task.removed).collect();
    let is_defined = |spec: &TaskSpec| defined.iter().any(|task| task.spec == *spec);
    defined.len() == specs.len() && specs.iter().all(is_defined)
}

fn list(args: &FleetArgs) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&args.operator)?;
    let statuses = statuses(&mut client, None)?;
    if args.json {
        println!("{}", serde_json::Value::from_iter(statuses.iter().map(output::json)));
        return Ok(());
    }
    for status in &statuses {
        println!("{}", output::line(status));
    }
    Ok(())
}

fn show(args: &TaskArgs) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&args.fleet_args.operator)?;
    let status = status(&mut client, &args.name)?;
    if args.fleet_args.json {
        println!("{}", output::json(&status));
        return Ok(());
    }
    println!("{}", output::line(&status));
    for record in &status.task.history {
        println!("{}", output::history_line(record));
    }
    Ok(())
}
