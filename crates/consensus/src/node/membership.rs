//! The voters of a cluster: bootstrapping, readmitting one that lost its disk, removing one.

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

/// Time for a change of voters to be committed, and for a learner to catch up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a voter to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a voter to write its identity.
const IDENTITY_TIMEOUT: Duration = Duration::from_secs(2);
/// Ticks that a voter with an identity has to start: five seconds.
const START_TICKS: usize = 200;

impl Shared {
    /// Bootstraps the fleet: every voter of the settings must be there, and blank or of this bootstrap.
    pub(super) async fn bootstrap(&self) -> Result<(), MembershipError> {
        let own_slot = self.settings.slot.ok_or(MembershipError::NoVoter)?;
        let own_identity = lock(self.store()?.as_ref()).identity()?;
        if let Some(raft) = self.raft() {
            if raft.is_initialized().await? {
                return Err(MembershipError::AlreadyBootstrapped);
            }
        }
        let drawn = self.settings.seed ^ self.now().to_bits().rotate_left(17);
        let cluster_id = own_identity.map_or(drawn, |identity| identity.cluster_id);
        let mut members = BTreeMap::new();
        for (slot, address) in &self.addresses {
            members.insert(*slot, BasicNode::new(address));
            if *slot != own_slot {
                self.check_is_blank(*slot).await?;
            }
        }
        for slot in self.addresses.keys() {
            let identity = VoterIdentity {
                fleet: self.settings.fleet.clone(),
                cluster_id,
                node_id: *slot,
            };
            if *slot == own_slot {
                self.write_identity(&identity)?;
            } else {
                let written = self.write_identity_of(*slot, identity).await;
                written.map_err(MembershipError::while_bootstrapping)?;
            }
        }
        let raft = self.wait_for_raft().await?;
        raft.initialize(members).await?;
        Ok(())
    }

    /// Checks that the voter at a slot is there and has an empty log.
    async fn check_is_blank(&self, slot: VoterSlot) -> Result<(), MembershipError> {
        let connection = self.connection(slot);
        let mut connection = connection.ok_or(MembershipError::UnknownSlot(slot))?;
        let request = PeerRequest::Status;
        match connection.request(&request, STATUS_TIMEOUT).await {
            Ok(PeerResponse::Status(status)) if status.log == LogIndices::default() => Ok(()),
            Ok(PeerResponse::Status(_)) => Err(MembershipError::VoterAlreadyBootstrapped(slot)),
            Ok(_) => Err(MembershipError::UnexpectedResponse(slot)),
            Err(source) => Err(MembershipError::VoterMissing { slot, source }),
        }
    }

    /// The open store of this voter.
    fn store(&self) -> Result<SharedStore, MembershipError> {
        let store = lock(&self.voter).store.clone();
        store.ok_or(MembershipError::StoreNotOpen)
    }

    /// Waits until this voter, which has got its identity, has started.
    async fn wait_for_raft(&self) -> Result<Raft, MembershipError> {
        for _ in 0..START_TICKS {
            if let Some(raft) = self.raft() {
                return Ok(raft);
            }
            sleep(TICK_INTERVAL).await;
        }
        Err(MembershipError::StartTimedOut)
    }

    /// This voter's openraft and its metrics, if it leads.
    fn leading(&self) -> Result<(Raft, RaftMetrics<u64, BasicNode>), MembershipError> {
        let raft = self.raft().ok_or(MembershipError::NotTakingPart)?;
        let metrics = raft.metrics().borrow().clone();
        if metrics.state != ServerState::Leader {
            let leader = metrics.current_leader.map(slot_of);
            return Err(MembershipError::NotLeader(leader));
        }
        Ok((raft, metrics))
    }

    /// Removes the voter at a slot. It keeps its folder, and can be readmitted.
    pub(super) async fn remove(&self, slot: VoterSlot) -> Result<(), MembershipError> {
        if self.settings.slot == Some(slot) {
            return Err(MembershipError::LeaderNotRemovable(slot));
        }
        let (raft, metrics) = self.leading()?;
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

    /// Gives a voter that lost its disk a new node id in its slot; its old id never votes again. Also admits one whose
    /// slot had no voter before.
    pub(super) async fn readmit(&self, slot: VoterSlot) -> Result<(), MembershipError> {
        let (raft, metrics) = self.leading()?;
        let own = lock(self.store()?.as_ref()).identity()?;
        let own = own.ok_or(MembershipError::NoIdentity)?;
        let status = self.status_of(slot).await?;
        let node_id = readmitted_id(slot, &status, &metrics)?;
        let identity = VoterIdentity { node_id, ..own };
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

    /// Gives another voter its identity.
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

/// The node id that a readmitted voter gets: its own if its disk has one that has no vote, else the next of its slot.
fn readmitted_id(
    slot: VoterSlot,
    status: &VoterStatus,
    metrics: &RaftMetrics<u64, BasicNode>,
) -> Result<u64, MembershipError> {
    let membership = metrics.membership_config.membership();
    match status.node_id {
        Some(id) if membership.voter_ids().any(|voter| voter == id) => {
            Err(MembershipError::HasItsDisk(slot))
        }
        Some(id) => Ok(id),
        None => {
            let known = membership.nodes().map(|(id, _)| *id);
            let newest = known.filter(|id| slot_of(*id) == slot).max();
            Ok(newest.unwrap_or(slot) + SLOT_STRIDE)
        }
    }
}

async fn change_voters(raft: &Raft, voters: BTreeSet<u64>) -> Result<(), MembershipError> {
    let changed = timeout(CHANGE_TIMEOUT, raft.change_membership(voters, false)).await;
    changed.map_err(|_| MembershipError::ChangeTimedOut)??;
    Ok(())
}
