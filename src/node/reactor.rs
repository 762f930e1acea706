//! Sockets under mio's poll: links with bounded buffers, and the tokens that name their owners.

use super::slab::Key;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

/// Who owns a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// A listener or the signal pipe, by its number.
    Fixed(u32),
    /// A client of the platform's front.
    JsonRpc(Key),
    /// A client of the MySQL front.
    Mysql(Key),
    /// A connection to a warehouse.
    Warehouse(Key),
    /// A connection to a box that speaks MySQL.
    MysqlBox(Key),
    /// The connection to the bulletin, by its generation.
    Bulletin(u32),
    /// A balancer's check or an xDS client.
    Control(Key),
    /// A client's connection that is being closed.
    Closing(Key),
}

impl Owner {
    /// The token that names this owner: eight bits of kind, 24 of generation, 32 of slot.
    pub fn token(self) -> Token {
        let (kind, generation, slot) = match self {
            Owner::Fixed(n) => (0, 0, n),
            Owner::JsonRpc(key) => (1, key.generation, key.slot),
            Owner::Mysql(key) => (2, key.generation, key.slot),
            Owner::Warehouse(key) => (3, key.generation, key.slot),
            Owner::MysqlBox(key) => (4, key.generation, key.slot),
            Owner::Bulletin(n) => (5, 0, n),
            Owner::Control(key) => (6, key.generation, key.slot),
            Owner::Closing(key) => (7, key.generation, key.slot),
        };
        Token((kind << 56) | ((generation as usize & 0x00ff_ffff) << 32) | slot as usize)
    }

    /// The owner that a token names.
    pub fn of(token: Token) -> Option<Owner> {
        let (slot, generation) = (token.0 as u32, (token.0 >> 32) as u32 & 0x00ff_ffff);
        let key = Key { slot, generation };
        Some(match token.0 >> 56 {
            0 => Owner::Fixed(slot),
            1 => Owner::JsonRpc(key),
            2 => Owner::Mysql(key),
            3 => Owner::Warehouse(key),
            4 => Owner::MysqlBox(key),
            5 => Owner::Bulletin(slot),
            6 => Owner::Control(key),
            7 => Owner::Closing(key),
            _ => return None,
        })
    }
}

/// A connection with its buffers. What is read is bounded by the reader, what is written by whoever writes.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    /// What has come and is not yet used.
    pub input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    more: bool,
}

/// Sums up what waits on many links, and names the one on which the most does.
pub fn heaviest(links: impl Iterator<Item = (usize, Key)>) -> (usize, Option<Key>) {
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

impl Link {
    /// A link on a connected stream.
    pub fn new(stream: TcpStream) -> Link {
        // Small messages must not wait for an acknowledgement; where it can't be set they only come later.
        let _ = stream.set_nodelay(true);
        Link { stream, input: Vec::new(), output: Vec::new(), written: 0, more: false }
    }
    /// Begins to connect; [`Link::connected`] tells how that goes.
    pub fn dial(address: SocketAddr) -> io::Result<Link> {
        TcpStream::connect(address).map(|stream| Link {
            stream,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            more: false,
        })
    }
    /// Has the poll watch it for its owner.
    pub fn watch(&mut self, registry: &Registry, owner: Owner) -> io::Result<()> {
        registry.register(&mut self.stream, owner.token(), Interest::READABLE | Interest::WRITABLE)
    }
    /// Has the poll watch it for another owner from now on.
    pub fn rewatch(&mut self, registry: &Registry, owner: Owner) -> io::Result<()> {
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
