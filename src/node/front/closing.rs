//! Client connections that are being closed.
//!
//! The node writes the pending responses, shuts down its write side, and then reads and drops input until the client
//! closes too. Closing a socket with unread input would reset the connection, and the client could lose the response
//! that was written just before.

use crate::node::reactor::{BufferedSocket, ReadStatus, SocketOwner};
use crate::node::slab::{Slab, SlotKey};
use crate::node::timer_queue::{TimerEvent, TimerHandle, TimerQueue};
use mio::Registry;

/// Time that a client has to read its last responses and to close its side, in milliseconds.
pub const LINGER_MS: f64 = 300.0;

/// Most bytes that are read and dropped on one connection in total. Further input is left unread.
const MAX_DROPPED_BYTES: usize = 1 << 20;

/// Most bytes that are read from one connection per event loop iteration.
const MAX_READ_BYTES: usize = 64 * 1024;

/// A connection that is being closed.
struct ClosingConnection {
    link: BufferedSocket,
    dropped_bytes: usize,
    /// Whether the node has shut down its write side.
    is_shut_down: bool,
    deadline: TimerHandle,
}

/// The client connections of all fronts that are being closed.
#[derive(Default)]
pub struct ClosingConnections {
    connections: Slab<ClosingConnection>,
    /// Connections that have reached the limit on input per iteration and have input left to read.
    unread: Vec<SlotKey>,
}

impl ClosingConnections {
    /// Number of connections that are not closed yet.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether all connections are closed.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Starts to close a connection, which is closed at the latest [`LINGER_MS`] after `now`.
    pub fn add(&mut self, mut link: BufferedSocket, now: f64, registry: &Registry, timers: &mut TimerQueue) {
        link.consume(link.input.len());
        let key = self.connections.insert_with(|key| ClosingConnection {
            link,
            dropped_bytes: 0,
            is_shut_down: false,
            deadline: timers.set(now + LINGER_MS, TimerEvent::ClosingConnection(key)),
        });
        let Some(connection) = self.connections.get_mut(key) else { return };
        match connection.link.reregister(registry, SocketOwner::Closing(key)) {
            Ok(()) => self.ready(key, timers),
            Err(_) => self.remove(key, timers),
        }
    }

    /// Handles readiness of a socket: writes pending responses, and reads and drops input.
    pub fn ready(&mut self, key: SlotKey, timers: &mut TimerQueue) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.link.flush().is_err() {
            return self.remove(key, timers);
        }
        let is_written = connection.link.unsent_bytes() == 0;
        if is_written && !connection.is_shut_down {
            connection.link.shutdown_write();
            connection.is_shut_down = true;
        }
        if connection.dropped_bytes >= MAX_DROPPED_BYTES {
            return;
        }
        let end = connection.link.read(MAX_READ_BYTES);
        let bytes = connection.link.input.len();
        connection.dropped_bytes += bytes;
        connection.link.consume(bytes);
        match end {
            Ok(ReadStatus::Open) if connection.link.read_limit_reached() => self.unread.push(key),
            Ok(ReadStatus::Open) => {}
            Ok(ReadStatus::Closed) if !is_written => {}
            Ok(ReadStatus::Closed) | Err(_) => self.remove(key, timers),
        }
    }

    /// Removes and returns the connections with input left to read, which get no further event from the poll.
    pub fn take_unread(&mut self) -> Vec<SlotKey> {
        std::mem::take(&mut self.unread)
    }

    /// Closes a connection at its deadline, even if responses are not written or input is unread.
    pub fn expired(&mut self, key: SlotKey) {
        self.connections.remove(key);
    }

    /// Closes one connection before its deadline to free a file descriptor. Returns `false` if no connection is left.
    pub fn evict(&mut self, timers: &mut TimerQueue) -> bool {
        let first = self.connections.iter().map(|(key, _)| key).next();
        first.into_iter().for_each(|key| self.remove(key, timers));
        first.is_some()
    }

    fn remove(&mut self, key: SlotKey, timers: &mut TimerQueue) {
        if let Some(connection) = self.connections.remove(key) {
            timers.cancel(connection.deadline);
        }
    }
}
