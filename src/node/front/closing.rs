//! Client connections that are being closed.
//!
//! What is still owed is written, then the write side is shut down, and what the client still sends is read and dropped
//! until it closes too. Closing a socket over unread bytes would reset the connection, and the client would lose the
//! answer that was written just before.

use crate::node::reactor::{BufferedSocket, ReadEnd, SocketOwner};
use crate::node::slab::{Slab, SlotKey};
use crate::node::timer_queue::{TimerEvent, TimerHandle, TimerQueue};
use mio::Registry;

/// How long a client has to read what is written and to close, in milliseconds.
pub const LINGER_MS: f64 = 300.0;

/// Bytes that are dropped on one connection; what a client sends beyond that is left unread.
const DROPPED_MOST: usize = 1 << 20;

/// Bytes that are read from one connection at a time.
const READ_MOST: usize = 64 * 1024;

struct ClosingConnection {
    link: BufferedSocket,
    dropped_bytes: usize,
    is_shut_down: bool,
    deadline: TimerHandle,
}

/// The connections that are being closed, of all fronts.
#[derive(Default)]
pub struct ClosingConnections {
    connections: Slab<ClosingConnection>,
    unread: Vec<SlotKey>,
}

impl ClosingConnections {
    /// Connections that are not closed yet.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether all are closed.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Begins to close a connection. Its deadline is [`LINGER_MS`] from `now`.
    pub fn add(&mut self, mut link: BufferedSocket, now: f64, registry: &Registry, timers: &mut TimerQueue) {
        link.used(link.input.len());
        let key = self.connections.insert_with(|key| ClosingConnection {
            link,
            dropped_bytes: 0,
            is_shut_down: false,
            deadline: timers.set(now + LINGER_MS, TimerEvent::ClosingConnection(key)),
        });
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.link.rewatch(registry, SocketOwner::Closing(key)) {
            Ok(()) => self.ready(key, timers),
            Err(_) => self.remove(key, timers),
        }
    }

    /// The socket is readable or writable.
    pub fn ready(&mut self, key: SlotKey, timers: &mut TimerQueue) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.link.flush().is_err() {
            return self.remove(key, timers);
        }
        let is_written = connection.link.waiting() == 0;
        if is_written && !connection.is_shut_down {
            connection.link.finish();
            connection.is_shut_down = true;
        }
        if connection.dropped_bytes >= DROPPED_MOST {
            return;
        }
        let end = connection.link.read(READ_MOST);
        let bytes = connection.link.input.len();
        connection.dropped_bytes += bytes;
        connection.link.used(bytes);
        match end {
            Ok(ReadEnd::Open) if connection.link.has_more() => self.unread.push(key),
            Ok(ReadEnd::Open) => {}
            Ok(ReadEnd::Closed) if !is_written => {}
            Ok(ReadEnd::Closed) | Err(_) => self.remove(key, timers),
        }
    }

    /// Connections of which more is to be read without an event of the poll.
    pub fn take_unread(&mut self) -> Vec<SlotKey> {
        std::mem::take(&mut self.unread)
    }

    /// The deadline of a connection has passed: it is closed whatever is unread.
    pub fn expired(&mut self, key: SlotKey) {
        self.connections.remove(key);
    }

    /// Closes a connection before its deadline to free its descriptor; false if there is none.
    pub fn evict(&mut self, timers: &mut TimerQueue) -> bool {
        let first = self.connections.iter().map(|(key, _)| key).next();
        first.into_iter().for_each(|key| self.remove(key, timers));
        first.is_some()
    }

    fn remove(&mut self, key: SlotKey, timers: &mut TimerQueue) {
        if let Some(connection) = self.connections.remove(key) {
            timers.clear(connection.deadline);
        }
    }
}
