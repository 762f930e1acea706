//! What a stream is asked, what it answers, and what is wrong with either.

use super::resources::{Kind, Resource};
use std::sync::Arc;

/// The variant of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// State of the world.
    World,
    /// Incremental.
    Delta,
}

/// A request as it came, of either variant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// The type's URL.
    pub url: String,
    /// The nonce of the response that it answers; empty in a stream's first request of a type.
    pub nonce: String,
    /// What was wrong with that response: a NACK.
    pub error: Option<String>,
    /// State of the world: all names. Incremental: names that come to the subscription.
    pub names: Vec<String>,
    /// Incremental: names that leave the subscription.
    pub leaves: Vec<String>,
    /// State of the world: the version of the last response accepted, on whatever stream that was.
    pub version: String,
    /// Incremental: what the proxy holds from a stream before, with versions.
    pub held: Vec<(String, String)>,
}

/// A response to be told.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// Its type.
    pub kind: Kind,
    /// The version of all that is subscribed to.
    pub version: String,
    /// The nonce.
    pub nonce: u64,
    /// The resources.
    pub resources: Vec<Arc<Resource>>,
    /// Incremental: names that are no more.
    pub removed: Vec<String>,
    /// It only renews the time to live: the resources are told without bodies.
    pub heartbeat: bool,
}

/// Why a stream is ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// It subscribes to more than it may.
    TooMany,
    /// It leaves responses without ACK or NACK.
    Unanswered,
    /// There are more streams than may be.
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

/// What a request of an open subscription meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Meant {
    /// It subscribes, for the first time or anew.
    Subscribed,
    /// It accepts the response with this nonce.
    Acked(u64),
    /// It refuses the response with this nonce.
    Nacked(u64, String),
    /// It answers a response that is no longer waited for.
    Stale,
}

/// A NACK.
#[derive(Clone, Debug, PartialEq)]
pub struct Nack {
    /// When it came.
    pub at: f64,
    /// What the proxy said.
    pub error: String,
}
