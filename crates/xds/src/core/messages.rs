//! The requests, responses and errors of a discovery stream, independent of the protocol variant.

use super::resources::{Kind, Resource};
use std::sync::Arc;

/// The variant of the xDS protocol that a stream uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// State of the world: a response lists all subscribed resources.
    World,
    /// Incremental: a response lists only changed and removed resources.
    Delta,
}

/// A discovery request of either protocol variant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// The type URL of the requested resources.
    pub url: String,
    /// The nonce of the response that this request ACKs or NACKs; empty in a stream's first request of a type.
    pub nonce: String,
    /// The error message, if this request NACKs the response with that nonce.
    pub error: Option<String>,
    /// State of the world: all subscribed names. Incremental: names to subscribe to.
    pub names: Vec<String>,
    /// Incremental: names to unsubscribe from.
    pub leaves: Vec<String>,
    /// State of the world: the version of the last response that the proxy accepted, on this or an earlier stream.
    pub version: String,
    /// Incremental: names and versions of the resources that the proxy has from an earlier stream
    /// (`initial_resource_versions`).
    pub held: Vec<(String, String)>,
}

/// A discovery response to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The type of the resources.
    pub kind: Kind,
    /// The version of the set of all subscribed resources.
    pub version: String,
    /// The nonce that the proxy repeats in its ACK or NACK; 0 for a heartbeat.
    pub nonce: u64,
    /// The resources to send.
    pub resources: Vec<Arc<Resource>>,
    /// Incremental: names of removed resources.
    pub removed: Vec<String>,
    /// Whether the response only renews the TTL of its resources, which are then sent without bodies.
    pub heartbeat: bool,
}

/// The reason why the server closes a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The client subscribes to too many names or to a name that is too long.
    TooMany,
    /// The client did not ACK or NACK responses in time.
    Unanswered,
    /// The maximum number of streams is reached.
    Full,
}

impl std::fmt::Display for StreamError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            StreamError::TooMany => "subscribes to more or longer names than it may",
            StreamError::Unanswered => "leaves responses without ACK or NACK",
            StreamError::Full => "one stream more than may be",
        })
    }
}

impl std::error::Error for StreamError {}

/// The meaning of a request on an open subscription.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestMeaning {
    /// The request starts or changes a subscription.
    Subscribed,
    /// The request ACKs the response with this nonce.
    Acked(u64),
    /// The request NACKs the response with this nonce and reports this error.
    Nacked(u64, String),
    /// The request carries the nonce of a response that is not awaiting an ACK.
    Stale,
}

/// A NACK received from a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Nack {
    /// The time at which the NACK was received.
    pub at: f64,
    /// The proxy's error message.
    pub error: String,
}
