//! The log's entries, in openraft's terms.

use openraft::{BasicNode, Entry};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// A command of the state machine, as the log holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command(pub Vec<u8>);

openraft::declare_raft_types!(
    /// The type parameters of openraft.
    pub TypeConfig:
        D = Command,
        R = (),
        NodeId = u64,
        Node = BasicNode,
        Entry = Entry<TypeConfig>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = openraft::TokioRuntime,
);
