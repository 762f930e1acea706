//! A fleet's policy: pure, with no I/O, no clock and no randomness inside.
//!
//! - [`document`]: the policy as operators write it (HCL), read into a typed [`document::Policy`].
//! - [`check`]: whether a front end can use it, each fault with its key, line and fix.
//! - [`diff`]: two versions compared by meaning.
//! - [`rules`]: what applies to a request, and to an engine: it narrows what the decision module is offered.
//! - [`rollout`]: how a change takes hold everywhere or nowhere. Start there for the protocol.
//!
//! `docs/policy.md` numbers the promises that this keeps.

pub mod check;
pub mod diff;
pub mod document;
pub mod rollout;
pub mod rules;
