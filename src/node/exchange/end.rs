//! Ends: of a request whose work may go on; and a planned end: what is owed at its last word, and what can't end before.

use super::*;

impl Exchange {
    /// A request is over here. What it holds of the fleet's stocks counts on where it may still run somewhere.
    pub(super) fn linger(&mut self, open: Open) {
        let Some(held) = open.ask.admitted.map(|admitted| admitted.held).filter(|_| open.unsure) else {
            return;
        };
        if let Some(longest) = held.longest() {
            self.lingering.push((open.came + longest, held));
        }
    }

    /// What lingered and has surely ended counts no more.
    pub fn let_go(&mut self, now: f64) {
        self.lingering.retain(|(until, _)| now < *until);
    }

    /// A planned end has begun: what is still owed at `last_word` is answered then, and what can't end before is refused
    /// at once where it was never sent.
    pub fn end_by(&mut self, now: f64, last_word: f64, deadlines: &mut Deadlines) {
        self.last_word = last_word;
        for key in self.open.keys() {
            let Some(open) = self.open.get_mut(key).filter(|open| open.deadline > last_word) else {
                continue;
            };
            open.over.take().into_iter().for_each(|over| deadlines.clear(over));
            open.over = Some(deadlines.set(last_word, Wake::RequestOver(key)));
        }
        self.refuse_hopeless(now, deadlines);
    }

    /// From now on each new request is refused: its connection is about to be closed.
    pub fn refuse_new(&mut self) {
        self.refuses_new = true;
    }

    /// Nobody waits for a request any more. Where the deployment lets nothing be called off, its attempt is still taken
    /// back if it has not begun.
    pub(super) fn withdraw(&mut self, key: Key) {
        let Some(out) = self.open.get(key).and_then(|open| open.out.as_ref()) else { return };
        if !self.settings.cancel {
            self.orders.push(Order::Withdraw(AttemptRef { request: key, attempt: out.attempt }));
        }
    }

    /// Refuses what waits, was never sent, and can't end any more before the last word of a planned end.
    pub fn refuse_hopeless(&mut self, now: f64, deadlines: &mut Deadlines) {
        for key in self.open.keys() {
            let Some(open) = self.open.get(key).filter(|open| open.sent == 0 && open.asker.is_some()) else {
                continue;
            };
            if self.is_hopeless(now, open) {
                let id = RequestId(open.ask.name.clone());
                self.answer(key, Answer::Refused { backoff_ms: BACKOFF });
                self.tell(now, Event::Abandoned(id), deadlines);
                self.forget(key, deadlines);
            }
        }
    }

    /// Whether a request that begins now can't end before the last word, by its own estimate.
    pub(super) fn is_hopeless(&self, now: f64, open: &Open) -> bool {
        let threads = self.settings.classes[open.ask.class.0].threads.max(0.1);
        now + open.ask.work_ms.unwrap_or(0.0) / threads > self.last_word
    }
}
