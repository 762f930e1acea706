//! A voter's disk: its vote, its log, its last snapshot, and its identity in the cluster.
//!
//! **One meaning of failure.** Whatever write fails (no space, EIO, a short write, fsync), the store is *broken* from
//! then on: nothing that was not acknowledged counts, and nothing more is read or written. It recovers by being opened
//! anew, which copies all that can be read into a new file, syncs that, and replaces the old one. What a failed fsync
//! left in the page cache is not trusted to be on the disk; see Rebello et al., "Can Applications Recover from fsync
//! Failures?" (USENIX ATC 2020).

#![allow(clippy::result_large_err)] // redb's own error type

mod error;
mod tables;

pub use error::{DiskFailure, StoreError};

use crate::disk::{BoxedBackend, SharedDisk, StorageBackend};
use redb::Database;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{File, TryLockError};
use std::ops::RangeBounds;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// The format of the data folder. A folder of another one is refused.
pub const FORMAT_VERSION: u32 = 1;
const DATABASE_FILE: &str = "council.redb";
const NEW_DATABASE_FILE: &str = "council.redb.new";
const LOCK_FILE: &str = "lock";
/// The named value that holds the voter's identity.
const IDENTITY_KEY: &str = "marker";
/// With the injected bug of unsynced writes, each write of this number is synced, and all before the first.
const SYNC_EVERY: u64 = 8;
/// Size of the database cache. The log is short and read once.
const CACHE_BYTES: usize = 1 << 20;

/// Which voter of which cluster a data folder belongs to. A voter without one neither votes nor keeps a log: if it lost
/// its disk, it has forgotten how it voted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterIdentity {
    /// The fleet's name.
    pub fleet: String,
    /// A number drawn when the fleet was bootstrapped.
    pub cluster_id: u64,
    /// The node id in the consensus.
    pub node_id: u64,
}

/// What is written in one durable transaction.
#[derive(Default)]
pub struct Batch {
    /// Log entries by index.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Removes the log from this index on.
    pub truncate_from: Option<u64>,
    /// Removes the log up to and including this index.
    pub purge_to: Option<u64>,
    /// Named values.
    pub meta: Vec<(&'static str, Vec<u8>)>,
}

/// An open data folder.
pub struct Store {
    folder: PathBuf,
    db: Database,
    /// The failure that broke it.
    failure: Option<DiskFailure>,
    sync: bool,
    writes: u64,
    /// Held as long as the store is open.
    _lock: File,
}

/// A store that parts of a voter share.
pub type SharedStore = Arc<Mutex<Store>>;

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("folder", &self.folder)
            .field("failure", &self.failure)
            .finish()
    }
}

/// Takes the lock file of a folder.
fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let failed = |error: std::io::Error| StoreError::of_disk(folder.to_owned(), error.into());
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

fn open_database(backend: Box<dyn StorageBackend>) -> Result<Database, DiskFailure> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE_BYTES);
    Ok(builder.create_with_backend(BoxedBackend(backend))?)
}

/// Copies a folder's database into a new file that replaces it. Returns whether there was anything to copy.
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
    /// Opens a folder, creates it if it does not exist, and rewrites all that it holds.
    ///
    /// # Errors
    /// If another process has the folder, it has another format, or the disk fails.
    pub fn open(folder: &Path, disk: &SharedDisk, sync: bool) -> Result<Store, StoreError> {
        let lock = lock_folder(folder)?;
        let (db, copied) = rewrite_database(folder, disk)
            .map_err(|failure| StoreError::of_disk(folder.to_owned(), failure))?;
        let store = Store {
            folder: folder.to_owned(),
            db,
            failure: None,
            sync,
            writes: 0,
            _lock: lock,
        };
        if copied {
            store.check_format()?;
        }
        Ok(store)
    }

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

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Number of writes since it was opened.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Whether no write has failed since it was opened.
    pub fn is_healthy(&self) -> bool {
        self.failure.is_none()
    }

    fn error(&self, failure: impl Into<DiskFailure>) -> StoreError {
        StoreError::of_disk(self.folder.clone(), failure.into())
    }

    fn check_healthy(&self) -> Result<(), StoreError> {
        match &self.failure {
            Some(failure) => Err(self.error(failure.clone())),
            None => Ok(()),
        }
    }

    /// Writes a batch. When this returns, the batch is on the disk.
    ///
    /// # Errors
    /// If the disk fails; the store is broken then.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.check_healthy()?;
        // With the injected bug some writes are synced, as by an operating system that writes back now and then.
        let synced_in_any_case = self.writes < SYNC_EVERY || self.writes.is_multiple_of(SYNC_EVERY);
        match tables::write(&self.db, batch, self.sync || synced_in_any_case) {
            Ok(()) => {
                self.writes += 1;
                Ok(())
            }
            Err(error) => {
                let failure = DiskFailure::from(error);
                self.failure = Some(failure.clone());
                Err(self.error(failure))
            }
        }
    }

    /// A named value.
    ///
    /// # Errors
    /// If the store is broken or can't be read.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.check_healthy()?;
        tables::read_meta(&self.db, name).map_err(|error| self.error(error))
    }

    /// The log entries of a range, in order.
    ///
    /// # Errors
    /// If the store is broken or can't be read.
    pub fn entries(&self, range: impl RangeBounds<u64>) -> Result<Vec<Vec<u8>>, StoreError> {
        self.check_healthy()?;
        tables::read_entries(&self.db, range).map_err(|error| self.error(error))
    }

    /// The last log entry.
    ///
    /// # Errors
    /// If the store is broken or can't be read.
    pub fn last_entry(&self) -> Result<Option<Vec<u8>>, StoreError> {
        self.check_healthy()?;
        tables::read_last_entry(&self.db).map_err(|error| self.error(error))
    }

    /// The voter's identity; none while the folder belongs to no cluster.
    ///
    /// # Errors
    /// If the store is broken or can't be read.
    pub fn identity(&self) -> Result<Option<VoterIdentity>, StoreError> {
        let bytes = self.get(IDENTITY_KEY)?;
        Ok(bytes.and_then(|bytes| postcard::from_bytes(&bytes).ok()))
    }

    /// Gives the folder an identity. One that it has is never replaced.
    ///
    /// # Errors
    /// If it has another identity, or the disk fails.
    pub fn write_identity(&mut self, identity: &VoterIdentity) -> Result<(), StoreError> {
        match self.identity()? {
            Some(found) if found == *identity => Ok(()),
            Some(found) => Err(StoreError::OtherIdentity {
                folder: self.folder.clone(),
                found,
            }),
            None => {
                let bytes = postcard::to_stdvec(identity).map_err(|error| self.error(error))?;
                self.write(&Batch {
                    meta: vec![(IDENTITY_KEY, bytes)],
                    ..Batch::default()
                })
            }
        }
    }
}
