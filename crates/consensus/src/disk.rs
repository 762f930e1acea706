//! The interface between the store and the file system, which tests replace by simulated disks.

pub use redb::StorageBackend;
use std::fs::File;
use std::io;
use std::path::Path;
use std::sync::Arc;

/// The file system that stores a data folder. Methods return I/O errors unchanged; the store classifies them.
pub trait Disk: Send + Sync + 'static {
    /// Opens a file for reading and writing.
    ///
    /// With `create`, a missing file is created and an existing file is truncated.
    /// Without `create`, the result is `None` if the file does not exist.
    ///
    /// # Errors
    /// The error of the file system if the file can't be opened.
    fn open(&self, path: &Path, create: bool) -> io::Result<Option<Box<dyn StorageBackend>>>;

    /// Renames `from` to `to`, replacing an existing file. The rename is durable: the parent folder is synced too.
    ///
    /// # Errors
    /// The error of the file system if the rename or the sync of the parent folder fails.
    fn replace(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// A reference-counted [`Disk`], shared between the parts of a process.
pub type SharedDisk = Arc<dyn Disk>;

/// The [`Disk`] of production: files of the operating system.
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

/// Wraps a boxed storage backend, because redb requires a sized type that implements [`StorageBackend`].
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
