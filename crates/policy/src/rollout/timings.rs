//! How long leases and steps of a rollout last.

use beamgap_fleet_types::clock;
use serde::{Deserialize, Serialize};

/// Part of the switch bound that a short lease lasts; the rest is for the response on its way.
const SHORT_LEASE_FRACTION: f64 = 0.8;

/// A fleet's timings, the same for all members. In milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyTimings {
    /// From the first admission under a new version to the last under the old one, at most.
    pub switch_bound_ms: f64,
    /// How long a lease lasts while no change is committed and not yet active.
    pub lease_ms: f64,
    /// How long members have to validate a change.
    pub validation_ms: f64,
    /// By what fraction clocks may run apart from real time.
    pub max_drift: f64,
}

impl Default for PolicyTimings {
    fn default() -> PolicyTimings {
        PolicyTimings {
            switch_bound_ms: 1000.0,
            lease_ms: 5000.0,
            validation_ms: 2000.0,
            max_drift: 0.05,
        }
    }
}

impl PolicyTimings {
    /// Length of a short lease as granted: its holder takes the drift off, so that it ends in time by any clock.
    pub fn short_lease_ms(&self) -> f64 {
        SHORT_LEASE_FRACTION * self.switch_bound_ms
    }

    /// After this time on any clock within the drift, a long lease granted before has expired at its holder.
    pub fn long_leases_expired_after_ms(&self) -> f64 {
        clock::expired_everywhere_after(self.lease_ms, self.max_drift)
    }
}
