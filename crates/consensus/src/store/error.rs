//! Why a store can't be used.

use super::{VoterIdentity, FORMAT_VERSION};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use thiserror::Error;

/// What the disk or the database reported. Kept by a broken store, which reports it on each further use.
#[derive(Clone, Debug, Error)]
pub enum DiskFailure {
    /// Of the file system.
    #[error(transparent)]
    Io(Arc<io::Error>),
    /// Of the database.
    #[error(transparent)]
    Database(Arc<redb::Error>),
    /// A value has no stored form.
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
    /// The disk did not create the new database file.
    #[error("the new file is not there")]
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

/// Texts of the errors that mean a lack of space: ENOSPC, EFBIG (a file-size limit) and EDQUOT (a quota).
const DISK_FULL_TEXTS: [&str; 5] = [
    "os error 28",
    "os error 27",
    "os error 122",
    "StorageFull",
    "no storage space",
];

impl DiskFailure {
    /// Whether the disk has no space left. Recognized by the text, as the database hands on the cause as text alone.
    pub fn is_disk_full(&self) -> bool {
        let text = self.to_string();
        DISK_FULL_TEXTS.iter().any(|full| text.contains(full))
    }
}

/// Why a store can't be used. Each message says what the operator can do.
#[derive(Clone, Debug, Error)]
pub enum StoreError {
    /// Another process has the folder.
    #[error(
        "fleet.folder {}: another process holds it; end that, or give each its own",
        .0.display()
    )]
    Locked(PathBuf),
    /// The folder has another format.
    #[error(
        "fleet.folder {}: is of form {found}, this program reads form {FORMAT_VERSION}; use the program that wrote it",
        folder.display()
    )]
    UnsupportedFormat {
        /// The folder.
        folder: PathBuf,
        /// Its format version.
        found: u32,
    },
    /// The folder is another fleet's, or another slot's.
    #[error(
        "fleet.folder {}: belongs to fleet {}, id {}, founding {:x}; give this decider its own folder",
        folder.display(), found.fleet, found.node_id, found.cluster_id
    )]
    OtherIdentity {
        /// The folder.
        folder: PathBuf,
        /// Whose it is.
        found: VoterIdentity,
    },
    /// The disk has no space left.
    #[error("fleet.folder {}: no room ({source}); free some, it goes on by itself", folder.display())]
    DiskFull {
        /// The folder.
        folder: PathBuf,
        /// What the disk reported.
        source: DiskFailure,
    },
    /// The disk failed in another way.
    #[error("fleet.folder {}: the disk failed ({source}); it is tried again", folder.display())]
    DiskFailed {
        /// The folder.
        folder: PathBuf,
        /// What the disk reported.
        source: DiskFailure,
    },
}

impl StoreError {
    /// The error of a folder whose disk reported a failure.
    pub(super) fn of_disk(folder: PathBuf, source: DiskFailure) -> StoreError {
        if source.is_disk_full() {
            StoreError::DiskFull { folder, source }
        } else {
            StoreError::DiskFailed { folder, source }
        }
    }
}
