//! Sockets under mio's poll: links with bounded buffers, and the tokens that name their owners.

use super::slab::SlotKey;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

/// Who owns a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOwner {
    /// A listener or the signal pipe, by its number.
    Fixed(u32),
    /// A client of the platform's front.
    JsonRpc(SlotKey),
    /// A client of the MySQL front.
    Mysql(SlotKey),
    /// A connection to a warehouse.
    Warehouse(SlotKey),
    /// A connection to a box that speaks MySQL.
    MysqlBox(SlotKey),
    /// The connection to the bulletin, by its generation.
    Bulletin(u32),
    /// A balancer's check or an xDS client.
    Control(SlotKey),
    /// A client's connection that is being closed.
    Closing(SlotKey),
}

impl SocketOwner {
    /// The token that names this owner: eight bits of kind, 24 of generation, 32 of slot.
    pub fn token(self) -> Token {
        let (kind, generation, slot) = match self {
            SocketOwner::Fixed(n) => (0, 0, n),
            SocketOwner::JsonRpc(key) => (1, key.generation, key.slot),
            SocketOwner::Mysql(key) => (2, key.generation, key.slot),
            SocketOwner::Warehouse(key) => (3, key.generation, key.slot),
            SocketOwner::MysqlBox(key) => (4, key.generation, key.slot),
            SocketOwner::Bulletin(n) => (5, 0, n),
            SocketOwner::Control(key) => (6, key.generation, key.slot),
            SocketOwner::Closing(key) => (7, key.generation, key.slot),
        };
        Token((kind << 56) | ((generation as usize & 0x00ff_ffff) << 32) | slot as usize)
    }

    /// The owner that a token names.
    pub fn of(token: Token) -> Option<SocketOwner> {
        let (slot, generation) = (token.0 as u32, (token.0 >> 32) as u32 & 0x00ff_ffff);
        let key = SlotKey { slot, generation };
        Some(match token.0 >> 56 {
            0 => SocketOwner::Fixed(slot),
            1 => SocketOwner::JsonRpc(key),
            2 => SocketOwner::Mysql(key),
            3 => SocketOwner::Warehouse(key),
            4 => SocketOwner::MysqlBox(key),
            5 => SocketOwner::Bulletin(slot),
            6 => SocketOwner::Control(key),
            7 => SocketOwner::Closing(key),
            _ => return None,
        })
    }
}

/// A connection with its buffers. What is read is bounded by the reader, what is written by whoever writes.
#[derive(Debug)]
pub struct BufferedSocket {
    stream: TcpStream,
    /// What has come and is not yet used.
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    more: bool,
}

/// Sums up what waits on many links, and names the one on which the most does.
pub fn heaviest(links: impl Iterator<Item = (usize, SlotKey)>) -> (usize, Option<SlotKey>) {
    let (mut total, mut most) = (0, (0, None));
    for (waiting, key) in links {
        total += waiting;
        if waiting > most.0 {
            most = (waiting, Some(key));
        }
    }
    (total, most.1)
}

/// How a read went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// All that there was is read, or the bound is reached.
    Open,
    /// The other side has closed.
    Closed,
}

impl BufferedSocket {
    /// A link on a connected stream.
    pub fn new(stream: TcpStream) -> BufferedSocket {
        // Small messages must not wait for an acknowledgement; where it can't be set they only come later.
        let _ = stream.set_nodelay(true);
        BufferedSocket { stream, input: Vec::new(), output: Vec::new(), written: 0, more: false }
    }
    /// Begins to connect; [`BufferedSocket::connected`] tells how that goes.
    pub fn dial(address: SocketAddr) -> io::Result<BufferedSocket> {
        TcpStream::connect(address).map(|stream| BufferedSocket {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            more: false,
        })
    }
    /// Has the poll watch it for its owner.
    pub fn watch(&mut self, registry: &Registry, owner: SocketOwner) -> io::Result<()> {
        registry.register(&mut self.stream, owner.token(), Interest::READABLE | Interest::WRITABLE)
    }
    /// Has the poll watch it for another owner from now on.
    pub fn rewatch(&mut self, registry: &Registry, owner: SocketOwner) -> io::Result<()> {
        registry.reregister(&mut self.stream, owner.token(), Interest::READABLE | Interest::WRITABLE)
    }
    /// Whether a dialled link is up: `None` while it is not known.
    pub fn connected(&mut self) -> Option<io::Result<()>> {
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
    /// Reads until there is no more, or until `most` bytes wait to be used.
    pub fn read(&mut self, most: usize) -> io::Result<ReadEnd> {
        self.more = false;
        let mut chunk = [0u8; 16 * 1024];
        loop {
            if self.input.len() >= most {
                self.more = true;
                return Ok(ReadEnd::Open);
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return Ok(ReadEnd::Closed),
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadEnd::Open),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
    /// Whether a read stopped at its bound, so that the poll will not tell of what is left.
    pub fn has_more(&self) -> bool {
        self.more
    }
    /// Drops so many bytes of the input.
    pub fn used(&mut self, bytes: usize) {
        self.input.drain(..bytes);
        if self.input.is_empty() && self.input.capacity() > 64 * 1024 {
            self.input = Vec::new();
        }
    }
    /// Puts bytes behind those that wait to be written.
    pub fn put(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }
    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        self.output.len() - self.written
    }
    /// Writes what the socket takes.
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
    /// Says that nothing more will be written.
    pub fn finish(&mut self) {
        // A link that is already broken has nothing to finish.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}
