//! An xDS client for operators (`beamgap xds watch`), simulated proxies and tests. [`session`] and [`held`] perform no
//! I/O; [`link`] is one gRPC stream.

pub mod held;
pub mod link;
pub mod session;
pub mod watch;
