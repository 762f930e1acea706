//! The messages between members. They are encoded by position: the order of variants and fields is the wire format.

use super::HandshakeMismatch;
use crate::log_entry::TypeConfig;
use crate::store::VoterIdentity;
use crate::VoterSlot;
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use serde::{Deserialize, Serialize};

/// The version of the message format. A member of another one is rejected, with a message that names both.
pub const FORMAT_VERSION: u16 = 1;
/// The first bytes of a connection.
const MAGIC: [u8; 4] = *b"bgc\x01";

/// The first message on a connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handshake {
    magic: [u8; 4],
    /// The version of the messages that follow.
    pub format_version: u16,
    /// The fleet's name.
    pub fleet: String,
    /// The sender's name.
    pub member: String,
    /// The cluster that a voter belongs to: two fleets of one name must not mix their logs.
    pub cluster_id: Option<u64>,
}

impl Handshake {
    /// A handshake of a member that belongs to no cluster yet, or only sends requests to the leader.
    pub fn new(fleet: &str, member: &str) -> Handshake {
        Handshake {
            magic: MAGIC,
            format_version: FORMAT_VERSION,
            fleet: fleet.to_owned(),
            member: member.to_owned(),
            cluster_id: None,
        }
    }

    /// Why a voter of this fleet and cluster rejects the sender, if it does.
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
    /// Of consensus, to the voter with this node id: another one in its slot must not respond for it.
    AppendEntries(u64, AppendEntriesRequest<TypeConfig>),
    /// Of consensus, to the voter with this node id.
    Vote(u64, VoteRequest<u64>),
    /// Of consensus, to the voter with this node id.
    InstallSnapshot(u64, InstallSnapshotRequest<TypeConfig>),
    /// Whether the voter would vote for one whose log ends at this term and index.
    PreVote {
        /// The term of the last entry.
        term: u64,
        /// The index of the last entry.
        index: u64,
    },
    /// To the state machine of the leader.
    StateMachine(Vec<u8>),
    /// The voter's status.
    Status,
    /// Adopt this identity, and take part in the consensus from now on.
    WriteIdentity(VoterIdentity),
    /// Bootstrap the fleet from the receiving voter.
    Bootstrap,
    /// Give the voter at a slot that lost its disk a new node id.
    Readmit(VoterSlot),
    /// Remove the voter at a slot.
    Remove(VoterSlot),
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// Of consensus.
    AppendEntries(AppendEntriesResponse<u64>),
    /// Of consensus.
    Vote(VoteResponse<u64>),
    /// Of consensus.
    InstallSnapshot(InstallSnapshotResponse<u64>),
    /// Whether the pre-vote is granted.
    PreVote(bool),
    /// Of the state machine.
    StateMachine(Vec<u8>),
    /// This voter is not the leader; the one at that slot may be.
    NotLeader(Option<VoterSlot>),
    /// The voter's status.
    Status(Box<VoterStatus>),
    /// Done.
    Done,
    /// It was not done, and why.
    Rejected(String),
}

/// The indices of a voter's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogIndices {
    /// Of the last entry.
    pub last: u64,
    /// Of the last entry that was applied to the state machine.
    pub applied: u64,
}

/// Bytes over the connections of a voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrafficTotals {
    /// Bytes read.
    pub read: u64,
    /// Bytes written.
    pub written: u64,
}

/// The status of a voter.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// Its name.
    pub member: String,
    /// Its slot.
    pub slot: VoterSlot,
    /// Its node id; none while its folder has no identity.
    pub node_id: Option<u64>,
    /// `leader`, `follower`, `candidate`, `learner`, `blank` (no identity) or `broken` (its disk failed).
    pub role: String,
    /// The current term.
    pub term: u64,
    /// The leader's node id.
    pub leader: Option<u64>,
    /// The state of its disk, in words.
    pub disk: String,
    /// Whether its disk takes writes.
    pub disk_ok: bool,
    /// Its log.
    pub log: LogIndices,
    /// Writes since it opened its disk.
    pub writes: u64,
    /// Node ids of all voters.
    pub voters: Vec<u64>,
    /// Milliseconds since a majority acknowledged it, if it leads.
    pub quorum_ms: Option<u64>,
    /// Its traffic.
    pub traffic: TrafficTotals,
}
