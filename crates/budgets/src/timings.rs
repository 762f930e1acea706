//! Lifetimes of shares and floors.

use serde::{Deserialize, Serialize};

/// The timings that the members and the leader of a fleet use for budgets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetTimings {
    /// Lifetime of a share in milliseconds, counted from when the member sent the poll that requested or renewed it.
    pub share_ms: f64,
    /// Lifetime of a floor in milliseconds, counted like that of a share and as long as the holder's admission lease.
    pub floor_ms: f64,
    /// Bound on clock drift: the largest relative error in the rate of a clock, a fraction from 0 to 1.
    pub max_drift: f64,
}

impl BudgetTimings {
    /// The timings for an admission lease of `lease_ms` milliseconds and a drift bound of `max_drift`, a fraction.
    ///
    /// Shares last half of the lease, long enough to outlast a change of leaders. Floors last as long as the lease.
    pub fn for_lease(lease_ms: f64, max_drift: f64) -> BudgetTimings {
        BudgetTimings {
            share_ms: lease_ms / 2.0,
            floor_ms: lease_ms,
            max_drift,
        }
    }
}
