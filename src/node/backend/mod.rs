//! Backends: connection pools to the platform's engines over the line protocol, and to MySQL servers.

mod engine_registry;
pub mod line_protocol;
pub mod mysql;

use super::dispatcher::DispatcherEvent;
use super::front::closing::ClosingConnections;
use super::timer_queue::TimerQueue;
use mio::Registry;

/// Shared state that a backend or a front uses while it handles one event.
pub struct BackendContext<'a> {
    /// Current time in Unix milliseconds.
    pub now: f64,
    /// Registry of the event loop for new sockets.
    pub registry: &'a Registry,
    /// Timer queue of the node.
    pub timers: &'a mut TimerQueue,
    /// Client connections that are closed once their remaining output has been read.
    pub closing: &'a mut ClosingConnections,
    /// Events for the request dispatcher.
    pub events: &'a mut Vec<DispatcherEvent>,
    /// Log lines to write.
    pub log: &'a mut Vec<String>,
}
