//! Actions of tasks: HTTP POST requests to a task's target, limited in number and duration.
//!
//! The request has a JSON body with the fields `run`, `step`, `task` and `token`. The header `Lease-Token` repeats the
//! fencing token. The target responds with 2xx if the step is done, with 409 if it has seen a newer fencing token, and
//! with any other 4xx if it did nothing. After any other response it is unknown whether the step ran.

use crate::fleet::test_hooks::{machine_clock, TestHooks};
use beamgap_consensus::Clock;
use beamgap_leases::{ActionPermit, Command, FencingToken, Outcome, PermittedAction};
use serde::Serialize;
use std::io::ErrorKind;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of actions that a member runs concurrently. Each one occupies a thread.
const MAX_ACTIONS: usize = 8;
/// HTTP header with the fencing token.
const TOKEN_HEADER: &str = "Lease-Token";

/// An action that is ready to start.
pub struct Action {
    /// The permit from the task's lease; its expiry is checked once more when the action starts.
    pub permit: ActionPermit,
    /// URL of the target.
    pub url: String,
    /// Number of the run that the step belongs to.
    pub run: u64,
    /// Timeout of the HTTP request, in milliseconds.
    pub timeout_ms: f64,
}

/// JSON body of the request to the target. The fields are serialized in declaration order.
#[derive(Serialize)]
struct StepRequest<'a> {
    run: u64,
    step: u32,
    task: &'a str,
    token: FencingToken,
}

/// State shared with the threads that run actions.
#[derive(Clone)]
struct ActionContext {
    clock: Clock,
    hooks: TestHooks,
    wake: Arc<dyn Fn() + Send + Sync>,
    outcomes: SyncSender<Option<Command>>,
}

/// Runs each action on its own thread and collects the outcomes.
pub struct ActionExecutor {
    context: ActionContext,
    outcomes: Receiver<Option<Command>>,
    running: usize,
}

impl ActionExecutor {
    /// Creates an executor. `wake` is called whenever an action has ended.
    pub fn new(clock: Clock, hooks: TestHooks, wake: Arc<dyn Fn() + Send + Sync>) -> ActionExecutor {
        let (sender, receiver) = sync_channel(MAX_ACTIONS);
        let context = ActionContext { clock, hooks, wake, outcomes: sender };
        ActionExecutor { context, outcomes: receiver, running: 0 }
    }

    /// Returns whether another action may be started without exceeding the limit on concurrent actions.
    pub fn has_room(&self) -> bool {
        self.running < MAX_ACTIONS
    }

    /// Removes and returns the commands that record the outcomes of ended actions.
    pub fn take_outcomes(&mut self) -> Vec<Command> {
        let ended: Vec<Option<Command>> = self.outcomes.try_iter().collect();
        self.running -= ended.len();
        ended.into_iter().flatten().collect()
    }

    /// Starts an action on a new thread. If the thread can't be created, the step stays open until its lease ends.
    pub fn start(&mut self, action: Action) {
        let context = self.context.clone();
        let work = move || {
            let command = context.perform(action);
            // Sending fails only if the event loop has ended and dropped the receiver.
            let _ = context.outcomes.send(command);
            (context.wake)();
        };
        let thread = std::thread::Builder::new().name("task".into()).spawn(work);
        if thread.is_ok() {
            self.running += 1;
        }
    }
}

impl ActionContext {
    /// Checks the permit, performs the action and returns the command that records its outcome.
    ///
    /// Returns `None` for a task without steps, whose outcomes are not recorded.
    fn perform(&self, action: Action) -> Option<Command> {
        let task = action.permit.task().to_owned();
        let step = action.permit.step().unwrap_or(0);
        // The expiry check comes directly before the action, to keep the time in which the lease can expire short.
        let permitted: PermittedAction = match action.permit.start((self.clock)()) {
            Ok(permitted) => permitted,
            Err(expired) => return expired.record(),
        };
        let token = permitted.token();
        self.hooks.before_action(&format!("t={:.3} task={task} step={step} token={token}", machine_clock()));
        let request = StepRequest { run: action.run, step, task: &task, token };
        let outcome = post(&action.url, action.timeout_ms, &request);
        permitted.record(outcome)
    }
}

fn post(url: &str, timeout_ms: f64, request: &StepRequest<'_>) -> Outcome {
    let body = match serde_json::to_string(request) {
        Ok(body) => body,
        Err(error) => return Outcome::NotRun(error.to_string()),
    };
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs_f64(timeout_ms / 1000.0)))
        .http_status_as_error(false)
        .max_redirects(0)
        .build();
    let response = ureq::Agent::from(config)
        .post(url)
        .header("Content-Type", "application/json")
        .header(TOKEN_HEADER, request.token.to_string())
        .send(body);
    match response {
        Ok(response) => outcome_of_status(response.status().as_u16()),
        Err(error) => outcome_of_error(&error),
    }
}

fn outcome_of_status(status: u16) -> Outcome {
    match status {
        200..=299 => Outcome::Done,
        409 => Outcome::NotRun("the target has seen a newer token".to_owned()),
        400..=499 => Outcome::NotRun(format!("the target refused it with {status}")),
        _ => Outcome::Unknown(format!("the target answered {status}")),
    }
}

/// Maps a transport error to an outcome. Only an error raised before the request was sent proves that the step
/// did not run; after any other error the step may have run.
fn outcome_of_error(error: &ureq::Error) -> Outcome {
    match error {
        ureq::Error::Io(cause) if cause.kind() == ErrorKind::ConnectionRefused => {
            Outcome::NotRun("the target refuses connections".to_owned())
        }
        ureq::Error::BadUri(_) | ureq::Error::HostNotFound => Outcome::NotRun(error.to_string()),
        _ => Outcome::Unknown(error.to_string()),
    }
}
