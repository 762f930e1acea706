//! Errors of requests to voters, of running a voter, and of membership changes. Operators' commands print the messages.

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
    #[error("no decider responded in time")]
    NoResponse,
    /// No voter that responded was confirmed as leader by a majority.
    #[error("no decider is confirmed as leader by a majority")]
    NoLeader,
    /// A voter rejected the request.
    #[error("decider {slot}: {reason}")]
    Rejected {
        /// The voter's slot.
        slot: VoterSlot,
        /// The reason that the voter gave.
        reason: String,
    },
    /// A voter sent a response that does not match the request.
    #[error("decider {0} sent a response that does not match the request")]
    UnexpectedResponse(VoterSlot),
    /// A voter could not be reached.
    #[error("decider {slot}: {source}")]
    Connection {
        /// The voter's slot.
        slot: VoterSlot,
        /// The error of the connection.
        source: ConnectionError,
    },
}

/// Why a request to one voter got no response.
#[derive(Debug, Error)]
pub enum VoterRequestError {
    /// The settings have no voter at this slot.
    #[error("decider {0} is not in the settings")]
    UnknownSlot(VoterSlot),
    /// The voter could not be reached.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
}

/// Why a voter could not start, or stopped running.
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
    IdentityMismatch {
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

/// Why a bootstrap of the fleet, or the readmission or removal of a voter, failed.
#[derive(Debug, Error)]
pub(super) enum MembershipError {
    #[error("this member is not a decider")]
    MemberNotAVoter,
    #[error("this decider's data folder is not open")]
    StoreNotOpen,
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the marker names another seat or fleet")]
    IdentityMismatch,
    #[error("the fleet is founded already")]
    AlreadyBootstrapped,
    #[error("decider {0} already belongs to a fleet")]
    VoterAlreadyBootstrapped(VoterSlot),
    #[error("decider {slot}: {source}; all deciders must be reachable to found a fleet")]
    VoterUnreachable {
        slot: VoterSlot,
        source: ConnectionError,
    },
    #[error("decider {slot}: {source}; run `beamgap fleet found` again")]
    BootstrapInterrupted {
        slot: VoterSlot,
        source: ConnectionError,
    },
    #[error("decider {slot}: {reason}")]
    Rejected { slot: VoterSlot, reason: String },
    #[error("decider {0} sent a response that does not match the request")]
    UnexpectedResponse(VoterSlot),
    #[error("decider {slot}: {source}")]
    Connection {
        slot: VoterSlot,
        source: ConnectionError,
    },
    #[error("this decider did not start within five seconds")]
    StartTimedOut,
    #[error("decider {0} is not in the settings")]
    UnknownSlot(VoterSlot),
    #[error("this decider does not run: its folder has no marker, or its disk failed")]
    NotRunning,
    #[error("this decider's folder has no marker")]
    NoIdentity,
    #[error("this decider is not the leader; leader: {}", .0.map_or("nobody".to_owned(), |slot| slot.to_string()))]
    NotLeader(Option<VoterSlot>),
    #[error("decider {0} is the leader and can't be removed; stop it first, so that another becomes leader")]
    LeaderNotRemovable(VoterSlot),
    #[error("decider {0} is not a voter")]
    NotAVoter(VoterSlot),
    #[error("without decider {0} a single voter would be left; readmit another decider first")]
    TooFewVoters(VoterSlot),
    #[error("decider {0} is a voter already, under the id in its folder")]
    AlreadyAVoter(VoterSlot),
    #[error("the decider did not catch up with the log within ten seconds")]
    CatchUpTimedOut,
    #[error("the change of deciders was not committed within ten seconds")]
    ChangeTimedOut,
    #[error(transparent)]
    Fatal(#[from] Fatal<u64>),
    #[error(transparent)]
    Initialize(#[from] RaftError<u64, InitializeError<u64, BasicNode>>),
    #[error(transparent)]
    Change(#[from] RaftError<u64, ClientWriteError<u64, BasicNode>>),
}

impl MembershipError {
    /// Converts a connection error into that of an interrupted bootstrap, which the operator can repeat.
    pub(super) fn during_bootstrap(self) -> MembershipError {
        match self {
            MembershipError::Connection { slot, source } => {
                MembershipError::BootstrapInterrupted { slot, source }
            }
            other => other,
        }
    }
}
