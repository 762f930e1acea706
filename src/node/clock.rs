//! The node's clock, in Unix milliseconds with fractions. Tests replace it with a clock that they advance by hand.

use crate::Micros;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Time source of the node. Clones of a manual clock share its time.
#[derive(Clone, Debug)]
pub struct Clock(Source);

#[derive(Clone, Debug)]
enum Source {
    /// Wall clock time when the clock was created, plus the monotonic time elapsed since then.
    System { start: f64, since: Instant },
    /// A time that changes only by [`Clock::set`].
    Manual(Rc<Cell<f64>>),
}

impl Clock {
    /// A clock that reads the wall clock once and then follows the monotonic clock, so that a step of the wall clock
    /// moves no deadline.
    pub fn system() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock(Source::System { start: unix.as_secs_f64() * 1000.0, since: Instant::now() })
    }
    /// A manual clock that shows `at` until [`Clock::set`] changes it.
    pub fn manual(at: f64) -> Clock {
        Clock(Source::Manual(Rc::new(Cell::new(at))))
    }
    /// Current time in Unix milliseconds.
    pub fn now(&self) -> f64 {
        match &self.0 {
            Source::System { start, since } => start + since.elapsed().as_secs_f64() * 1000.0,
            Source::Manual(at) => at.get(),
        }
    }
    /// Sets the time of a manual clock; has no effect on a system clock.
    pub fn set(&self, to: f64) {
        if let Source::Manual(at) = &self.0 {
            at.set(to);
        }
    }
    /// Whether this is a manual clock, whose time changes only by [`Clock::set`].
    pub fn is_manual(&self) -> bool {
        matches!(self.0, Source::Manual(_))
    }
}

/// Converts Unix milliseconds to the decision module's time; negative values become 0.
pub fn to_micros(ms: f64) -> Micros {
    Micros((ms.max(0.0) * 1000.0).round() as u64)
}

/// Converts the decision module's time to Unix milliseconds.
pub fn from_micros(time: Micros) -> f64 {
    time.as_millis()
}
