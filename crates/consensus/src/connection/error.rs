//! Why a connection fails.

use super::message::FORMAT_VERSION;
use super::MAX_FRAME_BYTES;
use std::io;
use thiserror::Error;

/// Why a connection is of no use.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The peer can't be reached, or the connection broke.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A frame is longer than allowed.
    #[error("a frame of {0} bytes, more than {MAX_FRAME_BYTES}")]
    FrameTooLong(usize),
    /// A frame can't be decoded or encoded.
    #[error("a frame that can't be read")]
    MalformedFrame(#[from] postcard::Error),
    /// The handshake was rejected.
    #[error("turned away: {0}")]
    HandshakeRejected(String),
    /// There was no response in time.
    #[error("no answer in time")]
    Timeout,
}

/// Why a handshake is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HandshakeMismatch {
    /// The sender speaks another protocol.
    #[error("does not speak between members of a fleet")]
    Protocol,
    /// The sender has this other version of the message format.
    #[error("speaks form {0}, this member form {FORMAT_VERSION}; update the older program")]
    FormatVersion(u16),
    /// The sender is a member of another fleet.
    #[error("is of fleet {theirs}, this member of {ours}")]
    Fleet {
        /// The sender's fleet.
        theirs: String,
        /// The receiver's fleet.
        ours: String,
    },
    /// The sender belongs to another cluster of the same fleet name.
    #[error("is of another fleet that has the name {0} too")]
    Cluster(String),
}
