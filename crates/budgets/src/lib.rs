//! Budgets of a whole fleet, divided among its front ends: rates and
//! concurrency limits whose shares never sum to more than the budget.
//!
//! # Guarantees
//!
//! - At any time the shares that members may use sum to at most the budget, as long
//!   as clock drift stays within the stated bound. Lost, late and duplicated messages
//!   and crashed, suspended and partitioned members do not break this guarantee.
//! - Admission decisions read local memory only. Shares follow demand by weighted max-min fairness ([`allocation`]).
//! - A change of leaders takes no share away from a member.
//!
//! The guarantees are numbered in `docs/budgets.md`.
//!
//! # Non-goals
//!
//! The crate has no clock, no I/O and no randomness: the caller supplies the time and delivers the messages. The crate
//! does not elect leaders, and it relies on the caller for the list of members. The leader's state is not persisted, so
//! that moving shares writes nothing to the replicated log.
//!
//! # How it works
//!
//! A share is a lease on a part of a budget. The lease starts when the member sends its poll and expires, by the
//! member's own clock, one share length later, less a margin for clock drift. The leader reassigns a share only after
//! its holder has confirmed *in a later poll* that the share was released, or after the lease has expired by every
//! clock within the drift bound. A new leader has no state and treats the whole budget as held until every member has
//! stated its holdings or all earlier grants have expired. Until then the new leader reassigns only shares that are
//! released by members that have already stated their holdings.
//!
//! A share is a fraction of the budget, not a number of units: the holder converts
//! the share to units by the policy version that it applies. A policy that lowers
//! a budget therefore lowers the units of every share, without a new allocation.
//!
//! # Where to start
//!
//! [`member::BudgetMember`] runs in each front end and [`leader::BudgetLeader`] in the leading voter; they exchange the
//! types of [`message`]. [`ledger::ShareLedger`] does the arithmetic behind the first guarantee. [`spec`] defines a
//! budget, and [`reader`] reads budgets from a policy document.
//!
//! ```
//! use beamgap_budgets::leader::{AgreedState, BudgetLeader};
//! use beamgap_budgets::member::BudgetMember;
//! use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
//! use beamgap_budgets::{BudgetTimings, InjectedBug};
//! use beamgap_fleet_types::MemberId;
//! use std::collections::BTreeMap;
//!
//! let spec = BudgetSpec {
//!     name: "all".to_owned(),
//!     resource: Resource::Requests,
//!     account: None,
//!     class: None,
//!     amount: Amount::Rate { per_second: 10.0, burst: 5 },
//!     floor: 0.0,
//!     max_members: 0,
//!     weights: BTreeMap::new(),
//! };
//! let id = MemberId::new("front-1", 1);
//! let members = BTreeMap::from([(id.clone(), 1)]);
//! let agreed = AgreedState { version: 1, specs: &[spec.clone()], members: &members };
//!
//! let mut leader = BudgetLeader::new(7, BudgetTimings::for_lease(10_000.0, 0.05), InjectedBug::None);
//! leader.set_leadership(0.0, true);
//! let mut member = BudgetMember::new(id, "east", InjectedBug::None);
//! member.activate(0.0, 1, vec![spec]);
//! assert!(member.try_acquire(0.0, &[0], |_| 0).is_err(), "the member holds no share yet");
//!
//! // The first poll is answered with a request to state all holdings, the second with a share.
//! for sequence in 1..=2 {
//!     let request = member.poll_request(0.0, sequence, |_| 0);
//!     let response = leader.handle_poll(0.0, &agreed, &request);
//!     member.handle_response(0.0, response);
//! }
//! assert!(member.try_acquire(1000.0, &[0], |_| 0).is_ok());
//! ```

#![deny(missing_docs)]

pub mod allocation;
mod error;
mod injected_bug;
pub mod leader;
pub mod ledger;
pub mod member;
pub mod message;
pub mod reader;
mod share;
pub mod spec;
mod timings;

pub use error::BudgetError;
pub use injected_bug::InjectedBug;
pub use share::{Share, FULL_SHARE};
pub use timings::BudgetTimings;

/// Largest number of budgets in one policy.
pub const MAX_BUDGETS: usize = 256;
