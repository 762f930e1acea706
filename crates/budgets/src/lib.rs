//! Budgets of a whole fleet, divided among its front ends: rates and concurrency limits whose shares never sum to more
//! than the budget.
//!
//! # What it promises
//!
//! - At any time the shares that members may use sum to at most the budget, whatever messages are lost, late or duplicated,
//!   whoever dies, stands still or is cut off, as long as clocks run within the stated bound on drift.
//! - Admission looks at memory only. Shares follow the demand: weighted max-min fair ([`allocation`]).
//! - A change of leaders costs nobody a share.
//!
//! The promises are numbered in `docs/budgets.md`.
//!
//! # What it does not
//!
//! It has no clock, no I/O and no randomness: time and messages come from the caller. It does not elect leaders, and it relies
//! on the caller for which members may exist. Nothing is persisted: a division costs no write to the log.
//!
//! # How it works
//!
//! Shares are moved, never copied. A share expires at `t0` plus its length less the drift, by its holder's clock, where `t0`
//! is when the holder asked for it. The leader reassigns only what a holder has confirmed, *in a later poll*, that it holds no
//! more, or what has expired by any clock within the bound. A new leader knows nothing: everything is taken for held until
//! every member has stated its holdings or all earlier grants have expired. Until then it moves what is given back by those
//! who have stated theirs.
//!
//! A share is a fraction, not a figure: what it comes to follows from the policy under which its holder admits. So a budget
//! that is lowered is lowered with the policy, and the division goes on as it was.
//!
//! # Where to start
//!
//! [`member::BudgetMember`] is the part of each front end, [`leader::BudgetLeader`] that of the leading voter; they exchange
//! the types of [`message`]. [`ledger::ShareLedger`] has the arithmetic of the first promise. [`spec`] is a budget,
//! [`reader`] reads it from a policy.
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
//! assert!(member.try_acquire(0.0, &[0], |_| 0).is_err(), "it holds no share yet");
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

/// Most budgets of a fleet.
pub const MAX_BUDGETS: usize = 256;
