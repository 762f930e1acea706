//! Requests with one key run in the order of arrival, where their class asks for it.

use super::Gateway;
use crate::state::request::TrackedRequest;
use crate::Outcome;
use std::sync::Arc;

impl Gateway {
    /// The key that orders a request, if it is ordered.
    fn ordering_key<'a>(&self, request: &'a TrackedRequest) -> Option<&'a Arc<str>> {
        request
            .request
            .key
            .as_ref()
            .filter(|_| self.class(request).in_order)
    }

    /// Puts a request into the queue of its key; returns the queue's length, 0 without a key.
    pub(super) fn join_key_queue(&mut self, sequence: u64, request: &TrackedRequest) -> usize {
        match self.ordering_key(request) {
            Some(key) => self.keys.join(key, sequence),
            None => 0,
        }
    }

    /// Whether a request is the first of its key and the key does not rest.
    pub(super) fn is_in_turn(&self, sequence: u64, request: &TrackedRequest) -> bool {
        let Some(key) = self.ordering_key(request) else {
            return true;
        };
        let was_sent = !request.attempts.is_empty();
        self.keys.is_first(key, sequence)
            && (was_sent || !self.keys.is_resting(key, self.clock.now))
    }

    /// Lets a key rest after an attempt whose work may go on.
    pub(super) fn rest_key_after(&mut self, sequence: u64, outcome: Outcome) {
        if !outcome.may_still_run() {
            return;
        }
        let until = self.clock.now.plus(self.settings.key_rest);
        let request = &self.requests[sequence];
        if let Some(key) = self.ordering_key(request) {
            self.keys.rest(key, until);
        }
    }
}
