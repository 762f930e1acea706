//! The library's seams: its log on the store, its state machine on a [`Machine`], its network on links.

#![allow(clippy::result_large_err)] // the library's own error types, in its traits' signatures

use crate::connection::client::{Link, Traffic};
use crate::connection::{Answer, Hello, LinkError, Question};
use crate::log_entry::{Command, Types};
use crate::store::{Batch, SharedStore, StoreError};
use crate::Machine;
use openraft::error::{InstallSnapshotError, NetworkError, RPCError, RaftError, Timeout, Unreachable};
use openraft::network::{Backoff, RPCOption, RPCTypes, RaftNetwork, RaftNetworkFactory};
use openraft::raft::{
    AppendEntriesRequest, AppendEntriesResponse, InstallSnapshotRequest, InstallSnapshotResponse,
    VoteRequest, VoteResponse,
};
use openraft::storage::{LogFlushed, RaftLogStorage, RaftStateMachine, Snapshot, SnapshotMeta};
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, LogState, RaftLogReader, RaftSnapshotBuilder, StorageError,
    StorageIOError, StoredMembership, Vote,
};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io::Cursor;
use std::net::SocketAddr;
use std::ops::RangeBounds;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The library, filled in.
pub type Raft = openraft::Raft<Types>;
type Id = u64;
type Failure = StorageError<Id>;
type Members = StoredMembership<Id, BasicNode>;

pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write_failed(e: StoreError) -> Failure {
    StorageIOError::write(&e).into()
}

fn read_failed(e: StoreError) -> Failure {
    StorageIOError::read(&e).into()
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Failure> {
    postcard::to_stdvec(value).map_err(|e| StorageIOError::write(&e).into())
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Failure> {
    postcard::from_bytes(bytes).map_err(|e| StorageIOError::read(&e).into())
}

/// The log and the vote on the store.
#[derive(Clone, Debug)]
pub struct Log(pub SharedStore);

impl Log {
    fn get<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, Failure> {
        let bytes = lock(&self.0).get(name).map_err(read_failed)?;
        bytes.map(|bytes| decode(&bytes)).transpose()
    }

    fn write(&self, batch: &Batch) -> Result<(), Failure> {
        lock(&self.0).write(batch).map_err(write_failed)
    }
}

impl RaftLogReader<Types> for Log {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + Send>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<Types>>, Failure> {
        let entries = lock(&self.0).entries(range).map_err(read_failed)?;
        entries.iter().map(|bytes| decode(bytes)).collect()
    }
}

impl RaftLogStorage<Types> for Log {
    type LogReader = Log;

    async fn get_log_state(&mut self) -> Result<LogState<Types>, Failure> {
        let last_purged_log_id: Option<LogId<Id>> = self.get("purged")?;
        let last = lock(&self.0).last().map_err(read_failed)?;
        let last = last.map(|bytes| decode::<Entry<Types>>(&bytes)).transpose()?;
        let last_log_id = last.map(|entry| entry.log_id).or(last_purged_log_id);
        Ok(LogState { last_purged_log_id, last_log_id })
    }

    async fn get_log_reader(&mut self) -> Log {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<Id>) -> Result<(), Failure> {
        self.write(&Batch { meta: vec![("vote", encode(vote)?)], ..Batch::default() })
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<Id>>, Failure> {
        self.get("vote")
    }

    async fn append<I>(&mut self, entries: I, callback: LogFlushed<Types>) -> Result<(), Failure>
    where
        I: IntoIterator<Item = Entry<Types>> + Send,
        I::IntoIter: Send,
    {
        let mut batch = Batch::default();
        for entry in entries {
            batch.entries.push((entry.log_id.index, encode(&entry)?));
        }
        let done = lock(&self.0).write(&batch);
        callback
            .log_io_completed(done.as_ref().map(|_| ()).map_err(|e| std::io::Error::other(e.to_string())));
        done.map_err(write_failed)
    }

    async fn truncate(&mut self, log_id: LogId<Id>) -> Result<(), Failure> {
        self.write(&Batch { cut_from: Some(log_id.index), ..Batch::default() })
    }

    async fn purge(&mut self, log_id: LogId<Id>) -> Result<(), Failure> {
        let meta = vec![("purged", encode(&log_id)?)];
        self.write(&Batch { cut_to: Some(log_id.index), meta, ..Batch::default() })
    }
}

/// The state machine: a [`Machine`] in memory, its snapshots on the store.
pub struct Applied {
    store: SharedStore,
    machine: Arc<Mutex<dyn Machine>>,
    last: Option<LogId<Id>>,
    members: Members,
}

#[derive(Serialize, Deserialize)]
struct Kept {
    meta: SnapshotMeta<Id, BasicNode>,
    data: Vec<u8>,
}

impl Applied {
    /// The state as the last snapshot has it.
    pub fn open(store: SharedStore, machine: Arc<Mutex<dyn Machine>>) -> Result<Applied, String> {
        let kept = lock(&store).get("snapshot").map_err(|e| e.to_string())?;
        let kept =
            kept.map(|bytes| postcard::from_bytes::<Kept>(&bytes)).transpose().map_err(|e| e.to_string())?;
        lock(&machine).blank();
        let mut applied = Applied { store, machine, last: None, members: Members::default() };
        if let Some(kept) = kept {
            lock(&applied.machine).restore(&kept.data)?;
            (applied.last, applied.members) = (kept.meta.last_log_id, kept.meta.last_membership);
        }
        Ok(applied)
    }

    fn keep(&self, kept: &Kept) -> Result<(), Failure> {
        lock(&self.store)
            .write(&Batch { meta: vec![("snapshot", encode(kept)?)], ..Batch::default() })
            .map_err(write_failed)
    }
}

/// Makes snapshots: the state as it was when it was asked for.
pub struct Maker {
    store: SharedStore,
    kept: Option<Kept>,
}

impl RaftSnapshotBuilder<Types> for Maker {
    async fn build_snapshot(&mut self) -> Result<Snapshot<Types>, Failure> {
        let nothing = std::io::Error::other("a snapshot is built once");
        let kept = self.kept.take().ok_or_else(|| Failure::from(StorageIOError::read(&nothing)))?;
        let batch = Batch { meta: vec![("snapshot", encode(&kept)?)], ..Batch::default() };
        lock(&self.store).write(&batch).map_err(write_failed)?;
        Ok(Snapshot { meta: kept.meta, snapshot: Box::new(Cursor::new(kept.data)) })
    }
}

impl RaftStateMachine<Types> for Applied {
    type SnapshotBuilder = Maker;

    async fn applied_state(&mut self) -> Result<(Option<LogId<Id>>, Members), Failure> {
        Ok((self.last, self.members.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<()>, Failure>
    where
        I: IntoIterator<Item = Entry<Types>> + Send,
        I::IntoIter: Send,
    {
        let mut done = Vec::new();
        for entry in entries {
            self.last = Some(entry.log_id);
            match entry.payload {
                EntryPayload::Blank => {}
                EntryPayload::Normal(Command(bytes)) => lock(&self.machine).apply(&bytes),
                EntryPayload::Membership(members) => self.members = Members::new(Some(entry.log_id), members),
            }
            done.push(());
        }
        Ok(done)
    }

    async fn get_snapshot_builder(&mut self) -> Maker {
        let snapshot_id = format!("{:?}", self.last.map(|id| (id.leader_id.term, id.index)));
        let meta =
            SnapshotMeta { last_log_id: self.last, last_membership: self.members.clone(), snapshot_id };
        let data = lock(&self.machine).snapshot();
        Maker { store: self.store.clone(), kept: Some(Kept { meta, data }) }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, Failure> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<Id, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), Failure> {
        let kept = Kept { meta: meta.clone(), data: snapshot.into_inner() };
        self.keep(&kept)?;
        let restored = lock(&self.machine).restore(&kept.data);
        restored.map_err(|e| Failure::from(StorageIOError::read(&std::io::Error::other(e))))?;
        (self.last, self.members) = (meta.last_log_id, meta.last_membership.clone());
        Ok(())
    }

    async fn get_current_snapshot(&mut self) -> Result<Option<Snapshot<Types>>, Failure> {
        let bytes = lock(&self.store).get("snapshot").map_err(read_failed)?;
        let kept: Option<Kept> = bytes.map(|bytes| decode(&bytes)).transpose()?;
        Ok(kept.map(|kept| Snapshot { meta: kept.meta, snapshot: Box::new(Cursor::new(kept.data)) }))
    }
}

/// Makes links to other deciders.
#[derive(Clone)]
pub struct Links {
    /// How this one greets.
    pub hello: Hello,
    /// What goes over the links.
    pub traffic: Arc<Traffic>,
    /// Where each seat listens, as seen from here: the file's word, not the log's.
    pub book: BTreeMap<crate::Seat, SocketAddr>,
}

/// A link to one of them.
pub struct To {
    target: Id,
    link: Result<Link, String>,
}

impl RaftNetworkFactory<Types> for Links {
    type Network = To;

    async fn new_client(&mut self, target: Id, _: &BasicNode) -> To {
        let seat = target % crate::SEATS;
        let address =
            self.book.get(&seat).copied().ok_or_else(|| format!("fleet.decider {seat} is not in the file"));
        let link = address.map(|address| Link::new(address, self.hello.clone(), self.traffic.clone()));
        To { target, link }
    }
}

type Asked<T, E = RaftError<Id>> = Result<T, RPCError<Id, BasicNode, E>>;

impl To {
    async fn ask<E: std::error::Error>(
        &mut self,
        question: Question,
        kind: RPCTypes,
        option: &RPCOption,
    ) -> Asked<Answer, E> {
        let most = option.hard_ttl();
        let unreachable = |e: String| RPCError::Unreachable(Unreachable::new(&std::io::Error::other(e)));
        let link = self.link.as_mut().map_err(|e| unreachable(e.clone()))?;
        match link.ask(&question, most).await {
            Ok(Answer::No(why)) => Err(unreachable(why)),
            Ok(answer) => Ok(answer),
            Err(LinkError::Late) => {
                let (target, timeout) = (self.target, most);
                Err(RPCError::Timeout(Timeout { action: kind, id: target, target, timeout }))
            }
            // Not at once again: what can't be reached now is tried after a pause.
            Err(e) => Err(unreachable(e.to_string())),
        }
    }
}

fn odd<T, E: std::error::Error>() -> Asked<T, E> {
    Err(RPCError::Network(NetworkError::new(&std::io::Error::other("an answer to another question"))))
}

impl RaftNetwork<Types> for To {
    async fn append_entries(
        &mut self,
        rpc: AppendEntriesRequest<Types>,
        option: RPCOption,
    ) -> Asked<AppendEntriesResponse<Id>> {
        match self.ask(Question::Append(self.target, rpc), RPCTypes::AppendEntries, &option).await? {
            Answer::Append(answer) => Ok(answer),
            _ => odd(),
        }
    }

    async fn install_snapshot(
        &mut self,
        rpc: InstallSnapshotRequest<Types>,
        option: RPCOption,
    ) -> Asked<InstallSnapshotResponse<Id>, RaftError<Id, InstallSnapshotError>> {
        match self.ask(Question::Snapshot(self.target, rpc), RPCTypes::InstallSnapshot, &option).await? {
            Answer::Snapshot(answer) => Ok(answer),
            _ => odd(),
        }
    }

    async fn vote(&mut self, rpc: VoteRequest<Id>, option: RPCOption) -> Asked<VoteResponse<Id>> {
        match self.ask(Question::Vote(self.target, rpc), RPCTypes::Vote, &option).await? {
            Answer::Vote(answer) => Ok(answer),
            _ => odd(),
        }
    }

    fn backoff(&self) -> Backoff {
        Backoff::new(std::iter::repeat(Duration::from_millis(100)))
    }
}
