//! Completion: a request is answered, rejected or failed, and forgotten once nothing of it is in
//! flight.

use super::Gateway;
use crate::{Action, Micros};

/// Longest pause that a rejected client is advised, before jitter, in microseconds.
const LONGEST_RETRY_AFTER: f64 = 1_000_000.0;

/// Part of that pause that falls away as all work is admitted, in microseconds.
const RETRY_AFTER_RANGE: f64 = 700_000.0;

/// Least factor of the jitter on that pause, in thousandths.
const LEAST_JITTER: u64 = 700;

/// Range of the jitter on that pause, in thousandths.
const JITTER_RANGE: u64 = 600;

impl Gateway {
    /// Answers a request that is given up, at once: rejected where trying again is harmless, else
    /// failed.
    pub(super) fn reject_or_fail(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        let retry_after = self.retry_after();
        let request = &self.requests[sequence];
        let may_be_refused = self.class(request).repeat.may_be_refused();
        let harmless = may_be_refused || request.first_that_may_have_run().is_none();
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

    /// When a rejected client should come back: the fuller the fleet the later, spread so that not
    /// all come as one.
    fn retry_after(&mut self) -> Option<Micros> {
        let jitter = LEAST_JITTER + self.random.draw() % JITTER_RANGE;
        let base = (LONGEST_RETRY_AFTER - RETRY_AFTER_RANGE * self.admission.admitted_share) as u64;
        let pause = Micros(base * jitter / 1000);
        self.settings.retry_after.map(|longest| longest.min(pause))
    }

    /// Nothing more is owed to the client: cancels what is in flight; at the last outcome forgets
    /// the request and passes its key on.
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

    /// Answers waiting requests whose time is up.
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
