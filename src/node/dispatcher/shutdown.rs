//! Requests that have ended while an engine may still run them, and requests during a graceful shutdown: every
//! request gets a response by the response deadline, and requests that can't finish by then are rejected.

use super::*;

impl RequestDispatcher {
    /// Retains the units of fleet budgets that a removed request holds if an engine may still run the request.
    pub(super) fn retain_units(&mut self, open: OpenRequest) {
        let Some(held_units) =
            open.request.admitted.map(|admitted| admitted.held_units).filter(|_| open.may_still_run)
        else {
            return;
        };
        if let Some(max_duration_ms) = held_units.max_duration_ms() {
            self.retained_units.push((open.arrived_at + max_duration_ms, held_units));
        }
    }

    /// Releases retained units of fleet budgets once the requests that hold them can no longer run at any engine.
    pub fn release_expired_units(&mut self, now: f64) {
        self.retained_units.retain(|(until, _)| now < *until);
    }

    /// Starts a graceful shutdown: requests that are open at `response_deadline` get their response then, and
    /// requests that were never sent to an engine and can't end before are rejected at once.
    pub fn start_shutdown(&mut self, now: f64, response_deadline: f64, timers: &mut TimerQueue) {
        self.response_deadline = response_deadline;
        for key in self.open.keys() {
            let Some(open) = self.open.get_mut(key).filter(|open| open.deadline > response_deadline) else {
                continue;
            };
            open.deadline_timer.take().into_iter().for_each(|timer| timers.cancel(timer));
            open.deadline_timer = Some(timers.set(response_deadline, TimerEvent::RequestDeadline(key)));
        }
        self.reject_unfinishable(now, timers);
    }

    /// Rejects all new requests from now on, since their connections are about to be closed.
    pub fn reject_new(&mut self) {
        self.rejects_new = true;
    }

    /// Cancels the attempt of a request whose client is gone, if no byte of the attempt has been sent. Only needed if
    /// the settings disable cancels, since otherwise the decision module cancels the attempt.
    pub(super) fn withdraw_attempt(&mut self, key: SlotKey) {
        let Some(outstanding) = self.open.get(key).and_then(|open| open.outstanding.as_ref()) else { return };
        if !self.settings.cancel {
            let attempt = AttemptRef { request: key, attempt: outstanding.attempt };
            self.commands.push(DispatcherCommand::CancelIfUnsent(attempt));
        }
    }

    /// Rejects the requests that were never sent to an engine and can't end before the response deadline of a
    /// graceful shutdown.
    pub fn reject_unfinishable(&mut self, now: f64, timers: &mut TimerQueue) {
        for key in self.open.keys() {
            let Some(open) =
                self.open.get(key).filter(|open| open.attempts_sent == 0 && open.client.is_some())
            else {
                continue;
            };
            if self.is_unfinishable(now, open) {
                let id = RequestId(open.request.name.clone());
                self.respond(key, FinalResponse::Rejected { backoff_ms: DEFAULT_BACKOFF_MS });
                self.decide(now, Event::ClientGone(id), timers);
                self.remove_if_done(now, key, timers);
            }
        }
    }

    /// Whether a request that starts now can't end before the response deadline, by its estimate of the work.
    pub(super) fn is_unfinishable(&self, now: f64, open: &OpenRequest) -> bool {
        let threads = self.settings.classes[open.request.class.0].threads.max(0.1);
        now + open.request.work_ms.unwrap_or(0.0) / threads > self.response_deadline
    }
}
