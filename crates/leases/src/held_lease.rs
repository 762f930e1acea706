//! One lease that a member holds, and what is to be done under it.

use crate::command::Command;
use crate::injected_bug::InjectedBug;
use crate::message::LeaseView;
use crate::permit::{ActionPermit, PermitDenied};
use crate::task::{Outcome, Run};

/// A command that has not taken effect is sent again after this time, in milliseconds.
pub(crate) const RETRY_INTERVAL_MS: f64 = 300.0;

/// A pause before a step that did not run is begun again.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RetryPause {
    /// Number of attempts after which it was set.
    attempts: u32,
    until: f64,
}

/// A lease that a member holds. Times are of the member's clock, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct HeldLease {
    pub(crate) view: LeaseView,
    pub(crate) valid_until: f64,
    /// Whether the member has given it up. Another may act as soon as that is committed: nothing
    /// more is done under it.
    pub(crate) given_up: bool,
    /// The step that a permit was given for, so that each begun step gets one only.
    permitted_step: Option<u32>,
    /// When a command was last sent for it.
    proposed_at: Option<f64>,
    retry_pause: Option<RetryPause>,
}

impl HeldLease {
    /// A lease that the member has just been notified of. It may be used once it is renewed.
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

    /// The same lease as the leader sees it now. Something has changed, so the next command may be
    /// sent at once.
    pub(crate) fn updated(self, view: LeaseView) -> HeldLease {
        HeldLease {
            view,
            proposed_at: None,
            ..self
        }
    }

    /// Extends the lease; it never becomes shorter.
    pub(crate) fn renew_until(&mut self, valid_until: f64) {
        self.valid_until = self.valid_until.max(valid_until);
    }

    /// Whether the lease has not expired.
    pub(crate) fn is_active(&self, now: f64) -> bool {
        now < self.valid_until
    }

    /// The next command for this lease, if one is to be sent now.
    pub(crate) fn next_command(
        &mut self,
        now: f64,
        draining: bool,
        is_busy: bool,
        injected_bug: InjectedBug,
    ) -> Option<Command> {
        let was_sent_lately = self
            .proposed_at
            .is_some_and(|at| now - at < RETRY_INTERVAL_MS);
        if was_sent_lately || (!self.is_active(now) && !self.given_up) {
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

    /// Begins the next step if it fits into what is left of the lease and no pause is to be kept.
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

    /// Whether a commit is waited for that allows the member to go on.
    pub(crate) fn awaits_commit(&self, now: f64) -> bool {
        if !self.is_active(now) || self.view.has_open_step() {
            return false;
        }
        let may_begin_step = self.view.run.is_some() && !self.is_pausing(now);
        self.proposed_at.is_some() || may_begin_step
    }

    /// Whether a step may be acted on as soon as there is a permit.
    pub(crate) fn is_step_ready(&self, injected_bug: InjectedBug) -> bool {
        self.view
            .run
            .as_ref()
            .is_some_and(|run| self.may_act(run, injected_bug))
    }

    /// Whether the beginning of the step is committed, and no permit was given for it.
    fn may_act(&self, run: &Run, injected_bug: InjectedBug) -> bool {
        let acts_early = injected_bug == InjectedBug::ActFirst && run.open_token.is_none();
        let is_begun = run.open_token == Some(self.view.token) || acts_early;
        is_begun && self.permitted_step != Some(run.next_step)
    }

    /// A permit for an action that lasts `duration_ms` at most.
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

    /// Closes a begun step for which no permit was given: the command that records its outcome.
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
