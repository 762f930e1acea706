//! What a policy says of a request and of an engine. It narrows what the decision module is offered; that module still
//! picks engines, retries and rejects.

mod compiled;
mod meter;

pub use compiled::CompiledPolicy;
pub use meter::{AdmissionMeter, Rejection, RequestLimits};
