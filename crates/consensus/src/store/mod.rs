//! A decider's disk: its vote, its log, its last snapshot, and the marker that it belongs to a founded fleet.
//!
//! **One meaning of failure.** Whatever write fails (no room, EIO, a short write, fsync), the store is *broken* from then
//! on: nothing that was not acknowledged counts, nothing more is read or written, and the decider stands aside. It comes
//! back by opening anew, which copies all that can be read into a new file, syncs that, and puts it in the old one's place:
//! what a failed fsync left in the system's cache is not trusted to be on the disk.

#![allow(clippy::result_large_err)] // redb's own error type, inside closures that end in a text

use crate::disk::{Boxed, SharedDisk};
use redb::{Database, Durability, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{File, TryLockError};
use std::path::{Path, PathBuf};
use std::sync::Arc;

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// The form of the files; another one is refused.
pub const FORM: u32 = 1;
const FILE: &str = "council.redb";
const FRESH: &str = "council.redb.new";
const UNSYNCED: u64 = 8; // writes between two that are synced, for a fault that tests plant
const CACHE: usize = 1 << 20; // bytes; the log is short and read once

/// Why a store can't be used.
#[derive(Debug)]
pub enum StoreError {
    /// Another process has the folder.
    Locked(PathBuf),
    /// The folder holds another form.
    Form {
        /// The folder.
        folder: PathBuf,
        /// Its form.
        found: u32,
    },
    /// The folder is another fleet's, or another seat's.
    Stranger {
        /// The folder.
        folder: PathBuf,
        /// Whose it is.
        found: String,
    },
    /// The disk failed.
    Disk {
        /// The folder.
        folder: PathBuf,
        /// What it said.
        problem: String,
        /// Whether it was for want of room.
        full: bool,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Locked(folder) => {
                write!(f, "fleet.folder {}: another process holds it; end that, or give each its own", folder.display())
            }
            StoreError::Form { folder, found } => write!(
                f,
                "fleet.folder {}: is of form {found}, this program reads form {FORM}; use the program that wrote it",
                folder.display()
            ),
            StoreError::Stranger { folder, found } => {
                write!(f, "fleet.folder {}: belongs to {found}; give this decider its own folder", folder.display())
            }
            StoreError::Disk { folder, problem, full: true } => {
                write!(f, "fleet.folder {}: no room ({problem}); free some, it goes on by itself", folder.display())
            }
            StoreError::Disk { folder, problem, full: false } => {
                write!(f, "fleet.folder {}: the disk failed ({problem}); it is tried again", folder.display())
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// That this folder belongs to a founded fleet, under this id. Without it a decider neither votes nor keeps a log: a
/// decider that lost its disk has forgotten what it voted for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marker {
    /// The fleet.
    pub fleet: String,
    /// The founding, by a number drawn then.
    pub founding: u64,
    /// The id in the consensus.
    pub id: u64,
}

/// What is written at once, durable as a whole.
#[derive(Default)]
pub struct Batch {
    /// Entries of the log by index.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// The log from this index on is no more.
    pub cut_from: Option<u64>,
    /// The log up to this index is no more.
    pub cut_to: Option<u64>,
    /// Named values.
    pub meta: Vec<(&'static str, Vec<u8>)>,
}

/// An open store.
pub struct Store {
    folder: PathBuf,
    db: Database,
    broken: Option<String>,
    sync: bool,
    writes: u64,
    _lock: File,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").field("folder", &self.folder).field("broken", &self.broken).finish()
    }
}

fn no_room(text: &str) -> bool {
    // EFBIG is a file-size limit, EDQUOT a quota: to a decider the same as no room.
    ["os error 28", "os error 27", "os error 122", "StorageFull", "no storage space"]
        .iter()
        .any(|t| text.contains(t))
}

impl Store {
    /// Opens a folder, makes it if it is not there, and puts all that it holds into a fresh file.
    pub fn open(folder: &Path, disk: &SharedDisk, sync: bool) -> Result<Store, StoreError> {
        let failed = |e: &dyn fmt::Display| StoreError::Disk {
            folder: folder.to_owned(),
            problem: e.to_string(),
            full: no_room(&e.to_string()),
        };
        std::fs::create_dir_all(folder).map_err(|e| failed(&e))?;
        let lock = File::options().create(true).truncate(false).write(true).open(folder.join("lock"));
        let lock = lock.map_err(|e| failed(&e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked(folder.to_owned())),
            Err(TryLockError::Error(e)) => return Err(failed(&e)),
        }
        let (file, fresh) = (folder.join(FILE), folder.join(FRESH));
        let create = |backend| Database::builder().set_cache_size(CACHE).create_with_backend(Boxed(backend));
        let before = disk.open(&file, false).map_err(|e| failed(&e))?;
        let before = before.map(create).transpose().map_err(|e| failed(&e))?;
        let backend = disk.open(&fresh, true).map_err(|e| failed(&e))?;
        let backend = backend.ok_or_else(|| failed(&"the new file is not there"))?;
        let db = create(backend).map_err(|e| failed(&e))?;
        let copied = copy(before.as_ref(), &db).map_err(|e| failed(&e))?;
        drop(before);
        disk.replace(&fresh, &file).map_err(|e| failed(&e))?;
        let store = Store { folder: folder.to_owned(), db, broken: None, sync, writes: 0, _lock: lock };
        if copied && store.form()? != FORM {
            return Err(StoreError::Form { folder: folder.to_owned(), found: store.form()? });
        }
        Ok(store)
    }

    fn form(&self) -> Result<u32, StoreError> {
        let bytes = self.get("form")?.unwrap_or_default();
        Ok(postcard::from_bytes(&bytes).unwrap_or(0))
    }

    /// Where it is.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes with an fsync since it was opened.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    fn fail(&self, e: impl fmt::Display) -> StoreError {
        let problem = e.to_string();
        let full = no_room(&problem);
        StoreError::Disk { folder: self.folder.clone(), problem, full }
    }

    fn whole(&self) -> Result<(), StoreError> {
        self.broken.as_ref().map_or(Ok(()), |why| Err(self.fail(why)))
    }

    /// Writes a batch; when this returns, it is on the disk. After a failure the store is broken.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.whole()?;
        // As a decider does that leaves it to the system when to sync: now and then it is, and the marker is old by then.
        let now_and_then = self.writes.is_multiple_of(UNSYNCED) || self.writes < UNSYNCED;
        let sync = self.sync || now_and_then;
        match put(&self.db, batch, sync) {
            Ok(()) => {
                self.writes += 1;
                Ok(())
            }
            Err(why) => {
                self.broken = Some(why.clone());
                Err(self.fail(why))
            }
        }
    }

    /// A named value.
    pub fn get(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        self.whole()?;
        let read = || -> Result<Option<Vec<u8>>, redb::Error> {
            let table = self.db.begin_read()?.open_table(META)?;
            let value = table.get(name)?.map(|value| value.value().to_vec());
            Ok(value)
        };
        read().map_err(|e| self.fail(e))
    }

    /// The entries of a range, in order.
    pub fn entries(&self, range: impl std::ops::RangeBounds<u64>) -> Result<Vec<Vec<u8>>, StoreError> {
        self.whole()?;
        let read = || -> Result<Vec<Vec<u8>>, redb::Error> {
            let table = self.db.begin_read()?.open_table(LOG)?;
            let mut all = Vec::new();
            for entry in table.range(range)? {
                all.push(entry?.1.value().to_vec());
            }
            Ok(all)
        };
        read().map_err(|e| self.fail(e))
    }

    /// The last entry.
    pub fn last(&self) -> Result<Option<Vec<u8>>, StoreError> {
        self.whole()?;
        let read = || -> Result<Option<Vec<u8>>, redb::Error> {
            let table = self.db.begin_read()?.open_table(LOG)?;
            let last = table.last()?.map(|(_, value)| value.value().to_vec());
            Ok(last)
        };
        read().map_err(|e| self.fail(e))
    }

    /// The marker, if the fleet was founded with this folder.
    pub fn marker(&self) -> Result<Option<Marker>, StoreError> {
        let bytes = self.get("marker")?;
        Ok(bytes.and_then(|bytes| postcard::from_bytes(&bytes).ok()))
    }

    /// Marks the folder. One that is marked keeps its marker.
    pub fn mark(&mut self, marker: &Marker) -> Result<(), StoreError> {
        if let Some(found) = self.marker()? {
            let whose = format!("fleet {}, id {}, founding {:x}", found.fleet, found.id, found.founding);
            return if found == *marker {
                Ok(())
            } else {
                Err(StoreError::Stranger { folder: self.folder.clone(), found: whose })
            };
        }
        let bytes = postcard::to_stdvec(marker).map_err(|e| self.fail(e))?;
        self.write(&Batch { meta: vec![("marker", bytes)], ..Batch::default() })
    }

    /// Whether it is unbroken.
    pub fn is_whole(&self) -> bool {
        self.broken.is_none()
    }
}

fn put(db: &Database, batch: &Batch, sync: bool) -> Result<(), String> {
    let write = || -> Result<(), redb::Error> {
        let mut txn = db.begin_write()?;
        txn.set_durability(if sync { Durability::Immediate } else { Durability::None });
        {
            let mut log = txn.open_table(LOG)?;
            if let Some(from) = batch.cut_from {
                log.retain_in(from.., |_, _| false)?;
            }
            if let Some(to) = batch.cut_to {
                log.retain_in(..=to, |_, _| false)?;
            }
            for (index, bytes) in &batch.entries {
                log.insert(index, bytes.as_slice())?;
            }
            let mut meta = txn.open_table(META)?;
            for (name, bytes) in &batch.meta {
                meta.insert(name, bytes.as_slice())?;
            }
        }
        txn.commit()?;
        Ok(())
    };
    write().map_err(|e| e.to_string())
}

/// Copies all into a fresh file; whether there was anything.
fn copy(from: Option<&Database>, to: &Database) -> Result<bool, String> {
    let mut batch = Batch::default();
    let mut names: Vec<(String, Vec<u8>)> = Vec::new();
    let mut read = |db: &Database| -> Result<(), redb::Error> {
        let txn = db.begin_read()?;
        let log = match txn.open_table(LOG) {
            Ok(log) => log,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(()),
            Err(e) => return Err(e.into()),
        };
        for entry in log.iter()? {
            let (index, bytes) = entry?;
            batch.entries.push((index.value(), bytes.value().to_vec()));
        }
        for entry in txn.open_table(META)?.iter()? {
            let (name, bytes) = entry?;
            names.push((name.value().to_owned(), bytes.value().to_vec()));
        }
        Ok(())
    };
    from.map(&mut read).transpose().map_err(|e| e.to_string())?;
    let any = !names.is_empty();
    if !any {
        names.push(("form".to_owned(), postcard::to_stdvec(&FORM).map_err(|e| e.to_string())?));
    }
    let write = || -> Result<(), redb::Error> {
        let txn = to.begin_write()?;
        {
            let mut log = txn.open_table(LOG)?;
            for (index, bytes) in &batch.entries {
                log.insert(index, bytes.as_slice())?;
            }
            let mut meta = txn.open_table(META)?;
            for (name, bytes) in &names {
                meta.insert(name.as_str(), bytes.as_slice())?;
            }
        }
        txn.commit()?;
        Ok(())
    };
    write().map_err(|e| e.to_string())?;
    Ok(any)
}

/// A store that parts share.
pub type SharedStore = Arc<std::sync::Mutex<Store>>;
