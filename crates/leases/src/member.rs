//! The member's part: it holds leases, renews all of them with one poll, and gives a permit for
//! each action.
//!
//! Times are of the member's own monotonic clock, which must count suspension, in milliseconds.

use crate::command::Command;
use crate::held_lease::HeldLease;
use crate::injected_bug::InjectedBug;
use crate::message::{LeaseView, PollRequest, PollResponse};
use crate::outcome_queue::OutcomeQueue;
use crate::permit::{ActionPermit, PermitDenied};
use crate::task::Outcome;
use beamgap_fleet_types::MemberId;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A lease that has not expired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActiveLease<'a> {
    /// The lease.
    pub view: &'a LeaseView,
    /// What is left of it, in milliseconds.
    pub remaining_ms: f64,
}

/// A step that may be acted on as soon as there is a permit.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadyStep {
    /// The task.
    pub task: String,
    /// Longest time of the step, in milliseconds.
    pub max_step_ms: f64,
}

/// A member's part.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseHolder {
    id: MemberId,
    zone: String,
    draining: bool,
    known_change_count: Option<u64>,
    held: BTreeMap<String, HeldLease>,
    outcomes: OutcomeQueue,
    injected_bug: InjectedBug,
}

impl LeaseHolder {
    /// A member that has just started: it holds nothing.
    pub fn new(id: MemberId, zone: &str, injected_bug: InjectedBug) -> LeaseHolder {
        LeaseHolder {
            id,
            zone: zone.to_owned(),
            draining: false,
            known_change_count: None,
            held: BTreeMap::new(),
            outcomes: OutcomeQueue::default(),
            injected_bug,
        }
    }

    /// Begins a graceful shutdown: the member takes no more leases and gives up those that it
    /// holds.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// What the member sends to the leader with its next poll.
    pub fn poll_request(&self) -> PollRequest {
        PollRequest {
            member: self.id.clone(),
            zone: self.zone.clone(),
            draining: self.draining,
            known_change_count: self.known_change_count,
        }
    }

    /// Takes in the response to a request that was sent at `sent_at`. Leases are renewed from that
    /// time on.
    pub fn handle_response(&mut self, sent_at: f64, response: PollResponse) {
        if self
            .known_change_count
            .is_some_and(|known| known > response.change_count)
        {
            return; // The response to an older request.
        }
        if let Some(leases) = response.leases {
            self.replace_leases(leases);
            self.known_change_count = Some(response.change_count);
        } else if self.known_change_count != Some(response.change_count) {
            return; // It refers to a list that this member does not have.
        }
        for held in self.held.values_mut() {
            if held.given_up || response.ending.contains(&held.view.token) {
                continue;
            }
            let length_ms = held.view.length_ms;
            let usable_ms = match self.injected_bug {
                InjectedBug::NoMargin => length_ms,
                _ => response.clock_bounds.usable_for(length_ms),
            };
            held.renew_until(sent_at + usable_ms);
        }
    }

    /// Takes the leader's list in. What is known of leases that stay is kept.
    fn replace_leases(&mut self, leases: Vec<LeaseView>) {
        let mut before = std::mem::take(&mut self.held);
        for view in leases {
            let known = before
                .remove(&view.task)
                .filter(|held| held.view.token == view.token);
            let held = match known {
                Some(known) => known.updated(view),
                None => HeldLease::new(view),
            };
            self.held.insert(held.view.task.clone(), held);
        }
    }

    /// The leases that have not expired at this time.
    pub fn active_leases(&self, now: f64) -> impl Iterator<Item = ActiveLease<'_>> + '_ {
        let active = self.held.values().filter(move |held| held.is_active(now));
        active.map(move |held| ActiveLease {
            view: &held.view,
            remaining_ms: held.valid_until - now,
        })
    }

    /// What the member was notified of for a task that it holds.
    pub fn lease(&self, task: &str) -> Option<&LeaseView> {
        self.held.get(task).map(|held| &held.view)
    }

    /// Queues the command that records an outcome. It is sent until it has taken effect or the
    /// lease is lost.
    pub fn queue_outcome(&mut self, command: Option<Command>) {
        if let Some(command) = command {
            self.outcomes.push(command);
        }
    }

    /// The commands to send with the next poll: outcomes, steps to begin, leases to give up. No
    /// step is begun while the member `is_busy`.
    pub fn pending_commands(&mut self, now: f64, is_busy: bool) -> Vec<Command> {
        let mut commands = self.outcomes.due_commands(now, &self.held);
        let mut by_priority: Vec<&mut HeldLease> = self.held.values_mut().collect();
        by_priority.sort_by_key(|held| Reverse(held.view.priority));
        for held in by_priority {
            let command = held.next_command(now, self.draining, is_busy, self.injected_bug);
            commands.extend(command);
        }
        commands
    }

    /// A permit to act on a task: on the step whose beginning is committed, or, for a task without
    /// steps, at any time. The action may last for `duration_ms`.
    ///
    /// # Errors
    ///
    /// Why the member must not act now.
    pub fn permit(
        &mut self,
        task: &str,
        now: f64,
        duration_ms: f64,
    ) -> Result<ActionPermit, PermitDenied> {
        let held = self.held.get_mut(task).ok_or(PermitDenied::NotHeld)?;
        held.permit(now, duration_ms, self.injected_bug)
    }

    /// Queues the outcome of a step that was begun, but whose action was not started for lack of a
    /// permit.
    pub fn record_not_run(&mut self, task: &str, outcome: Outcome) {
        let Some(held) = self.held.get_mut(task) else {
            return;
        };
        if let Some(command) = held.close_unused_step(outcome) {
            self.outcomes.push(command);
        }
    }

    /// Whether something waits for a commit: an outcome, a step to begin, or a lease to give up.
    pub fn wants_early_poll(&self, now: f64) -> bool {
        !self.outcomes.is_empty() || self.held.values().any(|held| held.awaits_commit(now))
    }

    /// Steps whose beginning is committed and for which no permit was given yet.
    pub fn ready_steps(&self) -> Vec<ReadyStep> {
        let ready = self
            .held
            .values()
            .filter(|held| held.is_step_ready(self.injected_bug));
        ready
            .map(|held| ReadyStep {
                task: held.view.task.clone(),
                max_step_ms: held.view.max_step_ms,
            })
            .collect()
    }
}
