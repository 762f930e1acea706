//! The types of log entries, as openraft requires them.

use openraft::{BasicNode, Entry};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// A serialized command of the state machine, which is the payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command(pub Vec<u8>);

openraft::declare_raft_types!(
    /// The types that openraft is instantiated with.
    pub TypeConfig:
        D = Command,
        R = (),
        NodeId = u64,
        Node = BasicNode,
        Entry = Entry<TypeConfig>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = openraft::TokioRuntime,
);
