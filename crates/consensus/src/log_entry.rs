//! What the log holds, in the library's words: known to the links that carry it and to the log that keeps it.

use openraft::{BasicNode, Entry};
use serde::{Deserialize, Serialize};
use std::io::Cursor;

/// A command, as the log holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command(pub Vec<u8>);

openraft::declare_raft_types!(
    /// The library's types, filled in.
    pub Types:
        D = Command,
        R = (),
        NodeId = u64,
        Node = BasicNode,
        Entry = Entry<Types>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = openraft::TokioRuntime,
);
