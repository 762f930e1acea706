//! Evaluates a policy for requests and engines.
//!
//! A policy only narrows the requests and engines that the decision module is offered. The decision module still
//! selects engines, retries requests and rejects them.

mod compiled;
mod meter;

pub use compiled::CompiledPolicy;
pub use meter::{AdmissionMeter, Rejection, RequestLimits};
