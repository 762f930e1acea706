//! A front end's part: it holds a lease to admit requests under a version, renews it, and stops when it has expired.
//!
//! All times are of this machine's monotonic clock that counts suspension, in milliseconds.

use super::message::{
    LeaseGrant, LeaseKind, PollRequest, PollResponse, ProposedChange, ValidationError,
    ValidationReport,
};
use super::{InjectedBug, Version};
use beamgap_fleet_types::{clock, MemberId};

/// A poll without a response is repeated after this time, in milliseconds, perhaps to another voter.
const POLL_TIMEOUT_MS: f64 = 400.0;
/// Pause before the next poll after one that failed, in milliseconds.
const RETRY_DELAY_MS: f64 = 50.0;
/// Part of a lease's length after which it is renewed.
const RENEW_AFTER_FRACTION: f64 = 1.0 / 3.0;

/// A lease to admit requests under one version.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionLease {
    /// The version.
    pub version: Version,
    /// When it expires.
    pub expires_at: f64,
    /// Its kind.
    pub kind: LeaseKind,
}

/// What the front end is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Admit requests under this policy from now on, and tell by [`PolicyMember::activated`] or
    /// [`PolicyMember::activation_failed`].
    Activate {
        /// The version.
        version: Version,
        /// The policy's text.
        policy_text: String,
    },
    /// Validate this change, and tell the result by [`PolicyMember::validated`].
    Validate(ProposedChange),
}

/// The state machine of a front end.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicyMember {
    id: MemberId,
    format_version: u64,
    sequence: u64,
    /// When the poll was sent that is under way.
    poll_sent_at: Option<f64>,
    next_poll_at: f64,
    version: Option<Version>,
    lease: Option<AdmissionLease>,
    /// A lease whose policy is being activated: it counts once that is done.
    activating: Option<AdmissionLease>,
    validation: Option<ValidationReport>,
    /// Why the active policy can't be used here, if so.
    unusable: Option<String>,
    injected_bug: InjectedBug,
}

impl PolicyMember {
    /// A front end that has just started: it holds no lease.
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

    /// The version under which a request may be admitted at this time, read from the clock for this request.
    pub fn admits(&self, now: f64) -> Option<Version> {
        let lease = self.lease.as_ref()?;
        let is_valid = now < lease.expires_at || self.injected_bug == InjectedBug::NoCatchUp;
        (is_valid && self.unusable.is_none()).then_some(lease.version)
    }

    /// Which member this is.
    pub fn id(&self) -> &MemberId {
        &self.id
    }

    /// The lease that it was last granted; it may have expired.
    pub fn lease(&self) -> Option<&AdmissionLease> {
        self.lease.as_ref()
    }

    /// Why no request is admitted now, if so. For operators.
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

    /// When the next poll is due.
    pub fn next_poll_at(&self) -> f64 {
        match self.poll_sent_at {
            Some(sent_at) => sent_at + POLL_TIMEOUT_MS,
            None => self.next_poll_at,
        }
    }

    /// The next poll, if it is due.
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

    /// Has the next poll be due at this time at the latest, unless one is under way.
    pub fn poll_no_later_than(&mut self, at: f64) {
        if self.poll_sent_at.is_none() {
            self.next_poll_at = self.next_poll_at.min(at);
        }
    }

    /// The poll with this sequence number got no response, or one that is of no use: it is repeated soon.
    pub fn poll_failed(&mut self, now: f64, sequence: u64) {
        if sequence == self.sequence && self.poll_sent_at.take().is_some() {
            self.next_poll_at = now + RETRY_DELAY_MS;
        }
    }

    /// Takes in a response. One to an earlier poll is ignored: what was granted after it counts.
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
        // Counted from the poll: the leader granted it at some moment after that.
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
            // Granted for a version that this member does not have: ask again at once.
            self.next_poll_at = now;
            return None;
        };
        // No more admissions under the old version: a new one is active.
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

    /// The policy of this version is in use: its lease counts from now on.
    pub fn activated(&mut self, version: Version) {
        self.finish_activation(version, None);
    }

    /// The policy of this version can't be used here: no request is admitted under it.
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

    /// A proposed change was validated here; no errors: this member can use it.
    pub fn validated(&mut self, now: f64, change_id: &str, errors: Vec<ValidationError>) {
        self.validation = Some(ValidationReport {
            change_id: change_id.to_owned(),
            errors,
        });
        if self.poll_sent_at.is_none() {
            // The rollout waits for the report.
            self.next_poll_at = now;
        }
    }
}
