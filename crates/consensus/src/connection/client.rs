//! The client side of a connection, which sends requests.

use super::{
    read_frame, write_frame, ConnectionError, Handshake, PeerRequest, PeerResponse, TrafficTotals,
    MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Counters of the bytes that a member has read and written over all its connections, without the handshakes.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    read: AtomicU64,
    written: AtomicU64,
}

impl TrafficCounters {
    pub(super) fn add_read(&self, bytes: usize) {
        self.read.fetch_add(bytes as u64, Relaxed);
    }

    pub(super) fn add_written(&self, bytes: usize) {
        self.written.fetch_add(bytes as u64, Relaxed);
    }

    /// Returns the numbers of bytes read and written since the start of the member.
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            read: self.read.load(Relaxed),
            written: self.written.load(Relaxed),
        }
    }
}

/// A connection that is opened when a request needs it, and reused for later requests.
///
/// A failed request closes the connection, so that a late response is not mistaken for the response to another request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    handshake: Handshake,
    stream: Option<TcpStream>,
    traffic: Arc<TrafficCounters>,
}

impl Connection {
    /// Creates a connection to `address` without opening it.
    pub fn new(
        address: SocketAddr,
        handshake: Handshake,
        traffic: Arc<TrafficCounters>,
    ) -> Connection {
        Connection {
            address,
            handshake,
            stream: None,
            traffic,
        }
    }

    /// Opens the connection if necessary, sends a request, and waits for the response for at most `max_wait`.
    ///
    /// # Errors
    /// If the peer can't be reached, rejects the handshake, sends a malformed frame, or does not respond in time.
    pub async fn request(
        &mut self,
        request: &PeerRequest,
        max_wait: Duration,
    ) -> Result<PeerResponse, ConnectionError> {
        let response = timeout(max_wait, self.exchange(request)).await;
        let response = response.unwrap_or(Err(ConnectionError::Timeout));
        if response.is_err() {
            self.stream = None;
        }
        response
    }

    /// Sends a request and reads the response, without a limit on the time to wait for the response.
    async fn exchange(&mut self, request: &PeerRequest) -> Result<PeerResponse, ConnectionError> {
        // The stream is taken out of `self`, so that a request that is cancelled midway drops and thereby closes it.
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        let written = write_frame(&mut stream, request).await?;
        self.traffic.add_written(written);
        let (response, read) = read_frame(&mut stream, MAX_FRAME_BYTES).await?;
        self.traffic.add_read(read);
        self.stream = Some(stream);
        Ok(response)
    }

    /// Opens the TCP connection and performs the handshake.
    async fn connect(&self) -> Result<TcpStream, ConnectionError> {
        let mut stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        write_frame(&mut stream, &self.handshake).await?;
        let (accepted, _): (Result<(), String>, _) =
            read_frame(&mut stream, MAX_HANDSHAKE_BYTES).await?;
        accepted.map_err(ConnectionError::HandshakeRejected)?;
        Ok(stream)
    }
}
