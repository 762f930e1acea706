//! The one ordered structure that all deadlines hang in.

use super::slab::SlotKey;
use crate::{Attempt, TimerId};
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TimerEvent {
    /// A timer of the decision module.
    Module(TimerId),
    /// The client of a request has stopped waiting.
    RequestOver(SlotKey),
    /// An attempt has had its time.
    AttemptOver(SlotKey, Attempt),
    /// A backend connection: is it up, does it still answer, is it idle?
    Backend(SlotKey),
    /// A connection to a box of the MySQL kind: likewise.
    MysqlBox(SlotKey),
    /// The bulletin: connect, or see whether it has fallen silent.
    Bulletin,
    /// A client connection of the platform's front that has not asked, stands in mid-message, or is let go.
    Client(SlotKey),
    /// A client connection that is being closed.
    ClosingConnection(SlotKey),
    /// A client connection of the MySQL front that has not logged in.
    MysqlLogin(SlotKey),
    /// A connection of a balancer's check or of an xDS client.
    Control(SlotKey),
    /// Time to see whether proxies are to be told anything.
    Xds,
    /// The right to admit is to be renewed.
    Fleet,
    /// Accepting was paused for want of descriptors.
    AcceptAgain,
    /// A graceful shutdown is to be taken further.
    Shutdown,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Due(f64, u64);

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// Names a deadline, to take it back.
#[derive(Clone, Copy, Debug)]
pub struct TimerHandle(Due);

/// Deadlines in order; those of one time in the order in which they were set.
#[derive(Debug, Default)]
pub struct TimerQueue {
    due: BTreeMap<Due, TimerEvent>,
    next: u64,
}

impl TimerQueue {
    /// Sets a deadline.
    pub fn set(&mut self, at: f64, wake: TimerEvent) -> TimerHandle {
        self.next += 1;
        let due = Due(at, self.next);
        self.due.insert(due, wake);
        TimerHandle(due)
    }
    /// Takes one back; nothing happens if it is past.
    pub fn clear(&mut self, handle: TimerHandle) {
        self.due.remove(&handle.0);
    }
    /// When the first one falls due.
    pub fn first(&self) -> Option<f64> {
        self.due.first_key_value().map(|(due, _)| due.0)
    }
    /// Takes the first one out if it is due.
    pub fn pop(&mut self, now: f64) -> Option<TimerEvent> {
        let first = self.due.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }
}
