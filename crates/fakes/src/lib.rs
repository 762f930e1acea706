//! Fakes on loopback for tests, demos and measurements, written from the published specifications: engines that run work
//! and fail when overloaded ([`boxes`]), service discovery ([`bulletin`]), and proxies that are configured over xDS
//! ([`proxy`]). [`fleet`] puts them together.
//!
//! Nothing here is used by the serving program. What has sockets runs on the caller's tokio runtime, and ends with it;
//! [`warehouse`] (an engine on a set clock) and [`rules`] (the checker of the service's rules) are pure.

pub mod boxes;
pub mod bulletin;
pub mod draw;
pub mod fleet;
pub mod proxy;
pub mod rules;
pub mod warehouse;
