//! Frames: a length of four bytes in network order, then a message.

use super::ConnectionError;
use serde::{de::DeserializeOwned, Serialize};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Longest frame, in bytes. A snapshot is sent in parts.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
/// Longest first frame of a connection, in bytes: little is read of an unknown peer.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Time for a whole frame once it has begun, and for the handshake.
pub const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Reads a frame of at most `max_bytes`. Returns the message and the frame's length in bytes.
///
/// # Errors
/// If the connection breaks, or the frame is too long, too slow or malformed.
pub async fn read<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
    max_bytes: usize,
) -> Result<(T, usize), ConnectionError> {
    let length = stream.read_u32().await? as usize;
    if length > max_bytes {
        return Err(ConnectionError::FrameTooLong(length));
    }
    let mut bytes = vec![0; length];
    let complete = timeout(FRAME_TIMEOUT, stream.read_exact(&mut bytes)).await;
    complete.map_err(|_| ConnectionError::Timeout)??;
    let message = postcard::from_bytes(&bytes)?;
    Ok((message, length + LENGTH_BYTES))
}

/// Writes a frame. Returns its length in bytes.
///
/// # Errors
/// If the connection breaks, or the frame is too long or written too slowly.
pub async fn write<T: Serialize>(
    stream: &mut (impl AsyncWriteExt + Unpin),
    message: &T,
) -> Result<usize, ConnectionError> {
    let mut bytes = vec![0; LENGTH_BYTES];
    bytes.append(&mut postcard::to_stdvec(message)?);
    let length = bytes.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(ConnectionError::FrameTooLong(length));
    }
    bytes[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    let complete = timeout(FRAME_TIMEOUT, stream.write_all(&bytes)).await;
    complete.map_err(|_| ConnectionError::Timeout)??;
    Ok(bytes.len())
}
