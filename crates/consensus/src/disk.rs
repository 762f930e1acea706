//! The seam to the disk: real files, or what a test puts in their place.

pub use redb::StorageBackend as Backend;
use redb::StorageBackend;
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::Arc;

/// A folder's disk. Each failure is passed on as it is: the store gives it its one meaning.
pub trait Disk: Send + Sync + 'static {
    /// Opens a file for the store, empty if `new`. `None` if it is not there.
    fn open(&self, path: &Path, new: bool) -> io::Result<Option<Box<dyn StorageBackend>>>;
    /// Puts one file in the place of another, for good: also the folder's entry is synced.
    fn replace(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The real one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Files;

impl Disk for Files {
    fn open(&self, path: &Path, new: bool) -> io::Result<Option<Box<dyn StorageBackend>>> {
        let mut options = File::options();
        options.read(true).write(true).create(new).truncate(new);
        let file = match options.open(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound && !new => return Ok(None),
            file => file?,
        };
        let backend = redb::backends::FileBackend::new(file).map_err(io::Error::other)?;
        Ok(Some(Box::new(backend)))
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)?;
        let folder = to.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        File::open(folder)?.sync_all()
    }
}

/// A boxed backend, as redb takes one by value.
#[derive(Debug)]
pub(crate) struct Boxed(pub Box<dyn StorageBackend>);

impl StorageBackend for Boxed {
    fn len(&self) -> io::Result<u64> {
        self.0.len()
    }
    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.0.read(offset, len)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.0.set_len(len)
    }
    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.0.sync_data(eventual)
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.0.write(offset, data)
    }
}

/// A shared disk.
pub type SharedDisk = Arc<dyn Disk>;
