//! The settings of a member of the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// The number of a voter, counted from 1. The operator's settings file calls it `seat`.
pub type VoterSlot = u64;

/// Difference between successive Raft node ids of one voter slot: a node id is the slot plus a multiple of the stride.
/// A voter that lost its disk gets a new node id in the same slot, because the votes of its old id are forgotten.
pub const SLOT_STRIDE: u64 = 1000;

/// Returns the voter slot that a node id belongs to.
pub(crate) fn slot_of(node_id: u64) -> VoterSlot {
    node_id % SLOT_STRIDE
}

/// A clock that returns milliseconds since an arbitrary moment, including the time for which the machine was suspended.
pub type Clock = Arc<dyn Fn() -> f64 + Send + Sync>;

/// Deliberate bugs that tests switch on, to check that the tests detect them. All are off by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct InjectedBugs {
    /// The leader handles requests without a confirmation of its leadership by a majority.
    pub unconfirmed_leader: bool,
    /// The store acknowledges most writes without an fsync.
    pub unsynced_writes: bool,
}

/// The settings of a member.
#[derive(Clone)]
pub struct Settings {
    /// The fleet's name. A voter rejects connections from members of a fleet with another name.
    pub fleet: String,
    /// This member's name, which it sends in the handshake of each connection.
    pub member: String,
    /// The addresses of all voters by slot. All members must be configured with the same addresses.
    pub voters: BTreeMap<VoterSlot, SocketAddr>,
    /// This member's voter slot, or `None` if the member is not a voter.
    pub slot: Option<VoterSlot>,
    /// The data folder of a voter. A member that is not a voter needs none.
    pub data_dir: Option<PathBuf>,
    /// Seed of the random election timeouts and of the cluster id that a bootstrap creates.
    pub seed: u64,
    /// The clock for election timeouts and for the `now` argument of the state machine's methods.
    pub clock: Clock,
    /// Deliberate bugs for tests.
    pub injected_bugs: InjectedBugs,
}
