//! Shares of a budget in fixed point.

use serde::{Deserialize, Serialize};

/// A share of a budget as a fixed-point fraction, in multiples (parts) of 2^-40.
///
/// A share does not fix a number of units: its holder multiplies the share by the size of the budget in the policy
/// version that the holder applies. The serialized form is the number of parts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Share(u64);

/// The whole budget. With 2^40 parts, a budget of a million units can be divided into a thousand shares, each of which
/// still converts to the exact number of whole units.
pub const FULL_SHARE: Share = Share(1 << 40);

impl Share {
    /// The empty share.
    pub const ZERO: Share = Share(0);

    /// The share of `parts` / 2^40 of the budget.
    pub const fn from_parts(parts: u64) -> Share {
        Share(parts)
    }

    /// The share in parts, each 2^-40 of the budget.
    pub const fn parts(self) -> u64 {
        self.0
    }

    /// Converts `units` of a budget of `total` units to a share, rounded down to whole parts.
    ///
    /// Allocated units and units in use are both converted by this function, so that
    /// equal numbers of units give equal shares and a comparison of the two is exact.
    pub fn from_units(units: u64, total: u64) -> Share {
        let parts =
            u128::from(units.min(total)) * u128::from(FULL_SHARE.0) / u128::from(total.max(1));
        Share(parts as u64)
    }

    /// Converts the share to whole units of a budget of `total` units; the inverse of [`Share::from_units`].
    ///
    /// If several shares sum to at most [`FULL_SHARE`], their units sum to at most `total`.
    pub fn to_units(self, total: u64) -> u64 {
        if self.0 == 0 {
            return 0;
        }
        // `from_units` rounds down by less than one part. Adding one part restores the original number of units.
        let units = (u128::from(self.0) + 1) * u128::from(total) / u128::from(FULL_SHARE.0);
        units.min(u128::from(total)) as u64
    }

    /// Whole units of this share in a budget of `total` units, rounded down. Unlike [`Share::to_units`], this function
    /// adds no part to compensate for the rounding in [`Share::from_units`].
    pub fn to_units_rounded_down(self, total: u64) -> u64 {
        (u128::from(self.0) * u128::from(total) / u128::from(FULL_SHARE.0)) as u64
    }

    /// The share as a floating-point fraction from 0 to 1.
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
