//! The frames of a connection: a message length of four bytes in network byte order, then a postcard message.

use super::ConnectionError;
use serde::{de::DeserializeOwned, Serialize};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::timeout;

/// Maximum length of a message in a frame, in bytes. Snapshots fit because they are sent in chunks.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
/// Maximum length of a handshake message, in bytes. The limit is low because the peer is still unknown.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Time limit for the rest of a frame after its length was read, for writing a frame, and for reading the handshake.
pub const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of the message of a frame that takes no part in the limit on large frames, in bytes.
const SMALL_FRAME_BYTES: usize = 16 * 1024;
/// Maximum bytes of all large frames that a server is reading at the same time.
const LARGE_FRAMES_BYTES: usize = 16 << 20;
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
    let length = read_length(stream, max_bytes).await?;
    read_message(stream, length).await
}

/// Reads a frame like [`read_frame`], with its memory taken from a budget that all connections of a server share.
///
/// # Errors
/// As for [`read_frame`], or if the budget has no room for the frame within [`FRAME_TIMEOUT`].
pub(super) async fn read_frame_within<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
    max_bytes: usize,
    memory: &FrameMemory,
) -> Result<(T, usize), ConnectionError> {
    let length = read_length(stream, max_bytes).await?;
    let _permit = memory.reserve(length).await?;
    read_message(stream, length).await
}

/// Memory for incomplete frames of all connections of a server. A peer that sends a frame slowly, or only a part of it,
/// holds the frame's memory meanwhile.
#[derive(Debug)]
pub(super) struct FrameMemory(Semaphore);

impl FrameMemory {
    pub(super) fn new() -> FrameMemory {
        FrameMemory(Semaphore::new(LARGE_FRAMES_BYTES))
    }

    /// Waits for the memory of a frame. Small frames, such as votes and heartbeats, never wait.
    async fn reserve(&self, length: usize) -> Result<Option<SemaphorePermit<'_>>, ConnectionError> {
        if length <= SMALL_FRAME_BYTES {
            return Ok(None);
        }
        let permits = u32::try_from(length).map_err(|_| ConnectionError::FrameTooLong(length))?;
        match timeout(FRAME_TIMEOUT, self.0.acquire_many(permits)).await {
            Ok(Ok(permit)) => Ok(Some(permit)),
            Ok(Err(_)) | Err(_) => Err(ConnectionError::Timeout),
        }
    }
}

async fn read_length(
    stream: &mut (impl AsyncReadExt + Unpin),
    max_bytes: usize,
) -> Result<usize, ConnectionError> {
    let length = stream.read_u32().await? as usize;
    if length > max_bytes {
        return Err(ConnectionError::FrameTooLong(length));
    }
    Ok(length)
}

async fn read_message<T: DeserializeOwned>(
    stream: &mut (impl AsyncReadExt + Unpin),
    length: usize,
) -> Result<(T, usize), ConnectionError> {
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
