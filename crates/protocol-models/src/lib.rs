//! Models of beamgap's protocols, small enough to be explored completely (stateright).
//!
//! [`attempts`] is the protocol of attempts between the node and its engines: send, cancel, confirm, send again, late
//! answers, broken and cut connections, engines that die. It is a model beside the code, not the code: a change of
//! `src/node/dispatcher` or `src/node/backend/line_protocol` that touches these steps is to be made here too.
//!
//! [`rollout`] is the replicated change of a policy, [`leases`] how one holder at most acts; there the program's own parts act.

pub mod attempts;
pub mod budgets;
pub mod leases;
pub mod rollout;
