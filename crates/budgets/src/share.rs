//! Shares of a budget in fixed point.

use serde::{Deserialize, Serialize};

/// A share of a budget, in parts of 2^40.
///
/// It is a fraction and not a figure: how many units it comes to follows from the policy under which its holder admits.
/// The serialized form is the number of parts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Share(u64);

/// The whole budget. Fine enough that a thousand shares of a million units still come to whole units.
pub const FULL_SHARE: Share = Share(1 << 40);

impl Share {
    /// No share.
    pub const ZERO: Share = Share(0);

    /// A share of so many parts of 2^40.
    pub const fn from_parts(parts: u64) -> Share {
        Share(parts)
    }

    /// How many parts of 2^40 it has.
    pub const fn parts(self) -> u64 {
        self.0
    }

    /// The share that `units` of a budget of `total` units are, rounded down.
    ///
    /// What is held and what is in use are converted alike, so that no fraction of a unit is lost between them.
    pub fn from_units(units: u64, total: u64) -> Share {
        let parts =
            u128::from(units.min(total)) * u128::from(FULL_SHARE.0) / u128::from(total.max(1));
        Share(parts as u64)
    }

    /// The whole units that it comes to in a budget of `total` units.
    ///
    /// The units of shares that sum to at most [`FULL_SHARE`] sum to at most `total`.
    pub fn to_units(self, total: u64) -> u64 {
        if self.0 == 0 {
            return 0;
        }
        // One part more makes up for the rounding in `from_units`.
        let units = (u128::from(self.0) + 1) * u128::from(total) / u128::from(FULL_SHARE.0);
        units.min(u128::from(total)) as u64
    }

    /// The whole units in it, rounded down without regard to the rounding in `from_units`.
    pub fn to_units_floor(self, total: u64) -> u64 {
        (u128::from(self.0) * u128::from(total) / u128::from(FULL_SHARE.0)) as u64
    }

    /// As a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        self.0 as f64 / FULL_SHARE.0 as f64
    }
}

impl std::ops::Add for Share {
    type Output = Share;

    fn add(self, other: Share) -> Share {
        Share(self.0 + other.0)
    }
}
