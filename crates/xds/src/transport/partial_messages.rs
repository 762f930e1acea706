//! Limits the memory of request messages that have arrived in part, over all streams together. A peer may stop inside a
//! message, on hundreds of connections, and the decoder keeps what has arrived.

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use tonic::body::Body;
use tonic::Status;

/// The length of the prefix of a gRPC message: a flag and the length of the message.
const PREFIX_BYTES: usize = 5;
/// The size up to which a partial message does not count, in bytes: most requests of proxies are smaller.
const UNCOUNTED_BYTES: usize = 4 * 1024;

/// The memory of all partial messages.
#[derive(Debug)]
pub struct PartialMessages {
    used: AtomicUsize,
    most: usize,
}

impl PartialMessages {
    /// Creates a limit of `most` bytes.
    pub fn new(most: usize) -> Arc<PartialMessages> {
        Arc::new(PartialMessages { used: AtomicUsize::new(0), most })
    }

    /// Wraps the body of a request so that its partial messages count.
    pub fn limit(self: &Arc<PartialMessages>, body: Body) -> Body {
        Body::new(LimitedBody { body, message: PartialMessage::default(), counted: 0, limit: self.clone() })
    }
}

/// The message of a stream that has not arrived whole.
#[derive(Debug, Default)]
struct PartialMessage {
    prefix: Vec<u8>,
    /// The length of the message, once the prefix is known.
    length: usize,
    received: usize,
}

impl PartialMessage {
    /// Follows the framing through further bytes of the stream.
    fn advance(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.prefix.len() < PREFIX_BYTES {
                let (prefix, rest) = data.split_at(data.len().min(PREFIX_BYTES - self.prefix.len()));
                self.prefix.extend_from_slice(prefix);
                data = rest;
                if let [_, length @ ..] = &self.prefix[..] {
                    self.length = length.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte));
                }
            } else {
                let taken = data.len().min(self.length - self.received);
                self.received += taken;
                data = &data[taken..];
            }
            if self.prefix.len() == PREFIX_BYTES && self.received == self.length {
                *self = PartialMessage::default();
            }
        }
    }
}

/// The body of a request whose partial messages count.
struct LimitedBody {
    body: Body,
    message: PartialMessage,
    /// The bytes that this stream has added to the memory of all.
    counted: usize,
    limit: Arc<PartialMessages>,
}

impl LimitedBody {
    fn count(&mut self) -> Result<(), Status> {
        let bytes = self.message.received.saturating_sub(UNCOUNTED_BYTES);
        if bytes > self.counted {
            let more = bytes - self.counted;
            self.counted = bytes;
            if self.limit.used.fetch_add(more, Ordering::Relaxed) + more > self.limit.most {
                return Err(Status::resource_exhausted("too many incomplete requests"));
            }
        } else {
            self.limit.used.fetch_sub(self.counted - bytes, Ordering::Relaxed);
            self.counted = bytes;
        }
        Ok(())
    }
}

impl HttpBody for LimitedBody {
    type Data = Bytes;
    type Error = Status;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Status>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(data) = frame.as_ref().and_then(|frame| frame.as_ref().ok()?.data_ref()) {
            self.message.advance(data);
            if let Err(status) = self.count() {
                return Poll::Ready(Some(Err(status)));
            }
        }
        Poll::Ready(frame)
    }
}

impl Drop for LimitedBody {
    fn drop(&mut self) {
        self.limit.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
