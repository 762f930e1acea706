//! Runs the fleet's tasks at this member: connects the task leases of the `beamgap-leases` crate to the event loop and
//! to the targets of actions.
//!
//! - [`read`]: reads the `task` blocks of the configuration file.
//! - [`call`]: performs actions, which are HTTP POST requests to a task's target.

pub mod call;
pub mod read;

use super::test_hooks::TestHooks;
use beamgap_consensus::Clock;
use beamgap_fleet_types::MemberId;
use beamgap_leases::{
    Command, InjectedBug, LeaseHolder, Outcome, PermitDenied, PollRequest, PollResponse, ReadyStep,
};
use call::{Action, ActionExecutor};
use std::sync::Arc;

/// While more client requests than this are in flight at the front end, no new step of a task begins: client requests
/// have precedence over tasks.
const MAX_IN_FLIGHT_TO_BEGIN_STEP: usize = 64;

/// Runs the steps of the tasks whose leases this member holds. All times are in milliseconds of the member's clock.
pub struct TaskRunner {
    holder: LeaseHolder,
    executor: ActionExecutor,
}

impl TaskRunner {
    /// Creates the runner of a member that holds no leases yet. `wake` is called whenever an action has ended.
    pub fn new(
        member: MemberId,
        zone: &str,
        hooks: TestHooks,
        wake: Arc<dyn Fn() + Send + Sync>,
    ) -> TaskRunner {
        let clock: Clock = hooks.clock();
        let injected_bug: InjectedBug = hooks.lease_bug;
        TaskRunner {
            holder: LeaseHolder::new(member, zone, injected_bug),
            executor: ActionExecutor::new(clock, hooks, wake),
        }
    }

    /// Returns the lease part of the next poll to the leader.
    pub fn poll_request(&self) -> PollRequest {
        self.holder.poll_request()
    }

    /// Handles the leader's response to a poll sent at `sent_at`; leases are renewed from that time.
    pub fn handle_response(&mut self, sent_at: f64, response: PollResponse) {
        self.holder.handle_response(sent_at, response);
    }

    /// Begins a graceful shutdown: the member requests no more leases and gives up those that it holds.
    pub fn start_draining(&mut self) {
        self.holder.start_draining();
    }

    /// Collects the outcomes of ended actions and starts the actions of steps that are ready.
    pub fn advance(&mut self, now: f64) {
        for command in self.executor.take_outcomes() {
            self.holder.queue_outcome(Some(command));
        }
        for step in self.holder.ready_steps() {
            if !self.executor.has_room() {
                break;
            }
            self.start(now, &step);
        }
    }

    fn start(&mut self, now: f64, step: &ReadyStep) {
        match self.holder.permit(&step.task, now, step.max_step_ms) {
            Ok(permit) => {
                let lease = self.holder.lease(&step.task);
                let run = lease.and_then(|lease| lease.run.as_ref());
                let action = Action {
                    permit,
                    url: lease.map(|lease| lease.action.clone()).unwrap_or_default(),
                    run: run.map_or(0, |run| run.number),
                    timeout_ms: step.max_step_ms,
                };
                self.executor.start(action);
            }
            Err(denied @ PermitDenied::LeaseExpiring) => {
                self.holder.record_not_run(&step.task, Outcome::NotRun(denied.to_string()));
            }
            Err(PermitDenied::NotHeld | PermitDenied::NotRunnable | PermitDenied::StepNotBegun) => {}
        }
    }

    /// Returns the commands to send with the next poll. No step begins if too many requests are `in_flight`.
    pub fn pending_commands(&mut self, now: f64, in_flight: usize) -> Vec<Command> {
        let is_busy = in_flight > MAX_IN_FLIGHT_TO_BEGIN_STEP;
        self.holder.pending_commands(now, is_busy)
    }

    /// Returns whether a command waits to be committed: to begin a step, to record an outcome or to give up a lease.
    pub fn wants_early_poll(&self, now: f64) -> bool {
        self.holder.wants_early_poll(now)
    }
}
