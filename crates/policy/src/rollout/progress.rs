//! How far the change under way is, as its leader has seen it, and the next step that is to be committed.

use super::message::{LeaseKind, PollRequest, ValidationError};
use super::state::{Command, RolloutState};
use super::{InjectedBug, PendingChange, PolicyTimings};
use beamgap_fleet_types::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// Pause before the next step of a change is proposed again, in milliseconds.
const STEP_RETRY_MS: f64 = 200.0;

/// The change under way.
#[derive(Clone, Debug, PartialEq)]
struct TrackedChange {
    id: String,
    first_seen_at: f64,
    /// When it was first seen to be committed.
    committed_at: Option<f64>,
}

/// Progress of the change under way, if there is one.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RolloutProgress {
    change: Option<TrackedChange>,
    /// What members found in the change.
    validations: BTreeMap<MemberId, Vec<ValidationError>>,
    /// Members that are known to hold a short lease, and so no long one.
    short_leases: BTreeSet<MemberId>,
    /// When a step of the change was last proposed.
    step_proposed_at: Option<f64>,
}

impl RolloutProgress {
    /// Follows the replicated state.
    pub(super) fn track(&mut self, now: f64, pending: Option<&PendingChange>) {
        let Some(pending) = pending else {
            self.track_no_change();
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

    fn track_no_change(&mut self) {
        if self.change.take().is_some() {
            self.step_proposed_at = None;
        }
        self.validations.clear();
        self.short_leases.clear();
    }

    /// Records what a poll tells of the member's part in the change.
    pub(super) fn record_poll(&mut self, pending: &PendingChange, request: &PollRequest) {
        if let Some(report) = &request.validation {
            if report.change_id == pending.id {
                self.validations
                    .insert(request.member.clone(), report.errors.clone());
            }
        }
        // It accepted the short lease, which replaced the long one, before it sent this poll.
        let has_short_lease = matches!(
            &request.lease_kind,
            Some(LeaseKind::Short(change)) if *change == pending.id
        );
        if has_short_lease {
            self.short_leases.insert(request.member.clone());
        }
    }

    /// Whether the member has reported what it found in the change.
    pub(super) fn has_validated(&self, member: &MemberId) -> bool {
        self.validations.contains_key(member)
    }

    /// The next step, unless it was proposed a moment ago. It is repeated later: a proposal may have been lost with a
    /// leader.
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
        is_time_over: bool,
    ) -> Option<Command> {
        let errors: Vec<ValidationError> = self.validations.values().flatten().cloned().collect();
        if !errors.is_empty() {
            return Some(Command::Reject { id, errors });
        }
        // A member that is down has no veto; one at least must have validated the change.
        let all_validated = state
            .members
            .keys()
            .all(|member| self.validations.contains_key(member));
        if (all_validated || is_time_over) && !self.validations.is_empty() {
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
