//! Points in time and durations in microseconds.

/// A point in time or a duration, in microseconds. Points in time count from an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// Returns a duration of `ms` milliseconds; saturates instead of overflowing.
    pub const fn from_millis(ms: u64) -> Micros {
        Micros(ms.saturating_mul(1000))
    }
    /// Returns the duration in milliseconds, including fractions.
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// Adds a duration to this point in time or duration; saturates instead of overflowing.
    pub fn plus(self, more: Micros) -> Micros {
        Micros(self.0.saturating_add(more.0))
    }
    /// Returns the time since `earlier`, or zero if `earlier` is later than this point in time.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}
