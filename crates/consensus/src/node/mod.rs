//! A member of the fleet, which runs on its own thread as a client of the leader and, optionally, as a voter.
//!
//! - `voter`: opens the disk, runs openraft, and restarts both after a disk failure.
//! - `peer_requests`: responds to the requests of other members.
//! - `confirmed_requests`: handles requests to the state machine after a majority has confirmed the leader.
//! - `proposals`: proposes commands, each of them once at a time.
//! - `membership`: bootstraps the fleet, and readmits and removes voters.
//! - [`LeaderClient`]: sends requests to the leader.

#![allow(clippy::result_large_err)] // openraft's error types are large; these functions are called rarely

mod confirmed_requests;
mod error;
mod leader_client;
mod membership;
mod peer_requests;
mod proposals;
mod voter;

pub use error::{RequestError, VoterRequestError};
pub use leader_client::LeaderClient;

use self::proposals::Proposals;
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

/// Time limit for a request of this member, including attempts at several voters.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(350);
/// Maximum number of requests that wait at this voter for the confirmation of its leadership.
const MAX_WAITING_REQUESTS: usize = 4096;
/// Maximum number of requests of this member that wait to be sent to the leader.
const MAX_OWN_REQUESTS: usize = 64;
/// Name of the thread that runs a member.
const THREAD_NAME: &str = "consensus";

type SharedStateMachine = Arc<Mutex<dyn StateMachine>>;

/// A request of this member to the leader's state machine.
struct TaggedRequest {
    tag: u64,
    body: Vec<u8>,
}

/// The outcome of a request that this member submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaggedResponse {
    /// The tag that the caller passed to [`ConsensusNode::submit`].
    pub tag: u64,
    /// The leader's response, or `None` if no leader responded in time.
    pub body: Option<Vec<u8>>,
}

/// A request of any member that waits at this voter until a majority confirms the voter as leader.
struct WaitingRequest {
    body: Vec<u8>,
    respond: oneshot::Sender<PeerResponse>,
}

/// The handle of a member. Its thread keeps running until the process ends, even if the handle is dropped.
pub struct ConsensusNode {
    address: Option<SocketAddr>,
    requests: mpsc::Sender<TaggedRequest>,
    responses: std_mpsc::Receiver<TaggedResponse>,
    shared: Arc<Shared>,
}

/// State that is shared between the handle and the tasks of a member.
struct Shared {
    settings: Settings,
    /// The addresses of all voters by slot. For this voter it is the address of its listener.
    addresses: BTreeMap<VoterSlot, SocketAddr>,
    state_machine: SharedStateMachine,
    voter: Mutex<VoterState>,
    waiting: mpsc::Sender<WaitingRequest>,
    /// Notified when the first attempt to open the store has ended.
    store_tried: Notify,
    /// Notified when an identity has been written to the data folder.
    identity_written: Notify,
    traffic: Arc<TrafficCounters>,
}

/// The open resources of a voter. All fields are empty at a member that is not a voter.
#[derive(Default)]
struct VoterState {
    store: Option<SharedStore>,
    raft: Option<Raft>,
    pre_vote: Option<PreVote>,
    /// The commands that `raft` has been given.
    proposals: Proposals,
    cluster_id: Option<u64>,
    /// The disk's state as shown to the operator: `good`, the text of the last error, or empty before the first open.
    disk: String,
}

/// The ends of the channels that the member's thread uses.
struct ThreadChannels {
    requests: mpsc::Receiver<TaggedRequest>,
    responses: std_mpsc::SyncSender<TaggedResponse>,
    waiting: mpsc::Receiver<WaitingRequest>,
}

impl ConsensusNode {
    /// Starts the thread of a member. A voter passes the `listener` for connections from other members.
    ///
    /// The thread calls `on_response` whenever [`responses`](ConsensusNode::responses) has another response to return.
    ///
    /// # Errors
    /// If the listener can't be configured, or the async runtime or the thread can't be created.
    pub fn start(
        settings: Settings,
        listener: Option<TcpListener>,
        disk: SharedDisk,
        state_machine: Arc<Mutex<dyn StateMachine>>,
        on_response: impl Fn() + Send + 'static,
    ) -> io::Result<ConsensusNode> {
        let address = listener.as_ref().map(TcpListener::local_addr).transpose()?;
        if let Some(listener) = &listener {
            listener.set_nonblocking(true)?;
        }
        let (requests, request_receiver) = mpsc::channel(MAX_OWN_REQUESTS);
        let (response_sender, responses) = std_mpsc::sync_channel(MAX_OWN_REQUESTS * 2);
        let (waiting, waiting_requests) = mpsc::channel(MAX_WAITING_REQUESTS);
        let channels = ThreadChannels {
            requests: request_receiver,
            responses: response_sender,
            waiting: waiting_requests,
        };
        let shared = Arc::new(Shared::new(settings, address, state_machine, waiting));
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let thread_shared = shared.clone();
        let run =
            move || runtime.block_on(run(thread_shared, listener, disk, channels, on_response));
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

    /// Returns the address of the listener, or `None` if this member is not a voter.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Queues a request to the leader's state machine. Returns `false` if the queue of unsent requests is full.
    pub fn submit(&self, tag: u64, request: Vec<u8>) -> bool {
        let request = TaggedRequest { tag, body: request };
        self.requests.try_send(request).is_ok()
    }

    /// Returns the responses that arrived since the last call, without waiting for more.
    pub fn responses(&self) -> impl Iterator<Item = TaggedResponse> + '_ {
        self.responses.try_iter()
    }

    /// Returns the status of this voter. Most fields are empty at a member that is not a voter.
    pub fn status(&self) -> VoterStatus {
        self.shared.status()
    }
}

/// Runs the tasks of a member on its thread.
async fn run(
    shared: Arc<Shared>,
    listener: Option<TcpListener>,
    disk: SharedDisk,
    channels: ThreadChannels,
    on_response: impl Fn(),
) {
    if let Some(listener) = listener {
        let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
            return;
        };
        spawn_server(shared.clone(), listener);
        tokio::spawn(shared.clone().handle_waiting_requests(channels.waiting));
        tokio::spawn(shared.clone().run_voter(disk));
    }
    forward_requests(&shared, channels.requests, channels.responses, on_response).await;
}

/// Starts the task that accepts connections from other members and responds to their requests.
///
/// It starts with the first attempt to open the store behind it: before, this voter could only say that it is not open.
fn spawn_server(shared: Arc<Shared>, listener: tokio::net::TcpListener) {
    let traffic = shared.traffic.clone();
    let starting = shared.clone();
    let receiver = shared.clone();
    let mismatch = move |handshake: &Handshake| {
        let cluster_id = lock(&receiver.voter).cluster_id;
        handshake.mismatch(&receiver.settings.fleet, cluster_id)
    };
    let respond = move |request| {
        let shared = shared.clone();
        async move { shared.respond(request).await }
    };
    tokio::spawn(async move {
        starting.store_tried.notified().await;
        server::serve(listener, mismatch, traffic, respond).await;
    });
}

/// Forwards this member's requests to the leader, one at a time.
async fn forward_requests(
    shared: &Shared,
    mut requests: mpsc::Receiver<TaggedRequest>,
    responses: std_mpsc::SyncSender<TaggedResponse>,
    on_response: impl Fn(),
) {
    let traffic = shared.traffic.clone();
    let mut client = LeaderClient::new(&shared.settings, &shared.addresses, traffic);
    while let Some(TaggedRequest { tag, body }) = requests.recv().await {
        let body = client.request(body, REQUEST_TIMEOUT).await.ok();
        // The response is dropped if the channel is full, because the caller is not reading. The caller sends the
        // request again later, and this response would be outdated by then.
        if responses.try_send(TaggedResponse { tag, body }).is_ok() {
            on_response();
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
            store_tried: Notify::new(),
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

    /// Creates a connection to the voter at a slot. Returns `None` if the settings have no address for the slot.
    fn connection(&self, slot: VoterSlot) -> Option<Connection> {
        let address = *self.addresses.get(&slot)?;
        let handshake = Handshake::new(&self.settings.fleet, &self.settings.member);
        Some(Connection::new(address, handshake, self.traffic.clone()))
    }
}

/// Term and index of the last log entry. A log is more up to date than another if its `LogEnd` is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LogEnd {
    term: u64,
    index: u64,
}

/// Returns the end of a store's log, or `None` if the store is broken.
async fn log_end(store: &SharedStore) -> Option<LogEnd> {
    let state = LogStorage(store.clone()).get_log_state().await.ok()?;
    let (term, index) = match state.last_log_id {
        Some(id) => (id.leader_id.term, id.index),
        None => (0, 0),
    };
    Some(LogEnd { term, index })
}
