//! A disk for tests that simulates power failures, failing fsync and slow fsync.
//!
//! Writes stay in the memory of the process until they are synced. Killing the process therefore discards the writes
//! that were not synced, as a power failure would.

use beamgap_consensus::disk::{Disk, FileDisk, StorageBackend};
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// While a file of this name exists in the voter's data folder, each fsync of a file in that folder fails.
pub const FSYNC_FAILS_FILE: &str = "fsync-fails";
/// The `errno` value for an input/output error, which a failing fsync returns.
const EIO: i32 = 5;

/// A disk whose files receive writes only when they are synced.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerCutDisk {
    /// Time by which each fsync takes longer than the real one.
    pub fsync_delay: Duration,
}

impl Disk for PowerCutDisk {
    fn open(&self, path: &Path, create: bool) -> io::Result<Option<Box<dyn StorageBackend>>> {
        let Some(file) = FileDisk.open(path, create)? else { return Ok(None) };
        let bytes = file.read(0, file.len()? as usize)?;
        let cache = Mutex::new(Cache { bytes, dirty: Vec::new() });
        let fsync_fails = path.with_file_name(FSYNC_FAILS_FILE);
        let fsync_delay = self.fsync_delay;
        Ok(Some(Box::new(CachedFile { file, fsync_fails, fsync_delay, cache })))
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        FileDisk.replace(from, to)
    }
}

/// The content of a file, including writes that were not synced, and the byte ranges of these writes.
#[derive(Debug)]
struct Cache {
    bytes: Vec<u8>,
    dirty: Vec<Range<usize>>,
}

#[derive(Debug)]
struct CachedFile {
    file: Box<dyn StorageBackend>,
    /// Path of the file whose existence makes fsync fail.
    fsync_fails: PathBuf,
    /// Time by which each fsync takes longer than the real one.
    fsync_delay: Duration,
    cache: Mutex<Cache>,
}

impl CachedFile {
    fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes the writes that were not synced on to the file.
    fn write_back(&self) -> io::Result<()> {
        let mut cache = self.cache();
        self.file.set_len(cache.bytes.len() as u64)?;
        for range in std::mem::take(&mut cache.dirty) {
            let range = range.start..range.end.min(cache.bytes.len());
            if !range.is_empty() {
                self.file.write(range.start as u64, &cache.bytes[range])?;
            }
        }
        Ok(())
    }
}

fn beyond_end() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

impl StorageBackend for CachedFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.cache().bytes.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let start = offset as usize;
        let cache = self.cache();
        let bytes = cache.bytes.get(start..start + len).ok_or_else(beyond_end)?;
        Ok(bytes.to_vec())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.cache().bytes.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        if self.fsync_fails.exists() {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        self.write_back()?;
        std::thread::sleep(self.fsync_delay);
        self.file.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let start = offset as usize;
        let range = start..start + data.len();
        let mut cache = self.cache();
        let target = cache.bytes.get_mut(range.clone()).ok_or_else(beyond_end)?;
        target.copy_from_slice(data);
        cache.dirty.push(range);
        Ok(())
    }
}
