//! openraft's network: one connection to each other voter.

use super::NodeId;
use crate::connection::client::{Connection, TrafficCounters};
use crate::connection::{ConnectionError, Handshake, PeerRequest, PeerResponse};
use crate::log_entry::TypeConfig;
use crate::settings::{slot_of, VoterSlot};
use openraft::error::{
    InstallSnapshotError, NetworkError, RPCError, RaftError, Timeout, Unreachable,
};
use openraft::network::{Backoff, RPCOption, RPCTypes, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::BasicNode;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Pause before a voter that could not be reached is tried again.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connects to the other voters.
#[derive(Clone)]
pub(crate) struct PeerNetwork {
    /// The handshake of this voter.
    pub handshake: Handshake,
    /// Counts the bytes.
    pub traffic: Arc<TrafficCounters>,
    /// The voters' addresses by slot: those of the settings, not those in the log.
    pub addresses: BTreeMap<VoterSlot, SocketAddr>,
}

/// Why a voter counts as unreachable.
#[derive(Debug, Error)]
enum PeerError {
    #[error("fleet.decider {0} is not in the file")]
    UnknownSlot(VoterSlot),
    #[error("{0}")]
    Rejected(String),
    #[error(transparent)]
    Connection(ConnectionError),
}

#[derive(Debug, Error)]
#[error("an answer to another question")]
struct UnexpectedResponse;

impl RaftNetworkFactory<TypeConfig> for PeerNetwork {
    type Network = Peer;

    async fn new_client(&mut self, target: NodeId, _: &BasicNode) -> Peer {
        let address = self.addresses.get(&slot_of(target)).copied();
        let connect =
            |address| Connection::new(address, self.handshake.clone(), self.traffic.clone());
        Peer {
            target,
            connection: address.map(connect),
        }
    }
}

/// Another voter.
pub(crate) struct Peer {
    target: NodeId,
    /// None if the settings have no address for its slot.
    connection: Option<Connection>,
}

type RpcResult<T, E = RaftError<NodeId>> = Result<T, RPCError<NodeId, BasicNode, E>>;

impl Peer {
    async fn call<E: Error>(
        &mut self,
        request: PeerRequest,
        action: RPCTypes,
        option: &RPCOption,
    ) -> RpcResult<PeerResponse, E> {
        let deadline = option.hard_ttl();
        // openraft pauses before it tries an unreachable voter again.
        let unreachable = |error: PeerError| RPCError::Unreachable(Unreachable::new(&error));
        let Some(connection) = self.connection.as_mut() else {
            return Err(unreachable(PeerError::UnknownSlot(slot_of(self.target))));
        };
        match connection.request(&request, deadline).await {
            Ok(PeerResponse::Rejected(reason)) => Err(unreachable(PeerError::Rejected(reason))),
            Ok(response) => Ok(response),
            Err(ConnectionError::Timeout) => Err(RPCError::Timeout(Timeout {
                action,
                id: self.target,
                target: self.target,
                timeout: deadline,
            })),
            Err(error) => Err(unreachable(PeerError::Connection(error))),
        }
    }
}

fn unexpected<T, E: Error>() -> RpcResult<T, E> {
    Err(RPCError::Network(NetworkError::new(&UnexpectedResponse)))
}

impl RaftNetwork<TypeConfig> for Peer {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<TypeConfig>,
        option: RPCOption,
    ) -> RpcResult<AppendEntriesResponse<NodeId>> {
        let request = PeerRequest::AppendEntries(self.target, rpc);
        match self.call(request, RPCTypes::AppendEntries, &option).await? {
            PeerResponse::AppendEntries(response) => Ok(response),
            _ => unexpected(),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<TypeConfig>,
        option: RPCOption,
    ) -> RpcResult<InstallSnapshotResponse<NodeId>, RaftError<NodeId, InstallSnapshotError>> {
        let request = PeerRequest::InstallSnapshot(self.target, rpc);
        match self
            .call(request, RPCTypes::InstallSnapshot, &option)
            .await?
        {
            PeerResponse::InstallSnapshot(response) => Ok(response),
            _ => unexpected(),
        }
    }

    async fn vote(
        &mut self,
        rpc: VoteRequest<NodeId>,
        option: RPCOption,
    ) -> RpcResult<VoteResponse<NodeId>> {
        let request = PeerRequest::Vote(self.target, rpc);
        match self.call(request, RPCTypes::Vote, &option).await? {
            PeerResponse::Vote(response) => Ok(response),
            _ => unexpected(),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(UNREACHABLE_RETRY_DELAY))
    }
}
