//! A member's part in the council, on a thread of its own: as a decider, and as one that asks the leader.

use crate::disk::SharedDisk;
use crate::elect::{self, Elector};
use crate::link::client::{Link, Traffic};
use crate::link::{server, Answer, Hello, Question, Status};
use crate::raft::{lock, Applied, Command, Links, Log, Raft};
use crate::store::{Marker, SharedStore, Store};
use crate::{Machine, Seat, Settings, SEATS};
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

/// Finds the leader, and asks it.
pub struct Caller {
    links: BTreeMap<Seat, Link>,
    leader: Option<Seat>,
    next: usize,
}

impl Caller {
    /// One that knows where the deciders are.
    pub fn new(settings: &Settings, book: &BTreeMap<Seat, SocketAddr>, traffic: Arc<Traffic>) -> Caller {
        let link = |address: &SocketAddr| {
            Link::new(*address, Hello::new(&settings.fleet, &settings.member), traffic.clone())
        };
        let links = book.iter().map(|(seat, address)| (*seat, link(address))).collect();
        // Not all members begin with the same decider.
        Caller { links, leader: None, next: settings.seed as usize }
    }

    /// Asks the leader's machine, whoever that is.
    pub async fn call(&mut self, question: Vec<u8>, most: Duration) -> Result<Vec<u8>, String> {
        let until = Instant::now() + most;
        let mut why = "no decider answered".to_owned();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || self.links.is_empty() {
                return Err(why);
            }
            let seat = self.leader.take().unwrap_or_else(|| {
                self.next = self.next.wrapping_add(1);
                let at = self.next % self.links.len();
                self.links.keys().nth(at).copied().unwrap_or_default()
            });
            let Some(link) = self.links.get_mut(&seat) else { continue };
            match link.ask(&Question::Machine(question.clone()), left.min(STEP)).await {
                Ok(Answer::Machine(answer)) => {
                    self.leader = Some(seat);
                    return Ok(answer);
                }
                Ok(Answer::Elsewhere(other)) => {
                    self.leader = other.filter(|other| *other != seat);
                    why = "no decider leads with a majority".to_owned();
                }
                Ok(Answer::No(no)) => why = format!("decider {seat}: {no}"),
                Ok(_) => why = format!("decider {seat} answered another question"),
                Err(e) => why = format!("decider {seat}: {e}"),
            }
            if self.leader.is_none() {
                sleep(Duration::from_millis(15).min(left)).await;
            }
        }
    }

    /// Asks one decider directly.
    pub async fn ask(&mut self, seat: Seat, question: &Question, most: Duration) -> Result<Answer, String> {
        let link = self.links.get_mut(&seat).ok_or_else(|| format!("decider {seat} is not in the file"))?;
        link.ask(question, most).await.map_err(|e| e.to_string())
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

    // ---- as a decider ----

    /// Opens the disk and takes part, for ever: whenever the disk fails, stands aside and opens it anew.
    async fn decide(self: Arc<Inner>, disk: SharedDisk) {
        loop {
            if let Err(why) = self.sit(&disk).await {
                tracing::error!(target: "fleet", "disk: {why}; stands aside: neither votes nor leads");
                lock(&self.now).disk = why;
            }
            lock(&self.machine).role(self.clock(), false);
            let raft = {
                let mut now = lock(&self.now);
                (now.store, now.elector) = (None, None);
                now.raft.take()
            };
            if let Some(raft) = raft {
                // What hangs in its end holds nothing that counts: its store is broken or gone.
                let _ = timeout(Duration::from_secs(2), raft.shutdown()).await;
            }
            sleep(AGAIN).await;
        }
    }

    async fn sit(&self, disk: &SharedDisk) -> Result<(), String> {
        let settings = &self.settings;
        let folder = settings.folder.as_ref().ok_or("fleet.folder is missing")?;
        let store = Store::open(folder, disk, !settings.plants.unsynced).map_err(|e| e.to_string())?;
        let store: SharedStore = Arc::new(Mutex::new(store));
        {
            let mut now = lock(&self.now);
            (now.store, now.disk) = (Some(store.clone()), "good".to_owned());
        }
        let marker = loop {
            let marker = lock(&store).marker().map_err(|e| e.to_string())?;
            if let Some(marker) = marker {
                break marker;
            }
            if !lock(&store).is_whole() {
                return Err("the disk failed".to_owned());
            }
            let _ = timeout(AGAIN, self.marked.notified()).await; // Looked for again in any case.
        };
        if marker.fleet != settings.fleet || Some(marker.id % SEATS) != settings.seat {
            return Err(format!(
                "fleet.folder {}: belongs to decider {} of fleet {}; give this decider its own folder",
                folder.display(),
                marker.id % SEATS,
                marker.fleet
            ));
        }
        let config = openraft::Config {
            cluster_name: settings.fleet.clone(),
            heartbeat_interval: elect::HEARTBEAT_MS,
            election_timeout_min: 300,
            election_timeout_max: 500,
            max_payload_entries: 100,
            snapshot_policy: SnapshotPolicy::LogsSinceLast(LOG_MOST),
            max_in_snapshot_log_to_keep: LOG_KEPT,
            snapshot_max_chunk_size: 256 * 1024,
            // When to stand is decided here, by a majority's word beforehand.
            enable_elect: false,
            ..openraft::Config::default()
        };
        let config = Arc::new(config.validate().map_err(|e| e.to_string())?);
        lock(&self.now).founding = Some(marker.founding);
        let mut hello = Hello::new(&settings.fleet, &settings.member);
        hello.founding = Some(marker.founding);
        let links = Links { hello, traffic: self.traffic.clone(), book: self.book.clone() };
        let applied = Applied::open(store.clone(), self.machine.clone())?;
        let raft = Raft::new(marker.id, config, links, Log(store.clone()), applied).await;
        let raft = raft.map_err(|e| e.to_string())?;
        lock(&self.now).raft = Some(raft.clone());
        tracing::info!(target: "fleet", "decides: seat={} id={}", marker.id % SEATS, marker.id);
        self.lead(&raft, &store, marker.id).await
    }

    /// Looks after the decider's part, until its disk fails.
    async fn lead(&self, raft: &Raft, store: &SharedStore, id: u64) -> Result<(), String> {
        let (words, mut heard) = mpsc::channel::<(u64, bool)>(64);
        let mut others: BTreeSet<u64> = BTreeSet::new();
        loop {
            let now = self.clock();
            let metrics = raft.metrics().borrow().clone();
            if let Err(e) = &metrics.running_state {
                return Err(e.to_string());
            }
            if !lock(store).is_whole() {
                return Err("the disk failed".to_owned());
            }
            let voters: BTreeSet<u64> = metrics.membership_config.membership().voter_ids().collect();
            let among = voters.contains(&id);
            let rest: BTreeSet<u64> = voters.into_iter().filter(|other| *other != id).collect();
            if lock(&self.now).elector.is_none() || rest != others {
                lock(&self.now).elector =
                    Some(Elector::new(now, rest.len(), self.settings.seed ^ now.to_bits()));
                others = rest;
            }
            let leads = metrics.state == ServerState::Leader && metrics.current_leader == Some(id);
            lock(&self.machine).role(now, leads);
            let mut act = None;
            if leads {
                if metrics.millis_since_quorum_ack.is_some_and(|ms| (ms as f64) < elect::QUIET_MS) {
                    lock(&self.now).elector.iter_mut().for_each(|e| e.heard(now));
                }
                let commands = lock(&self.machine).tick(now);
                self.commit(raft, commands);
            } else if among {
                act = lock(&self.now).elector.as_mut().and_then(|e| e.tick(now));
            }
            while let Ok((round, yes)) = heard.try_recv() {
                act = lock(&self.now).elector.as_mut().and_then(|e| e.word(now, round, yes)).or(act);
            }
            match act.filter(|_| !leads) {
                Some(elect::Act::Stand) => {
                    // Where it can't be asked for, the library has ended: the next turn sees that.
                    let _ = raft.trigger().elect().await;
                }
                Some(elect::Act::Ask(round)) => self.ask_words(store, round, &others, &words).await,
                None => {}
            }
            sleep(TICK).await;
        }
    }

    async fn ask_words(
        &self,
        store: &SharedStore,
        round: u64,
        others: &BTreeSet<u64>,
        words: &mpsc::Sender<(u64, bool)>,
    ) {
        let Some((term, index)) = last(store).await else { return };
        for other in others {
            let Some(mut link) = self.link(other % SEATS) else { continue };
            let words = words.clone();
            tokio::spawn(async move {
                let answer = link.ask(&Question::Word { term, index }, Duration::from_millis(200)).await;
                // Nobody waits any more where this can't be told.
                let _ = words.try_send((round, matches!(answer, Ok(Answer::Word(true)))));
            });
        }
    }

    fn commit(&self, raft: &Raft, commands: Vec<Vec<u8>>) {
        for command in commands {
            let raft = raft.clone();
            tokio::spawn(async move {
                // A command that is lost with its leader is asked for again by whoever wanted it.
                let _ = timeout(Duration::from_secs(2), raft.client_write(Command(command))).await;
            });
        }
    }

    /// Answers questions to the machine together: one confirmation by a majority for all that wait.
    async fn batches(self: Arc<Inner>, mut waiting: mpsc::Receiver<(Vec<u8>, oneshot::Sender<Answer>)>) {
        while let Some(first) = waiting.recv().await {
            let mut batch = vec![first];
            while let Ok(more) = waiting.try_recv() {
                batch.push(more);
            }
            let elsewhere = match self.confirmed().await {
                Ok(raft) => {
                    for (question, to) in batch {
                        let (answer, commands) = lock(&self.machine).answer(self.clock(), &question);
                        self.commit(&raft, commands);
                        let _ = to.send(Answer::Machine(answer)); // Whoever asked may be gone.
                    }
                    continue;
                }
                Err(elsewhere) => elsewhere,
            };
            for (_, to) in batch {
                let _ = to.send(Answer::Elsewhere(elsewhere));
            }
        }
    }

    /// Confirms, after the call, that this decider leads and has applied all that was committed before; else who may.
    async fn confirmed(&self) -> Result<Raft, Option<Seat>> {
        let raft = self.raft().ok_or(None)?;
        let (state, id, leader) = {
            let metrics = raft.metrics().borrow().clone();
            (metrics.state, metrics.id, metrics.current_leader)
        };
        if state != ServerState::Leader {
            return Err(leader.filter(|l| *l != id).map(|l| l % SEATS));
        }
        if self.settings.plants.unconfirmed {
            return Ok(raft);
        }
        match timeout(CONFIRM, raft.ensure_linearizable()).await {
            Ok(Ok(_)) => Ok(raft),
            _ => Err(None),
        }
    }

    // ---- what others ask ----

    async fn answer(&self, question: Question) -> Answer {
        let no = |e: &dyn std::fmt::Display| Answer::No(e.to_string());
        let blank = || Answer::No("its folder is blank or broken, or it lost what this id knew".to_owned());
        match question {
            Question::Append(to, rpc) => {
                let Some(raft) = self.raft_as(to) else { return blank() };
                match raft.append_entries(rpc).await {
                    Ok(answer) => {
                        if !matches!(answer, openraft::raft::AppendEntriesResponse::HigherVote(_)) {
                            let now = self.clock();
                            lock(&self.now).elector.iter_mut().for_each(|e| e.heard(now));
                        }
                        Answer::Append(answer)
                    }
                    Err(e) => no(&e),
                }
            }
            Question::Vote(to, rpc) => match self.raft_as(to) {
                None => blank(),
                Some(raft) => raft.vote(rpc).await.map_or_else(|e| no(&e), Answer::Vote),
            },
            Question::Snapshot(to, rpc) => match self.raft_as(to) {
                None => blank(),
                Some(raft) => raft.install_snapshot(rpc).await.map_or_else(|e| no(&e), Answer::Snapshot),
            },
            Question::Word { term, index } => Answer::Word(self.word(term, index).await),
            Question::Machine(question) => {
                let (to, answer) = oneshot::channel();
                if self.asks.try_send((question, to)).is_err() {
                    return Answer::No("too many questions wait".to_owned());
                }
                answer.await.unwrap_or(Answer::Elsewhere(None))
            }
            Question::Status => Answer::Status(Box::new(self.status())),
            Question::Mark(marker) => match self.mark(&marker) {
                Ok(()) => Answer::Done,
                Err(e) => Answer::No(e),
            },
            Question::Found => self.found().await.map_or_else(Answer::No, |()| Answer::Done),
            Question::Readmit(seat) => self.readmit(seat).await.map_or_else(Answer::No, |()| Answer::Done),
            Question::Remove(seat) => self.remove(seat).await.map_or_else(Answer::No, |()| Answer::Done),
        }
    }

    /// Whether this one gives its word for another leader: it hears none, and has no more in its log.
    async fn word(&self, term: u64, index: u64) -> bool {
        let (raft, store) = {
            let now = lock(&self.now);
            (now.raft.is_some(), now.store.clone())
        };
        let Some(store) = store.filter(|_| raft) else { return false };
        let now = self.clock();
        let hears = lock(&self.now).elector.as_ref().is_none_or(|e| e.hears(now));
        !hears && last(&store).await.is_some_and(|own| (term, index) >= own)
    }

    fn mark(&self, marker: &Marker) -> Result<(), String> {
        if marker.fleet != self.settings.fleet || Some(marker.id % SEATS) != self.settings.seat {
            return Err("the marker is for another seat or fleet".to_owned());
        }
        let store = lock(&self.now).store.clone().ok_or("its disk is not open")?;
        lock(&store).mark(marker).map_err(|e| e.to_string())?;
        self.marked.notify_one();
        Ok(())
    }

    /// Founds the fleet: every decider of the file must be there and blank, or marked by this founding.
    async fn found(&self) -> Result<(), String> {
        let own = self.settings.seat.ok_or("it is no decider")?;
        let store = lock(&self.now).store.clone().ok_or("its disk is not open")?;
        let marker = lock(&store).marker().map_err(|e| e.to_string())?;
        if let Some(raft) = self.raft() {
            if raft.is_initialized().await.map_err(|e| e.to_string())? {
                return Err("the fleet is founded already".to_owned());
            }
        }
        let drawn = self.settings.seed ^ self.clock().to_bits().rotate_left(17);
        let founding = marker.map_or(drawn, |marker| marker.founding);
        let mut members = BTreeMap::new();
        for (seat, address) in &self.book {
            members.insert(*seat, BasicNode::new(address));
            if *seat == own {
                continue;
            }
            let mut link = self.link(*seat).ok_or("no link")?;
            match link.ask(&Question::Status, Duration::from_secs(1)).await {
                Ok(Answer::Status(status)) if status.log == (0, 0) => {}
                Ok(Answer::Status(_)) => {
                    return Err(format!("decider {seat} belongs to a founded fleet already"))
                }
                Ok(_) => return Err(format!("decider {seat} answered another question")),
                Err(e) => return Err(format!("decider {seat}: {e}; all must be there to found a fleet")),
            }
        }
        for seat in self.book.keys() {
            let marker = Marker { fleet: self.settings.fleet.clone(), founding, id: *seat };
            if *seat == own {
                self.mark(&marker)?;
                continue;
            }
            let mut link = self.link(*seat).ok_or("no link")?;
            match link.ask(&Question::Mark(marker), Duration::from_secs(2)).await {
                Ok(Answer::Done) => {}
                Ok(Answer::No(e)) => return Err(format!("decider {seat}: {e}")),
                Ok(_) => return Err(format!("decider {seat} answered another question")),
                Err(e) => return Err(format!("decider {seat}: {e}; found again")),
            }
        }
        let raft = self.wait_raft().await?;
        raft.initialize(members).await.map_err(|e| e.to_string())
    }

    async fn wait_raft(&self) -> Result<Raft, String> {
        for _ in 0..200 {
            if let Some(raft) = self.raft() {
                return Ok(raft);
            }
            sleep(TICK).await;
        }
        Err("the decider did not start in five seconds".to_owned())
    }

    /// This decider's part, if it leads.
    fn leading(&self) -> Result<(Raft, openraft::RaftMetrics<u64, BasicNode>), String> {
        let raft = self.raft().ok_or("its folder is blank or broken")?;
        let metrics = raft.metrics().borrow().clone();
        if metrics.state != ServerState::Leader {
            let leader = metrics.current_leader.map_or("nobody".to_owned(), |l| (l % SEATS).to_string());
            return Err(format!("decider {leader} leads: ask that one"));
        }
        Ok((raft, metrics))
    }

    /// Takes the decider at a seat out of those that decide, one at a time. It keeps its folder, and can be readmitted.
    async fn remove(&self, seat: Seat) -> Result<(), String> {
        if self.settings.seat == Some(seat) {
            return Err(format!(
                "decider {seat} leads and can't be removed; end it first, then another leads"
            ));
        }
        let (raft, metrics) = self.leading()?;
        let before: BTreeSet<u64> = metrics.membership_config.membership().voter_ids().collect();
        let to: BTreeSet<u64> = before.iter().copied().filter(|id| id % SEATS != seat).collect();
        if to == before {
            return Err(format!("decider {seat} has no vote"));
        }
        if to.len() < 2 {
            return Err(format!("without decider {seat} a single one would be left; readmit another first"));
        }
        let changed = timeout(CHANGE, raft.change_membership(to, false)).await;
        changed.map_err(|_| "the change was not agreed on in ten seconds")?.map_err(|e| e.to_string())?;
        Ok(())
    }

    /// Gives a decider that lost its disk a new id in its seat. Its old one never votes again. Likewise one that had no
    /// seat before.
    async fn readmit(&self, seat: Seat) -> Result<(), String> {
        let (raft, metrics) = self.leading()?;
        let store = lock(&self.now).store.clone().ok_or("its disk is not open")?;
        let own = lock(&store).marker().map_err(|e| e.to_string())?.ok_or("its folder is blank")?;
        let mut link = self.link(seat).ok_or(format!("decider {seat} is not in the file"))?;
        let status = match link.ask(&Question::Status, Duration::from_secs(1)).await {
            Ok(Answer::Status(status)) => status,
            Ok(_) => return Err(format!("decider {seat} answered another question")),
            Err(e) => return Err(format!("decider {seat}: {e}")),
        };
        let membership = metrics.membership_config.membership().clone();
        let voters: BTreeSet<u64> = membership.voter_ids().collect();
        let known = membership.nodes().map(|(id, _)| *id).filter(|id| id % SEATS == seat);
        let newest = known.max().unwrap_or(seat);
        let id = match status.id {
            Some(id) if voters.contains(&id) => {
                return Err(format!("decider {seat} has its disk: it is no blank"))
            }
            Some(id) => id,
            None => newest + SEATS,
        };
        let marker = Marker { fleet: own.fleet, founding: own.founding, id };
        match link.ask(&Question::Mark(marker), Duration::from_secs(2)).await {
            Ok(Answer::Done) => {}
            Ok(Answer::No(e)) => return Err(format!("decider {seat}: {e}")),
            other => return Err(format!("decider {seat}: {other:?}")),
        }
        let address = self.book.get(&seat).ok_or("no address")?;
        let learns = timeout(CHANGE, raft.add_learner(id, BasicNode::new(address), true)).await;
        learns.map_err(|_| "it did not catch up in ten seconds")?.map_err(|e| e.to_string())?;
        let mut to: BTreeSet<u64> = voters.into_iter().filter(|voter| voter % SEATS != seat).collect();
        to.insert(id);
        let changed = timeout(CHANGE, raft.change_membership(to, false)).await;
        changed.map_err(|_| "the change was not agreed on in ten seconds")?.map_err(|e| e.to_string())?;
        Ok(())
    }

    fn status(&self) -> Status {
        let (raft, store, disk) = {
            let now = lock(&self.now);
            (now.raft.clone(), now.store.clone(), now.disk.clone())
        };
        let bytes = (self.traffic.read.load(Relaxed), self.traffic.written.load(Relaxed));
        let mut status = Status {
            member: self.settings.member.clone(),
            seat: self.settings.seat.unwrap_or_default(),
            role: if store.is_some() { "blank" } else { "broken" }.to_owned(),
            disk,
            bytes,
            ..Status::default()
        };
        if let Some(store) = store {
            let store = lock(&store);
            (status.disk_ok, status.writes) = (store.is_whole(), store.writes());
            status.id = store.marker().ok().flatten().map(|marker| marker.id);
        }
        if let Some(raft) = raft {
            let m = raft.metrics().borrow().clone();
            status.role = format!("{:?}", m.state).to_lowercase();
            (status.term, status.leader) = (m.current_term, m.current_leader);
            status.log = (m.last_log_index.unwrap_or(0), m.last_applied.map_or(0, |l| l.index));
            status.voters = m.membership_config.membership().voter_ids().collect();
            status.quorum_ms = m.millis_since_quorum_ack;
        }
        status
    }
}

/// Where a log ends: term and index.
async fn last(store: &SharedStore) -> Option<(u64, u64)> {
    let state = Log(store.clone()).get_log_state().await.ok()?;
    Some(state.last_log_id.map_or((0, 0), |id| (id.leader_id.term, id.index)))
}
