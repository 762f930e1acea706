//! The network of openraft, with one connection to each other voter.

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

/// Delay before openraft sends to an unreachable voter again.
const UNREACHABLE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Creates the connections to the other voters.
#[derive(Clone)]
pub(crate) struct PeerNetwork {
    /// The handshake that this voter sends on each connection.
    pub handshake: Handshake,
    /// Counters of the bytes read and written on the connections.
    pub traffic: Arc<TrafficCounters>,
    /// The voters' addresses by slot. They come from the settings; the addresses in the membership log are not used.
    pub addresses: BTreeMap<VoterSlot, SocketAddr>,
}

/// Why a voter is reported to openraft as unreachable.
#[derive(Debug, Error)]
enum PeerError {
    #[error("decider {0} is not in the settings")]
    UnknownSlot(VoterSlot),
    #[error("{0}")]
    Rejected(String),
    #[error(transparent)]
    Connection(ConnectionError),
}

/// The error for a response whose type does not match the request.
#[derive(Debug, Error)]
#[error("the response does not match the request")]
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

/// openraft's client for one other voter.
pub(crate) struct Peer {
    target: NodeId,
    /// The connection to the voter, or `None` if the settings have no address for the voter's slot.
    connection: Option<Connection>,
}

type RpcResult<T, E = RaftError<NodeId>> = Result<T, RPCError<NodeId, BasicNode, E>>;

impl Peer {
    /// Sends a request and converts connection errors and rejections to errors of openraft.
    async fn call<E: Error>(
        &mut self,
        request: PeerRequest,
        action: RPCTypes,
        option: &RPCOption,
    ) -> RpcResult<PeerResponse, E> {
        let max_wait = option.hard_ttl();
        // After `Unreachable`, openraft waits for the delay of `backoff` before it sends to the voter again.
        let unreachable = |error: PeerError| RPCError::Unreachable(Unreachable::new(&error));
        let Some(connection) = self.connection.as_mut() else {
            return Err(unreachable(PeerError::UnknownSlot(slot_of(self.target))));
        };
        match connection.request(&request, max_wait).await {
            Ok(PeerResponse::Rejected(reason)) => Err(unreachable(PeerError::Rejected(reason))),
            Ok(response) => Ok(response),
            Err(ConnectionError::Timeout) => Err(RPCError::Timeout(Timeout {
                action,
                id: self.target,
                target: self.target,
                timeout: max_wait,
            })),
            Err(error) => Err(unreachable(PeerError::Connection(error))),
        }
    }
}

/// Returns the error for a response whose type does not match the request.
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
