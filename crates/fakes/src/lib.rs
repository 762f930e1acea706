//! Fakes on loopback for tests, demos and measurements, written from the published specifications: engines that run
//! work and fail when overloaded ([`boxes`]), service discovery ([`bulletin`]), and proxies that are configured over
//! xDS ([`proxy`]). [`fleet`] puts them together.
//!
//! The production program does not use this crate. Fakes with sockets run on the caller's tokio runtime and stop with
//! that runtime. [`warehouse`] (an engine on a clock set by the test) and [`rules`] (the checker of the platform's
//! rules) do no I/O.

pub mod boxes;
pub mod bulletin;
pub mod draw;
pub mod fleet;
pub mod proxy;
pub mod rules;
pub mod warehouse;
