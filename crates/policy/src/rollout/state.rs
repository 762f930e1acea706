//! The replicated state: members, the active version, the change under way, what became of earlier changes.
//!
//! Commands come in the order of the log, and give the same state everywhere. A command that does not fit the state
//! changes nothing: it was overtaken by another.

use super::change::{ChangeOutcome, ChangeRecord, ChangeRequest, PendingChange, ProposalError};
use super::message::ValidationError;
use super::{PolicyTimings, Version};
use crate::document::MAX_TEXT_LENGTH;
use beamgap_fleet_types::{is_valid_name, MemberId, MAX_NAME_LENGTH};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most members.
pub const MAX_MEMBERS: usize = 1000;
/// Most changes whose outcome is kept; the oldest are dropped.
pub const MAX_CHANGE_RECORDS: usize = 256;
/// Most versions whose text is kept, to go back to.
pub const MAX_KEPT_VERSIONS: usize = 32;
/// Most errors kept of a change that was rejected.
pub const MAX_VALIDATION_ERRORS: usize = 50;
/// The policy of a fleet that has just been bootstrapped.
pub const EMPTY_POLICY: &str = "form = 1\n";

/// Stands for a member's name where the fleet itself rejects a change. Stored data holds it.
const FLEET_AS_MEMBER: &str = "council";

/// An entry of the replicated log.
///
/// The encoded form is positional (postcard): the order of variants and fields is stored data.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Sets the fleet's timings, once.
    Bootstrap(PolicyTimings),
    /// This incarnation of a member may be granted leases from now on.
    Join {
        /// The member.
        member: MemberId,
        /// The latest format version of policies that it reads.
        format_version: u64,
    },
    /// This incarnation of a member holds no lease any more.
    Leave {
        /// The member.
        member: MemberId,
    },
    /// A change is asked for.
    Propose(ChangeRequest),
    /// Members can't use the change.
    Reject {
        /// Which change.
        id: String,
        /// Why.
        errors: Vec<ValidationError>,
    },
    /// An operator withdraws the change. Without effect once it is committed.
    Withdraw {
        /// Which change.
        id: String,
    },
    /// The change will become active.
    Commit {
        /// Which change.
        id: String,
    },
    /// The change is active.
    Activate {
        /// Which change.
        id: String,
    },
}

/// A version whose text is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyRevision {
    /// Its number.
    pub version: Version,
    /// The policy's text.
    pub policy_text: String,
}

/// The replicated state of a fleet's policy. Its encoded form is stored in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The fleet's timings; none before it is bootstrapped.
    pub timings: Option<PolicyTimings>,
    /// Members with the latest format version of policies that each reads.
    pub members: BTreeMap<MemberId, u64>,
    /// Versions whose text is kept; the last is the active one.
    pub revisions: VecDeque<PolicyRevision>,
    /// The change under way.
    pub pending: Option<PendingChange>,
    /// What became of changes, oldest first.
    pub history: VecDeque<ChangeRecord>,
}

impl RolloutState {
    /// The active version.
    pub fn version(&self) -> Version {
        self.revisions.back().map_or(0, |revision| revision.version)
    }

    /// The text of the active version.
    pub fn policy_text(&self) -> &str {
        self.revisions
            .back()
            .map_or(EMPTY_POLICY, |revision| &revision.policy_text)
    }

    /// What became of a change, if it is known.
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

    /// Applies a command.
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

    /// The text that a change would make active.
    fn proposed_text(&self, request: &ChangeRequest) -> Result<String, ProposalError> {
        if let Some(pending) = &self.pending {
            return Err(ProposalError::ChangeUnderWay {
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
            None => self.earlier_text().ok_or(ProposalError::NoEarlierVersion),
        }
    }

    /// The text of the version before the active one, if it is kept.
    fn earlier_text(&self) -> Option<String> {
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
