//! The responses of a voter to other members: Raft RPCs, pre-votes, identities, status and membership changes.

use super::error::MembershipError;
use super::{log_end, LogEnd, Shared, WaitingRequest};
use crate::connection::{LogIndices, PeerRequest, PeerResponse, VoterStatus};
use crate::log_entry::TypeConfig;
use crate::mutex::lock;
use crate::raft::Raft;
use crate::settings::slot_of;
use crate::store::{self, VoterIdentity};
use openraft::raft::{AppendEntriesRequest, AppendEntriesResponse};
use std::fmt::Display;
use tokio::sync::oneshot;

/// Reason for rejecting a Raft RPC that is addressed to a node id which does not run here.
const NOT_THIS_NODE: &str =
    "this node id does not run here: no marker in the folder, a failed disk, or another id in the seat";
/// Reason for rejecting a request while the queue of waiting requests is full.
const TOO_MANY_REQUESTS: &str = "too many requests are waiting";

/// Converts the result of an operation to [`PeerResponse::Done`], or to a rejection with the error text.
fn done_or_rejected<E: Display>(result: Result<(), E>) -> PeerResponse {
    match result {
        Ok(()) => PeerResponse::Done,
        Err(error) => PeerResponse::Rejected(error.to_string()),
    }
}

/// Converts a result of openraft to the response that `response` makes of it, or to a rejection with the error text.
fn response_or_rejected<T, E: Display>(
    result: Result<T, E>,
    response: impl FnOnce(T) -> PeerResponse,
) -> PeerResponse {
    match result {
        Ok(value) => response(value),
        Err(error) => PeerResponse::Rejected(error.to_string()),
    }
}

impl Shared {
    /// Handles the request of another member and returns the response.
    pub(super) async fn respond(&self, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::AppendEntries(to, rpc) => match self.raft_with_id(to) {
                Some(raft) => self.append_entries(&raft, rpc).await,
                None => PeerResponse::Rejected(NOT_THIS_NODE.to_owned()),
            },
            PeerRequest::Vote(to, rpc) => match self.raft_with_id(to) {
                Some(raft) => response_or_rejected(raft.vote(rpc).await, PeerResponse::Vote),
                None => PeerResponse::Rejected(NOT_THIS_NODE.to_owned()),
            },
            PeerRequest::InstallSnapshot(to, rpc) => match self.raft_with_id(to) {
                Some(raft) => response_or_rejected(
                    raft.install_snapshot(rpc).await,
                    PeerResponse::InstallSnapshot,
                ),
                None => PeerResponse::Rejected(NOT_THIS_NODE.to_owned()),
            },
            PeerRequest::PreVote { term, index } => {
                PeerResponse::PreVote(self.grants_pre_vote(LogEnd { term, index }).await)
            }
            PeerRequest::StateMachine(body) => self.enqueue(body).await,
            PeerRequest::Status => PeerResponse::Status(Box::new(self.status())),
            PeerRequest::WriteIdentity(identity) => {
                done_or_rejected(self.write_identity(identity).await)
            }
            PeerRequest::Bootstrap => done_or_rejected(self.bootstrap().await),
            PeerRequest::Readmit(slot) => done_or_rejected(self.readmit(slot).await),
            PeerRequest::Remove(slot) => done_or_rejected(self.remove(slot).await),
        }
    }

    /// Returns this voter's openraft if it runs under `node_id`.
    fn raft_with_id(&self, node_id: u64) -> Option<Raft> {
        let raft = self.raft()?;
        let is_this_node = raft.metrics().borrow().id == node_id;
        is_this_node.then_some(raft)
    }

    async fn append_entries(
        &self,
        raft: &Raft,
        rpc: AppendEntriesRequest<TypeConfig>,
    ) -> PeerResponse {
        let result = raft.append_entries(rpc).await;
        if let Ok(response) = &result {
            // `HigherVote` means that the sender's term is outdated: it is not the leader, so this is no heartbeat.
            if !matches!(response, AppendEntriesResponse::HigherVote(_)) {
                self.heartbeat_received(self.now());
            }
        }
        response_or_rejected(result, PeerResponse::AppendEntries)
    }

    /// Returns whether this voter grants a pre-vote to a voter whose log ends at `candidate`.
    ///
    /// The conditions are that this voter has no leader, and that its own log is not more up to date.
    async fn grants_pre_vote(&self, candidate: LogEnd) -> bool {
        let store = {
            let voter = lock(&self.voter);
            if voter.raft.is_none() {
                return false;
            }
            voter.store.clone()
        };
        let Some(store) = store else { return false };
        let now = self.now();
        let has_leader = match &lock(&self.voter).pre_vote {
            Some(pre_vote) => pre_vote.has_leader(now),
            // Before the first tick this voter can't know whether there is a leader, so it grants nothing.
            None => true,
        };
        if has_leader {
            return false;
        }
        let own = log_end(&store).await;
        own.is_some_and(|own| candidate >= own)
    }

    /// Queues a request until a majority confirms this voter as leader, and waits for the response.
    async fn enqueue(&self, body: Vec<u8>) -> PeerResponse {
        let (respond, response) = oneshot::channel();
        if self
            .waiting
            .try_send(WaitingRequest { body, respond })
            .is_err()
        {
            return PeerResponse::Rejected(TOO_MANY_REQUESTS.to_owned());
        }
        response.await.unwrap_or(PeerResponse::NotLeader(None))
    }

    /// Stores an identity in this voter's data folder, and wakes the task that waits for it.
    pub(super) async fn write_identity(
        &self,
        identity: VoterIdentity,
    ) -> Result<(), MembershipError> {
        let is_own_slot = Some(slot_of(identity.node_id)) == self.settings.slot;
        if identity.fleet != self.settings.fleet || !is_own_slot {
            return Err(MembershipError::IdentityMismatch);
        }
        let store = lock(&self.voter).store.clone();
        let store = store.ok_or(MembershipError::StoreNotOpen)?;
        store::write_identity(&store, identity).await?;
        self.identity_written.notify_one();
        Ok(())
    }

    /// Returns this voter's status: roles `blank` and `broken` mean that openraft does not run.
    pub(super) fn status(&self) -> VoterStatus {
        let (raft, store, disk) = {
            let voter = lock(&self.voter);
            (voter.raft.clone(), voter.store.clone(), voter.disk.clone())
        };
        let role = if store.is_some() { "blank" } else { "broken" };
        let mut status = VoterStatus {
            member: self.settings.member.clone(),
            slot: self.settings.slot.unwrap_or_default(),
            role: role.to_owned(),
            disk,
            traffic: self.traffic.totals(),
            ..VoterStatus::default()
        };
        if let Some(store) = store {
            status.disk_ok = store.is_healthy();
            status.writes = store.writes();
            let identity = store.identity().ok().flatten();
            status.node_id = identity.map(|identity| identity.node_id);
        }
        if let Some(raft) = raft {
            add_raft_status(&mut status, &raft);
        }
        status
    }
}

/// Adds the fields that openraft's metrics provide to a status.
fn add_raft_status(status: &mut VoterStatus, raft: &Raft) {
    let metrics = raft.metrics().borrow().clone();
    status.role = format!("{:?}", metrics.state).to_lowercase();
    status.term = metrics.current_term;
    status.leader = metrics.current_leader;
    status.log = LogIndices {
        last: metrics.last_log_index.unwrap_or(0),
        applied: metrics.last_applied.map_or(0, |id| id.index),
    };
    status.voters = metrics.membership_config.membership().voter_ids().collect();
    status.quorum_ms = metrics.millis_since_quorum_ack;
}
