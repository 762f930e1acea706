//! The replicated state of the fleet's policy: members, the active version, the pending change and past outcomes.
//!
//! Every replica applies the same commands in log order and reaches the same state. A command that is not valid in the
//! current state, for example because an earlier command finished the change, has no effect.

use super::change::{ChangeOutcome, ChangeRecord, ChangeRequest, PendingChange, ProposalError};
use super::message::ValidationError;
use super::{PolicyTimings, Version};
use crate::document::MAX_TEXT_LENGTH;
use beamgap_fleet_types::{is_valid_name, MemberId, MAX_NAME_LENGTH};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of members in a fleet. Further joins are ignored.
pub const MAX_MEMBERS: usize = 1000;
/// Maximum number of finished changes in the history. The oldest are dropped first.
pub const MAX_CHANGE_RECORDS: usize = 256;
/// Maximum number of versions, including the active one, whose policy text is stored. The oldest are dropped first.
pub const MAX_KEPT_VERSIONS: usize = 32;
/// Maximum number of errors that are stored for a rejected change.
pub const MAX_VALIDATION_ERRORS: usize = 50;
/// The policy text of version 0, which is active in a newly bootstrapped fleet.
pub const EMPTY_POLICY: &str = "form = 1\n";

/// Reported as [`ValidationError::member`] when the replicated state machine itself rejects a change. The text is part
/// of stored data and must not change.
const FLEET_AS_MEMBER: &str = "council";

/// A command in the replicated log.
///
/// The postcard encoding is positional, so the order of variants and fields is part of the storage format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Sets the fleet's timings. Has no effect if they are already set.
    Bootstrap(PolicyTimings),
    /// Adds an incarnation of a member, which may be granted leases from then on.
    Join {
        /// The member to add.
        member: MemberId,
        /// Newest policy format version that the member supports.
        format_version: u64,
    },
    /// Removes an incarnation of a member, all of whose leases have expired.
    Leave {
        /// The member to remove.
        member: MemberId,
    },
    /// Proposes a policy change, which becomes pending or is rejected with a [`ProposalError`].
    Propose(ChangeRequest),
    /// Rejects the pending change because members reported errors. Has no effect once the change is committed.
    Reject {
        /// Id of the change.
        id: String,
        /// The errors that members reported.
        errors: Vec<ValidationError>,
    },
    /// Withdraws the pending change for an operator. Has no effect once the change is committed.
    Withdraw {
        /// Id of the change.
        id: String,
    },
    /// Commits the pending change, after which it can no longer be rejected or withdrawn.
    Commit {
        /// Id of the change.
        id: String,
    },
    /// Activates the committed change as the next version.
    Activate {
        /// Id of the change.
        id: String,
    },
}

/// A policy version with its text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyRevision {
    /// The version number.
    pub version: Version,
    /// Text of the policy.
    pub policy_text: String,
}

/// The replicated state of a fleet's policy. Snapshots contain its encoded form.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The fleet's timings; `None` until the fleet is bootstrapped.
    pub timings: Option<PolicyTimings>,
    /// The members, each with the newest policy format version that it supports.
    pub members: BTreeMap<MemberId, u64>,
    /// The stored versions, oldest first. The last one is active; if there is none, the active version is 0.
    pub revisions: VecDeque<PolicyRevision>,
    /// The pending change, if any.
    pub pending: Option<PendingChange>,
    /// Finished changes with their outcomes, oldest first.
    pub history: VecDeque<ChangeRecord>,
}

impl RolloutState {
    /// The number of the active version.
    pub fn version(&self) -> Version {
        self.revisions.back().map_or(0, |revision| revision.version)
    }

    /// The policy text of the active version.
    pub fn policy_text(&self) -> &str {
        self.revisions
            .back()
            .map_or(EMPTY_POLICY, |revision| &revision.policy_text)
    }

    /// The state or final outcome of a change; `None` if the change is unknown or was dropped from the history.
    pub fn outcome(&self, id: &str) -> Option<ChangeOutcome> {
        match &self.pending {
            Some(pending) if pending.id == id && pending.committed => {
                Some(ChangeOutcome::Committed(self.version() + 1))
            }
            Some(pending) if pending.id == id => Some(ChangeOutcome::Validating),
            _ => {
                let record = self.history.iter().rev().find(|record| record.id == id);
                record.map(|record| record.outcome.clone())
            }
        }
    }

    /// Applies a command from the log. Commands that are not valid in the current state have no effect.
    pub fn apply(&mut self, command: &Command) {
        match command {
            Command::Bootstrap(timings) => {
                if self.timings.is_none() {
                    self.timings = Some(*timings);
                }
            }
            Command::Join {
                member,
                format_version,
            } => self.join(member, *format_version),
            Command::Leave { member } => {
                self.members.remove(member);
            }
            Command::Propose(request) => self.propose(request),
            Command::Reject { id, errors } => {
                let errors = errors.iter().take(MAX_VALIDATION_ERRORS).cloned().collect();
                self.finish_uncommitted(id, ChangeOutcome::Rejected(errors));
            }
            Command::Withdraw { id } => self.finish_uncommitted(id, ChangeOutcome::Withdrawn),
            Command::Commit { id } => self.commit(id),
            Command::Activate { id } => self.activate(id),
        }
    }

    fn join(&mut self, member: &MemberId, format_version: u64) {
        if self.members.len() < MAX_MEMBERS && is_valid_name(&member.name) {
            self.members.insert(member.clone(), format_version);
        }
    }

    fn propose(&mut self, request: &ChangeRequest) {
        if !is_valid_name(&request.id) || self.outcome(&request.id).is_some() {
            return;
        }
        let id = request.id.clone();
        let requested_by: String = request.requested_by.chars().take(MAX_NAME_LENGTH).collect();
        match self.proposed_text(request) {
            Ok(policy_text) => {
                self.pending = Some(PendingChange {
                    id,
                    requested_by,
                    policy_text,
                    committed: false,
                });
            }
            Err(error) => {
                let error = ValidationError {
                    member: FLEET_AS_MEMBER.to_owned(),
                    message: error.to_string(),
                };
                let outcome = ChangeOutcome::Rejected(vec![error]);
                self.record(ChangeRecord {
                    id,
                    requested_by,
                    outcome,
                });
            }
        }
    }

    /// The policy text that the requested change would activate.
    fn proposed_text(&self, request: &ChangeRequest) -> Result<String, ProposalError> {
        if let Some(pending) = &self.pending {
            return Err(ProposalError::ChangePending {
                id: pending.id.clone(),
                requested_by: pending.requested_by.clone(),
            });
        }
        let active = self.version();
        if request.base_version.is_some_and(|base| base != active) {
            return Err(ProposalError::StaleBase { active });
        }
        match &request.policy_text {
            Some(text) if text.len() > MAX_TEXT_LENGTH => Err(ProposalError::TooLong),
            Some(text) => Ok(text.clone()),
            None => self.previous_text().ok_or(ProposalError::NoEarlierVersion),
        }
    }

    /// The policy text of the version before the active one; `None` if it is not stored or does not exist.
    fn previous_text(&self) -> Option<String> {
        if let Some(index) = self.revisions.len().checked_sub(2) {
            return self
                .revisions
                .get(index)
                .map(|revision| revision.policy_text.clone());
        }
        let only_first = self.revisions.len() == 1 && self.version() == 1;
        if only_first {
            Some(EMPTY_POLICY.to_owned())
        } else {
            None
        }
    }

    fn commit(&mut self, id: &str) {
        if let Some(pending) = self.pending.as_mut().filter(|pending| pending.id == id) {
            pending.committed = true;
        }
    }

    fn activate(&mut self, id: &str) {
        let Some(pending) = self
            .pending
            .take_if(|pending| pending.id == id && pending.committed)
        else {
            return;
        };
        let version = self.version() + 1;
        self.record(ChangeRecord {
            id: pending.id,
            requested_by: pending.requested_by,
            outcome: ChangeOutcome::Active(version),
        });
        self.revisions.push_back(PolicyRevision {
            version,
            policy_text: pending.policy_text,
        });
        while self.revisions.len() > MAX_KEPT_VERSIONS {
            self.revisions.pop_front();
        }
    }

    fn finish_uncommitted(&mut self, id: &str, outcome: ChangeOutcome) {
        let is_meant = |pending: &mut PendingChange| pending.id == id && !pending.committed;
        if let Some(pending) = self.pending.take_if(is_meant) {
            self.record(ChangeRecord {
                id: pending.id,
                requested_by: pending.requested_by,
                outcome,
            });
        }
    }

    fn record(&mut self, record: ChangeRecord) {
        self.history.push_back(record);
        while self.history.len() > MAX_CHANGE_RECORDS {
            self.history.pop_front();
        }
    }
}
