//! Fencing tokens.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a lease. It grows with every lease that is granted, whatever its task, over the
/// whole life of a fleet.
///
/// A target that has seen a newer token of a task refuses older ones: this protects it from a
/// holder that stood still between its last look at the clock and its action. The default, 0, is
/// the token of no lease.
///
/// The serialized form is the bare number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The token of this number.
    pub const fn new(number: u64) -> FencingToken {
        FencingToken(number)
    }

    /// Its number.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The token of the lease that is granted after this one.
    pub(crate) const fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
