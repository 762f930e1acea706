//! Stand-ins on loopback, written from the public specifications: boxes that run work and fall over when flooded, a
//! bulletin that tells which boxes there are, and proxies that are ruled over xDS. [`fleet`] puts them together.
//!
//! Nothing here is used by what serves. What has sockets runs on a tokio runtime of the caller's, and ends with it;
//! [`warehouse`] and [`rules`] are pure: an engine on a set clock in either deployment's dialect, and the rules' judge.

pub mod boxes;
pub mod bulletin;
pub mod draw;
pub mod fleet;
pub mod proxy;
pub mod rules;
pub mod warehouse;
