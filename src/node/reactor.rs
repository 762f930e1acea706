//! Non-blocking TCP sockets with read and write buffers, and the mio tokens that identify their owners.

use super::slab::SlotKey;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

/// The part of the node that handles the events of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOwner {
    /// A listener, the signal pipe or the waker, each with a fixed number.
    Fixed(u32),
    /// A client connection of the JSON-RPC front.
    JsonRpc(SlotKey),
    /// A client connection of the MySQL front.
    Mysql(SlotKey),
    /// A connection of the line protocol backend to an engine.
    LineProtocol(SlotKey),
    /// A connection of the MySQL backend to an engine.
    MysqlBackend(SlotKey),
    /// The connection with this generation to the service discovery server.
    Discovery(u32),
    /// A connection of a load balancer's health check or of a client that polls endpoints over HTTP.
    Control(SlotKey),
    /// A client connection that is being closed.
    Closing(SlotKey),
}

impl SocketOwner {
    /// Encodes the owner as a token: 8 bits of kind, 24 bits of generation and 32 bits of slot number.
    pub fn token(self) -> Token {
        let (kind, generation, slot) = match self {
            SocketOwner::Fixed(n) => (0, 0, n),
            SocketOwner::JsonRpc(key) => (1, key.generation, key.slot),
            SocketOwner::Mysql(key) => (2, key.generation, key.slot),
            SocketOwner::LineProtocol(key) => (3, key.generation, key.slot),
            SocketOwner::MysqlBackend(key) => (4, key.generation, key.slot),
            SocketOwner::Discovery(n) => (5, 0, n),
            SocketOwner::Control(key) => (6, key.generation, key.slot),
            SocketOwner::Closing(key) => (7, key.generation, key.slot),
        };
        Token((kind << 56) | ((generation as usize & 0x00ff_ffff) << 32) | slot as usize)
    }

    /// Decodes a token; returns `None` if its kind is unknown.
    pub fn from_token(token: Token) -> Option<SocketOwner> {
        let (slot, generation) = (token.0 as u32, (token.0 >> 32) as u32 & 0x00ff_ffff);
        let key = SlotKey { slot, generation };
        Some(match token.0 >> 56 {
            0 => SocketOwner::Fixed(slot),
            1 => SocketOwner::JsonRpc(key),
            2 => SocketOwner::Mysql(key),
            3 => SocketOwner::LineProtocol(key),
            4 => SocketOwner::MysqlBackend(key),
            5 => SocketOwner::Discovery(slot),
            6 => SocketOwner::Control(key),
            7 => SocketOwner::Closing(key),
            _ => return None,
        })
    }
}

/// A TCP connection with a read buffer and a write buffer. [`BufferedSocket::read`] bounds the read buffer by the
/// limit that its caller passes; the write buffer is unbounded, so callers must check [`BufferedSocket::unsent_bytes`].
#[derive(Debug)]
pub struct BufferedSocket {
    stream: TcpStream,
    /// Bytes that were received and not yet consumed by [`BufferedSocket::consume`].
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// Bytes at the front of `output` that the socket has already accepted.
    written: usize,
    /// Whether the last read stopped at its limit.
    read_limit_reached: bool,
}

/// Sums the memory use of connections, in bytes. Returns the sum and the connection with the highest use, or `None` if
/// no connection uses memory. A front closes this connection when the sum exceeds its memory limit.
pub fn memory_use_and_largest(
    connections: impl Iterator<Item = (usize, SlotKey)>,
) -> (usize, Option<SlotKey>) {
    let (mut total, mut largest) = (0, (0, None));
    for (bytes, key) in connections {
        total += bytes;
        if bytes > largest.0 {
            largest = (bytes, Some(key));
        }
    }
    (total, largest.1)
}

/// State of the connection after a read without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// The connection is open: the read has received all available bytes or stopped at its limit.
    Open,
    /// The peer has closed the connection or its write side.
    Closed,
}

impl BufferedSocket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> BufferedSocket {
        // Without TCP_NODELAY, Nagle's algorithm delays small messages. A failure to set the option is ignored,
        // because it only costs latency.
        let _ = stream.set_nodelay(true);
        BufferedSocket {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            read_limit_reached: false,
        }
    }
    /// Starts a non-blocking connect; [`BufferedSocket::connect_result`] returns its result.
    pub fn connect(address: SocketAddr) -> io::Result<BufferedSocket> {
        TcpStream::connect(address).map(|stream| BufferedSocket {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            read_limit_reached: false,
        })
    }
    /// Registers the socket with the poll, so that its events carry the owner's token.
    pub fn register(&mut self, registry: &Registry, owner: SocketOwner) -> io::Result<()> {
        registry.register(&mut self.stream, owner.token(), Interest::READABLE | Interest::WRITABLE)
    }
    /// Changes the token of a registered socket to that of another owner.
    pub fn reregister(&mut self, registry: &Registry, owner: SocketOwner) -> io::Result<()> {
        registry.reregister(&mut self.stream, owner.token(), Interest::READABLE | Interest::WRITABLE)
    }
    /// Result of a connect started by [`BufferedSocket::connect`]; `None` while it is in progress.
    pub fn connect_result(&mut self) -> Option<io::Result<()>> {
        match self.stream.take_error() {
            Ok(Some(error)) | Err(error) => return Some(Err(error)),
            Ok(None) => {}
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                let _ = self.stream.set_nodelay(true);
                Some(Ok(()))
            }
            Err(error) if error.kind() == ErrorKind::NotConnected => None,
            Err(error) => Some(Err(error)),
        }
    }
    /// Reads until the socket has no more bytes or until the read buffer contains at least `limit` bytes.
    pub fn read(&mut self, limit: usize) -> io::Result<ReadStatus> {
        self.read_limit_reached = false;
        let mut chunk = [0u8; 16 * 1024];
        loop {
            if self.input.len() >= limit {
                self.read_limit_reached = true;
                return Ok(ReadStatus::Open);
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(ReadStatus::Closed),
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadStatus::Open),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
    /// Whether the last read stopped at its limit. The socket may then have more bytes for which the poll reports no
    /// further event, because registrations are edge-triggered, so the caller must read again.
    pub fn read_limit_reached(&self) -> bool {
        self.read_limit_reached
    }
    /// Removes consumed bytes from the front of the read buffer, and frees a large buffer once it is empty.
    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes);
        if self.input.is_empty() && self.input.capacity() > 64 * 1024 {
            self.input = Vec::new();
        }
    }
    /// Appends bytes to the write buffer; [`BufferedSocket::flush`] sends them.
    pub fn queue_write(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }
    /// Number of bytes in the write buffer that the socket has not yet accepted.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }
    /// Writes buffered bytes until the buffer is empty or the socket would block, and frees a large buffer once it is
    /// empty.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.written = 0;
        self.output.clear();
        if self.output.capacity() > 64 * 1024 {
            self.output = Vec::new();
        }
        Ok(())
    }
    /// Shuts down the write side of the connection.
    pub fn shutdown_write(&mut self) {
        // Fails only on a connection that is already broken, which needs no shutdown.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}
