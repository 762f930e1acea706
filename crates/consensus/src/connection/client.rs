//! The requesting side of a connection.

use super::{
    read, write, ConnectionError, Handshake, PeerRequest, PeerResponse, TrafficTotals,
    MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Counts the bytes over all connections of a member.
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

    /// The bytes so far.
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            read: self.read.load(Relaxed),
            written: self.written.load(Relaxed),
        }
    }
}

/// A connection that is opened when it is needed. A request without a response in time closes it, so that a late
/// response is not taken for that of another request.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    handshake: Handshake,
    stream: Option<TcpStream>,
    traffic: Arc<TrafficCounters>,
}

impl Connection {
    /// A connection that is not open yet.
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

    /// Sends a request and waits for the response, `deadline` at most.
    ///
    /// # Errors
    /// If the peer can't be reached, rejects the handshake, or does not respond in time.
    pub async fn request(
        &mut self,
        request: &PeerRequest,
        deadline: Duration,
    ) -> Result<PeerResponse, ConnectionError> {
        let response = timeout(deadline, self.exchange(request)).await;
        let response = response.unwrap_or(Err(ConnectionError::Timeout));
        if response.is_err() {
            self.stream = None;
        }
        response
    }

    async fn exchange(&mut self, request: &PeerRequest) -> Result<PeerResponse, ConnectionError> {
        // Taken out: a request that is cancelled half way closes its connection.
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => self.connect().await?,
        };
        let written = write(&mut stream, request).await?;
        self.traffic.add_written(written);
        let (response, read) = read(&mut stream, MAX_FRAME_BYTES).await?;
        self.traffic.add_read(read);
        self.stream = Some(stream);
        Ok(response)
    }

    async fn connect(&self) -> Result<TcpStream, ConnectionError> {
        let mut stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        write(&mut stream, &self.handshake).await?;
        let (accepted, _): (Result<(), String>, _) = read(&mut stream, MAX_HANDSHAKE_BYTES).await?;
        accepted.map_err(ConnectionError::HandshakeRejected)?;
        Ok(stream)
    }
}
