//! Leases for tasks of the whole fleet: one holder at most acts. Pure: no clock, no I/O, no randomness.
//!
//! The promises are numbered in `docs/leases.md`. Program, model and tests share these parts:
//!
//! - [`spec`]: a task as the operator writes it.
//! - [`state`]: what the fleet has agreed on; commands come in the order of the council's log.
//! - [`leader`]: what the leading decider does: renews by groups, ends what was not renewed, grants, starts runs.
//! - [`member`]: what each member does: holds leases, and hands out a [`member::Pass`] for each act.
//!
//! **Why one acts.** A lease ends at `t0` plus its length less drift and margin by its holder's clock, where `t0` is when the
//! holder asked; a leader answers only after a majority confirmed it *after* the question came. A leader ends a lease when
//! it has not renewed it for longer than its length on any clock within the drift, counted from its own beginning if
//! it never did. Only then is another granted. A process that stands still between its look at the clock and its act
//! is beyond all that: each act carries the lease's token, which grows over the fleet's life, and a target refuses an older one.

pub mod leader;
pub mod member;
pub mod spec;
pub mod state;

use serde::{Deserialize, Serialize};

/// Grows with every lease that is granted, whatever its task, over the whole life of a fleet. 0 is none.
pub type Token = u64;

/// A member by its name, and which life of it.
pub type Who = (String, u64);

/// Most tasks of a fleet.
pub const TASKS_MOST: usize = 1024;
/// Longest name of a task, in bytes.
pub const NAME_MOST: usize = 64;
/// Most steps of a run.
pub const STEPS_MOST: u32 = 10_000;

/// The bounds on clocks, the same for all members.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Clocks {
    /// By what part clocks may run apart.
    pub drift: f64,
    /// What a holder stops ahead of its lease's end, as a part of its length.
    pub margin: f64,
}

impl Default for Clocks {
    fn default() -> Clocks {
        Clocks { drift: 0.05, margin: 0.05 }
    }
}

impl Clocks {
    /// How long a holder acts after it asked, by its own clock.
    pub fn held(&self, length: f64) -> f64 {
        length * (1.0 - self.drift - self.margin).max(0.0)
    }

    /// After this by any clock within the drift, a lease of this length has ended by every other.
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
    /// A leader ends a lease as soon as its bare length is over, and holders leave no margin.
    NoMargin,
    /// A new leader does not wait for what the one before it may have renewed.
    NoWait,
    /// A step is acted on before it stands in the record.
    ActFirst,
    /// A lease that was given up counts as held until it hears of its end.
    HoldsOn,
}
