//! Bounds on clock drift that all members of a fleet assume.

use beamgap_fleet_types::clock;
use serde::{Deserialize, Serialize};

/// Bounds on clock drift and the safety margin of leases, the same for all members.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClockBounds {
    /// Largest fraction by which a clock may run faster or slower than real time.
    pub max_drift: f64,
    /// How long before the end of a lease its holder stops using it, as a fraction of the lease's
    /// length.
    pub safety_margin: f64,
}

impl Default for ClockBounds {
    fn default() -> ClockBounds {
        ClockBounds {
            max_drift: 0.05,
            safety_margin: 0.05,
        }
    }
}

impl ClockBounds {
    /// How long a holder may use a lease, in milliseconds on the holder's own clock, counted from
    /// when the holder sent the poll that obtained or renewed the lease.
    pub fn usable_for(&self, length_ms: f64) -> f64 {
        length_ms * (1.0 - self.max_drift - self.safety_margin).max(0.0)
    }

    /// Time in milliseconds after which a lease has certainly expired at its holder, whichever
    /// clock within the drift bound measures it.
    pub fn expired_everywhere_after(&self, length_ms: f64) -> f64 {
        clock::expired_everywhere_after(length_ms, self.max_drift)
    }
}
