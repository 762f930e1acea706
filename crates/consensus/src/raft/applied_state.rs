//! The state machine of openraft: a [`StateMachine`] in memory, whose last snapshot is in the store.

use super::{decode, encode, read_error, write_error, NodeId, RaftStorageError};
use crate::log_entry::{Command, TypeConfig};
use crate::mutex::lock;
use crate::store::{self, Batch, SharedStore, StoreError};
use crate::{RestoreError, StateMachine};
use openraft::storage::{RaftStateMachine, Snapshot, SnapshotMeta};
use openraft::{
    BasicNode, Entry, EntryPayload, LogId, RaftSnapshotBuilder, StorageIOError, StoredMembership,
};
use serde::{Deserialize, Serialize};
use std::io::Cursor;
use std::sync::{Arc, Mutex};
use thiserror::Error;

/// Key of the last snapshot in the store.
const SNAPSHOT_KEY: &str = "snapshot";

type Membership = StoredMembership<NodeId, BasicNode>;

/// Why the last snapshot can't be loaded from the store.
#[derive(Debug, Error)]
pub(crate) enum OpenError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Decoding(#[from] postcard::Error),
    #[error(transparent)]
    Restore(#[from] RestoreError),
}

/// A snapshot in its stored form.
#[derive(Serialize, Deserialize)]
struct StoredSnapshot {
    meta: SnapshotMeta<NodeId, BasicNode>,
    data: Vec<u8>,
}

impl StoredSnapshot {
    /// Writes the snapshot to the store durably, in place of the previous snapshot.
    async fn save(&self, store: &SharedStore) -> Result<(), RaftStorageError> {
        let batch = Batch {
            meta: vec![(SNAPSHOT_KEY, encode(self)?)],
            ..Batch::default()
        };
        store::write(store, batch).await.map_err(write_error)
    }

    fn into_snapshot(self) -> Snapshot<TypeConfig> {
        Snapshot {
            meta: self.meta,
            snapshot: Box::new(Cursor::new(self.data)),
        }
    }
}

/// The state machine, together with the position in the log and the membership that it has reached.
pub(crate) struct AppliedState {
    store: SharedStore,
    state_machine: Arc<Mutex<dyn StateMachine>>,
    last_applied: Option<LogId<NodeId>>,
    membership: Membership,
}

impl AppliedState {
    /// Resets the state machine, and restores the last snapshot if the store has one.
    ///
    /// # Errors
    /// If the store is broken, or the snapshot can't be decoded.
    pub fn open(
        store: SharedStore,
        state_machine: Arc<Mutex<dyn StateMachine>>,
    ) -> Result<AppliedState, OpenError> {
        let bytes = store.get(SNAPSHOT_KEY)?;
        let snapshot: Option<StoredSnapshot> = bytes
            .map(|bytes| postcard::from_bytes(&bytes))
            .transpose()?;
        lock(&state_machine).reset();
        let mut applied = AppliedState {
            store,
            state_machine,
            last_applied: None,
            membership: Membership::default(),
        };
        if let Some(snapshot) = snapshot {
            lock(&applied.state_machine).restore(&snapshot.data)?;
            applied.last_applied = snapshot.meta.last_log_id;
            applied.membership = snapshot.meta.last_membership;
        }
        Ok(applied)
    }
}

/// Writes a snapshot that was taken when the builder was created. Can be used once.
pub(crate) struct SnapshotBuilder {
    store: SharedStore,
    snapshot: Option<StoredSnapshot>,
}

impl RaftSnapshotBuilder<TypeConfig> for SnapshotBuilder {
    async fn build_snapshot(&mut self) -> Result<Snapshot<TypeConfig>, RaftStorageError> {
        let Some(snapshot) = self.snapshot.take() else {
            let error = std::io::Error::other("the snapshot builder was used already");
            return Err(StorageIOError::read(&error).into());
        };
        snapshot.save(&self.store).await?;
        Ok(snapshot.into_snapshot())
    }
}

impl RaftStateMachine<TypeConfig> for AppliedState {
    type SnapshotBuilder = SnapshotBuilder;

    async fn applied_state(
        &mut self,
    ) -> Result<(Option<LogId<NodeId>>, Membership), RaftStorageError> {
        Ok((self.last_applied, self.membership.clone()))
    }

    async fn apply<I>(&mut self, entries: I) -> Result<Vec<()>, RaftStorageError>
    where
        I: IntoIterator<Item = Entry<TypeConfig>> + Send,
        I::IntoIter: Send,
    {
        let mut responses = Vec::new();
        for entry in entries {
            self.last_applied = Some(entry.log_id);
            match entry.payload {
                EntryPayload::Blank => {}
                EntryPayload::Normal(Command(bytes)) => lock(&self.state_machine).apply(&bytes),
                EntryPayload::Membership(membership) => {
                    self.membership = Membership::new(Some(entry.log_id), membership);
                }
            }
            responses.push(());
        }
        Ok(responses)
    }

    async fn get_snapshot_builder(&mut self) -> SnapshotBuilder {
        let position = self.last_applied.map(|id| (id.leader_id.term, id.index));
        let meta = SnapshotMeta {
            last_log_id: self.last_applied,
            last_membership: self.membership.clone(),
            snapshot_id: format!("{position:?}"),
        };
        let data = lock(&self.state_machine).snapshot();
        SnapshotBuilder {
            store: self.store.clone(),
            snapshot: Some(StoredSnapshot { meta, data }),
        }
    }

    async fn begin_receiving_snapshot(&mut self) -> Result<Box<Cursor<Vec<u8>>>, RaftStorageError> {
        Ok(Box::new(Cursor::new(Vec::new())))
    }

    async fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta<NodeId, BasicNode>,
        snapshot: Box<Cursor<Vec<u8>>>,
    ) -> Result<(), RaftStorageError> {
        let snapshot = StoredSnapshot {
            meta: meta.clone(),
            data: snapshot.into_inner(),
        };
        snapshot.save(&self.store).await?;
        let restored = lock(&self.state_machine).restore(&snapshot.data);
        restored.map_err(|error| StorageIOError::read(&error))?;
        self.last_applied = meta.last_log_id;
        self.membership = meta.last_membership.clone();
        Ok(())
    }

    async fn get_current_snapshot(
        &mut self,
    ) -> Result<Option<Snapshot<TypeConfig>>, RaftStorageError> {
        let bytes = self.store.get(SNAPSHOT_KEY).map_err(read_error)?;
        let snapshot: Option<StoredSnapshot> = bytes.map(|bytes| decode(&bytes)).transpose()?;
        Ok(snapshot.map(StoredSnapshot::into_snapshot))
    }
}
