//! The identity of a front end in a fleet.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A front end of a fleet: its name, and which incarnation of it.
///
/// A process that restarts under the same name is another incarnation. It holds nothing of what the earlier one
/// was granted. Ids are ordered by name, then by incarnation. The serialized form is the name followed by the
/// incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The name given in the settings.
    pub name: String,
    /// Differs for each start of the process under this name. It does not grow.
    pub incarnation: u64,
}

impl MemberId {
    /// The id of one incarnation of the named front end.
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
