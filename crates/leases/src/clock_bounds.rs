//! The bounds on clocks that all members of a fleet agree on.

use beamgap_fleet_types::clock;
use serde::{Deserialize, Serialize};

/// The bounds on clocks, the same for all members.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClockBounds {
    /// By what fraction a clock may run faster or slower than real time.
    pub max_drift: f64,
    /// How long before the end of its lease a holder stops, as a fraction of the lease's length.
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
    /// For how many milliseconds a holder may use a lease, by its own clock, counted from when it
    /// asked for it.
    pub fn usable_for(&self, length_ms: f64) -> f64 {
        length_ms * (1.0 - self.max_drift - self.safety_margin).max(0.0)
    }

    /// The milliseconds after which a lease has expired at its holder, as measured by any other
    /// clock.
    pub fn expired_everywhere_after(&self, length_ms: f64) -> f64 {
        clock::expired_everywhere_after(length_ms, self.max_drift)
    }
}
