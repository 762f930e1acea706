//! The tasks of the fleet at this member: connects the leases (`crates/leases`) to the serving loop and to the targets
//! of the actions.
//!
//! - [`read`]: the `task` blocks of the operator's file.
//! - [`call`]: an action: a POST to the task's target, on a thread of its own.

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

/// With more requests than this open at the front end, no further step begins: clients' requests go first.
const MAX_OPEN_REQUESTS: usize = 64;

/// Runs the steps of the tasks that this member holds. All times are of the member's clock, in milliseconds.
pub struct TaskRunner {
    holder: LeaseHolder,
    executor: ActionExecutor,
}

impl TaskRunner {
    /// The runner of a member that has just started. `wake` is called when an action has ended.
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

    /// What is sent to the leader with the next poll.
    pub fn poll_request(&self) -> PollRequest {
        self.holder.poll_request()
    }

    /// Takes in the response to a request that was sent at `sent_at`.
    pub fn handle_response(&mut self, sent_at: f64, response: PollResponse) {
        self.holder.handle_response(sent_at, response);
    }

    /// Begins a graceful shutdown: no more leases are taken, and those that are held are given up.
    pub fn start_draining(&mut self) {
        self.holder.start_draining();
    }

    /// Takes in the outcomes of actions that have ended, and starts actions that are permitted.
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

    /// The commands to send with the next poll, while so many requests are open at this front end.
    pub fn pending_commands(&mut self, now: f64, open_requests: usize) -> Vec<Command> {
        let is_busy = open_requests > MAX_OPEN_REQUESTS;
        self.holder.pending_commands(now, is_busy)
    }

    /// Whether the next response is waited for: a step is to begin or to be recorded, or a lease to be given up.
    pub fn wants_early_poll(&self, now: f64) -> bool {
        self.holder.wants_early_poll(now)
    }
}
