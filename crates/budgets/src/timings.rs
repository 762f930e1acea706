//! How long shares last.

use serde::{Deserialize, Serialize};

/// The fleet's timings that bear on budgets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetTimings {
    /// How long a share lasts from when it was requested, in milliseconds.
    pub share_ms: f64,
    /// How long a floor lasts, in milliseconds: as long as its holder's admission lease.
    pub floor_ms: f64,
    /// Bound on clock drift, a fraction from 0 to 1.
    pub max_drift: f64,
}

impl BudgetTimings {
    /// The timings for an admission lease of this length.
    ///
    /// A share lasts half of the lease, so that shares outlast a change of leaders; a floor lasts to the lease's end.
    pub fn for_lease(lease_ms: f64, max_drift: f64) -> BudgetTimings {
        BudgetTimings {
            share_ms: lease_ms / 2.0,
            floor_ms: lease_ms,
            max_drift,
        }
    }
}
