//! The inputs of the control plane: the engines' state according to the decision module, and the operator's settings.

use std::net::SocketAddr;
use std::sync::Arc;

/// The unique name of an engine.
pub type EngineName = Arc<str>;

/// Whether an engine may be sent new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The engine accepts new work.
    Usable,
    /// The engine is ejected because of failures and may return to service.
    Aside,
    /// The engine only finishes its open requests; an engine with this name never accepts new work again.
    Draining,
}

/// The state of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The engine's name; never reused after the engine is removed.
    pub name: EngineName,
    /// The address at which the engine listens. A later engine with another name may reuse the address.
    pub address: SocketAddr,
    /// The zone in which the engine runs.
    pub zone: String,
    /// Whether the engine accepts new work.
    pub health: Health,
    /// The engine's present capacity in cores; reduced while the engine is warming up or slow.
    pub cores: f64,
    /// The fraction of its full capacity that the engine has reached for certain, from 0 to 1. An engine below 1 is
    /// warming up.
    pub warmth: f64,
}

impl Engine {
    /// Whether the engine is warming up: not yet at full capacity, so too many requests may make it fail.
    pub fn warming(&self) -> bool {
        self.warmth < 1.0
    }
}

/// A snapshot of all present engines and of the fraction of the requested work that is admitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Picture {
    /// The engines, sorted by name.
    pub engines: Vec<Engine>,
    /// The fraction of the requested work that is admitted, from 0 to 1.
    pub admitted: f64,
}

impl Picture {
    /// Returns the engine with this name.
    pub fn engine(&self, name: &str) -> Option<&Engine> {
        let place = self.engines.binary_search_by(|e| (*e.name).cmp(name)).ok()?;
        self.engines.get(place)
    }
}

/// The overload limit of warming engines, and the part of that limit available to proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTerms {
    /// An engine fails when it receives more than this multiple of its present capacity over `fall_span_ms`.
    pub fall_multiple: f64,
    /// The time span over which `fall_multiple` applies, in milliseconds.
    pub fall_span_ms: f64,
    /// The part of the limit that all proxies together may use, from 0 to 1. The front ends use the rest.
    pub proxy_share: f64,
    /// The number of front end instances; each serves different proxies.
    pub instances: u32,
    /// The work of a typical request from a proxy, in milliseconds of one core.
    pub request_work_ms: f64,
}

/// A listener resource to be served to the proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// The name of the listener resource.
    pub name: String,
    /// The address at which the proxy listens.
    pub address: SocketAddr,
}

/// The operator's settings for the control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// The name of the cluster of warm engines; warming ones have clusters named `CLUSTER/ENGINE`.
    pub cluster: String,
    /// The listeners served to the proxies.
    pub listeners: Vec<Listener>,
    /// The proxies' timeout for connecting to an engine, in milliseconds.
    pub connect_ms: f64,
    /// The proxies' request timeout, in milliseconds. Must not be shorter than [`ColdTerms::fall_span_ms`].
    pub request_ms: f64,
    /// The TTL of a lease on a warming engine, in milliseconds; heartbeats renew the lease.
    pub ttl_ms: f64,
    /// The longest time that the delivery of a response to a proxy may take, in milliseconds.
    pub late_ms: f64,
    /// How long a proxy may leave a response without an ACK or NACK before its stream is closed, in milliseconds.
    pub ack_ms: f64,
    /// The settling time: how long a proxy must stay connected before it gets a share, in milliseconds.
    pub settle_ms: f64,
    /// The maximum number of open streams.
    pub streams_most: usize,
    /// The overload limit of warming engines; if `None`, all engines count as warm.
    pub cold: Option<ColdTerms>,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            cluster: "query-boxes".to_owned(),
            listeners: Vec::new(),
            connect_ms: 250.0,
            request_ms: 15_000.0,
            ttl_ms: 5_000.0,
            late_ms: 10_000.0,
            ack_ms: 30_000.0,
            settle_ms: 2_000.0,
            streams_most: 1_000,
            cold: None,
        }
    }
}
