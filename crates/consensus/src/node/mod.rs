//! A member's part in the council, on a thread of its own: as a decider, and as one that asks the leader.

mod leader_client;
mod membership;
mod peer_requests;
mod voter;

use crate::connection::client::{Link, Traffic};
use crate::connection::{server, Answer, Hello, Question, Status};
use crate::disk::SharedDisk;
use crate::log_entry::Command;
use crate::pre_vote::{self as elect, Elector};
use crate::raft::{lock, Applied, Links, Log, Raft};
use crate::store::{Marker, SharedStore, Store};
use crate::{Machine, Seat, Settings, SEATS};
pub use leader_client::Caller;
use openraft::storage::RaftLogStorage;
use openraft::{BasicNode, ServerState, SnapshotPolicy};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::mpsc as std_mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::{sleep, timeout, Instant};

const TICK: Duration = Duration::from_millis(25);
const AGAIN: Duration = Duration::from_millis(500); // between tries to open a disk that fails
const CONFIRM: Duration = Duration::from_millis(400); // for a majority to confirm the leader
const CALL: Duration = Duration::from_millis(350); // for a question of this member, over all deciders
const STEP: Duration = Duration::from_millis(250); // for one decider to answer it
const CHANGE: Duration = Duration::from_secs(10); // for a change of deciders to be agreed on
const QUESTIONS: usize = 4096; // that wait for the leader's confirmation
const MINE: usize = 64; // of this member that are out
const LOG_KEPT: u64 = 200; // entries behind a snapshot, for those that lag a little
const LOG_MOST: u64 = 500; // entries between snapshots

type Machines = Arc<Mutex<dyn Machine>>;

/// A member's part in the council.
pub struct Council {
    address: Option<SocketAddr>,
    questions: mpsc::Sender<(u64, Vec<u8>)>,
    answers: std_mpsc::Receiver<(u64, Option<Vec<u8>>)>,
    inner: Arc<Inner>,
}

struct Inner {
    settings: Settings,
    book: BTreeMap<Seat, SocketAddr>,
    machine: Machines,
    now: Mutex<State>,
    asks: mpsc::Sender<(Vec<u8>, oneshot::Sender<Answer>)>,
    marked: Notify,
    traffic: Arc<Traffic>,
}

#[derive(Default)]
struct State {
    store: Option<SharedStore>,
    raft: Option<Raft>,
    elector: Option<Elector>,
    founding: Option<u64>,
    disk: String,
}

impl Council {
    /// Takes part. A decider listens on `listener`; `wake` is called when an answer is there.
    pub fn start(
        settings: Settings,
        listener: Option<std::net::TcpListener>,
        disk: SharedDisk,
        machine: Machines,
        wake: impl Fn() + Send + 'static,
    ) -> io::Result<Council> {
        let address = listener.as_ref().map(|l| l.local_addr()).transpose()?;
        let (questions, mine) = mpsc::channel(MINE);
        let (told, answers) = std_mpsc::sync_channel(MINE * 2);
        let (asks, waiting) = mpsc::channel(QUESTIONS);
        let mut book = settings.deciders.clone();
        if let (Some(seat), Some(address)) = (settings.seat, address) {
            book.insert(seat, address);
        }
        let inner = Arc::new(Inner {
            settings,
            book,
            machine,
            now: Mutex::default(),
            asks,
            marked: Notify::new(),
            traffic: Arc::default(),
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = listener.map(|l| l.set_nonblocking(true).map(|()| l)).transpose()?;
        let of = inner.clone();
        let work = move || {
            runtime.block_on(async move {
                if let Some(listener) = listener {
                    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                    let (traffic, here, greeted) = (of.traffic.clone(), of.clone(), of.clone());
                    let stranger = move |hello: &Hello| {
                        let founding = lock(&greeted.now).founding;
                        hello.stranger(&greeted.settings.fleet, founding)
                    };
                    let answer = move |question| {
                        let here = here.clone();
                        async move { here.answer(question).await }
                    };
                    tokio::spawn(server::serve(listener, stranger, traffic, answer));
                    tokio::spawn(of.clone().batches(waiting));
                    tokio::spawn(of.clone().decide(disk));
                }
                call(of, mine, told, wake).await;
            });
        };
        std::thread::Builder::new().name("council".into()).spawn(work)?;
        Ok(Council { address, questions, answers, inner })
    }

    /// Where it listens, if it is a decider.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Asks the leader's machine; false if too many are out. The answer comes under the same tag.
    pub fn ask(&self, tag: u64, question: Vec<u8>) -> bool {
        self.questions.try_send((tag, question)).is_ok()
    }

    /// Answers that are there: `None` for a question that nobody answered in time.
    pub fn answers(&self) -> impl Iterator<Item = (u64, Option<Vec<u8>>)> + '_ {
        self.answers.try_iter()
    }

    /// How this decider is; as good as nothing for a member that decides nothing.
    pub fn status(&self) -> Status {
        self.inner.status()
    }
}

/// Carries this member's questions to whoever leads.
async fn call(
    inner: Arc<Inner>,
    mut mine: mpsc::Receiver<(u64, Vec<u8>)>,
    told: std_mpsc::SyncSender<(u64, Option<Vec<u8>>)>,
    wake: impl Fn(),
) {
    let mut caller = Caller::new(&inner.settings, &inner.book, inner.traffic.clone());
    while let Some((tag, question)) = mine.recv().await {
        let answer = caller.call(question, CALL).await.ok();
        if told.try_send((tag, answer)).is_err() {
            // The loop stands still: it will ask again, and this answer would be too old by then.
            continue;
        }
        wake();
    }
}

impl Inner {
    fn clock(&self) -> f64 {
        (self.settings.clock)()
    }

    fn raft(&self) -> Option<Raft> {
        lock(&self.now).raft.clone()
    }

    /// This decider's part, if it goes by this id.
    fn raft_as(&self, id: u64) -> Option<Raft> {
        self.raft().filter(|raft| raft.metrics().borrow().id == id)
    }

    fn link(&self, seat: Seat) -> Option<Link> {
        let hello = Hello::new(&self.settings.fleet, &self.settings.member);
        Some(Link::new(*self.book.get(&seat)?, hello, self.traffic.clone()))
    }
}

/// Where a log ends: term and index.
async fn last(store: &SharedStore) -> Option<(u64, u64)> {
    let state = Log(store.clone()).get_log_state().await.ok()?;
    Some(state.last_log_id.map_or((0, 0), |id| (id.leader_id.term, id.index)))
}
