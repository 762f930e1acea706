//! The log and vote storage of openraft, on top of the store.

use super::{decode, encode, read_error, write_error, NodeId, RaftStorageError};
use crate::log_entry::TypeConfig;
use crate::store::{self, Batch, SharedStore};
use openraft::storage::{LogFlushed, RaftLogStorage};
use openraft::{Entry, LogId, LogState, RaftLogReader, Vote};
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use std::ops::RangeBounds;

/// Key of the latest vote in the store.
const VOTE_KEY: &str = "vote";
/// Key of the id of the last purged log entry in the store.
const PURGED_KEY: &str = "purged";

/// The durable log and vote of a voter.
#[derive(Clone, Debug)]
pub(crate) struct LogStorage(pub SharedStore);

impl LogStorage {
    fn get<T: DeserializeOwned>(&self, name: &str) -> Result<Option<T>, RaftStorageError> {
        let bytes = self.0.get(name).map_err(read_error)?;
        bytes.map(|bytes| decode(&bytes)).transpose()
    }

    async fn write(&self, batch: Batch) -> Result<(), RaftStorageError> {
        store::write(&self.0, batch).await.map_err(write_error)
    }
}

impl RaftLogReader<TypeConfig> for LogStorage {
    async fn try_get_log_entries<RB: RangeBounds<u64> + Clone + Debug + Send>(
        &mut self,
        range: RB,
    ) -> Result<Vec<Entry<TypeConfig>>, RaftStorageError> {
        let entries = self.0.entries(range).map_err(read_error)?;
        entries.iter().map(|bytes| decode(bytes)).collect()
    }
}

impl RaftLogStorage<TypeConfig> for LogStorage {
    type LogReader = LogStorage;

    async fn get_log_state(&mut self) -> Result<LogState<TypeConfig>, RaftStorageError> {
        let last_purged_log_id: Option<LogId<NodeId>> = self.get(PURGED_KEY)?;
        let bytes = self.0.last_entry().map_err(read_error)?;
        let last_entry: Option<Entry<TypeConfig>> =
            bytes.map(|bytes| decode(&bytes)).transpose()?;
        let last_log_id = last_entry.map(|entry| entry.log_id).or(last_purged_log_id);
        Ok(LogState {
            last_purged_log_id,
            last_log_id,
        })
    }

    async fn get_log_reader(&mut self) -> LogStorage {
        self.clone()
    }

    async fn save_vote(&mut self, vote: &Vote<NodeId>) -> Result<(), RaftStorageError> {
        let batch = Batch {
            meta: vec![(VOTE_KEY, encode(vote)?)],
            ..Batch::default()
        };
        self.write(batch).await
    }

    async fn read_vote(&mut self) -> Result<Option<Vote<NodeId>>, RaftStorageError> {
        self.get(VOTE_KEY)
    }

    async fn append<I>(
        &mut self,
        entries: I,
        callback: LogFlushed<TypeConfig>,
    ) -> Result<(), RaftStorageError>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + Send,
        I::IntoIter: Send,
    {
        let mut batch = Batch::default();
        for entry in entries {
            batch.entries.push((entry.log_id.index, encode(&entry)?));
        }
        let written = store::write(&self.0, batch).await;
        let flushed = match &written {
            Ok(()) => Ok(()),
            Err(error) => Err(std::io::Error::other(error.clone())),
        };
        callback.log_io_completed(flushed);
        written.map_err(write_error)
    }

    async fn truncate(&mut self, log_id: LogId<NodeId>) -> Result<(), RaftStorageError> {
        let batch = Batch {
            truncate_from: Some(log_id.index),
            ..Batch::default()
        };
        self.write(batch).await
    }

    async fn purge(&mut self, log_id: LogId<NodeId>) -> Result<(), RaftStorageError> {
        let batch = Batch {
            purge_to: Some(log_id.index),
            meta: vec![(PURGED_KEY, encode(&log_id)?)],
            ..Batch::default()
        };
        self.write(batch).await
    }
}
