//! Engines as the node reaches them: the platform's warehouses, and boxes that speak MySQL.

mod engine_registry;
pub mod line_protocol;
pub mod mysql;

use super::dispatcher::DispatcherEvent;
use super::front::closing::ClosingConnections;
use super::timer_queue::TimerQueue;
use mio::Registry;

/// What a backend or a front works with while it handles one thing.
pub struct BackendContext<'a> {
    /// Now, in Unix milliseconds.
    pub now: f64,
    /// Where sockets are registered.
    pub registry: &'a Registry,
    /// All deadlines.
    pub timers: &'a mut TimerQueue,
    /// Client connections that are being closed.
    pub closing: &'a mut ClosingConnections,
    /// What the core is to hear.
    pub heard: &'a mut Vec<DispatcherEvent>,
    /// Lines for the log.
    pub log: &'a mut Vec<String>,
}
