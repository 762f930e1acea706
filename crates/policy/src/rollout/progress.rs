//! The leader's view of the pending change, from which it decides which command to propose next.

use super::message::{LeaseKind, PollRequest, ValidationError};
use super::state::{Command, RolloutState};
use super::{InjectedBug, PendingChange, PolicyTimings};
use beamgap_fleet_types::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// Minimum interval between two proposals for the same step of a change, in milliseconds.
const STEP_RETRY_MS: f64 = 200.0;

/// The pending change as observed by this leader.
#[derive(Clone, Debug, PartialEq)]
struct TrackedChange {
    id: String,
    first_seen_at: f64,
    /// When this leader first observed that the change was committed, in milliseconds.
    committed_at: Option<f64>,
}

/// Progress of the pending change, if there is one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RolloutProgress {
    change: Option<TrackedChange>,
    /// Validation errors by member; an empty list means that the member can apply the change.
    validations: BTreeMap<MemberId, Vec<ValidationError>>,
    /// Members that have confirmed a short lease, which replaced their long lease.
    short_leases: BTreeSet<MemberId>,
    /// When the current step of the change was last proposed, in milliseconds.
    step_proposed_at: Option<f64>,
}

impl RolloutProgress {
    /// Updates the progress from the replicated state; resets it when another change becomes pending.
    pub(super) fn track(&mut self, now: f64, pending: Option<&PendingChange>) {
        let Some(pending) = pending else {
            self.reset();
            return;
        };
        let tracked = self
            .change
            .as_mut()
            .filter(|change| change.id == pending.id);
        if let Some(change) = tracked {
            if pending.committed && change.committed_at.is_none() {
                change.committed_at = Some(now);
                self.step_proposed_at = None;
            }
            return;
        }
        self.change = Some(TrackedChange {
            id: pending.id.clone(),
            first_seen_at: now,
            committed_at: pending.committed.then_some(now),
        });
        self.validations.clear();
        self.short_leases.clear();
        self.step_proposed_at = None;
    }

    fn reset(&mut self) {
        if self.change.take().is_some() {
            self.step_proposed_at = None;
        }
        self.validations.clear();
        self.short_leases.clear();
    }

    /// Records the validation report and the kind of lease that a member's poll contains.
    pub(super) fn record_poll(&mut self, pending: &PendingChange, request: &PollRequest) {
        if let Some(report) = &request.validation {
            if report.change_id == pending.id {
                self.validations
                    .insert(request.member.clone(), report.errors.clone());
            }
        }
        // The member reports a short lease only after that lease has replaced its long lease.
        let has_short_lease = matches!(
            &request.lease_kind,
            Some(LeaseKind::Short(change)) if *change == pending.id
        );
        if has_short_lease {
            self.short_leases.insert(request.member.clone());
        }
    }

    /// Whether the leader has received a validation report for the change from this member.
    pub(super) fn has_validated(&self, member: &MemberId) -> bool {
        self.validations.contains_key(member)
    }

    /// The command that the leader should propose next for the change, if any.
    ///
    /// The same step is proposed at most once every [`STEP_RETRY_MS`]. Proposals are repeated until the replicated
    /// state reflects the step, because a proposal is lost if the leader fails before replicating it.
    pub(super) fn next_step(
        &mut self,
        now: f64,
        state: &RolloutState,
        timings: PolicyTimings,
        injected_bug: InjectedBug,
    ) -> Option<Command> {
        let is_recent = self
            .step_proposed_at
            .is_some_and(|at| now - at < STEP_RETRY_MS);
        if is_recent {
            return None;
        }
        let change = self.change.as_ref()?;
        let id = change.id.clone();
        let step = match change.committed_at {
            None => {
                let waited_ms = now - change.first_seen_at;
                self.rejection_or_commit(id, state, waited_ms >= timings.validation_ms)
            }
            Some(committed_at) => {
                let waited_ms = now - committed_at;
                let long_leases_expired = waited_ms >= timings.long_leases_expired_after_ms()
                    || injected_bug == InjectedBug::NoWait;
                self.activation(id, state, long_leases_expired)
            }
        };
        if step.is_some() {
            self.step_proposed_at = Some(now);
        }
        step
    }

    fn rejection_or_commit(
        &self,
        id: String,
        state: &RolloutState,
        validation_time_is_over: bool,
    ) -> Option<Command> {
        let errors: Vec<ValidationError> = self.validations.values().flatten().cloned().collect();
        if !errors.is_empty() {
            return Some(Command::Reject { id, errors });
        }
        // An unreachable member must not block the change, but at least one member must have validated it.
        let all_validated = state
            .members
            .keys()
            .all(|member| self.validations.contains_key(member));
        if (all_validated || validation_time_is_over) && !self.validations.is_empty() {
            Some(Command::Commit { id })
        } else {
            None
        }
    }

    fn activation(
        &self,
        id: String,
        state: &RolloutState,
        long_leases_expired: bool,
    ) -> Option<Command> {
        let all_short = state
            .members
            .keys()
            .all(|member| self.short_leases.contains(member));
        if all_short || long_leases_expired {
            Some(Command::Activate { id })
        } else {
            None
        }
    }
}
