//! Connections between members: frames over TCP, one request and its response at a time on each. Bounded in size, count
//! and time. Fleet, cluster and message format are compared before anything else is read.

pub mod client;
mod error;
mod frame;
mod message;
pub mod server;

pub use error::{ConnectionError, HandshakeMismatch};
pub use frame::{read, write, FRAME_TIMEOUT, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES};
pub use message::{
    Handshake, LogIndices, PeerRequest, PeerResponse, TrafficTotals, VoterStatus, FORMAT_VERSION,
};
