//! Budgets: a whole that belongs to the fleet, divided among its front ends, whose parts never sum to more. Pure: no clock,
//! no I/O, no randomness.
//!
//! The promises are numbered in `docs/budgets.md`. Program, model and tests share these parts:
//!
//! - [`spec`]: a budget as the operator writes it in the policy.
//! - [`allocation`]: who is to have how much: max-min by weight.
//! - [`ledger`]: the books of one whole: what each may still use, and what is free for sure. The arithmetic of promise A1.
//! - [`message`]: what a member and the leader say to each other.
//! - [`leader`]: what the leading decider does: hears what members hold and want, moves parts among them.
//! - [`member`]: what each front end does: holds parts until they end by themselves, and admits from memory only.
//!
//! **Why it is never more.** Parts move, they are never copied. A part ends at `t0` plus its length less drift by its
//! holder's clock, where `t0` is when the holder asked. The leader gives on what a holder has said *in a later question* that
//! it holds no more, or what has surely ended by any clock within the drift. A leader that is new knows nothing: all is
//! taken for held by somebody until each life has said what it holds, or all that was given before has ended. Until then it
//! moves what those who were heard give back, so a leader's death costs nobody a part. Nothing of this stands in the log:
//! a division costs no fsync.
//!
//! **What a part is.** A fraction of the whole, not a figure: what it comes to follows from the policy under which its holder
//! admits. So a whole that is lowered is lowered with the policy, within its bound, and the division goes on as it was.

pub mod allocation;
pub mod leader;
pub mod ledger;
pub mod member;
pub mod message;
pub mod spec;

use serde::{Deserialize, Serialize};

/// A part of a whole, in parts of [`WHOLE`].
pub type Parts = u64;

/// All of it. Fine enough that a thousand parts of a million units still come to whole units.
pub const WHOLE: Parts = 1 << 40;

/// A member by its name, and which life of it.
pub type Who = (String, u64);

/// Most budgets of a fleet.
pub const BUDGETS_MOST: usize = 256;

/// Whole units that a part comes to: those of all parts of a whole never sum to more than it.
pub fn units(parts: Parts, whole: u64) -> u64 {
    // One part more makes up for what was cut off when units were turned into parts.
    if parts == 0 {
        return 0;
    }
    ((u128::from(parts) + 1) * u128::from(whole) / u128::from(WHOLE)).min(u128::from(whole)) as u64
}

/// The part that so many units are, cut off: a part for what is held and one for what is out must be the same, or what is
/// missing of a unit is missing to all.
pub fn parts(units: u64, whole: u64) -> Parts {
    (u128::from(units.min(whole)) * u128::from(WHOLE) / u128::from(whole.max(1))) as Parts
}

/// The fleet's figures of time that bear on budgets, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// How long a part lasts from when it was asked for.
    pub share: f64,
    /// How long what was set aside for a member lasts: as long as its right to admit.
    pub floor: f64,
    /// By what part clocks may run apart.
    pub drift: f64,
}

impl Times {
    /// By a right's length: half of it, so that parts outlast a change of leaders, and what was set aside lasts to its end.
    pub fn of_right(right: f64, drift: f64) -> Times {
        Times { share: right / 2.0, floor: right, drift }
    }

    /// How long a holder uses what it asked for, by its own clock.
    pub fn held(&self, length: f64) -> f64 {
        length * (1.0 - self.drift)
    }

    /// After this by any clock within the drift, what was given before has ended by every other.
    pub fn surely_over(&self, length: f64) -> f64 {
        length * (1.0 + self.drift) / (1.0 - self.drift)
    }
}

/// A fault planted on purpose, to see that the tests find it. Never set outside of tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Plant {
    /// None.
    #[default]
    None,
    /// A new leader takes what it has not heard of for free.
    NoWait,
    /// A part is given on as soon as its holder is told of it, not when it has said so.
    GivenTwice,
    /// A part that comes brings its burst with it.
    FullBucket,
    /// A part is used past its end.
    NoEnd,
    /// What a dead member has out counts no longer than its part.
    DeadIsOver,
}
