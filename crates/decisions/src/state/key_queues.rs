//! Order of requests that share a key: one at a time, in the order of arrival, with a rest after an
//! unsure end.

use crate::Micros;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// A queue for each key, and the rests of keys.
#[derive(Default)]
pub struct KeyQueues {
    queues: HashMap<Arc<str>, VecDeque<u64>>,
    rests_until: HashMap<Arc<str>, Micros>,
}

impl KeyQueues {
    /// Puts a request behind all others of its key; returns the length of the queue with it.
    pub fn join(&mut self, key: &Arc<str>, sequence: u64) -> usize {
        let queue = self.queues.entry(key.clone()).or_default();
        queue.push_back(sequence);
        queue.len()
    }

    /// Takes a request out of the queue of its key.
    pub fn leave(&mut self, key: &Arc<str>, sequence: u64) {
        self.queues
            .entry(key.clone())
            .or_default()
            .retain(|queued| *queued != sequence);
    }

    /// Whether a request is the first of its key.
    pub fn is_first(&self, key: &Arc<str>, sequence: u64) -> bool {
        self.queues
            .get(key)
            .and_then(VecDeque::front)
            .is_none_or(|first| *first == sequence)
    }

    /// Starts a rest of a key.
    pub fn rest(&mut self, key: &Arc<str>, until: Micros) {
        self.rests_until.insert(key.clone(), until);
    }

    /// Whether a key rests.
    pub fn is_resting(&self, key: &Arc<str>, now: Micros) -> bool {
        self.rests_until.get(key).is_some_and(|until| *until > now)
    }

    /// Forgets empty queues and rests that are over.
    pub fn expire(&mut self, now: Micros) {
        self.queues.retain(|_, queue| !queue.is_empty());
        self.rests_until.retain(|_, until| *until > now);
    }

    /// How many keys have a queue, and how many rest; for tests of the memory that they take.
    pub fn len(&self) -> usize {
        self.queues.len() + self.rests_until.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Entries for which memory is taken.
    pub fn capacity(&self) -> usize {
        self.queues.capacity() + self.rests_until.capacity()
    }
}
