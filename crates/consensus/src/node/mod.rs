//! A member's part in the consensus, on a thread of its own: as a voter, and as a client of the leader.
//!
//! - `voter`: opens the disk, takes part, and stands aside while the disk fails.
//! - `peer_requests`: responses to other members.
//! - `confirmed_requests`: requests to the state machine that wait for a majority's confirmation.
//! - `membership`: bootstrapping, readmitting and removing voters.
//! - [`LeaderClient`]: requests to the leader.

#![allow(clippy::result_large_err)] // openraft's error types; none of these calls is frequent

mod confirmed_requests;
mod error;
mod leader_client;
mod membership;
mod peer_requests;
mod voter;

pub use error::{RequestError, VoterRequestError};
pub use leader_client::LeaderClient;

use crate::connection::client::{Connection, TrafficCounters};
use crate::connection::{server, Handshake, PeerResponse, VoterStatus};
use crate::disk::SharedDisk;
use crate::mutex::lock;
use crate::pre_vote::PreVote;
use crate::raft::{LogStorage, Raft};
use crate::store::SharedStore;
use crate::{Settings, StateMachine, VoterSlot};
use openraft::storage::RaftLogStorage;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc as std_mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};

/// Time for a member's own request, over all voters.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(350);
/// Requests that wait for the leader to be confirmed, at most.
const MAX_WAITING_REQUESTS: usize = 4096;
/// Requests of this member that have no response yet, at most.
const MAX_OWN_REQUESTS: usize = 64;
/// The thread's name.
const THREAD_NAME: &str = "consensus";

type SharedStateMachine = Arc<Mutex<dyn StateMachine>>;

/// A request to the leader's state machine.
struct TaggedRequest {
    tag: u64,
    body: Vec<u8>,
}

/// The outcome of a request that this member submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaggedResponse {
    /// The tag that the request was submitted under.
    pub tag: u64,
    /// The leader's response; none if no leader responded in time.
    pub body: Option<Vec<u8>>,
}

/// A request of any member that waits until this voter is confirmed as leader.
struct WaitingRequest {
    body: Vec<u8>,
    respond: oneshot::Sender<PeerResponse>,
}

/// A member's handle on the consensus. The thread behind it runs as long as the process.
pub struct ConsensusNode {
    address: Option<SocketAddr>,
    requests: mpsc::Sender<TaggedRequest>,
    responses: std_mpsc::Receiver<TaggedResponse>,
    shared: Arc<Shared>,
}

/// What the tasks of a member share.
struct Shared {
    settings: Settings,
    /// The voters' addresses by slot; this voter's is the one that it listens on.
    addresses: BTreeMap<VoterSlot, SocketAddr>,
    state_machine: SharedStateMachine,
    voter: Mutex<VoterState>,
    waiting: mpsc::Sender<WaitingRequest>,
    /// Notified when the folder gets its identity.
    identity_written: Notify,
    traffic: Arc<TrafficCounters>,
}

/// What a voter has open. All empty at a member that is no voter.
#[derive(Default)]
struct VoterState {
    store: Option<SharedStore>,
    raft: Option<Raft>,
    pre_vote: Option<PreVote>,
    cluster_id: Option<u64>,
    /// The state of the disk, in words for the operator.
    disk: String,
}

/// The ends of a node's channels that its thread holds.
struct ThreadChannels {
    requests: mpsc::Receiver<TaggedRequest>,
    responses: std_mpsc::SyncSender<TaggedResponse>,
    waiting: mpsc::Receiver<WaitingRequest>,
}

impl ConsensusNode {
    /// Takes part in the consensus. A voter listens on `listener`. `wake` is called after each response that
    /// [`responses`](ConsensusNode::responses) will return.
    ///
    /// # Errors
    /// If the listener, the runtime or the thread can't be set up.
    pub fn start(
        settings: Settings,
        listener: Option<TcpListener>,
        disk: SharedDisk,
        state_machine: Arc<Mutex<dyn StateMachine>>,
        wake: impl Fn() + Send + 'static,
    ) -> io::Result<ConsensusNode> {
        let address = listener.as_ref().map(TcpListener::local_addr).transpose()?;
        if let Some(listener) = &listener {
            listener.set_nonblocking(true)?;
        }
        let (requests, requests_of_member) = mpsc::channel(MAX_OWN_REQUESTS);
        let (responses_to_member, responses) = std_mpsc::sync_channel(MAX_OWN_REQUESTS * 2);
        let (waiting, waiting_requests) = mpsc::channel(MAX_WAITING_REQUESTS);
        let channels = ThreadChannels {
            requests: requests_of_member,
            responses: responses_to_member,
            waiting: waiting_requests,
        };
        let shared = Arc::new(Shared::new(settings, address, state_machine, waiting));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread_shared = shared.clone();
        let run = move || runtime.block_on(run(thread_shared, listener, disk, channels, wake));
        std::thread::Builder::new()
            .name(THREAD_NAME.into())
            .spawn(run)?;
        Ok(ConsensusNode {
            address,
            requests,
            responses,
            shared,
        })
    }

    /// The address that it listens on, if it is a voter.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Submits a request to the leader's state machine. Returns false if too many have no response yet.
    pub fn submit(&self, tag: u64, request: Vec<u8>) -> bool {
        let request = TaggedRequest { tag, body: request };
        self.requests.try_send(request).is_ok()
    }

    /// The responses that have come since the last call.
    pub fn responses(&self) -> impl Iterator<Item = TaggedResponse> + '_ {
        self.responses.try_iter()
    }

    /// The status of this voter; mostly empty at a member that is no voter.
    pub fn status(&self) -> VoterStatus {
        self.shared.status()
    }
}

/// The work of a member's thread.
async fn run(
    shared: Arc<Shared>,
    listener: Option<TcpListener>,
    disk: SharedDisk,
    channels: ThreadChannels,
    wake: impl Fn(),
) {
    if let Some(listener) = listener {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            return;
        };
        spawn_server(shared.clone(), listener);
        tokio::spawn(shared.clone().handle_confirmed(channels.waiting));
        tokio::spawn(shared.clone().run_voter(disk));
    }
    forward_requests(&shared, channels.requests, channels.responses, wake).await;
}

fn spawn_server(shared: Arc<Shared>, listener: tokio::net::TcpListener) {
    let traffic = shared.traffic.clone();
    let receiver = shared.clone();
    let mismatch = move |handshake: &Handshake| {
        let cluster_id = lock(&receiver.voter).cluster_id;
        handshake.mismatch(&receiver.settings.fleet, cluster_id)
    };
    let respond = move |request| {
        let shared = shared.clone();
        async move { shared.respond(request).await }
    };
    tokio::spawn(server::serve(listener, mismatch, traffic, respond));
}

/// Forwards this member's requests to the leader, one at a time.
async fn forward_requests(
    shared: &Shared,
    mut requests: mpsc::Receiver<TaggedRequest>,
    responses: std_mpsc::SyncSender<TaggedResponse>,
    wake: impl Fn(),
) {
    let traffic = shared.traffic.clone();
    let mut client = LeaderClient::new(&shared.settings, &shared.addresses, traffic);
    while let Some(TaggedRequest { tag, body }) = requests.recv().await {
        let body = client.request(body, REQUEST_TIMEOUT).await.ok();
        // A full channel means that nobody reads: the request is repeated later, this response would be too old by then.
        if responses.try_send(TaggedResponse { tag, body }).is_ok() {
            wake();
        }
    }
}

impl Shared {
    fn new(
        settings: Settings,
        own_address: Option<SocketAddr>,
        state_machine: SharedStateMachine,
        waiting: mpsc::Sender<WaitingRequest>,
    ) -> Shared {
        let mut addresses = settings.voters.clone();
        if let (Some(slot), Some(address)) = (settings.slot, own_address) {
            addresses.insert(slot, address);
        }
        Shared {
            settings,
            addresses,
            state_machine,
            voter: Mutex::default(),
            waiting,
            identity_written: Notify::new(),
            traffic: Arc::default(),
        }
    }

    fn now(&self) -> f64 {
        (self.settings.clock)()
    }

    fn raft(&self) -> Option<Raft> {
        lock(&self.voter).raft.clone()
    }

    /// A new connection to the voter at a slot; none if the settings have no address for it.
    fn connection(&self, slot: VoterSlot) -> Option<Connection> {
        let address = *self.addresses.get(&slot)?;
        let handshake = Handshake::new(&self.settings.fleet, &self.settings.member);
        Some(Connection::new(address, handshake, self.traffic.clone()))
    }
}

/// Where a log ends. Of two logs, the one with the greater end is more up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogEnd {
    term: u64,
    index: u64,
}

/// The end of a store's log; none if the store is broken.
async fn log_end(store: &SharedStore) -> Option<LogEnd> {
    let state = LogStorage(store.clone()).get_log_state().await.ok()?;
    let (term, index) = match state.last_log_id {
        Some(id) => (id.leader_id.term, id.index),
        None => (0, 0),
    };
    Some(LogEnd { term, index })
}
