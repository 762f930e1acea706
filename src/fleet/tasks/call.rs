//! An action: a POST to the task's target, on a thread of its own, bounded in number and time.
//!
//! The target gets `{"task", "run", "step", "token"}` and the header `Lease-Token`. It answers 2xx if the step is done; 409 if
//! it has seen a newer token, and any other 4xx if it did nothing. All else leaves open whether the step ran.

use crate::fleet::test_hooks::{machine_clock, TestHooks};
use beamgap_consensus::Clock;
use beamgap_leases::{ActionPermit, Command, FencingToken, Outcome, PermittedAction};
use serde::Serialize;
use std::io::ErrorKind;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;

/// Largest number of actions of a member at once.
const MAX_ACTIONS: usize = 8;
/// The header that carries the fencing token.
const TOKEN_HEADER: &str = "Lease-Token";

/// An action to start.
pub struct Action {
    /// The permit for it.
    pub permit: ActionPermit,
    /// The address of the target.
    pub url: String,
    /// The number of the run.
    pub run: u64,
    /// How long it may last, in milliseconds.
    pub timeout_ms: f64,
}

/// What the target gets. The fields are sent in this order.
#[derive(Serialize)]
struct StepRequest<'a> {
    run: u64,
    step: u32,
    task: &'a str,
    token: FencingToken,
}

/// What an action's thread needs.
#[derive(Clone)]
struct ActionContext {
    clock: Clock,
    hooks: TestHooks,
    wake: Arc<dyn Fn() + Send + Sync>,
    outcomes: SyncSender<Option<Command>>,
}

/// Starts actions on threads and collects their outcomes.
pub struct ActionExecutor {
    context: ActionContext,
    outcomes: Receiver<Option<Command>>,
    running: usize,
}

impl ActionExecutor {
    /// An executor without actions. `wake` is called when one has ended.
    pub fn new(clock: Clock, hooks: TestHooks, wake: Arc<dyn Fn() + Send + Sync>) -> ActionExecutor {
        let (sender, receiver) = sync_channel(MAX_ACTIONS);
        let context = ActionContext { clock, hooks, wake, outcomes: sender };
        ActionExecutor { context, outcomes: receiver, running: 0 }
    }

    /// Whether another action may be started.
    pub fn has_room(&self) -> bool {
        self.running < MAX_ACTIONS
    }

    /// The commands that record the outcomes of actions which have ended.
    pub fn take_outcomes(&mut self) -> Vec<Command> {
        let ended: Vec<Option<Command>> = self.outcomes.try_iter().collect();
        self.running -= ended.len();
        ended.into_iter().flatten().collect()
    }

    /// Starts an action on a thread of its own. If there is none, the step stays open until its lease ends.
    pub fn start(&mut self, action: Action) {
        let context = self.context.clone();
        let work = move || {
            let command = context.perform(action);
            // Nobody listens if the serving loop has ended.
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
    /// Checks the permit, performs the action, and gives the command that records its outcome.
    fn perform(&self, action: Action) -> Option<Command> {
        let task = action.permit.task().to_owned();
        let step = action.permit.step().unwrap_or(0);
        // The check of the clock comes last: only the action follows.
        let permitted: PermittedAction = match action.permit.start((self.clock)()) {
            Ok(permitted) => permitted,
            Err(expired) => return expired.record(),
        };
        let token = permitted.token();
        self.hooks.between_look_and_action(&format!(
            "t={:.3} task={task} step={step} token={token}",
            machine_clock()
        ));
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

/// Only errors that come before the request is sent show that the step did not run.
fn outcome_of_error(error: &ureq::Error) -> Outcome {
    match error {
        ureq::Error::Io(cause) if cause.kind() == ErrorKind::ConnectionRefused => {
            Outcome::NotRun("the target refuses connections".to_owned())
        }
        ureq::Error::BadUri(_) | ureq::Error::HostNotFound => Outcome::NotRun(error.to_string()),
        _ => Outcome::Unknown(error.to_string()),
    }
}
