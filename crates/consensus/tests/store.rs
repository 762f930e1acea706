//! A voter's disk under failure: no space midway, failed and ignored fsyncs, power cuts, two processes, other formats.

use beamgap_consensus::disk::{Disk, FileDisk, SharedDisk};
use beamgap_consensus::store::{Batch, Store, StoreError, VoterIdentity};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// A disk in memory. Writes are durable only after a sync. Can be made to fail from its n-th operation on.
#[derive(Debug, Default)]
struct Inner {
    files: BTreeMap<PathBuf, Arc<Mutex<Bytes>>>,
    operations: u64,
    fails_from: Option<(u64, Failure)>,
}

#[derive(Debug, Default)]
struct Bytes {
    now: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// ENOSPC on every write.
    Full,
    /// Half of a write goes through, then EIO.
    Short,
    /// Syncs fail, and what they were to sync is lost with the cache later.
    Sync,
}

#[derive(Clone, Debug, Default)]
struct Memory(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct File {
    disk: Memory,
    bytes: Arc<Mutex<Bytes>>,
}

impl Memory {
    /// Counts an operation; the failure that it meets.
    fn operation(&self) -> Option<Failure> {
        let mut inner = self.0.lock().unwrap();
        inner.operations += 1;
        inner
            .fails_from
            .filter(|(from, _)| inner.operations >= *from)
            .map(|(_, failure)| failure)
    }

    fn fail_from(&self, from: Option<(u64, Failure)>) {
        let mut inner = self.0.lock().unwrap();
        inner.fails_from = from.map(|(n, failure)| (inner.operations + n, failure));
    }

    /// The power goes: what was not synced is lost.
    fn cut(&self) {
        for bytes in self.0.lock().unwrap().files.values() {
            let mut bytes = bytes.lock().unwrap();
            bytes.now = bytes.synced.clone();
        }
    }
}

impl Disk for Memory {
    fn open(&self, path: &Path, new: bool) -> io::Result<Option<Box<dyn StorageBackend>>> {
        let mut inner = self.0.lock().unwrap();
        if new {
            inner.files.insert(path.to_owned(), Arc::default());
        }
        let bytes = inner.files.get(path).cloned();
        Ok(bytes.map(|bytes| {
            Box::new(File {
                disk: self.clone(),
                bytes,
            }) as Box<dyn StorageBackend>
        }))
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        if self.operation().is_some() {
            return Err(io::Error::from_raw_os_error(5));
        }
        let mut inner = self.0.lock().unwrap();
        let file = inner.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        inner.files.insert(to.to_owned(), file);
        Ok(())
    }
}

impl StorageBackend for File {
    fn len(&self) -> io::Result<u64> {
        Ok(self.bytes.lock().unwrap().now.len() as u64)
    }
    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let bytes = self.bytes.lock().unwrap();
        let part = bytes.now.get(offset as usize..offset as usize + len);
        part.map(<[u8]>::to_vec)
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        if let Some(Failure::Full | Failure::Short) = self.disk.operation() {
            return Err(io::Error::from_raw_os_error(28));
        }
        self.bytes.lock().unwrap().now.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self, _: bool) -> io::Result<()> {
        let failure = self.disk.operation();
        let mut bytes = self.bytes.lock().unwrap();
        if failure == Some(Failure::Sync) {
            return Err(io::Error::from_raw_os_error(5));
        }
        bytes.synced = bytes.now.clone();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let failure = self.disk.operation();
        let mut bytes = self.bytes.lock().unwrap();
        let whole = if failure == Some(Failure::Short) {
            data.len() / 2
        } else {
            data.len()
        };
        if failure == Some(Failure::Full) {
            return Err(io::Error::from_raw_os_error(28));
        }
        let end = offset as usize + whole;
        if bytes.now.len() < end {
            bytes.now.resize(end, 0);
        }
        bytes.now[offset as usize..end].copy_from_slice(&data[..whole]);
        if failure == Some(Failure::Short) {
            return Err(io::Error::from_raw_os_error(5));
        }
        Ok(())
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("beamgap-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn batch(index: u64) -> Batch {
    Batch {
        entries: vec![(index, vec![index as u8; 300])],
        meta: vec![("vote", vec![index as u8])],
        ..Batch::default()
    }
}

/// The indices of a store's log, and its vote.
fn contents(store: &Store) -> (Vec<u64>, u64) {
    let entries = store.entries(..).unwrap();
    assert!(
        entries
            .iter()
            .all(|e| e.len() == 300 && e.iter().all(|b| *b == e[0])),
        "no entry is partial"
    );
    let vote = store.get("vote").unwrap().map_or(0, |v| u64::from(v[0]));
    (entries.iter().map(|e| u64::from(e[0])).collect(), vote)
}

#[test]
fn promise_5_after_any_disk_failure_no_acknowledged_write_is_lost_and_none_is_partial() {
    let folder = folder("fails");
    for failure in [Failure::Full, Failure::Short, Failure::Sync] {
        for at in (1..60).step_by(3) {
            let memory = Memory::default();
            let disk: SharedDisk = Arc::new(memory.clone());
            let mut store = Store::open(&folder, &disk, true).unwrap();
            (1..=3).for_each(|i| store.write(&batch(i)).unwrap());
            memory.fail_from(Some((at, failure)));
            let mut acknowledged = 3;
            for i in 4..=25 {
                match store.write(&batch(i)) {
                    Ok(()) => acknowledged = i,
                    Err(e) => {
                        let expected = match failure {
                            Failure::Full => matches!(e, StoreError::DiskFull { .. }),
                            Failure::Short | Failure::Sync => {
                                matches!(e, StoreError::DiskFailed { .. })
                            }
                        };
                        assert!(expected, "{e}");
                        break;
                    }
                }
            }
            if acknowledged < 25 {
                assert!(
                    store.write(&batch(99)).is_err() && store.entries(..).is_err(),
                    "a broken store does nothing"
                );
                assert!(!store.is_healthy());
            }
            drop(store);
            // The power goes too, while the disk still fails; opening fails or works, and loses nothing.
            memory.cut();
            drop(Store::open(&folder, &disk, true));
            memory.cut();
            memory.fail_from(None);
            let store = Store::open(&folder, &disk, true)
                .unwrap_or_else(|e| panic!("{failure:?} at {at}: {e}"));
            let (log, vote) = contents(&store);
            let last = log.last().copied().unwrap_or(0);
            assert_eq!(
                log,
                (1..=last).collect::<Vec<_>>(),
                "{failure:?} at {at}: no hole"
            );
            assert!(
                last >= acknowledged && last <= acknowledged + 1 && vote == last,
                "{failure:?} at {at}: {last}, {acknowledged} acknowledged"
            );
        }
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_store_that_does_not_sync_loses_acknowledged_writes() {
    // The injected bug of the fault harness, which syncs the first writes and each eighth: this test must detect it.
    let (folder, memory) = (folder("unsynced"), Memory::default());
    let disk: SharedDisk = Arc::new(memory.clone());
    let mut store = Store::open(&folder, &disk, false).unwrap();
    (1..=14).for_each(|i| store.write(&batch(i)).unwrap());
    memory.cut();
    std::mem::forget(store); // A process that is killed ends nothing.
    let other = folder.with_extension("other");
    let store = Store::open(&other, &{ memory_at(&memory, &folder, &other) }, true).unwrap();
    assert!(contents(&store).0.len() < 14, "{:?}", contents(&store));
    std::fs::remove_dir_all(folder).unwrap();
    std::fs::remove_dir_all(other).unwrap();
}

/// The same files under another folder, whose lock nobody holds.
fn memory_at(memory: &Memory, from: &Path, to: &Path) -> SharedDisk {
    let inner = memory.0.lock().unwrap();
    let moved = Memory::default();
    for (path, bytes) in &inner.files {
        let name = path.strip_prefix(from).unwrap();
        moved
            .0
            .lock()
            .unwrap()
            .files
            .insert(to.join(name), bytes.clone());
    }
    Arc::new(moved)
}

#[test]
fn a_second_process_another_format_and_another_identity_are_rejected_with_advice() {
    let folder = folder("refused");
    let disk: SharedDisk = Arc::new(FileDisk);
    let mut store = Store::open(&folder, &disk, true).unwrap();
    let locked = Store::open(&folder, &disk, true).unwrap_err();
    assert!(
        matches!(locked, StoreError::Locked(_)) && locked.to_string().contains("another process"),
        "{locked}"
    );
    let identity = VoterIdentity {
        fleet: "f".to_owned(),
        cluster_id: 7,
        node_id: 2,
    };
    store.write_identity(&identity).unwrap();
    store.write_identity(&identity).unwrap();
    let other = store
        .write_identity(&VoterIdentity {
            node_id: 3,
            ..identity.clone()
        })
        .unwrap_err();
    assert!(
        other.to_string().contains("belongs to fleet f, id 2"),
        "{other}"
    );
    store
        .write(&Batch {
            truncate_from: Some(1),
            ..batch(1)
        })
        .unwrap();
    drop(store);
    let mut store = Store::open(&folder, &disk, true).unwrap();
    assert_eq!(
        (store.identity().unwrap(), contents(&store)),
        (Some(identity), (vec![1], 1))
    );
    (2..=9).for_each(|i| store.write(&batch(i)).unwrap());
    store
        .write(&Batch {
            purge_to: Some(3),
            truncate_from: Some(8),
            ..Batch::default()
        })
        .unwrap();
    assert_eq!(contents(&store).0, (4..=7).collect::<Vec<_>>());
    store
        .write(&Batch {
            meta: vec![("form", vec![9])],
            ..Batch::default()
        })
        .unwrap();
    drop(store);
    let unsupported = Store::open(&folder, &disk, true).unwrap_err();
    assert!(
        matches!(unsupported, StoreError::UnsupportedFormat { found: 9, .. }),
        "{unsupported}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}
