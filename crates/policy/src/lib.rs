//! The policy of a fleet: a document that restricts what its front ends admit and which engines they use.
//!
//! - [`document`]: the policy as operators write it (HCL), parsed into a typed [`document::Policy`].
//! - [`validation`]: whether a front end can use a policy; each problem with its place, key and fix.
//! - [`diff`]: two policies compared by meaning.
//! - [`rules`]: what applies to a request and to an engine.
//! - [`rollout`]: the replicated change of a policy. Start there for the protocol.
//!
//! **Promises.** A change takes effect at every front end or at none, and the last admission under an old version comes
//! within a bound of the first under the new one, as long as clocks keep to the drift that is assumed and the log that
//! carries the commands is consistent. `docs/policy.md` numbers the promises.
//!
//! **Not promised.** The crate has no I/O, no clock, no threads and no randomness: the caller passes the time in, sends
//! the messages and runs the consensus. It neither picks engines nor retries requests.
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
