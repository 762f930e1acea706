//! Completion of requests. A request is answered, rejected or failed, and its state is removed once
//! no attempt is in flight.

use super::Gateway;
use crate::{Action, Micros};

/// Upper bound on the `retry_after` of a rejection before jitter, in microseconds.
const MAX_RETRY_AFTER_US: f64 = 1_000_000.0;

/// Amount by which `retry_after` is reduced when all work is admitted, in microseconds; scaled by
/// the admitted share.
const RETRY_AFTER_RANGE_US: f64 = 700_000.0;

/// Lower bound of the jitter factor on `retry_after`, in thousandths.
const MIN_JITTER_PER_MILLE: u64 = 700;

/// Width of the range of jitter factors on `retry_after`, in thousandths.
const JITTER_RANGE_PER_MILLE: u64 = 600;

impl Gateway {
    /// Ends a request without serving it. It is rejected if the client can safely try again, and
    /// failed if an attempt may have run and another one could execute the request twice.
    pub(super) fn reject_or_fail(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        let retry_after = self.retry_after();
        let request = &self.requests[sequence];
        let backoff = retry_after.unwrap_or_default();
        let harmless = request.first_that_may_have_run().is_none_or(|attempt| {
            let until_retry = self.clock.since(attempt.sent).plus(backoff);
            self.class(request).repeat.may_be_rejected(until_retry)
        });
        let id = request.request.id.clone();
        if harmless {
            actions.push(Action::Reject {
                request: id,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.finish(sequence, actions);
    }

    /// Returns how long a rejected client should wait before it tries again, or `None` if the
    /// settings disable `retry_after`. The time grows as the admitted share falls, and jitter
    /// spreads the retries of many clients.
    fn retry_after(&mut self) -> Option<Micros> {
        let jitter = MIN_JITTER_PER_MILLE + self.random.draw() % JITTER_RANGE_PER_MILLE;
        let base =
            (MAX_RETRY_AFTER_US - RETRY_AFTER_RANGE_US * self.admission.admitted_share) as u64;
        let pause = Micros(base * jitter / 1000);
        self.settings.retry_after.map(|longest| longest.min(pause))
    }

    /// Marks a request as answered and cancels its attempts in flight. Once no attempt is in
    /// flight, the state of the request is removed, which lets the next request with its ordering
    /// key run.
    pub(super) fn finish(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        self.requests.waiting.remove(&sequence);
        let may_cancel = self.settings.cancel;
        let request = self.requests.get_mut(sequence);
        request.answered = true;
        let cancelled = if may_cancel {
            request.cancel_all()
        } else {
            Vec::new()
        };
        for attempt in cancelled {
            actions.push(Action::Cancel {
                request: request.request.id.clone(),
                attempt,
            });
        }
        if request.in_flight() > 0 {
            return;
        }
        let removed = self.requests.remove(sequence);
        if let Some(key) = removed.and_then(|request| request.request.key) {
            self.keys.leave(&key, sequence);
        }
    }

    /// Rejects or fails the waiting requests that are too late to be worth sending.
    pub(super) fn finish_overdue(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.requests.waiting_requests();
        let overdue: Vec<u64> = waiting
            .filter(|(_, request)| self.is_too_late(request))
            .map(|(sequence, _)| sequence)
            .collect();
        for sequence in overdue {
            self.reject_or_fail(sequence, actions);
        }
    }
}
