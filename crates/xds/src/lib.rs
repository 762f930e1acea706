//! An xDS control plane: publishes the front end's decisions about a pool of engines to proxies, whose requests to the
//! engines do not pass through the front end.
//!
//! # Guarantees
//!
//! - A proxy always receives the newest state: each response is built only when the stream is ready to send, so
//!   outdated responses never queue up.
//! - A route names a cluster only after the proxy has ACKed the cluster and its endpoints. A cluster is not removed
//!   while a route that the proxy may still be using names the cluster.
//! - An engine that was announced to a proxy as draining or removed never becomes usable again for that proxy, even if
//!   the proxy reconnects to an instance whose engine list is older.
//! - Leases bound the number of requests that all proxies together may have open at a warming engine. A lease counts
//!   against that bound for as long as the proxy may still use the lease, even if a response is delivered late.
//!
//! # Limits
//!
//! A disconnected proxy receives no updates and continues with its last accepted resources. Its leases on warming
//! engines expire by their TTL; its endpoints of warm engines have no TTL and remain in use.
//!
//! # Where to start
//!
//! [`core::plane::Plane`] is the whole control plane as a state machine without I/O or a clock. [`core::allot`] decides
//! how many requests each proxy may send to a warming engine. [`core::stream`] implements the protocol of one stream.
//! [`transport`] serves the control plane over gRPC on a thread of its own.

pub mod client;
pub mod core;
pub mod transport;

pub use core::spans::duration;

/// The generated protobuf messages of the xDS API.
pub use envoy_types::pb::envoy;
