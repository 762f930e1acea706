//! TCP connections between members.
//!
//! A connection carries frames, with one request in flight at a time. The size of frames, the number of connections and
//! the time of each exchange are bounded. The server reads requests only after the handshake has shown that both sides
//! have the same fleet, cluster and message format.

pub mod client;
mod error;
mod frame;
mod message;
pub mod server;

pub use error::{ConnectionError, HandshakeMismatch};
pub use frame::{read_frame, write_frame, FRAME_TIMEOUT, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES};
pub use message::{
    Handshake, LogIndices, PeerRequest, PeerResponse, TrafficTotals, VoterStatus, FORMAT_VERSION,
};
