//! Ordering by key: in classes that ask for it, requests with the same ordering key run one at a
//! time in the order of arrival.

use super::Gateway;
use crate::state::request::TrackedRequest;
use crate::Outcome;
use std::sync::Arc;

impl Gateway {
    /// Returns the ordering key of a request if its class runs requests in order.
    fn ordering_key<'a>(&self, request: &'a TrackedRequest) -> Option<&'a Arc<str>> {
        request
            .request
            .key
            .as_ref()
            .filter(|_| self.class(request).in_order)
    }

    /// Appends a request to the queue of its ordering key. Returns the length of the queue, or 0 if
    /// the request isn't ordered.
    pub(super) fn join_key_queue(&mut self, sequence: u64, request: &TrackedRequest) -> usize {
        match self.ordering_key(request) {
            Some(key) => self.keys.join(key, sequence),
            None => 0,
        }
    }

    /// Whether ordering by key allows a request to be sent: the request is first in the queue of
    /// its key, and no earlier request with that key may still be running. A retry of the first
    /// request doesn't wait for its own earlier attempt.
    pub(super) fn is_in_turn(&self, sequence: u64, request: &TrackedRequest) -> bool {
        let Some(key) = self.ordering_key(request) else {
            return true;
        };
        let was_sent = !request.attempts.is_empty();
        self.keys.is_first(key, sequence) && (was_sent || !self.keys.is_paused(key, self.clock.now))
    }

    /// Pauses an ordering key for a fixed time after an attempt that may still be running on its
    /// engine, so that the next request with that key doesn't overtake it.
    pub(super) fn pause_key_after(&mut self, sequence: u64, outcome: Outcome) {
        if !outcome.may_still_run() {
            return;
        }
        let until = self.clock.now.plus(self.settings.key_pause);
        let request = &self.requests[sequence];
        if let Some(key) = self.ordering_key(request) {
            self.keys.pause(key, until);
        }
    }
}
