//! Policy changes: requests, the pending change, outcomes and the errors of proposals.

use super::message::ValidationError;
use super::Version;
use serde::{Deserialize, Serialize};

/// A policy change as requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Unique id of the change. Another request with the same id has no effect while the change is pending or in the
    /// history, so requests can be retried safely.
    pub id: String,
    /// The operator who requests the change.
    pub requested_by: String,
    /// Text of the new policy; `None` requests a rollback to the version before the active one.
    pub policy_text: Option<String>,
    /// The version that the new policy was derived from. The change is rejected if another version is active.
    pub base_version: Option<Version>,
}

/// The current state or the final outcome of a policy change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change waits for members to validate it.
    Validating,
    /// The change is committed and will become active as this version.
    Committed(Version),
    /// The change was activated as this version.
    Active(Version),
    /// The change was rejected with these errors and never took effect.
    Rejected(Vec<ValidationError>),
    /// An operator withdrew the change before it was committed; it never took effect.
    Withdrawn,
}

impl ChangeOutcome {
    /// Whether the outcome is final, that is, neither validating nor committed.
    pub fn is_final(&self) -> bool {
        !matches!(
            self,
            ChangeOutcome::Validating | ChangeOutcome::Committed(_)
        )
    }
}

/// A finished change and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Id of the change.
    pub id: String,
    /// The operator who requested the change.
    pub requested_by: String,
    /// Final outcome of the change.
    pub outcome: ChangeOutcome,
}

/// The change that the fleet is currently rolling out. At most one change is pending at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingChange {
    /// Id of the change.
    pub id: String,
    /// The operator who requested the change.
    pub requested_by: String,
    /// Text of the new policy.
    pub policy_text: String,
    /// Whether the change is committed, after which it can no longer be rejected or withdrawn.
    pub committed: bool,
}

/// Why the replicated state rejects a proposal before any member validates it.
///
/// The error texts become part of the replicated state, so all versions of the program must produce the same texts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Another change is pending.
    #[error("the change {id} by {requested_by} is under way; ask again when it is over")]
    ChangePending {
        /// Id of the pending change.
        id: String,
        /// The operator who requested the pending change.
        requested_by: String,
    },
    /// The change was derived from a version that is not active.
    #[error(
        "it was made from another version than {active}, which is in force; look at that and propose anew"
    )]
    StaleBase {
        /// The active version.
        active: Version,
    },
    /// The policy text is longer than [`MAX_TEXT_LENGTH`](crate::document::MAX_TEXT_LENGTH).
    #[error("the policy is too long")]
    TooLong,
    /// The change is a rollback, but no version before the active one is stored.
    #[error("there is no version before the one in force")]
    NoEarlierVersion,
}
