//! The frames of a connection: a message length of four bytes in network byte order, then a postcard message.

use super::ConnectionError;
use serde::{de::DeserializeOwned, Serialize};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::timeout;

/// Maximum length of a message in a frame, in bytes. Snapshots fit because they are sent in chunks.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
/// Maximum length of a handshake message, in bytes. The limit is low because the peer is still unknown.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Time limit for the rest of a frame after its length was read, for writing a frame, and for reading the handshake.
pub const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of the length at the start of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Reads a frame whose message has at most `max_bytes`.
///
/// Waits for the start of the frame without a time limit. Returns the message, and the length of the frame in bytes.
///
/// # Errors
/// If the connection breaks, or the frame is too long, malformed, or not complete within [`FRAME_TIMEOUT`].
pub async fn read_frame<T: DeserializeOwned>(
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

/// Writes a message as a frame. Returns the length of the frame in bytes.
///
/// # Errors
/// If the connection breaks, or the frame is too long or not written within [`FRAME_TIMEOUT`].
pub async fn write_frame<T: Serialize>(
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
