//! The policy of a fleet: a document that restricts which requests front ends admit and which engines they use.
//!
//! - [`document`]: the policy document, written by operators in HCL, and its parser.
//! - [`validation`]: checks whether a front end can apply a policy and reports each problem with a suggested fix.
//! - [`diff`]: semantic comparison of two policies.
//! - [`rules`]: evaluates a policy for a request or an engine.
//! - [`rollout`]: the protocol that rolls out a policy change to the whole fleet.
//!
//! **Guarantees.** A policy change takes effect at every front end or at none. The last admission under the old version
//! follows the first admission under the new one by at most a configured bound. Both guarantees assume that clock
//! drift stays within the configured maximum and that the replicated log is consistent. `docs/policy.md` has the
//! numbered list of guarantees.
//!
//! **Scope.** The crate has no I/O, no clock, no threads and no randomness: the caller passes in the current time,
//! delivers the messages and runs the consensus protocol. The crate neither selects engines nor retries requests.
//!
//! ```
//! use beamgap_policy::document::parse;
//! use beamgap_policy::rules::{AdmissionMeter, CompiledPolicy, Rejection};
//!
//! let text = "form = 1\nclass \"report\" {\n  refused = true\n}\n";
//! let parsed = parse("policy.hcl", text).expect("a valid policy");
//! let classes = ["lookup".to_owned(), "report".to_owned()];
//! let policy = CompiledPolicy::new(parsed.policy, &classes);
//!
//! let mut meter = AdmissionMeter::default();
//! assert!(meter.admit(0.0, &policy, 0, None, 0).is_ok());
//! assert_eq!(meter.admit(0.0, &policy, 1, None, 0), Err(Rejection::ClassRejected));
//! ```

#![deny(missing_docs)]

pub mod diff;
pub mod document;
pub mod rollout;
pub mod rules;
pub mod validation;
