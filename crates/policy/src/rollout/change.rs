//! A change of the policy: as asked for, under way, and what became of it.

use super::message::ValidationError;
use super::Version;
use serde::{Deserialize, Serialize};

/// A change as an operator asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Its id: a change sent twice under one id is one change.
    pub id: String,
    /// Who asks for it.
    pub requested_by: String,
    /// The policy's text; none: back to the version before the active one.
    pub policy_text: Option<String>,
    /// The version that it was made from; if that is not active any more, the change is rejected.
    pub base_version: Option<Version>,
}

/// How far a change is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// Members validate it.
    Validating,
    /// It will become active as this version.
    Committed(Version),
    /// It became active as this version.
    Active(Version),
    /// It was never active, and never will be.
    Rejected(Vec<ValidationError>),
    /// It was never active: an operator withdrew it.
    Withdrawn,
}

impl ChangeOutcome {
    /// Whether nothing will change it any more.
    pub fn is_final(&self) -> bool {
        !matches!(
            self,
            ChangeOutcome::Validating | ChangeOutcome::Committed(_)
        )
    }
}

/// A change and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Its id.
    pub id: String,
    /// Who asked for it.
    pub requested_by: String,
    /// What became of it.
    pub outcome: ChangeOutcome,
}

/// The change under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingChange {
    /// Its id.
    pub id: String,
    /// Who asked for it.
    pub requested_by: String,
    /// The policy's text.
    pub policy_text: String,
    /// Whether it is committed: it will become active.
    pub committed: bool,
}

/// Why a change is rejected before any member has looked at it.
///
/// The texts are part of the replicated state: they must be the same at all versions of the program.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// Another change is under way.
    #[error("the change {id} by {requested_by} is under way; ask again when it is over")]
    ChangeUnderWay {
        /// The id of that change.
        id: String,
        /// Who asked for that change.
        requested_by: String,
    },
    /// The change was made from a version that is not active.
    #[error(
        "it was made from another version than {active}, which is in force; look at that and propose anew"
    )]
    StaleBase {
        /// The active version.
        active: Version,
    },
    /// The text is longer than [`MAX_TEXT_LENGTH`](crate::document::MAX_TEXT_LENGTH).
    #[error("the policy is too long")]
    TooLong,
    /// A rollback, and there is nothing to go back to.
    #[error("there is no version before the one in force")]
    NoEarlierVersion,
}
