//! The errors of the store.

use super::{VoterIdentity, FORMAT_VERSION};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use thiserror::Error;

/// An error of the disk or the database. A broken store returns its first failure on each further use.
#[derive(Clone, Debug, Error)]
pub enum DiskFailure {
    /// An error of the file system.
    #[error(transparent)]
    Io(Arc<io::Error>),
    /// An error of the redb database, which may have an I/O error as its cause.
    #[error(transparent)]
    Database(Arc<redb::Error>),
    /// A value could not be serialized.
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    /// [`Disk::open`](crate::disk::Disk::open) returned no file although it was asked to create one.
    #[error("the new database file was not created")]
    NewFileMissing,
}

impl From<io::Error> for DiskFailure {
    fn from(error: io::Error) -> DiskFailure {
        DiskFailure::Io(Arc::new(error))
    }
}

impl From<redb::Error> for DiskFailure {
    fn from(error: redb::Error) -> DiskFailure {
        DiskFailure::Database(Arc::new(error))
    }
}

impl From<redb::DatabaseError> for DiskFailure {
    fn from(error: redb::DatabaseError) -> DiskFailure {
        redb::Error::from(error).into()
    }
}

/// Substrings of error messages that mean a lack of disk space.
///
/// The error numbers are those of Linux: 28 is ENOSPC, 27 is EFBIG (file size limit), 122 is EDQUOT (disk quota).
const DISK_FULL_TEXTS: [&str; 5] = [
    "os error 28",
    "os error 27",
    "os error 122",
    "StorageFull",
    "no storage space",
];

impl DiskFailure {
    /// Returns whether the disk has no space left.
    ///
    /// Searches the error message, because the database passes on the cause of an error only as text.
    pub fn is_disk_full(&self) -> bool {
        let text = self.to_string();
        DISK_FULL_TEXTS.iter().any(|full| text.contains(full))
    }
}

/// Why a store can't be used. Each message names the data folder and says what the operator can do.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// Another process has locked the folder.
    #[error(
        "fleet.folder {}: another process uses it; stop that process, or give each its own folder",
        .0.display()
    )]
    Locked(PathBuf),
    /// The folder has a format version that this program does not support.
    #[error(
        "fleet.folder {}: has format {found}, this program reads {FORMAT_VERSION}; use the program that wrote it",
        folder.display()
    )]
    UnsupportedFormat {
        /// The data folder.
        folder: PathBuf,
        /// The format version of the folder, or 0 if it can't be read.
        found: u32,
    },
    /// The folder has the identity of another fleet, cluster or node id.
    #[error(
        "fleet.folder {}: belongs to fleet {}, id {}, cluster {:x}; give this decider its own folder",
        folder.display(), found.fleet, found.node_id, found.cluster_id
    )]
    IdentityMismatch {
        /// The data folder.
        folder: PathBuf,
        /// The identity that the folder has.
        found: VoterIdentity,
    },
    /// The folder's identity can't be decoded.
    #[error(
        "fleet.folder {}: the marker can't be read; move the folder away and run `beamgap fleet readmit`",
        .0.display()
    )]
    UnreadableIdentity(PathBuf),
    /// The disk has no space left.
    #[error(
        "fleet.folder {}: no room ({source}); free some space, the decider then resumes by itself",
        folder.display()
    )]
    DiskFull {
        /// The data folder.
        folder: PathBuf,
        /// The failure that the disk reported.
        source: DiskFailure,
    },
    /// The disk failed for a reason other than a lack of space.
    #[error("fleet.folder {}: the disk failed ({source}); opening it is retried", folder.display())]
    DiskFailed {
        /// The data folder.
        folder: PathBuf,
        /// The failure that the disk reported.
        source: DiskFailure,
    },
    /// The thread of an operation ended before the operation did.
    #[error("the operation on the data folder was interrupted")]
    Interrupted,
}

impl From<tokio::task::JoinError> for StoreError {
    fn from(_: tokio::task::JoinError) -> StoreError {
        StoreError::Interrupted
    }
}

impl StoreError {
    /// Classifies a disk failure as a lack of space or another failure.
    pub(super) fn from_disk_failure(folder: PathBuf, source: DiskFailure) -> StoreError {
        if source.is_disk_full() {
            StoreError::DiskFull { folder, source }
        } else {
            StoreError::DiskFailed { folder, source }
        }
    }
}
