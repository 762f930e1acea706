//! Permits, without which a member cannot act on a task.

use crate::command::Command;
use crate::task::Outcome;
use crate::token::FencingToken;
use thiserror::Error;

/// Why a member is not given a permit to act on a task.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PermitDenied {
    /// This member does not hold the lease of the task.
    #[error("is not held here")]
    NotHeld,
    /// The lease has expired, or less time than the action may take is left of it.
    #[error("has too little left of its lease")]
    LeaseExpiring,
    /// The task is paused, forbidden or removed, or it has no run in progress.
    #[error("is paused, forbidden or over")]
    NotRunnable,
    /// The `BeginStep` command of the step is not committed yet, or a permit for the step was
    /// already given.
    #[error("has no step begun in the record")]
    StepNotBegun,
}

/// A permit to act once on a task.
///
/// Only [`LeaseHolder::permit`](crate::LeaseHolder::permit) creates permits, and only under a lease
/// that has not expired. A permit can't be copied, and starting the action consumes it.
///
/// ```compile_fail
/// fn twice(permit: beamgap_leases::ActionPermit) {
///     let again = permit.clone(); // permits can't be cloned
/// }
/// ```
///
/// ```compile_fail
/// use beamgap_leases::{ActionPermit, FencingToken};
/// // A permit can't be constructed without a lease: its fields are private.
/// let token = FencingToken::new(1);
/// let permit = ActionPermit { task: String::new(), token, step: None, valid_until: 1e9 };
/// ```
///
/// ```compile_fail
/// fn act(permit: beamgap_leases::ActionPermit) {
///     let action = permit.start(0.0).unwrap();
///     let second = permit.start(0.0); // the first start consumed the permit
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
    /// Creates a permit for a task or one of its steps. The action must start before `valid_until`,
    /// in milliseconds on the holder's clock.
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

    /// Name of the task to act on.
    pub fn task(&self) -> &str {
        &self.task
    }

    /// Index of the step to run, from 0; `None` if the task has no steps.
    pub fn step(&self) -> Option<u32> {
        self.step
    }

    /// Consumes the permit immediately before the action starts, and checks the lease a last time.
    ///
    /// `now` is the holder's clock in milliseconds and must have been read just before the call.
    ///
    /// # Errors
    ///
    /// Returns [`ExpiredAction`] if less time than the action may take is left of the lease. The
    /// action must not be started then.
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

/// An action that is allowed to start. The caller must record its outcome when it ends.
#[derive(Debug, PartialEq)]
#[must_use = "its outcome must be recorded"]
pub struct PermittedAction {
    task: String,
    token: FencingToken,
    step: Option<u32>,
}

impl PermittedAction {
    /// The fencing token to send to the target of the action.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the command that records the outcome of the step; `None` for a task without steps.
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

/// An action that was not started because its permit had expired.
#[derive(Debug, PartialEq, Error)]
#[error("too little was left of the lease")]
pub struct ExpiredAction(PermittedAction);

impl ExpiredAction {
    /// Returns the command that records that the step did not run; `None` for a task without
    /// steps.
    pub fn record(self) -> Option<Command> {
        let reason = self.to_string();
        self.0.record(Outcome::NotRun(reason))
    }
}
