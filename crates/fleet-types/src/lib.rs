//! Types that the state machines of a fleet share.
//!
//! `policy`, `leases` and `budgets` do not know each other; what they have in common stands here:
//!
//! - [`MemberId`]: which front end, and which incarnation of it.
//! - [`clock`]: how long a lease may be used, and when it has surely expired, on clocks that drift.
//! - [`is_valid_name`]: which names and ids are accepted.
//!
//! It promises nothing about time or membership by itself: it has no clock, no I/O and no state.
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
