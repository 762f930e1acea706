//! The messages between members. The encoding is positional, so the order of variants and fields is part of the format.

use super::HandshakeMismatch;
use crate::log_entry::TypeConfig;
use crate::store::VoterIdentity;
use crate::VoterSlot;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};

/// Version of the message format. A handshake with another version is rejected, with an error that names both.
pub const FORMAT_VERSION: u16 = 1;
/// The first bytes of each handshake, which identify the protocol.
const MAGIC: [u8; 4] = *b"bgc\x01";

/// The first message on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handshake {
    magic: [u8; 4],
    /// The version of the message format that the sender uses.
    pub format_version: u16,
    /// The name of the sender's fleet.
    pub fleet: String,
    /// The sender's member name.
    pub member: String,
    /// The cluster id of a voter, so that two fleets with the same name don't mix their logs.
    pub cluster_id: Option<u64>,
}

impl Handshake {
    /// Creates a handshake without a cluster id, for a client or for a voter that belongs to no cluster yet.
    pub fn new(fleet: &str, member: &str) -> Handshake {
        Handshake {
            magic: MAGIC,
            format_version: FORMAT_VERSION,
            fleet: fleet.to_owned(),
            member: member.to_owned(),
            cluster_id: None,
        }
    }

    /// Returns why a voter of this fleet and cluster rejects the handshake, or `None` if the voter accepts it.
    ///
    /// Cluster ids are compared only if both sides have one.
    pub fn mismatch(&self, fleet: &str, cluster_id: Option<u64>) -> Option<HandshakeMismatch> {
        if self.magic != MAGIC {
            return Some(HandshakeMismatch::Protocol);
        }
        if self.format_version != FORMAT_VERSION {
            return Some(HandshakeMismatch::FormatVersion(self.format_version));
        }
        if self.fleet != fleet {
            return Some(HandshakeMismatch::Fleet {
                theirs: self.fleet.clone(),
                ours: fleet.to_owned(),
            });
        }
        match (self.cluster_id, cluster_id) {
            (Some(theirs), Some(ours)) if theirs != ours => {
                Some(HandshakeMismatch::Cluster(fleet.to_owned()))
            }
            _ => None,
        }
    }
}

/// A request to a voter.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// An AppendEntries RPC for the given node id. Another node in the same slot must not respond to it.
    AppendEntries(u64, AppendEntriesRequest<TypeConfig>),
    /// A RequestVote RPC for the given node id.
    Vote(u64, VoteRequest<u64>),
    /// An InstallSnapshot RPC for the given node id.
    InstallSnapshot(u64, InstallSnapshotRequest<TypeConfig>),
    /// Asks for a pre-vote for the sender, whose log ends at the given term and index.
    PreVote {
        /// The term of the sender's last log entry.
        term: u64,
        /// The index of the sender's last log entry.
        index: u64,
    },
    /// A request to the state machine, which only the leader handles.
    StateMachine(Vec<u8>),
    /// Asks for the status of the receiving voter.
    Status,
    /// Stores an identity in the receiver's data folder, after which the receiver starts to run as a voter.
    WriteIdentity(VoterIdentity),
    /// Bootstraps the fleet. The receiving voter coordinates the bootstrap.
    Bootstrap,
    /// Readmits the voter at a slot, which lost its disk, under a new node id. Only the leader does this.
    Readmit(VoterSlot),
    /// Removes the voter at a slot from the cluster. Only the leader does this.
    Remove(VoterSlot),
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The response to an AppendEntries RPC.
    AppendEntries(AppendEntriesResponse<u64>),
    /// The response to a RequestVote RPC.
    Vote(VoteResponse<u64>),
    /// The response to an InstallSnapshot RPC.
    InstallSnapshot(InstallSnapshotResponse<u64>),
    /// Whether the receiver grants the pre-vote.
    PreVote(bool),
    /// The serialized response of the state machine.
    StateMachine(Vec<u8>),
    /// The responding voter is not the leader. The value is the slot of the presumed leader, if one is known.
    NotLeader(Option<VoterSlot>),
    /// The status of the responding voter.
    Status(Box<VoterStatus>),
    /// The requested operation was carried out.
    Done,
    /// The requested operation was rejected or failed, for the given reason.
    Rejected(String),
}

/// The indices of the last stored and the last applied entry in a voter's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogIndices {
    /// The index of the last log entry, or 0 if the log is empty.
    pub last: u64,
    /// The index of the last entry applied to the state machine, or 0 if none was applied.
    pub applied: u64,
}

/// Bytes that a member has transferred over its connections, without the handshakes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficTotals {
    /// Number of bytes read.
    pub read: u64,
    /// Number of bytes written.
    pub written: u64,
}

/// The status of a voter.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The voter's member name.
    pub member: String,
    /// The voter's slot, or 0 for a member that is not a voter.
    pub slot: VoterSlot,
    /// The voter's node id, or `None` while the data folder has no identity.
    pub node_id: Option<u64>,
    /// `leader`, `follower`, `candidate`, `learner`, `shutdown`, `blank` (no identity) or `broken` (no open store).
    pub role: String,
    /// The current Raft term.
    pub term: u64,
    /// The node id of the current leader, if the voter knows one.
    pub leader: Option<u64>,
    /// The state of the voter's disk in words: `good`, or the text of the last error.
    pub disk: String,
    /// Whether the store is open and no write has failed.
    pub disk_ok: bool,
    /// The indices of the last stored and the last applied log entry.
    pub log: LogIndices,
    /// Number of writes to the store since the voter opened it. Each write is one fsynced transaction.
    pub writes: u64,
    /// The node ids of all voters in the membership that the voter knows.
    pub voters: Vec<u64>,
    /// Milliseconds since a majority last acknowledged this voter as leader. `None` if it is not the leader.
    pub quorum_ms: Option<u64>,
    /// The bytes read and written over the voter's connections.
    pub traffic: TrafficTotals,
}
