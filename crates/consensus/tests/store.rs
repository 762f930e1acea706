//! Tests the store on a failing disk (no space, short writes, failed and skipped fsyncs, power cuts), and the rejection
//! of data folders that are locked or have another format or identity.

use beamgap_consensus::disk::{Disk, FileDisk, SharedDisk};
use beamgap_consensus::store::{Batch, Store, StoreError, VoterIdentity};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// The state of a simulated disk in memory. Writes become durable on a sync. A test can make operations fail.
#[derive(Debug, Default)]
struct DiskState {
    files: BTreeMap<PathBuf, Arc<Mutex<FileContents>>>,
    /// Number of writes, resizes, syncs and renames so far.
    operations: u64,
    /// Number of the first operation that fails, and how this one and all later ones fail.
    fails_from: Option<(u64, Failure)>,
}

/// The contents of a file, before and after a power cut.
#[derive(Debug, Default)]
struct FileContents {
    /// The contents that a process reads, including unsynced writes.
    current: Vec<u8>,
    /// The contents at the last sync, which are all that is left after a power cut.
    synced: Vec<u8>,
}

/// How operations of the disk fail. Renames fail with EIO for each kind of failure.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Failure {
    /// Writes and resizes fail with ENOSPC.
    NoSpace,
    /// Writes write half of the data and then fail with EIO; resizes fail with ENOSPC.
    ShortWrite,
    /// Syncs fail with EIO, so that a later power cut loses the unsynced writes.
    FailedSync,
}

/// A simulated disk in memory. Clones share the same files.
#[derive(Clone, Debug, Default)]
struct MemoryDisk(Arc<Mutex<DiskState>>);

/// An open file of a [`MemoryDisk`].
#[derive(Debug)]
struct MemoryFile {
    disk: MemoryDisk,
    contents: Arc<Mutex<FileContents>>,
}

impl MemoryDisk {
    /// Counts an operation, and returns the failure to simulate for it, if any.
    fn count_operation(&self) -> Option<Failure> {
        let mut state = self.0.lock().unwrap();
        state.operations += 1;
        state
            .fails_from
            .filter(|(from, _)| state.operations >= *from)
            .map(|(_, failure)| failure)
    }

    /// Makes operations fail from the n-th one after this call, or repairs the disk if `from` is `None`.
    fn fail_from(&self, from: Option<(u64, Failure)>) {
        let mut state = self.0.lock().unwrap();
        state.fails_from = from.map(|(n, failure)| (state.operations + n, failure));
    }

    /// Simulates a power cut, which loses all unsynced writes.
    fn cut_power(&self) {
        for contents in self.0.lock().unwrap().files.values() {
            let mut contents = contents.lock().unwrap();
            contents.current = contents.synced.clone();
        }
    }
}

impl Disk for MemoryDisk {
    fn open(&self, path: &Path, create: bool) -> io::Result<Option<Box<dyn StorageBackend>>> {
        let mut state = self.0.lock().unwrap();
        if create {
            state.files.insert(path.to_owned(), Arc::default());
        }
        let contents = state.files.get(path).cloned();
        Ok(contents.map(|contents| {
            Box::new(MemoryFile {
                disk: self.clone(),
                contents,
            }) as Box<dyn StorageBackend>
        }))
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        if self.count_operation().is_some() {
            return Err(io::Error::from_raw_os_error(5));
        }
        let mut state = self.0.lock().unwrap();
        let file = state.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.files.insert(to.to_owned(), file);
        Ok(())
    }
}

impl StorageBackend for MemoryFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.contents.lock().unwrap().current.len() as u64)
    }
    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let contents = self.contents.lock().unwrap();
        let part = contents.current.get(offset as usize..offset as usize + len);
        part.map(<[u8]>::to_vec)
            .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        if let Some(Failure::NoSpace | Failure::ShortWrite) = self.disk.count_operation() {
            return Err(io::Error::from_raw_os_error(28));
        }
        self.contents
            .lock()
            .unwrap()
            .current
            .resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self, _: bool) -> io::Result<()> {
        let failure = self.disk.count_operation();
        let mut contents = self.contents.lock().unwrap();
        if failure == Some(Failure::FailedSync) {
            return Err(io::Error::from_raw_os_error(5));
        }
        contents.synced = contents.current.clone();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let failure = self.disk.count_operation();
        let mut contents = self.contents.lock().unwrap();
        let written = if failure == Some(Failure::ShortWrite) {
            data.len() / 2
        } else {
            data.len()
        };
        if failure == Some(Failure::NoSpace) {
            return Err(io::Error::from_raw_os_error(28));
        }
        let end = offset as usize + written;
        if contents.current.len() < end {
            contents.current.resize(end, 0);
        }
        contents.current[offset as usize..end].copy_from_slice(&data[..written]);
        if failure == Some(Failure::ShortWrite) {
            return Err(io::Error::from_raw_os_error(5));
        }
        Ok(())
    }
}

/// Returns the path of an empty folder for a test.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("beamgap-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

/// Returns a batch with one log entry and a vote that both contain `index`.
fn batch(index: u64) -> Batch {
    Batch {
        entries: vec![(index, vec![index as u8; 300])],
        meta: vec![("vote", vec![index as u8])],
        ..Batch::default()
    }
}

/// Returns the indices of the log entries in a store, and the vote. Checks that each entry is complete.
fn contents(store: &Store) -> (Vec<u64>, u64) {
    let entries = store.entries(..).unwrap();
    assert!(
        entries
            .iter()
            .all(|e| e.len() == 300 && e.iter().all(|b| *b == e[0])),
        "a log entry is partial"
    );
    let vote = store.get("vote").unwrap().map_or(0, |v| u64::from(v[0]));
    (entries.iter().map(|e| u64::from(e[0])).collect(), vote)
}

// Guards against a store that loses an acknowledged write, or keeps part of a write, when the disk fails.
// The test makes the disk fail at different operations, cuts the power twice, and opens the store on the repaired disk.
#[test]
fn promise_5_after_any_disk_failure_no_acknowledged_write_is_lost_and_none_is_partial() {
    let folder = folder("fails");
    for failure in [Failure::NoSpace, Failure::ShortWrite, Failure::FailedSync] {
        for failing_operation in (1..60).step_by(3) {
            let memory = MemoryDisk::default();
            let disk: SharedDisk = Arc::new(memory.clone());
            let store = Store::open(&folder, &disk, true).unwrap();
            (1..=3).for_each(|i| store.write(&batch(i)).unwrap());
            memory.fail_from(Some((failing_operation, failure)));
            let mut acknowledged = 3;
            for i in 4..=25 {
                match store.write(&batch(i)) {
                    Ok(()) => acknowledged = i,
                    Err(e) => {
                        let expected = match failure {
                            Failure::NoSpace => matches!(e, StoreError::DiskFull { .. }),
                            Failure::ShortWrite | Failure::FailedSync => {
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
                    "a broken store must reject reads and writes"
                );
                assert!(!store.is_healthy());
            }
            drop(store);
            // Power is cut while the disk still fails. The next open may fail or succeed, but must lose nothing.
            memory.cut_power();
            drop(Store::open(&folder, &disk, true));
            memory.cut_power();
            memory.fail_from(None);
            let store = Store::open(&folder, &disk, true)
                .unwrap_or_else(|e| panic!("{failure:?} at operation {failing_operation}: {e}"));
            let (log, vote) = contents(&store);
            let last = log.last().copied().unwrap_or(0);
            assert_eq!(
                log,
                (1..=last).collect::<Vec<_>>(),
                "{failure:?} at operation {failing_operation}: the log has a hole"
            );
            assert!(
                last >= acknowledged && last <= acknowledged + 1 && vote == last,
                "{failure:?} at operation {failing_operation}: last entry {last}, {acknowledged} acknowledged"
            );
        }
    }
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_store_that_does_not_sync_loses_acknowledged_writes() {
    // The fault harness can inject this bug: the store syncs only the first eight writes, and then every eighth write.
    // A power cut must lose acknowledged writes in this case, because the bug would be undetectable otherwise.
    let (folder, memory) = (folder("unsynced"), MemoryDisk::default());
    let disk: SharedDisk = Arc::new(memory.clone());
    let store = Store::open(&folder, &disk, false).unwrap();
    (1..=14).for_each(|i| store.write(&batch(i)).unwrap());
    memory.cut_power();
    std::mem::forget(store); // A killed process does not close its store, so the store must not be dropped.
    let other = folder.with_extension("other");
    let store = Store::open(&other, &{ memory_at(&memory, &folder, &other) }, true).unwrap();
    assert!(contents(&store).0.len() < 14, "{:?}", contents(&store));
    std::fs::remove_dir_all(folder).unwrap();
    std::fs::remove_dir_all(other).unwrap();
}

/// Returns a disk with the same files in another folder, because the lock of the first folder is still held.
fn memory_at(memory: &MemoryDisk, from: &Path, to: &Path) -> SharedDisk {
    let state = memory.0.lock().unwrap();
    let moved = MemoryDisk::default();
    for (path, contents) in &state.files {
        let name = path.strip_prefix(from).unwrap();
        moved
            .0
            .lock()
            .unwrap()
            .files
            .insert(to.join(name), contents.clone());
    }
    Arc::new(moved)
}

// Guards against opening a folder that belongs to another process, voter or format version. Errors must name the cause.
/// An identity that can't be decoded must not count as none: the voter would get a new one, and might vote twice in a term.
#[test]
fn an_identity_that_cannot_be_decoded_is_an_error_and_is_not_replaced() {
    let folder = folder("unreadable-identity");
    let disk: SharedDisk = Arc::new(FileDisk);
    let store = Store::open(&folder, &disk, true).unwrap();
    let unreadable = vec![0xff; 3];
    store
        .write(&Batch {
            meta: vec![("marker", unreadable.clone())],
            ..Batch::default()
        })
        .unwrap();
    let identity = VoterIdentity {
        fleet: "f".to_owned(),
        cluster_id: 7,
        node_id: 2,
    };
    let results = [
        store.identity().map(|_| ()),
        store.write_identity(&identity),
    ];
    for result in results {
        let error = result.unwrap_err().to_string();
        assert!(error.contains("the marker can't be read"), "{error}");
    }
    assert_eq!(store.get("marker").unwrap(), Some(unreadable));
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_second_process_another_format_and_another_identity_are_rejected_with_advice() {
    let folder = folder("refused");
    let disk: SharedDisk = Arc::new(FileDisk);
    let store = Store::open(&folder, &disk, true).unwrap();
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
    let store = Store::open(&folder, &disk, true).unwrap();
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
