//! Server connections that are counted and can be closed from outside. Closing the TCP connection is the only way to
//! end a stream whose peer does not read.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::Connected;

/// The state of a connection, shared with the streams on the connection.
#[derive(Debug)]
pub struct ConnectionState {
    /// The address of the peer.
    pub peer: SocketAddr,
    streams: AtomicUsize,
    idle_since: Mutex<Instant>,
    ended: AtomicBool,
    reader: Mutex<Option<Waker>>,
}

impl ConnectionState {
    /// Closes the connection; pending reads and later writes fail.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(waker) = super::lock(&self.reader).take() {
            waker.wake();
        }
    }

    /// Counts an open stream until the returned guard is dropped.
    pub fn stream(self: &Arc<ConnectionState>) -> StreamGuard {
        self.streams.fetch_add(1, Ordering::Relaxed);
        StreamGuard(self.clone())
    }
}

/// A guard that counts an open stream on its connection.
pub struct StreamGuard(Arc<ConnectionState>);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        *super::lock(&self.0.idle_since) = Instant::now();
        self.0.streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An accepted TCP connection.
pub struct Connection {
    stream: TcpStream,
    state: Arc<ConnectionState>,
}

/// The connection state that tonic adds to the extensions of each request.
#[derive(Clone, Debug)]
pub struct ConnectionInfo(pub Arc<ConnectionState>);

impl Connected for Connection {
    type ConnectInfo = ConnectionInfo;
    fn connect_info(&self) -> ConnectionInfo {
        ConnectionInfo(self.state.clone())
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        *super::lock(&self.state.reader) = Some(cx.waker().clone());
        if self.state.ended.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.state.ended.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Accepts connections up to a maximum number and closes idle connections.
#[derive(Clone)]
pub struct ConnectionLimiter {
    most: usize,
    idle: Duration,
    conns: Arc<Mutex<Vec<Weak<ConnectionState>>>>,
}

impl ConnectionLimiter {
    /// Creates a limiter for `most` connections that closes a connection after `idle` without a stream.
    pub fn new(most: usize, idle: Duration) -> ConnectionLimiter {
        ConnectionLimiter { most, idle, conns: Arc::default() }
    }

    /// Accepts connections until the returned receiver is dropped.
    pub fn accept(self, listener: TcpListener) -> ReceiverStream<io::Result<Connection>> {
        let (sender, conns) = tokio::sync::mpsc::channel(1);
        tokio::spawn(async move {
            loop {
                let Ok((stream, peer)) = listener.accept().await else {
                    // The usual cause is a lack of file descriptors; waiting connections remain in the listen backlog.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                };
                let state = Arc::new(ConnectionState {
                    peer,
                    streams: AtomicUsize::new(0),
                    idle_since: Mutex::new(Instant::now()),
                    ended: AtomicBool::new(false),
                    reader: Mutex::new(None),
                });
                {
                    let mut conns = super::lock(&self.conns);
                    conns.retain(|conn| conn.strong_count() > 0);
                    if conns.len() >= self.most {
                        // Dropping the stream closes the connection; proxies reconnect on their own.
                        continue;
                    }
                    conns.push(Arc::downgrade(&state));
                }
                // Responses are small and urgent. If TCP_NODELAY cannot be set, they are merely delayed.
                let _ = stream.set_nodelay(true);
                if sender.send(Ok(Connection { stream, state })).await.is_err() {
                    return;
                }
            }
        });
        ReceiverStream::new(conns)
    }

    /// Closes connections that have had no stream for the idle time.
    pub fn close_idle(&self) {
        for conn in super::lock(&self.conns).iter().filter_map(Weak::upgrade) {
            let idle = super::lock(&conn.idle_since).elapsed() >= self.idle;
            if conn.streams.load(Ordering::Relaxed) == 0 && idle {
                conn.end();
            }
        }
    }
}
