//! Time as the module sees it: microseconds from a start that means nothing.

/// A point in time or a length of time, in microseconds. Points count from a start that means
/// nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// A length in milliseconds.
    pub const fn from_millis(ms: u64) -> Micros {
        Micros(ms.saturating_mul(1000))
    }
    /// The length in milliseconds, with fractions.
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// The later of two points plus a length, without overflow.
    pub fn plus(self, more: Micros) -> Micros {
        Micros(self.0.saturating_add(more.0))
    }
    /// The time since `earlier`, zero if that is not earlier.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}
