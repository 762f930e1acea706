//! Identity of a front end in a fleet.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one process of a front end by the front end's name and the process's incarnation.
///
/// A process that restarts under the same name has a different incarnation and inherits no lease
/// or other grant from the earlier process. Ids are ordered by name, then by incarnation. The
/// serialized form is the name followed by the incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the front end, as given in its settings.
    pub name: String,
    /// A number that differs for each start of a process under this name. Later starts don't
    /// necessarily have larger numbers.
    pub incarnation: u64,
}

impl MemberId {
    /// Creates the id of one incarnation of the named front end.
    pub fn new(name: impl Into<String>, incarnation: u64) -> MemberId {
        MemberId {
            name: name.into(),
            incarnation,
        }
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}
