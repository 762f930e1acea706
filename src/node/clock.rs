//! The one clock: Unix milliseconds with fractions. Tests set it by hand.

use crate::Micros;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Where the node takes the time from. Copies of a set clock share its hand.
#[derive(Clone, Debug)]
pub struct Clock(Source);

#[derive(Clone, Debug)]
enum Source {
    System { start: f64, since: Instant },
    Set(Rc<Cell<f64>>),
}

impl Clock {
    /// The system's clock, read once and then carried on steadily: a step of the wall clock moves no deadline.
    pub fn system() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock(Source::System { start: unix.as_secs_f64() * 1000.0, since: Instant::now() })
    }
    /// A clock that stands until [`Clock::set`] moves it.
    pub fn fixed(at: f64) -> Clock {
        Clock(Source::Set(Rc::new(Cell::new(at))))
    }
    /// Now, in Unix milliseconds.
    pub fn now(&self) -> f64 {
        match &self.0 {
            Source::System { start, since } => start + since.elapsed().as_secs_f64() * 1000.0,
            Source::Set(at) => at.get(),
        }
    }
    /// Moves a set clock; the system's stays as it is.
    pub fn set(&self, to: f64) {
        if let Source::Set(at) = &self.0 {
            at.set(to);
        }
    }
    /// Whether time passes only by [`Clock::set`].
    pub fn is_set(&self) -> bool {
        matches!(self.0, Source::Set(_))
    }
}

/// To the module's time, where it is called.
pub fn to_micros(ms: f64) -> Micros {
    Micros((ms.max(0.0) * 1000.0).round() as u64)
}

/// From the module's time.
pub fn from_micros(time: Micros) -> f64 {
    time.as_millis()
}
