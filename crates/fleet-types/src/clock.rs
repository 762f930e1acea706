//! Lease expiry under bounded clock drift.
//!
//! Every clock is assumed to run between `1 - max_drift` and `1 + max_drift` times as fast as real
//! time, where `max_drift` is a fraction from 0 to 1. The bound on leases under drift follows Gray
//! and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
//! Consistency" (SOSP 1989). All lengths are in milliseconds.

/// How long a holder may use a lease, in milliseconds on the holder's own clock, counted from when
/// the holder sent the request for it.
pub fn usable_for(length_ms: f64, max_drift: f64) -> f64 {
    length_ms * (1.0 - max_drift)
}

/// Time in milliseconds after which a lease has certainly expired at its holder, whichever clock
/// within the drift bound measures it.
pub fn expired_everywhere_after(length_ms: f64, max_drift: f64) -> f64 {
    length_ms * (1.0 + max_drift) / (1.0 - max_drift)
}
