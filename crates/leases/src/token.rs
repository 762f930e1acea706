//! Fencing tokens, which number the leases that are granted.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Fencing token: the number of a lease.
///
/// The number increases with every lease that is granted for any task, over the whole lifetime of a
/// fleet. The target of a task's actions should refuse tokens older than the newest that it has
/// seen for that task. This protects the target from a holder that was paused between its last
/// check of the clock and its action. The default, 0, belongs to no lease.
///
/// The token is serialized as a plain number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Creates the token with this number.
    pub const fn new(number: u64) -> FencingToken {
        FencingToken(number)
    }

    /// Number of the token.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The token of the lease that is granted directly after this one, for whichever task.
    pub(crate) const fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
