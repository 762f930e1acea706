//! Errors of a member's part in the consensus. Their messages are printed by operators' commands.

use crate::connection::ConnectionError;
use crate::raft::OpenError;
use crate::store::{StoreError, VoterIdentity};
use crate::VoterSlot;
use openraft::error::{ClientWriteError, Fatal, InitializeError, RaftError};
use openraft::{BasicNode, ConfigError};
use std::path::PathBuf;
use thiserror::Error;

/// Why a request to the leader got no response.
#[derive(Debug, Error)]
pub enum RequestError {
    /// No voter responded in time.
    #[error("no decider answered")]
    NoResponse,
    /// The voters that responded know no leader that a majority confirms.
    #[error("no decider leads with a majority")]
    NoLeader,
    /// A voter rejected the request.
    #[error("decider {slot}: {reason}")]
    Rejected {
        /// The voter's slot.
        slot: VoterSlot,
        /// What it said.
        reason: String,
    },
    /// A voter responded to another request.
    #[error("decider {0} answered another question")]
    UnexpectedResponse(VoterSlot),
    /// A voter could not be reached.
    #[error("decider {slot}: {source}")]
    Connection {
        /// The voter's slot.
        slot: VoterSlot,
        /// Why.
        source: ConnectionError,
    },
}

/// Why a request to one voter got no response.
#[derive(Debug, Error)]
pub enum VoterRequestError {
    /// The settings have no voter at this slot.
    #[error("decider {0} is not in the file")]
    UnknownSlot(VoterSlot),
    /// The voter could not be reached.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
}

/// Why a voter does not take part, or no longer does.
#[derive(Debug, Error)]
pub(super) enum VoterError {
    #[error("fleet.folder is missing")]
    NoDataDir,
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the disk failed")]
    DiskFailed,
    #[error(
        "fleet.folder {}: belongs to decider {} of fleet {}; give this decider its own folder",
        folder.display(), crate::settings::slot_of(found.node_id), found.fleet
    )]
    OtherIdentity {
        folder: PathBuf,
        found: VoterIdentity,
    },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Open(#[from] OpenError),
    #[error(transparent)]
    Raft(#[from] Fatal<u64>),
}

/// Why voters can't be bootstrapped, readmitted or removed.
#[derive(Debug, Error)]
pub(super) enum MembershipError {
    #[error("it is no decider")]
    NoVoter,
    #[error("its disk is not open")]
    StoreNotOpen,
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the marker is for another seat or fleet")]
    OtherIdentity,
    #[error("the fleet is founded already")]
    AlreadyBootstrapped,
    #[error("decider {0} belongs to a founded fleet already")]
    VoterAlreadyBootstrapped(VoterSlot),
    #[error("decider {slot}: {source}; all must be there to found a fleet")]
    VoterMissing {
        slot: VoterSlot,
        source: ConnectionError,
    },
    #[error("decider {slot}: {source}; found again")]
    BootstrapInterrupted {
        slot: VoterSlot,
        source: ConnectionError,
    },
    #[error("decider {slot}: {reason}")]
    Rejected { slot: VoterSlot, reason: String },
    #[error("decider {0} answered another question")]
    UnexpectedResponse(VoterSlot),
    #[error("decider {slot}: {source}")]
    Connection {
        slot: VoterSlot,
        source: ConnectionError,
    },
    #[error("the decider did not start in five seconds")]
    StartTimedOut,
    #[error("decider {0} is not in the file")]
    UnknownSlot(VoterSlot),
    #[error("its folder is blank or broken")]
    NotTakingPart,
    #[error("its folder is blank")]
    NoIdentity,
    #[error("decider {} leads: ask that one", .0.map_or("nobody".to_owned(), |slot| slot.to_string()))]
    NotLeader(Option<VoterSlot>),
    #[error("decider {0} leads and can't be removed; end it first, then another leads")]
    LeaderNotRemovable(VoterSlot),
    #[error("decider {0} has no vote")]
    NotAVoter(VoterSlot),
    #[error("without decider {0} a single one would be left; readmit another first")]
    TooFewVoters(VoterSlot),
    #[error("decider {0} has its disk: it is no blank")]
    HasItsDisk(VoterSlot),
    #[error("it did not catch up in ten seconds")]
    CatchUpTimedOut,
    #[error("the change was not agreed on in ten seconds")]
    ChangeTimedOut,
    #[error(transparent)]
    Fatal(#[from] Fatal<u64>),
    #[error(transparent)]
    Initialize(#[from] RaftError<u64, InitializeError<u64, BasicNode>>),
    #[error(transparent)]
    Change(#[from] RaftError<u64, ClientWriteError<u64, BasicNode>>),
}

impl MembershipError {
    /// The error of a bootstrap that other voters have begun to follow.
    pub(super) fn while_bootstrapping(self) -> MembershipError {
        match self {
            MembershipError::Connection { slot, source } => {
                MembershipError::BootstrapInterrupted { slot, source }
            }
            other => other,
        }
    }
}
