//! The durable state of a voter: its vote, log, last snapshot and identity, in one redb database file.
//!
//! # Disk failures
//!
//! After a failed write of any kind (no space, EIO, a short write, a failed fsync), the store is *broken*.
//! A broken store rejects all reads and writes, and the write that failed is not acknowledged.
//!
//! Opening the folder again recovers the store: it copies all readable data into a new file, syncs that file, and
//! replaces the old file by it. The copy is necessary because a failed fsync can leave data in the page cache that
//! never reaches the disk; see Rebello et al., "Can Applications Recover from fsync Failures?" (USENIX ATC 2020).
//!
//! # Slow disks
//!
//! A write takes as long as the disk's fsync. Async code must therefore use [`write`], which waits on a thread of its
//! own. Reads return the last committed state and never wait for a write.

#![allow(clippy::result_large_err)] // redb's error type is large

mod error;
mod tables;

pub use error::{DiskFailure, StoreError};

use crate::disk::{BoxedBackend, SharedDisk, StorageBackend};
use crate::mutex::lock;
use redb::Database;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{File, TryLockError};
use std::ops::RangeBounds;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use tokio::task::spawn_blocking;

/// Version of the data folder's format. The store rejects a folder that has another version.
pub const FORMAT_VERSION: u32 = 1;
const DATABASE_FILE: &str = "council.redb";
const NEW_DATABASE_FILE: &str = "council.redb.new";
const LOCK_FILE: &str = "lock";
/// Key of the voter's identity in the table of values.
const IDENTITY_KEY: &str = "marker";
/// With the injected bug of unsynced writes, the store still syncs this many writes after it was opened, and later one
/// write in this many. This imitates an operating system that writes back its page cache now and then.
const INJECTED_BUG_SYNC_INTERVAL: u64 = 8;
/// Size of the database cache in bytes. A small cache suffices because the log is short and each entry is read once.
const CACHE_BYTES: usize = 1 << 20;

/// The identity of a voter, which is stored in its data folder.
///
/// A voter whose folder has no identity neither votes nor stores log entries. If it lost its disk, it no longer knows
/// how it voted, and a second vote in the same term could elect two leaders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterIdentity {
    /// The fleet's name.
    pub fleet: String,
    /// Number that was generated when the fleet was bootstrapped. It distinguishes fleets that have the same name.
    pub cluster_id: u64,
    /// The voter's Raft node id.
    pub node_id: u64,
}

/// Changes that are written in one atomic and durable transaction. Removals are applied before insertions.
#[derive(Default)]
pub struct Batch {
    /// Log entries to insert, with their indices.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Removes all log entries with this index or a higher one.
    pub truncate_from: Option<u64>,
    /// Removes all log entries with this index or a lower one.
    pub purge_to: Option<u64>,
    /// Values other than log entries to insert or replace, with their keys.
    pub meta: Vec<(&'static str, Vec<u8>)>,
}

/// An open data folder.
pub struct Store {
    folder: PathBuf,
    db: Database,
    /// Held during a write, so that a write starts only after the outcome of the previous one is known.
    write_lock: Mutex<()>,
    /// The first failed write, after which the store is broken.
    failure: Mutex<Option<DiskFailure>>,
    /// Whether each write is synced. False only with the injected bug of unsynced writes.
    sync: bool,
    /// Number of successful writes since the store was opened.
    writes: AtomicU64,
    /// The locked lock file. The lock is released when the store is dropped.
    _lock: File,
}

/// A reference-counted store, shared between the parts of a voter.
pub type SharedStore = Arc<Store>;

/// Writes a batch like [`Store::write`], on a thread on which blocking is allowed.
///
/// # Errors
/// The errors of [`Store::write`], or [`StoreError::Interrupted`] if its thread ends early.
pub(crate) async fn write(store: &SharedStore, batch: Batch) -> Result<(), StoreError> {
    let writer = store.clone();
    spawn_blocking(move || writer.write(&batch)).await?
}

/// Stores an identity like [`Store::write_identity`], on a thread on which blocking is allowed.
///
/// # Errors
/// The errors of [`Store::write_identity`], or [`StoreError::Interrupted`] if its thread ends early.
pub(crate) async fn write_identity(
    store: &SharedStore,
    identity: VoterIdentity,
) -> Result<(), StoreError> {
    let writer = store.clone();
    spawn_blocking(move || writer.write_identity(&identity)).await?
}

/// Opens a store like [`Store::open`], on a thread on which blocking is allowed.
///
/// # Errors
/// The errors of [`Store::open`], or [`StoreError::Interrupted`] if its thread ends early.
pub(crate) async fn open(
    folder: PathBuf,
    disk: SharedDisk,
    sync: bool,
) -> Result<SharedStore, StoreError> {
    let store = spawn_blocking(move || Store::open(&folder, &disk, sync)).await??;
    Ok(Arc::new(store))
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("folder", &self.folder)
            .field("failure", &self.failure)
            .finish()
    }
}

/// Creates the folder if it does not exist, and locks its lock file so that no other process opens the store.
fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let failed =
        |error: std::io::Error| StoreError::from_disk_failure(folder.to_owned(), error.into());
    std::fs::create_dir_all(folder).map_err(failed)?;
    let mut options = File::options();
    options.create(true).truncate(false).write(true);
    let lock = options.open(folder.join(LOCK_FILE)).map_err(failed)?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked(folder.to_owned())),
        Err(TryLockError::Error(error)) => Err(failed(error)),
    }
}

/// Opens a database file, or initializes it if it is empty.
fn open_database(backend: Box<dyn StorageBackend>) -> Result<Database, DiskFailure> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    Ok(builder.create_with_backend(BoxedBackend(backend))?)
}

/// Copies a folder's database into a new file and replaces the old file by it.
///
/// Returns the new database, and whether there was anything to copy.
fn rewrite_database(folder: &Path, disk: &SharedDisk) -> Result<(Database, bool), DiskFailure> {
    let file = folder.join(DATABASE_FILE);
    let new_file = folder.join(NEW_DATABASE_FILE);
    let previous = disk.open(&file, false)?.map(open_database).transpose()?;
    let backend = disk.open(&new_file, true)?;
    let db = open_database(backend.ok_or(DiskFailure::NewFileMissing)?)?;
    let copied = tables::copy(previous.as_ref(), &db)?;
    drop(previous);
    disk.replace(&new_file, &file)?;
    Ok((db, copied))
}

impl Store {
    /// Opens the store in a folder, which is created if it does not exist, and copies its data into a new file.
    ///
    /// `sync` is `true` except with the injected bug of unsynced writes.
    ///
    /// # Errors
    /// If another process has locked the folder, the folder has another format version, or the disk fails.
    pub fn open(folder: &Path, disk: &SharedDisk, sync: bool) -> Result<Store, StoreError> {
        let lock = lock_folder(folder)?;
        let (db, copied) = rewrite_database(folder, disk)
            .map_err(|failure| StoreError::from_disk_failure(folder.to_owned(), failure))?;
        let store = Store {
            folder: folder.to_owned(),
            db,
            write_lock: Mutex::default(),
            failure: Mutex::default(),
            sync,
            writes: AtomicU64::new(0),
            _lock: lock,
        };
        if copied {
            store.check_format()?;
        }
        Ok(store)
    }

    /// Checks that the folder has the format version of this program.
    fn check_format(&self) -> Result<(), StoreError> {
        let bytes = self.get(tables::FORMAT_KEY)?.unwrap_or_default();
        let found: u32 = postcard::from_bytes(&bytes).unwrap_or(0);
        if found == FORMAT_VERSION {
            return Ok(());
        }
        Err(StoreError::UnsupportedFormat {
            folder: self.folder.clone(),
            found,
        })
    }

    /// Returns the data folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the number of successful writes since the store was opened.
    pub fn writes(&self) -> u64 {
        self.writes.load(Relaxed)
    }

    /// Returns whether no write has failed since the store was opened.
    pub fn is_healthy(&self) -> bool {
        lock(&self.failure).is_none()
    }

    /// Converts a failure to an error that names this folder.
    fn error(&self, failure: impl Into<DiskFailure>) -> StoreError {
        StoreError::from_disk_failure(self.folder.clone(), failure.into())
    }

    /// Returns an error if a failed write has broken the store.
    fn check_healthy(&self) -> Result<(), StoreError> {
        match &*lock(&self.failure) {
            Some(failure) => Err(self.error(failure.clone())),
            None => Ok(()),
        }
    }

    /// Writes a batch in one transaction. The batch is durable when this returns without error.
    ///
    /// # Errors
    /// If the store is broken, or if the disk fails, which breaks the store.
    pub fn write(&self, batch: &Batch) -> Result<(), StoreError> {
        let _write_lock = lock(&self.write_lock);
        self.write_locked(batch)
    }

    /// Writes a batch. The caller holds the write lock.
    fn write_locked(&self, batch: &Batch) -> Result<(), StoreError> {
        self.check_healthy()?;
        let writes = self.writes();
        // With the injected bug some writes are still synced, as by an operating system that writes back now and then.
        let synced_despite_bug = writes < INJECTED_BUG_SYNC_INTERVAL
            || writes.is_multiple_of(INJECTED_BUG_SYNC_INTERVAL);
        match tables::write(&self.db, batch, self.sync || synced_despite_bug) {
            Ok(()) => {
                self.writes.store(writes + 1, Relaxed);
                Ok(())
            }
            Err(error) => {
                let failure = DiskFailure::from(error);
                *lock(&self.failure) = Some(failure.clone());
                Err(self.error(failure))
            }
        }
    }

    /// Returns the value of a key, other than log entries.
    ///
    /// # Errors
    /// If the store is broken, or the database can't be read.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.check_healthy()?;
        tables::read_meta(&self.db, name).map_err(|error| self.error(error))
    }

    /// Returns the serialized log entries of a range of indices, in ascending order.
    ///
    /// # Errors
    /// If the store is broken, or the database can't be read.
    pub fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Vec<u8>>, StoreError> {
        self.check_healthy()?;
        tables::read_entries(&self.db, range).map_err(|error| self.error(error))
    }

    /// Returns the serialized log entry with the highest index.
    ///
    /// # Errors
    /// If the store is broken, or the database can't be read.
    pub fn last_entry(&self) -> Result<Option<Vec<u8>>, StoreError> {
        self.check_healthy()?;
        tables::read_last_entry(&self.db).map_err(|error| self.error(error))
    }

    /// Returns the voter's identity, or `None` if the folder has none.
    ///
    /// # Errors
    /// If the identity can't be decoded, the store is broken, or the database can't be read.
    pub fn identity(&self) -> Result<Option<VoterIdentity>, StoreError> {
        let bytes = self.get(IDENTITY_KEY)?;
        let identity = bytes.map(|bytes| postcard::from_bytes(&bytes)).transpose();
        identity.map_err(|_| StoreError::UnreadableIdentity(self.folder.clone()))
    }

    /// Stores the voter's identity. Does nothing if the folder has the same identity already.
    ///
    /// # Errors
    /// If the folder has another identity, or one that can't be decoded, which are never replaced, or if the store is
    /// broken or the disk fails.
    pub fn write_identity(&self, identity: &VoterIdentity) -> Result<(), StoreError> {
        let _write_lock = lock(&self.write_lock);
        match self.identity()? {
            Some(found) if found == *identity => Ok(()),
            Some(found) => Err(StoreError::IdentityMismatch {
                folder: self.folder.clone(),
                found,
            }),
            None => {
                let bytes = postcard::to_stdvec(identity).map_err(|error| self.error(error))?;
                self.write_locked(&Batch {
                    meta: vec![(IDENTITY_KEY, bytes)],
                    ..Batch::default()
                })
            }
        }
    }
}
