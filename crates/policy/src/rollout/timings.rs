//! Durations of leases and of the steps of a rollout.

use beamgap_fleet_types::clock;
use serde::{Deserialize, Serialize};

/// Length of a short lease as a fraction of the switch bound. The rest of the bound is reserved for the time that a
/// response is in transit.
const SHORT_LEASE_FRACTION: f64 = 0.8;

/// Timings that are the same for all members of a fleet. All durations are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyTimings {
    /// Maximum time from the first admission under a new version to the last admission under the old one.
    pub switch_bound_ms: f64,
    /// Length of a long lease, which is granted unless a committed change is awaiting activation.
    pub lease_ms: f64,
    /// Time that members have to validate a proposed change. Afterwards, the change is committed without the missing
    /// reports if at least one member has validated it and none has reported an error.
    pub validation_ms: f64,
    /// Maximum clock drift as a fraction: a clock may run at 1 - `max_drift` to 1 + `max_drift` times real time.
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
    /// Length of a short lease as granted by the leader, in milliseconds. The holder subtracts the maximum clock drift,
    /// so that the lease expires in time even if its clock runs slow.
    pub fn short_lease_ms(&self) -> f64 {
        SHORT_LEASE_FRACTION * self.switch_bound_ms
    }

    /// Time in milliseconds after which a long lease has expired at its holder, as measured by any clock within the
    /// maximum drift from the moment of the grant or later.
    pub fn long_leases_expired_after_ms(&self) -> f64 {
        clock::expired_everywhere_after(self.lease_ms, self.max_drift)
    }
}
