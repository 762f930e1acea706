//! A lease that a member holds, and the commands and permits that the member derives from it.

use crate::command::Command;
use crate::injected_bug::InjectedBug;
use crate::message::LeaseView;
use crate::permit::{ActionPermit, PermitDenied};
use crate::task::{Outcome, Run};

/// Interval after which a member resends a command that has not taken effect, in milliseconds.
pub(crate) const RETRY_INTERVAL_MS: f64 = 300.0;

/// Backoff pause before another attempt at a step that did not run.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RetryPause {
    /// Number of failed attempts at the step when the pause was started. A different number starts
    /// a new pause.
    attempts: u32,
    /// End of the pause, in milliseconds on the member's clock.
    until: f64,
}

/// A lease that a member holds. Times are in milliseconds on the member's clock.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HeldLease {
    pub(crate) view: LeaseView,
    /// Time at which the member must stop using the lease.
    pub(crate) valid_until: f64,
    /// Whether the member has given the lease up and must not use it any more. Another member may
    /// act on the task as soon as the end of the lease is committed.
    pub(crate) given_up: bool,
    /// Step for which a permit was given, so that each begun step gets only one permit.
    permitted_step: Option<u32>,
    /// When a command for this lease was last sent, unless it is known to have taken effect.
    proposed_at: Option<f64>,
    /// Pause before the next step is attempted again, if an attempt did not run the step.
    retry_pause: Option<RetryPause>,
}

impl HeldLease {
    /// Creates a newly granted lease. The member may use the lease once it is renewed.
    pub(crate) fn new(view: LeaseView) -> HeldLease {
        HeldLease {
            view,
            valid_until: f64::NEG_INFINITY,
            given_up: false,
            permitted_step: None,
            proposed_at: None,
            retry_pause: None,
        }
    }

    /// Returns the lease with the leader's current view of it. The new view may show the effect of
    /// the last command, so the next command may be sent at once.
    pub(crate) fn updated(self, view: LeaseView) -> HeldLease {
        HeldLease {
            view,
            proposed_at: None,
            ..self
        }
    }

    /// Extends the lease to this time. Never shortens the lease.
    pub(crate) fn renew_until(&mut self, valid_until: f64) {
        self.valid_until = self.valid_until.max(valid_until);
    }

    /// Whether the lease has not expired at this time.
    pub(crate) fn is_active(&self, now: f64) -> bool {
        now < self.valid_until
    }

    /// Returns the next command for this lease, if a command is due now.
    ///
    /// Gives up the lease if the member is `draining` or the task should not run. Otherwise begins
    /// the next step, unless `is_busy` shows that the member can't run another step.
    pub(crate) fn next_command(
        &mut self,
        now: f64,
        draining: bool,
        is_busy: bool,
        injected_bug: InjectedBug,
    ) -> Option<Command> {
        let was_sent_recently = self
            .proposed_at
            .is_some_and(|at| now - at < RETRY_INTERVAL_MS);
        if was_sent_recently || (!self.is_active(now) && !self.given_up) {
            return None;
        }
        if self.view.has_open_step() && !self.given_up {
            return None;
        }
        let command = if self.given_up || draining || !self.view.runnable {
            self.give_up(injected_bug)
        } else if is_busy {
            return None;
        } else {
            self.begin_step(now)?
        };
        self.proposed_at = Some(now);
        self.permitted_step = None;
        Some(command)
    }

    /// Stops using the lease and returns the command that ends it.
    fn give_up(&mut self, injected_bug: InjectedBug) -> Command {
        if injected_bug != InjectedBug::HoldsOn {
            self.given_up = true;
            self.valid_until = f64::NEG_INFINITY;
        }
        Command::EndLease {
            task: self.view.task.clone(),
            token: self.view.token,
        }
    }

    /// Returns the command that begins the next step. Returns `None` if the step does not fit into
    /// the remaining time of the lease or a retry pause is in progress.
    fn begin_step(&mut self, now: f64) -> Option<Command> {
        let run = self.view.run.as_ref()?;
        if now + self.view.max_step_ms >= self.valid_until {
            return None;
        }
        let (number, step, attempts) = (run.number, run.next_step, run.attempts);
        if self.view.pause_ms > 0.0 {
            self.set_retry_pause(now, attempts);
            if self.is_pausing(now) {
                return None;
            }
        }
        Some(Command::BeginStep {
            task: self.view.task.clone(),
            token: self.view.token,
            run: number,
            step,
        })
    }

    /// Starts the retry pause, unless it was already started for this number of attempts.
    fn set_retry_pause(&mut self, now: f64, attempts: u32) {
        let is_set = self
            .retry_pause
            .is_some_and(|pause| pause.attempts == attempts);
        if !is_set {
            self.retry_pause = Some(RetryPause {
                attempts,
                until: now + self.view.pause_ms,
            });
        }
    }

    fn is_pausing(&self, now: f64) -> bool {
        self.retry_pause.is_some_and(|pause| now < pause.until)
    }

    /// Whether the member waits for the commit of a command for this lease. That is the last
    /// command sent or, if a step may begin, the `BeginStep` command that is still to be sent.
    pub(crate) fn awaits_commit(&self, now: f64) -> bool {
        if !self.is_active(now) || self.view.has_open_step() {
            return false;
        }
        let may_begin_step = self.view.run.is_some() && !self.is_pausing(now);
        self.proposed_at.is_some() || may_begin_step
    }

    /// Whether the next step is ready to run, so that the member may request a permit for it.
    pub(crate) fn is_step_ready(&self, injected_bug: InjectedBug) -> bool {
        self.view
            .run
            .as_ref()
            .is_some_and(|run| self.may_act(run, injected_bug))
    }

    /// Whether the `BeginStep` command of this step is committed and no permit was given for it
    /// yet.
    fn may_act(&self, run: &Run, injected_bug: InjectedBug) -> bool {
        let acts_early = injected_bug == InjectedBug::ActFirst && run.open_token.is_none();
        let is_begun = run.open_token == Some(self.view.token) || acts_early;
        is_begun && self.permitted_step != Some(run.next_step)
    }

    /// Returns a permit for an action that takes at most `duration_ms` milliseconds.
    pub(crate) fn permit(
        &mut self,
        now: f64,
        duration_ms: f64,
        injected_bug: InjectedBug,
    ) -> Result<ActionPermit, PermitDenied> {
        if now + duration_ms >= self.valid_until {
            return Err(PermitDenied::LeaseExpiring);
        }
        let step = match &self.view.run {
            None if self.view.runnable => None,
            None => return Err(PermitDenied::NotRunnable),
            Some(run) if self.may_act(run, injected_bug) => Some(run.next_step),
            Some(_) => return Err(PermitDenied::StepNotBegun),
        };
        if step.is_some() {
            self.permitted_step = step;
        }
        let valid_until = self.valid_until - duration_ms;
        Ok(ActionPermit::new(
            &self.view.task,
            self.view.token,
            step,
            valid_until,
        ))
    }

    /// Closes a begun step for which no permit was given. Returns the command that records its
    /// outcome, or `None` if there is no such step.
    pub(crate) fn close_unused_step(&mut self, outcome: Outcome) -> Option<Command> {
        let run = self.view.run.as_ref()?;
        let token = self.view.token;
        let step = run.next_step;
        if run.open_token != Some(token) || self.permitted_step == Some(step) {
            return None;
        }
        self.permitted_step = Some(step);
        Some(Command::RecordOutcome {
            task: self.view.task.clone(),
            token,
            step,
            outcome,
        })
    }
}
