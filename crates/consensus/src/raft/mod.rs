//! Implementations of the storage and network traits of openraft.
//!
//! - The log and the vote are stored in the [store](crate::store).
//! - The state machine delegates to a [`StateMachine`](crate::StateMachine).
//! - The network uses [connections](crate::connection) between members.

#![allow(clippy::result_large_err)] // openraft's traits prescribe its large error types

mod applied_state;
mod log_storage;
mod network;

pub(crate) use applied_state::{AppliedState, OpenError};
pub(crate) use log_storage::LogStorage;
pub(crate) use network::PeerNetwork;

use crate::log_entry::TypeConfig;
use crate::store::StoreError;
use openraft::{StorageError, StorageIOError};
use serde::{de::DeserializeOwned, Serialize};

/// openraft instantiated with the types of this crate.
pub(crate) type Raft = openraft::Raft<TypeConfig>;
type NodeId = u64;
type RaftStorageError = StorageError<NodeId>;

fn write_error(error: StoreError) -> RaftStorageError {
    StorageIOError::write(&error).into()
}

fn read_error(error: StoreError) -> RaftStorageError {
    StorageIOError::read(&error).into()
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, RaftStorageError> {
    postcard::to_stdvec(value).map_err(|error| StorageIOError::write(&error).into())
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RaftStorageError> {
    postcard::from_bytes(bytes).map_err(|error| StorageIOError::read(&error).into())
}
