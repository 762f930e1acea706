//! The errors of connections and handshakes.

use super::message::FORMAT_VERSION;
use super::MAX_FRAME_BYTES;
use std::io;
use thiserror::Error;

/// Why a connection or an exchange over it failed.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The peer can't be reached, or the TCP connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A frame's message has the given length in bytes, which exceeds the limit.
    #[error("frame of {0} bytes is longer than allowed (at most {MAX_FRAME_BYTES})")]
    FrameTooLong(usize),
    /// A frame can't be decoded or encoded.
    #[error("frame can't be encoded or decoded")]
    MalformedFrame(#[from] postcard::Error),
    /// The server rejected the handshake, for the given reason.
    #[error("handshake rejected: {0}")]
    HandshakeRejected(String),
    /// A response or a frame did not arrive in time, or a frame could not be written in time.
    #[error("no response in time")]
    Timeout,
}

/// Why a handshake is rejected. Each message is a predicate that follows the name of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HandshakeMismatch {
    /// The first bytes of the handshake are not those of this protocol.
    #[error("does not use the protocol between members of a fleet")]
    Protocol,
    /// The sender uses the given version of the message format, which differs from [`FORMAT_VERSION`].
    #[error("uses message format {0}, this member {FORMAT_VERSION}; update the older program")]
    FormatVersion(u16),
    /// The sender is a member of another fleet.
    #[error("is of fleet {theirs}, this member of {ours}")]
    Fleet {
        /// The name of the sender's fleet.
        theirs: String,
        /// The name of the receiver's fleet.
        ours: String,
    },
    /// The sender belongs to another cluster, whose fleet has the same name.
    #[error("is of another fleet that is also named {0}")]
    Cluster(String),
}
