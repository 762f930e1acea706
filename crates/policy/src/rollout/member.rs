//! A front end's part of a rollout: it renews its lease to admit requests and stops admitting when the lease expires.
//!
//! All times are readings, in milliseconds, of this machine's monotonic clock. The clock must include the time during
//! which the machine is suspended.

use super::message::{
    LeaseGrant, LeaseKind, PollRequest, PollResponse, ProposedChange, ValidationError,
    ValidationReport,
};
use super::{InjectedBug, Version};
use beamgap_fleet_types::{clock, MemberId};

/// Time to wait for the response to a poll before the next poll is sent, possibly to another voter, in milliseconds.
const POLL_TIMEOUT_MS: f64 = 400.0;
/// Delay between a failed poll and the next one, in milliseconds.
const RETRY_DELAY_MS: f64 = 50.0;
/// Fraction of the usable lease length after which the member polls to renew its lease.
const RENEW_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// A member's lease to admit requests under one policy version.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionLease {
    /// The policy version for which the lease is valid.
    pub version: Version,
    /// When the lease expires, in milliseconds by this machine's clock.
    pub expires_at: f64,
    /// Whether the lease is long or short.
    pub kind: LeaseKind,
}

/// An action that the front end must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Apply this policy to all further requests, then call [`PolicyMember::activated`] or
    /// [`PolicyMember::activation_failed`].
    Activate {
        /// Version of the policy.
        version: Version,
        /// Text of the policy.
        policy_text: String,
    },
    /// Validate this change, then pass the result to [`PolicyMember::validated`].
    Validate(ProposedChange),
}

/// The rollout state machine of a front end.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyMember {
    id: MemberId,
    format_version: u64,
    sequence: u64,
    /// When the outstanding poll was sent; `None` if no poll is outstanding.
    poll_sent_at: Option<f64>,
    next_poll_at: f64,
    version: Option<Version>,
    lease: Option<AdmissionLease>,
    /// A lease for a version that the front end is activating. It becomes the current lease after the activation.
    activating: Option<AdmissionLease>,
    validation: Option<ValidationReport>,
    /// Why this front end can't apply the active policy; `None` if it can.
    unusable: Option<String>,
    injected_bug: InjectedBug,
}

impl PolicyMember {
    /// Creates the state machine of a front end that has just started and holds no lease.
    ///
    /// `format_version` is the newest policy format version that the program supports.
    pub fn new(id: MemberId, format_version: u64, injected_bug: InjectedBug) -> PolicyMember {
        PolicyMember {
            id,
            format_version,
            sequence: 0,
            poll_sent_at: None,
            next_poll_at: 0.0,
            version: None,
            lease: None,
            activating: None,
            validation: None,
            unusable: None,
            injected_bug,
        }
    }

    /// The policy version under which a request may be admitted at time `now`; `None` if no request may be admitted.
    ///
    /// The caller must read the clock anew for each request, since the lease may have expired since an earlier reading.
    pub fn admits(&self, now: f64) -> Option<Version> {
        let lease = self.lease.as_ref()?;
        let is_valid = now < lease.expires_at || self.injected_bug == InjectedBug::NoCatchUp;
        (is_valid && self.unusable.is_none()).then_some(lease.version)
    }

    /// The id of this member.
    pub fn id(&self) -> &MemberId {
        &self.id
    }

    /// The latest accepted lease, which may have expired.
    pub fn lease(&self) -> Option<&AdmissionLease> {
        self.lease.as_ref()
    }

    /// Why no requests are admitted at time `now`, as text for operators; `None` if requests are admitted.
    pub fn blocked_reason(&self, now: f64) -> Option<String> {
        if let Some(errors) = &self.unusable {
            return Some(format!("can't use the policy in force: {errors}"));
        }
        match &self.lease {
            None => Some("holds no right yet: no decider has answered since the start".to_owned()),
            Some(lease) if now >= lease.expires_at => {
                let ms = now - lease.expires_at;
                Some(format!(
                    "its right ran out {ms:.0} ms ago: it reaches no confirmed leader"
                ))
            }
            Some(_) => None,
        }
    }

    /// When the next poll is due, in milliseconds by this machine's clock.
    pub fn next_poll_at(&self) -> f64 {
        match self.poll_sent_at {
            Some(sent_at) => sent_at + POLL_TIMEOUT_MS,
            None => self.next_poll_at,
        }
    }

    /// Creates the next poll if it is due at time `now`. `note` is shown to operators.
    pub fn poll_request(&mut self, now: f64, note: &str) -> Option<PollRequest> {
        if now < self.next_poll_at() {
            return None;
        }
        self.poll_sent_at = Some(now);
        self.sequence += 1;
        Some(PollRequest {
            member: self.id.clone(),
            format_version: self.format_version,
            sequence: self.sequence,
            version: self.version,
            lease_kind: self.lease.as_ref().map(|lease| lease.kind.clone()),
            validation: self.validation.clone(),
            blocked_reason: self.blocked_reason(now),
            note: note.to_owned(),
        })
    }

    /// Schedules the next poll for time `at` unless it is due earlier. Has no effect while a poll is outstanding.
    pub fn poll_no_later_than(&mut self, at: f64) {
        if self.poll_sent_at.is_none() {
            self.next_poll_at = self.next_poll_at.min(at);
        }
    }

    /// Reports that the poll with this sequence number got no response or an unusable one. Schedules a retry if this is
    /// the outstanding poll.
    pub fn poll_failed(&mut self, now: f64, sequence: u64) {
        if sequence == self.sequence && self.poll_sent_at.take().is_some() {
            self.next_poll_at = now + RETRY_DELAY_MS;
        }
    }

    /// Handles a response from the leader and returns the actions to carry out.
    ///
    /// Responses to earlier polls are ignored, so that an old grant can't replace a newer one.
    pub fn handle_response(&mut self, now: f64, response: PollResponse) -> Vec<MemberAction> {
        if response.sequence != self.sequence {
            return Vec::new();
        }
        let Some(sent_at) = self.poll_sent_at.take() else {
            return Vec::new();
        };
        self.next_poll_at = now + response.poll_again_after_ms;
        let mut actions = Vec::new();
        if let Some(grant) = response.grant {
            actions.extend(self.accept_grant(now, sent_at, grant));
        }
        if let Some(change) = response.validate {
            if !self.has_validated(&change.id) {
                actions.push(MemberAction::Validate(change));
            }
        }
        actions
    }

    fn accept_grant(&mut self, now: f64, sent_at: f64, grant: LeaseGrant) -> Option<MemberAction> {
        let LeaseGrant {
            version,
            length_ms,
            kind,
            max_drift,
            policy_text,
        } = grant;
        // The lease length is counted from when the poll was sent, because the leader granted the lease at an unknown
        // time after that.
        let usable_ms = clock::usable_for(length_ms, max_drift);
        self.next_poll_at = self
            .next_poll_at
            .min(sent_at + usable_ms * RENEW_AFTER_FRACTION);
        let lease = AdmissionLease {
            version,
            expires_at: sent_at + usable_ms,
            kind,
        };
        if self.version == Some(version) {
            self.lease = Some(lease);
            return None;
        }
        let Some(policy_text) = policy_text else {
            // The grant lacks the text of a version that this member has not activated. The next poll is sent at once;
            // it reports the member's version, so the leader's response will include the text.
            self.next_poll_at = now;
            return None;
        };
        // A grant for another version means that the old one has been replaced, so admission under the old one ends.
        if self.injected_bug != InjectedBug::NoCatchUp {
            self.lease = None;
        }
        self.activating = Some(lease);
        Some(MemberAction::Activate {
            version,
            policy_text,
        })
    }

    fn has_validated(&self, change_id: &str) -> bool {
        self.validation
            .as_ref()
            .is_some_and(|report| report.change_id == change_id)
    }

    /// Reports that the front end now applies the policy of this version. The lease for the version becomes usable.
    pub fn activated(&mut self, version: Version) {
        self.finish_activation(version, None);
    }

    /// Reports that the front end can't apply the policy of this version, so it admits no requests under it.
    pub fn activation_failed(&mut self, version: Version, reason: String) {
        self.finish_activation(version, Some(reason));
    }

    fn finish_activation(&mut self, version: Version, unusable: Option<String>) {
        let Some(lease) = self.activating.take_if(|lease| lease.version == version) else {
            return;
        };
        self.version = Some(version);
        self.lease = Some(lease);
        self.unusable = unusable;
    }

    /// Reports the result of validating a proposed change; empty `errors` mean that this member can apply the change.
    pub fn validated(&mut self, now: f64, change_id: &str, errors: Vec<ValidationError>) {
        self.validation = Some(ValidationReport {
            change_id: change_id.to_owned(),
            errors,
        });
        if self.poll_sent_at.is_none() {
            // Polls at once, because the rollout waits for this report.
            self.next_poll_at = now;
        }
    }
}
