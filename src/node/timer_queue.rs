//! Timer queue of the event loop: all pending deadlines of the node, ordered by time.

use super::slab::SlotKey;
use crate::{Attempt, TimerId};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The event that a timer triggers at its deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TimerEvent {
    /// A timer that the decision module has set.
    Module(TimerId),
    /// The deadline of a request has passed, after which its client no longer waits for a response.
    RequestDeadline(SlotKey),
    /// An attempt has reached its time limit.
    AttemptTimeout(SlotKey, Attempt),
    /// Checks a connection of the line protocol backend for a connect timeout, an unresponsive engine and idleness.
    LineProtocol(SlotKey),
    /// Checks a connection of the MySQL backend for connect and login timeouts, an unresponsive engine and idleness.
    MysqlBackend(SlotKey),
    /// Connects the service discovery client or checks its watch for silence.
    Discovery,
    /// A client connection of the JSON-RPC front has sent no request or no complete message in time.
    JsonRpcClient(SlotKey),
    /// The linger time of a client connection that is being closed has passed.
    ClosingConnection(SlotKey),
    /// A client connection of the MySQL front has not logged in in time.
    MysqlLogin(SlotKey),
    /// Checks a connection to the health and discovery endpoints for idleness.
    Control(SlotKey),
    /// Publishes changed engine health and capacity to the xDS server.
    Xds,
    /// Polls the fleet's leader to renew the lease to admit requests.
    Fleet,
    /// Resumes accepting connections after a pause. Accepting is paused when file descriptors run out or the limit on
    /// client connections is reached.
    ResumeAccept,
    /// Advances a graceful shutdown to its next step.
    Shutdown,
}

/// Sort key of a timer: its deadline in Unix milliseconds, then a sequence number that orders timers with equal
/// deadlines.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Deadline(f64, u64);

impl Eq for Deadline {}

impl PartialOrd for Deadline {
    fn partial_cmp(&self, other: &Deadline) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Deadline {
    fn cmp(&self, other: &Deadline) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// Identifies a timer, so that it can be canceled.
#[derive(Clone, Copy, Debug)]
pub struct TimerHandle(Deadline);

/// Pending timers ordered by deadline; timers with the same deadline expire in the order in which they were set.
#[derive(Debug, Default)]
pub struct TimerQueue {
    timers: BTreeMap<Deadline, TimerEvent>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Adds a timer that expires at `at`, in Unix milliseconds.
    pub fn set(&mut self, at: f64, event: TimerEvent) -> TimerHandle {
        self.last_sequence += 1;
        let deadline = Deadline(at, self.last_sequence);
        self.timers.insert(deadline, event);
        TimerHandle(deadline)
    }
    /// Cancels a timer. Does nothing if the timer has already expired.
    pub fn cancel(&mut self, handle: TimerHandle) {
        self.timers.remove(&handle.0);
    }
    /// Returns the earliest deadline, in Unix milliseconds.
    pub fn next_deadline(&self) -> Option<f64> {
        self.timers.first_key_value().map(|(deadline, _)| deadline.0)
    }
    /// Removes the timer with the earliest deadline and returns its event, if this deadline is not after `now`.
    pub fn pop_expired(&mut self, now: f64) -> Option<TimerEvent> {
        let first = self.timers.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }
}
