//! Counts the units of concurrency limits that admitted requests occupy.

use std::cell::Cell;
use std::rc::Rc;

/// Number of units of one budget that are in use at this front end.
#[derive(Clone, Debug, Default)]
pub(super) struct InUseCounter(Rc<Cell<u64>>);

impl InUseCounter {
    /// Counts one unit as in use until the returned guard is dropped. The limit itself is not checked here.
    pub(super) fn acquire(&self) -> UnitGuard {
        self.0.set(self.0.get() + 1);
        UnitGuard { counter: self.clone() }
    }

    pub(super) fn count(&self) -> u64 {
        self.0.get()
    }
}

/// Counts one unit of a budget as in use until it is dropped.
#[derive(Debug)]
pub(super) struct UnitGuard {
    counter: InUseCounter,
}

impl Drop for UnitGuard {
    fn drop(&mut self) {
        let count = &self.counter.0;
        count.set(count.get() - 1);
    }
}

/// A budget that limits the number of units in use at the same time.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    pub(super) counter: InUseCounter,
    /// Longest time that a request may occupy a unit, in milliseconds.
    pub(super) max_duration_ms: f64,
}

/// The budget units that an admitted request occupies. Dropping the value releases them.
#[derive(Debug, Default)]
pub struct HeldUnits {
    units: Vec<UnitGuard>,
    max_duration_ms: f64,
}

impl HeldUnits {
    /// Occupies one unit of each limit.
    pub(super) fn acquire<'a>(limits: impl Iterator<Item = &'a ConcurrencyLimit>) -> HeldUnits {
        let mut held = HeldUnits::default();
        for limit in limits {
            held.units.push(limit.counter.acquire());
            held.max_duration_ms = held.max_duration_ms.max(limit.max_duration_ms);
        }
        held
    }

    /// Returns the time after admission by which all work for the request must have ended, in milliseconds.
    ///
    /// This is the longest duration among the concurrency limits that apply to the request, or `None` if none does.
    pub fn max_duration_ms(&self) -> Option<f64> {
        (!self.units.is_empty()).then_some(self.max_duration_ms)
    }
}
