//! Queues that run requests with the same ordering key one at a time, in order of arrival. A key
//! can be paused after an attempt that may still be running.

use crate::Micros;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A queue of requests for each ordering key, and the pauses of keys.
#[derive(Default)]
pub struct KeyQueues {
    queues: HashMap<Arc<str>, VecDeque<u64>>,
    paused_until: HashMap<Arc<str>, Micros>,
}

impl KeyQueues {
    /// Appends a request to the queue of its key and returns the new length of that queue.
    pub fn join(&mut self, key: &Arc<str>, sequence: u64) -> usize {
        let queue = self.queues.entry(key.clone()).or_default();
        queue.push_back(sequence);
        queue.len()
    }

    /// Removes a request from the queue of its key.
    pub fn leave(&mut self, key: &Arc<str>, sequence: u64) {
        self.queues
            .entry(key.clone())
            .or_default()
            .retain(|queued| *queued != sequence);
    }

    /// Returns whether a request is the first in the queue of its key. Also returns true if the key
    /// has no queued requests.
    pub fn is_first(&self, key: &Arc<str>, sequence: u64) -> bool {
        self.queues
            .get(key)
            .and_then(VecDeque::front)
            .is_none_or(|first| *first == sequence)
    }

    /// Pauses a key until `until`, replacing any earlier pause of the key.
    pub fn rest(&mut self, key: &Arc<str>, until: Micros) {
        self.paused_until.insert(key.clone(), until);
    }

    /// Returns whether a key is paused at `now`.
    pub fn is_resting(&self, key: &Arc<str>, now: Micros) -> bool {
        self.paused_until.get(key).is_some_and(|until| *until > now)
    }

    /// Removes empty queues and expired pauses.
    pub fn expire(&mut self, now: Micros) {
        self.queues.retain(|_, queue| !queue.is_empty());
        self.paused_until.retain(|_, until| *until > now);
    }

    /// Returns the number of queues plus the number of paused keys, for tests of memory use.
    pub fn len(&self) -> usize {
        self.queues.len() + self.paused_until.len()
    }

    /// Returns whether there are neither queues nor paused keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of entries for which the hash tables have allocated memory.
    pub fn capacity(&self) -> usize {
        self.queues.capacity() + self.paused_until.capacity()
    }
}
