//! The time of the event in hand, how long the gateway stood still, and pauses between retries.

use crate::Micros;

/// A gap between two events after which the gateway counts as stalled; its timer fires ten times in
/// it.
const STALL_THRESHOLD: Micros = Micros::from_millis(250);

/// Time by the events that came.
#[derive(Default)]
pub struct Clock {
    /// Time of the event in hand.
    pub now: Micros,
    /// Time of the first event.
    pub started_at: Option<Micros>,
    /// When the last stall ended: what engines answered during it may still be unread.
    pub last_stall: Micros,
    /// The longest stall, shrinking as time passes without one.
    pub longest_stall: Micros,
    /// When all loads were last surveyed.
    pub last_survey: Micros,
    /// When the current window of the flagging quota ends.
    pub window_end: Micros,
}

impl Clock {
    /// Moves on to the time of an event and records a stall before it.
    pub fn advance(&mut self, now: Micros) {
        let gap = self.started_at.map_or(Micros(0), |_| now.since(self.now));
        if gap > STALL_THRESHOLD {
            self.last_stall = now;
            self.longest_stall = self.longest_stall.max(gap);
        }
        self.now = self.now.max(now);
    }

    /// Starts the clock at the first event.
    pub fn start(&mut self, window: Micros) {
        self.started_at = Some(self.now);
        self.last_survey = self.now;
        self.window_end = self.now.plus(window);
    }

    /// Lets the longest stall fade by an eighth.
    pub fn shrink_longest_stall(&mut self) {
        self.longest_stall.0 -= self.longest_stall.0 / 8;
    }

    /// Time since `earlier`.
    pub fn since(&self, earlier: Micros) -> Micros {
        self.now.since(earlier)
    }
}

/// When to try again after failures: pauses that double, with jitter.
#[derive(Default)]
pub struct Backoff {
    retry_at: Option<Micros>,
    failures: u32,
}

impl Backoff {
    /// Pauses for half to one and a half of a length that doubles from `first` to `longest`.
    pub fn failed(&mut self, now: Micros, draw: u64, first: Micros, longest: Micros) {
        let pause = longest.min(Micros(first.0 << self.failures.min(16)));
        let jittered = Micros(pause.0 / 2 + draw % pause.0.max(1));
        self.retry_at = Some(now.plus(jittered));
        self.failures += 1;
    }

    /// Whether a pause has ended; true once for each.
    pub fn take_due(&mut self, now: Micros) -> bool {
        self.retry_at.take_if(|at| *at <= now).is_some()
    }
}
