//! How a member takes part in the consensus.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// The number of a voter in the operator's file, from 1.
pub type VoterSlot = u64;

/// Distance between two node ids of one slot. A voter that lost its disk gets a new id in its old slot, so an id is a
/// slot plus a multiple of this.
pub const SLOT_STRIDE: u64 = 1000;

/// The slot that a node id belongs to.
pub(crate) fn slot_of(node_id: u64) -> VoterSlot {
    node_id % SLOT_STRIDE
}

/// A clock: milliseconds since some moment, counting the time that the machine was suspended.
pub type Clock = Arc<dyn Fn() -> f64 + Send + Sync>;

/// Bugs that tests inject on purpose, to see that they are found. None by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct InjectedBugs {
    /// The leader responds without being confirmed by a majority.
    pub unconfirmed_leader: bool,
    /// Writes are acknowledged before they are synced.
    pub unsynced_writes: bool,
}

/// How a member takes part.
#[derive(Clone)]
pub struct Settings {
    /// The fleet's name. Members of another fleet are rejected.
    pub fleet: String,
    /// This member's name.
    pub member: String,
    /// The voters' addresses by slot, the same at all members.
    pub voters: BTreeMap<VoterSlot, SocketAddr>,
    /// This member's slot, if it is a voter.
    pub slot: Option<VoterSlot>,
    /// A voter's data folder.
    pub data_dir: Option<PathBuf>,
    /// Seed of election timeouts and of the cluster id.
    pub seed: u64,
    /// The clock.
    pub clock: Clock,
    /// For tests.
    pub injected_bugs: InjectedBugs,
}
