//! Permits: the only way to act on a task.

use crate::command::Command;
use crate::task::Outcome;
use crate::token::FencingToken;
use thiserror::Error;

/// Why there is no permit.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PermitDenied {
    /// This member does not hold the task.
    #[error("is not held here")]
    NotHeld,
    /// The lease has expired, or too little is left of it.
    #[error("has too little left of its lease")]
    LeaseExpiring,
    /// The task is paused, forbidden or over.
    #[error("is paused, forbidden or over")]
    NotRunnable,
    /// The beginning of the step is not committed yet, or the step is over.
    #[error("has no step begun in the record")]
    StepNotBegun,
}

/// A permit to act once on a task. Only [`LeaseHolder::permit`](crate::LeaseHolder::permit) gives
/// one, from a lease that has not expired. It can't be copied, and starting the action uses it up.
///
/// ```compile_fail
/// fn twice(permit: beamgap_leases::ActionPermit) {
///     let again = permit.clone(); // one permit, one action
/// }
/// ```
///
/// ```compile_fail
/// use beamgap_leases::{ActionPermit, FencingToken};
/// // Only a lease gives one.
/// let token = FencingToken::new(1);
/// let permit = ActionPermit { task: String::new(), token, step: None, valid_until: 1e9 };
/// ```
///
/// ```compile_fail
/// fn act(permit: beamgap_leases::ActionPermit) {
///     let action = permit.start(0.0).unwrap();
///     let second = permit.start(0.0); // it is used up
/// }
/// ```
#[derive(Debug, PartialEq)]
#[must_use = "a permit that is dropped leaves its step open"]
pub struct ActionPermit {
    task: String,
    token: FencingToken,
    step: Option<u32>,
    valid_until: f64,
}

impl ActionPermit {
    /// A permit for a task or one of its steps, valid until a time of the holder's clock.
    pub(crate) fn new(
        task: &str,
        token: FencingToken,
        step: Option<u32>,
        valid_until: f64,
    ) -> ActionPermit {
        ActionPermit {
            task: task.to_owned(),
            token,
            step,
            valid_until,
        }
    }

    /// The task.
    pub fn task(&self) -> &str {
        &self.task
    }

    /// The step, if the task has steps.
    pub fn step(&self) -> Option<u32> {
        self.step
    }

    /// The last check of the clock before the action. `now` must have been read just before.
    ///
    /// # Errors
    ///
    /// Too little is left of the lease: the action must not be started.
    pub fn start(self, now: f64) -> Result<PermittedAction, ExpiredAction> {
        let in_time = now < self.valid_until;
        let action = PermittedAction {
            task: self.task,
            token: self.token,
            step: self.step,
        };
        if in_time {
            Ok(action)
        } else {
            Err(ExpiredAction(action))
        }
    }
}

/// An action that is allowed to start. Its outcome must be recorded.
#[derive(Debug, PartialEq)]
#[must_use = "its outcome must be recorded"]
pub struct PermittedAction {
    task: String,
    token: FencingToken,
    step: Option<u32>,
}

impl PermittedAction {
    /// The token to hand to the target of the action.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// The command that records the outcome; none for a task without steps.
    pub fn record(self, outcome: Outcome) -> Option<Command> {
        let step = self.step?;
        Some(Command::RecordOutcome {
            task: self.task,
            token: self.token,
            step,
            outcome,
        })
    }
}

/// An action that was not started, as its permit had expired.
#[derive(Debug, PartialEq, Error)]
#[error("too little was left of the lease")]
pub struct ExpiredAction(PermittedAction);

impl ExpiredAction {
    /// The command that records that the step did not run; none for a task without steps.
    pub fn record(self) -> Option<Command> {
        let reason = self.to_string();
        self.0.record(Outcome::NotRun(reason))
    }
}
