//! The interface to the disk: real files, or what a test puts in their place.

pub use redb::StorageBackend;
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::Arc;

/// The disk that holds a data folder. Errors are passed on unchanged; the store gives them their meaning.
pub trait Disk: Send + Sync + 'static {
    /// Opens a file for the store, empty if `create` is set. `None` if it does not exist.
    ///
    /// # Errors
    /// Those of the file system.
    fn open(&self, path: &Path, create: bool) -> io::Result<Option<Box<dyn StorageBackend>>>;

    /// Replaces one file by another durably: the folder's entry is synced too.
    ///
    /// # Errors
    /// Those of the file system.
    fn replace(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// A disk that parts of the program share.
pub type SharedDisk = Arc<dyn Disk>;

/// The file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct FileDisk;

impl Disk for FileDisk {
    fn open(&self, path: &Path, create: bool) -> io::Result<Option<Box<dyn StorageBackend>>> {
        let mut options = File::options();
        options
            .read(true)
            .write(true)
            .create(create)
            .truncate(create);
        let file = match options.open(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound && !create => return Ok(None),
            file => file?,
        };
        let backend = redb::backends::FileBackend::new(file).map_err(io::Error::other)?;
        Ok(Some(Box::new(backend)))
    }

    fn replace(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)?;
        let parent = to.parent().filter(|path| !path.as_os_str().is_empty());
        File::open(parent.unwrap_or(Path::new(".")))?.sync_all()
    }
}

/// A boxed backend: redb takes its backend by value.
#[derive(Debug)]
pub(crate) struct BoxedBackend(pub Box<dyn StorageBackend>);

impl StorageBackend for BoxedBackend {
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
