//! Event time, stalls of the gateway, and backoff between retries.

use crate::Micros;

/// Gap between two events above which the gateway counts as stalled. In normal operation the
/// gateway's own timer fires ten times in this period.
const STALL_THRESHOLD: Micros = Micros::from_millis(250);

/// Clock that advances with the timestamps of events.
#[derive(Default)]
pub struct Clock {
    /// Time of the event being handled.
    pub now: Micros,
    /// Time of the first event; `None` before the first event.
    pub started_at: Option<Micros>,
    /// When the last stall ended. At that time, answers that engines sent during the stall may
    /// still be unread.
    pub last_stall: Micros,
    /// Length of the longest recent stall, reduced at regular intervals to forget old stalls.
    pub longest_stall: Micros,
    /// When the load of all engines was last recomputed.
    pub last_survey: Micros,
    /// When the quotas for flagging queries as memory-heavy are next refilled.
    pub window_end: Micros,
}

impl Clock {
    /// Advances the clock to the time of an event, and records a stall if the gap since the
    /// previous event is too long.
    pub fn advance(&mut self, now: Micros) {
        let gap = self.started_at.map_or(Micros(0), |_| now.since(self.now));
        if gap > STALL_THRESHOLD {
            self.last_stall = now;
            self.longest_stall = self.longest_stall.max(gap);
        }
        self.now = self.now.max(now);
    }

    /// Starts the clock at the first event. `window` is the interval between refills of the quotas
    /// for flagging queries as memory-heavy.
    pub fn start(&mut self, window: Micros) {
        self.started_at = Some(self.now);
        self.last_survey = self.now;
        self.window_end = self.now.plus(window);
    }

    /// Reduces the recorded longest stall by an eighth.
    pub fn shrink_longest_stall(&mut self) {
        self.longest_stall.0 -= self.longest_stall.0 / 8;
    }

    /// Returns the time elapsed since `earlier`.
    pub fn since(&self, earlier: Micros) -> Micros {
        self.now.since(earlier)
    }
}

/// Exponential backoff with jitter between retries after failures.
#[derive(Default)]
pub struct Backoff {
    retry_at: Option<Micros>,
    failures: u32,
}

impl Backoff {
    /// Schedules a retry after a failure. The delay doubles with each failure, from `first` up to
    /// `longest`. Jitter derived from the random number `draw` multiplies the delay by 0.5 to 1.5.
    pub fn failed(&mut self, now: Micros, draw: u64, first: Micros, longest: Micros) {
        let delay = longest.min(Micros(first.0 << self.failures.min(16)));
        let jittered = Micros(delay.0 / 2 + draw % delay.0.max(1));
        self.retry_at = Some(now.plus(jittered));
        self.failures += 1;
    }

    /// Returns whether a scheduled retry is due. Returns true only once for each scheduled retry.
    pub fn take_due(&mut self, now: Micros) -> bool {
        self.retry_at.take_if(|at| *at <= now).is_some()
    }
}
