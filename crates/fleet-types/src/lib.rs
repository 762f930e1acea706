//! Types shared by the replicated state machines of a fleet of front ends.
//!
//! The crates `policy`, `leases` and `budgets` don't depend on each other. This crate contains the
//! types and functions that all of them use:
//!
//! - [`MemberId`] identifies a front end and its incarnation.
//! - [`clock`] computes how long a lease may be used, and when it has certainly expired, on clocks
//!   that drift.
//! - [`is_valid_name`] checks names and ids.
//!
//! This crate has no clock, no I/O and no state, and gives no guarantee about time or membership.
//!
//! ```
//! use beamgap_fleet_types::MemberId;
//!
//! let before_restart = MemberId::new("front-3", 1);
//! let after_restart = MemberId::new("front-3", 2);
//! assert_ne!(before_restart, after_restart);
//! ```

#![deny(missing_docs)]

pub mod clock;
mod member_id;
mod name;

pub use member_id::MemberId;
pub use name::{is_valid_name, MAX_NAME_LENGTH};
