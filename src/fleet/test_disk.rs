//! A disk for tests whose power can be cut: what was not synced is lost with the process, and fsync can be made to fail.

use beamgap_consensus::disk::{Disk, FileDisk, StorageBackend};
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// While a file of this name is in the decider's folder, each fsync there fails.
pub const FSYNC_FAILS: &str = "fsync-fails";

/// Real files that are written to only by fsync.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerCut;

impl Disk for PowerCut {
    fn open(&self, path: &Path, new: bool) -> io::Result<Option<Box<dyn StorageBackend>>> {
        let Some(inner) = FileDisk.open(path, new)? else { return Ok(None) };
        let bytes = inner.read(0, inner.len()? as usize)?;
        let flag = path.with_file_name(FSYNC_FAILS);
        Ok(Some(Box::new(Cached { inner, flag, state: Mutex::new(State { bytes, dirty: Vec::new() }) })))
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        FileDisk.replace(from, to)
    }
}

/// What the system's cache would hold.
#[derive(Debug)]
struct State {
    bytes: Vec<u8>,
    dirty: Vec<Range<usize>>,
}

#[derive(Debug)]
struct Cached {
    inner: Box<dyn StorageBackend>,
    flag: PathBuf,
    state: Mutex<State>,
}

impl Cached {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn short() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

impl StorageBackend for Cached {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state().bytes.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let from = offset as usize;
        self.state().bytes.get(from..from + len).map(<[u8]>::to_vec).ok_or_else(short)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.state();
        state.bytes.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        if self.flag.exists() {
            return Err(io::Error::from_raw_os_error(5)); // EIO: what was to be written counts as lost
        }
        let mut state = self.state();
        self.inner.set_len(state.bytes.len() as u64)?;
        for range in std::mem::take(&mut state.dirty) {
            let range = range.start..range.end.min(state.bytes.len());
            if !range.is_empty() {
                self.inner.write(range.start as u64, &state.bytes[range])?;
            }
        }
        self.inner.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let (from, mut state) = (offset as usize, self.state());
        let range = from..from + data.len();
        state.bytes.get_mut(range.clone()).ok_or_else(short)?.copy_from_slice(data);
        state.dirty.push(range);
        Ok(())
    }
}
