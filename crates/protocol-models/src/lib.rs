//! Models of beamgap's protocols for the model checker stateright, small enough for an exhaustive search.
//!
//! [`attempts`] models the protocol between a front end and its engines: send, cancel, confirm a cancel, retry, late
//! replies, reset and silently cut connections, engine crashes. The model does not run production code: a change of
//! `src/node/dispatcher` or `src/node/backend/line_protocol` that affects these steps must be repeated in the model.
//!
//! [`rollout`] models the replicated rollout of a policy, [`leases`] the rule that at most one holder of a lease acts, and
//! [`budgets`] the division of a fleet-wide budget into shares. These three models run the production state machines.

pub mod attempts;
pub mod budgets;
pub mod leases;
pub mod rollout;
