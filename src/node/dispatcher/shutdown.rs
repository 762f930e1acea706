//! The end of a request whose work may go on, and of all requests in a graceful shutdown: what is owed at its response
//! deadline is answered, and what can't be finished before is refused.

use super::*;

impl RequestDispatcher {
    /// A request is over here. What it holds of the fleet's stocks counts on where it may still run somewhere.
    pub(super) fn linger(&mut self, open: OpenRequest) {
        let Some(held) = open.ask.admitted.map(|admitted| admitted.held_units).filter(|_| open.unsure) else {
            return;
        };
        if let Some(longest) = held.max_duration_ms() {
            self.lingering.push((open.came + longest, held));
        }
    }

    /// What lingered and has surely ended counts no more.
    pub fn let_go(&mut self, now: f64) {
        self.lingering.retain(|(until, _)| now < *until);
    }

    /// A graceful shutdown has begun: what is still owed at `response_deadline` is answered then, and what can't end
    /// before is refused at once where it was never sent.
    pub fn shut_down_by(&mut self, now: f64, response_deadline: f64, timers: &mut TimerQueue) {
        self.response_deadline = response_deadline;
        for key in self.open.keys() {
            let Some(open) = self.open.get_mut(key).filter(|open| open.deadline > response_deadline) else {
                continue;
            };
            open.over.take().into_iter().for_each(|over| timers.clear(over));
            open.over = Some(timers.set(response_deadline, TimerEvent::RequestOver(key)));
        }
        self.refuse_unfinishable(now, timers);
    }

    /// From now on each new request is refused: its connection is about to be closed.
    pub fn refuse_new(&mut self) {
        self.refuses_new = true;
    }

    /// Nobody waits for a request any more. Where the deployment lets nothing be called off, its attempt is still taken
    /// back if it has not begun.
    pub(super) fn withdraw(&mut self, key: SlotKey) {
        let Some(out) = self.open.get(key).and_then(|open| open.out.as_ref()) else { return };
        if !self.settings.cancel {
            self.orders.push(DispatcherCommand::Withdraw(AttemptRef { request: key, attempt: out.attempt }));
        }
    }

    /// Refuses what waits, was never sent, and can't end any more before the response deadline of a graceful shutdown.
    pub fn refuse_unfinishable(&mut self, now: f64, timers: &mut TimerQueue) {
        for key in self.open.keys() {
            let Some(open) = self.open.get(key).filter(|open| open.sent == 0 && open.asker.is_some()) else {
                continue;
            };
            if self.is_unfinishable(now, open) {
                let id = RequestId(open.ask.name.clone());
                self.answer(key, FinalResponse::Refused { backoff_ms: BACKOFF });
                self.tell(now, Event::ClientGone(id), timers);
                self.forget(key, timers);
            }
        }
    }

    /// Whether a request that begins now can't end before the response deadline, by its own estimate.
    pub(super) fn is_unfinishable(&self, now: f64, open: &OpenRequest) -> bool {
        let threads = self.settings.classes[open.ask.class.0].threads.max(0.1);
        now + open.ask.work_ms.unwrap_or(0.0) / threads > self.response_deadline
    }
}
