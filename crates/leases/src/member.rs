//! The member's side of the lease protocol: the member renews all of its leases with a single poll
//! and requests a permit for each action.
//!
//! Times are in milliseconds on the member's own monotonic clock. That clock must also advance
//! while the machine is suspended.

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

/// A lease that the member holds and that has not expired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActiveLease<'a> {
    /// The lease as the leader described it to the member.
    pub view: &'a LeaseView,
    /// Remaining time for which the member may use the lease, in milliseconds.
    pub remaining_ms: f64,
}

/// A step whose `BeginStep` command is committed. The member may run the step once it has a
/// permit.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadyStep {
    /// Name of the task.
    pub task: String,
    /// Longest time that the step may run, in milliseconds.
    pub max_step_ms: f64,
}

/// The member's side of the lease protocol.
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
    /// Creates the state of a newly started member, which holds no leases.
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

    /// Begins a graceful shutdown. The member accepts no more leases and gives up the leases that
    /// it holds.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Returns the request to send to the leader with the next poll.
    pub fn poll_request(&self) -> PollRequest {
        PollRequest {
            member: self.id.clone(),
            zone: self.zone.clone(),
            draining: self.draining,
            known_change_count: self.known_change_count,
        }
    }

    /// Handles the leader's response to a request that the member sent at `sent_at`. Renewed leases
    /// are valid for their usable length from `sent_at`.
    pub fn handle_response(&mut self, sent_at: f64, response: PollResponse) {
        if self
            .known_change_count
            .is_some_and(|known| known > response.change_count)
        {
            return; // The response is older than the list of leases that the member has.
        }
        if let Some(leases) = response.leases {
            self.replace_leases(leases);
            self.known_change_count = Some(response.change_count);
        } else if self.known_change_count != Some(response.change_count) {
            return; // The response refers to a list of leases that this member never received.
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

    /// Replaces the held leases by the leader's list, keeping the local state of leases in both.
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

    /// Returns the leases that the member holds and that have not expired at `now`.
    pub fn active_leases(&self, now: f64) -> impl Iterator<Item = ActiveLease<'_>> + '_ {
        let active = self.held.values().filter(move |held| held.is_active(now));
        active.map(move |held| ActiveLease {
            view: &held.view,
            remaining_ms: held.valid_until - now,
        })
    }

    /// Returns the leader's last description of the task's lease; `None` if the member doesn't hold
    /// that lease.
    pub fn lease(&self, task: &str) -> Option<&LeaseView> {
        self.held.get(task).map(|held| &held.view)
    }

    /// Queues a command that records an outcome. The command is resent until it has taken effect or
    /// the lease is lost.
    pub fn queue_outcome(&mut self, command: Option<Command>) {
        if let Some(command) = command {
            self.outcomes.push(command);
        }
    }

    /// Returns the commands to send with the next poll. They record outcomes, begin steps and give
    /// up leases. No step is begun while the member `is_busy`.
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

    /// Returns a permit to act on a task. A task with steps needs an open step for which no permit
    /// was given; a task without steps may be acted on as long as its lease is valid. The action
    /// must take at most `duration_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Returns the reason why the member must not act on the task now.
    pub fn permit(
        &mut self,
        task: &str,
        now: f64,
        duration_ms: f64,
    ) -> Result<ActionPermit, PermitDenied> {
        let held = self.held.get_mut(task).ok_or(PermitDenied::NotHeld)?;
        held.permit(now, duration_ms, self.injected_bug)
    }

    /// Queues the outcome of a step that was begun but not run because its permit was denied.
    pub fn record_not_run(&mut self, task: &str, outcome: Outcome) {
        let Some(held) = self.held.get_mut(task) else {
            return;
        };
        if let Some(command) = held.close_unused_step(outcome) {
            self.outcomes.push(command);
        }
    }

    /// Whether the member should poll before its regular interval, because an outcome, the start of
    /// a step or the end of a lease waits to be committed.
    pub fn wants_early_poll(&self, now: f64) -> bool {
        !self.outcomes.is_empty() || self.held.values().any(|held| held.awaits_commit(now))
    }

    /// Returns the steps whose `BeginStep` command is committed and for which no permit was given
    /// yet.
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
