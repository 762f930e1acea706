//! Changes of a cluster's voters: bootstrap, readmission of a voter that lost its disk, and removal.

use super::error::MembershipError;
use super::voter::TICK_INTERVAL;
use super::Shared;
use crate::connection::{LogIndices, PeerRequest, PeerResponse, VoterStatus};
use crate::mutex::lock;
use crate::raft::Raft;
use crate::settings::slot_of;
use crate::store::{SharedStore, VoterIdentity};
use crate::{VoterSlot, SLOT_STRIDE};
use openraft::{BasicNode, RaftMetrics, ServerState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time limit for the commit of a membership change, and separately for a learner to catch up with the log.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit for another voter to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for another voter to store its identity, which includes an fsync.
const IDENTITY_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of ticks of [`TICK_INTERVAL`] that a voter has to start openraft after it got its identity: five seconds.
const MAX_START_TICKS: usize = 200;

impl Shared {
    /// Bootstraps the fleet: gives each voter of the settings its identity and initializes the Raft cluster.
    ///
    /// Every voter must be reachable and have an empty log. A bootstrap that failed midway can be repeated: it uses the
    /// cluster id that this voter has stored already.
    pub(super) async fn bootstrap(&self) -> Result<(), MembershipError> {
        let own_slot = self.settings.slot.ok_or(MembershipError::MemberNotAVoter)?;
        let own_identity = self.store()?.identity()?;
        if let Some(raft) = self.raft() {
            if raft.is_initialized().await? {
                return Err(MembershipError::AlreadyBootstrapped);
            }
        }
        let new_cluster_id = self.settings.seed ^ self.now().to_bits().rotate_left(17);
        let cluster_id = own_identity.map_or(new_cluster_id, |identity| identity.cluster_id);
        let mut members = BTreeMap::new();
        for (slot, address) in &self.addresses {
            members.insert(*slot, BasicNode::new(address));
            if *slot != own_slot {
                self.check_log_is_empty(*slot).await?;
            }
        }
        for slot in self.addresses.keys() {
            let identity = VoterIdentity {
                fleet: self.settings.fleet.clone(),
                cluster_id,
                node_id: *slot,
            };
            if *slot == own_slot {
                self.write_identity(identity).await?;
            } else {
                let written = self.write_identity_of(*slot, identity).await;
                written.map_err(MembershipError::during_bootstrap)?;
            }
        }
        let raft = self.wait_for_raft().await?;
        raft.initialize(members).await?;
        Ok(())
    }

    /// Checks that the voter at a slot is reachable and has an empty log.
    async fn check_log_is_empty(&self, slot: VoterSlot) -> Result<(), MembershipError> {
        let connection = self.connection(slot);
        let mut connection = connection.ok_or(MembershipError::UnknownSlot(slot))?;
        let request = PeerRequest::Status;
        match connection.request(&request, STATUS_TIMEOUT).await {
            Ok(PeerResponse::Status(status)) if status.log == LogIndices::default() => Ok(()),
            Ok(PeerResponse::Status(_)) => Err(MembershipError::VoterAlreadyBootstrapped(slot)),
            Ok(_) => Err(MembershipError::UnexpectedResponse(slot)),
            Err(source) => Err(MembershipError::VoterUnreachable { slot, source }),
        }
    }

    /// Returns the open store of this voter, or an error while the disk fails or no voter runs here.
    fn store(&self) -> Result<SharedStore, MembershipError> {
        let store = lock(&self.voter).store.clone();
        store.ok_or(MembershipError::StoreNotOpen)
    }

    /// Waits until this voter, whose identity has been stored, has started openraft.
    async fn wait_for_raft(&self) -> Result<Raft, MembershipError> {
        for _ in 0..MAX_START_TICKS {
            if let Some(raft) = self.raft() {
                return Ok(raft);
            }
            sleep(TICK_INTERVAL).await;
        }
        Err(MembershipError::StartTimedOut)
    }

    /// Returns openraft and its metrics if this voter is the leader.
    fn raft_if_leader(&self) -> Result<(Raft, RaftMetrics<u64, BasicNode>), MembershipError> {
        let raft = self.raft().ok_or(MembershipError::NotRunning)?;
        let metrics = raft.metrics().borrow().clone();
        if metrics.state != ServerState::Leader {
            let leader = metrics.current_leader.map(slot_of);
            return Err(MembershipError::NotLeader(leader));
        }
        Ok((raft, metrics))
    }

    /// Removes the voter at a slot from the cluster. Its data folder is left as it is, and it can be readmitted later.
    pub(super) async fn remove(&self, slot: VoterSlot) -> Result<(), MembershipError> {
        if self.settings.slot == Some(slot) {
            return Err(MembershipError::LeaderNotRemovable(slot));
        }
        let (raft, metrics) = self.raft_if_leader()?;
        let before: BTreeSet<u64> = metrics.membership_config.membership().voter_ids().collect();
        let after: BTreeSet<u64> = before
            .iter()
            .copied()
            .filter(|id| slot_of(*id) != slot)
            .collect();
        if after == before {
            return Err(MembershipError::NotAVoter(slot));
        }
        if after.len() < 2 {
            return Err(MembershipError::TooFewVoters(slot));
        }
        change_voters(&raft, after).await
    }

    /// Readmits a voter that lost its disk, under a new node id in the same slot.
    ///
    /// The old node id never votes again, because the votes that it gave are forgotten.
    /// Also admits a voter at a slot that had no voter before.
    pub(super) async fn readmit(&self, slot: VoterSlot) -> Result<(), MembershipError> {
        let (raft, metrics) = self.raft_if_leader()?;
        let own_identity = self.store()?.identity()?;
        let own_identity = own_identity.ok_or(MembershipError::NoIdentity)?;
        let status = self.status_of(slot).await?;
        let node_id = node_id_for_readmission(slot, &status, &metrics)?;
        let identity = VoterIdentity {
            node_id,
            ..own_identity
        };
        self.write_identity_of(slot, identity).await?;
        let address = self.addresses.get(&slot);
        let address = address.ok_or(MembershipError::UnknownSlot(slot))?;
        let learner = raft.add_learner(node_id, BasicNode::new(address), true);
        let caught_up = timeout(CHANGE_TIMEOUT, learner).await;
        caught_up.map_err(|_| MembershipError::CatchUpTimedOut)??;
        let before = metrics.membership_config.membership().voter_ids();
        let mut after: BTreeSet<u64> = before.filter(|id| slot_of(*id) != slot).collect();
        after.insert(node_id);
        change_voters(&raft, after).await
    }

    /// Requests the status of the voter at a slot.
    async fn status_of(&self, slot: VoterSlot) -> Result<Box<VoterStatus>, MembershipError> {
        let connection = self.connection(slot);
        let mut connection = connection.ok_or(MembershipError::UnknownSlot(slot))?;
        let request = PeerRequest::Status;
        match connection.request(&request, STATUS_TIMEOUT).await {
            Ok(PeerResponse::Status(status)) => Ok(status),
            Ok(_) => Err(MembershipError::UnexpectedResponse(slot)),
            Err(source) => Err(MembershipError::Connection { slot, source }),
        }
    }

    /// Sends an identity to the voter at a slot, which stores it and starts to take part in the consensus.
    async fn write_identity_of(
        &self,
        slot: VoterSlot,
        identity: VoterIdentity,
    ) -> Result<(), MembershipError> {
        let connection = self.connection(slot);
        let mut connection = connection.ok_or(MembershipError::UnknownSlot(slot))?;
        let request = PeerRequest::WriteIdentity(identity);
        match connection.request(&request, IDENTITY_TIMEOUT).await {
            Ok(PeerResponse::Done) => Ok(()),
            Ok(PeerResponse::Rejected(reason)) => Err(MembershipError::Rejected { slot, reason }),
            Ok(_) => Err(MembershipError::UnexpectedResponse(slot)),
            Err(source) => Err(MembershipError::Connection { slot, source }),
        }
    }
}

/// Returns the node id for a voter that is to be readmitted.
///
/// A voter whose disk stores a node id without a vote is readmitted under this id.
/// A voter whose disk stores no node id gets the next unused id of its slot.
fn node_id_for_readmission(
    slot: VoterSlot,
    status: &VoterStatus,
    metrics: &RaftMetrics<u64, BasicNode>,
) -> Result<u64, MembershipError> {
    let membership = metrics.membership_config.membership();
    match status.node_id {
        Some(id) if membership.voter_ids().any(|voter| voter == id) => {
            Err(MembershipError::AlreadyAVoter(slot))
        }
        Some(id) => Ok(id),
        None => {
            let known = membership.nodes().map(|(id, _)| *id);
            let highest = known.filter(|id| slot_of(*id) == slot).max();
            Ok(highest.unwrap_or(slot) + SLOT_STRIDE)
        }
    }
}

/// Replaces the cluster's voters by `voters`, and drops voters that are not among them from the membership.
async fn change_voters(raft: &Raft, voters: BTreeSet<u64>) -> Result<(), MembershipError> {
    let changed = timeout(CHANGE_TIMEOUT, raft.change_membership(voters, false)).await;
    changed.map_err(|_| MembershipError::ChangeTimedOut)??;
    Ok(())
}
