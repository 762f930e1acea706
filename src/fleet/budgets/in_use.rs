//! Counts the units of concurrency limits that admitted requests hold.

use std::cell::Cell;
use std::rc::Rc;

/// How many units of one budget are in use here.
#[derive(Clone, Debug, Default)]
pub(super) struct InUseCounter(Rc<Cell<u64>>);

impl InUseCounter {
    /// Takes a unit until the guard is dropped.
    pub(super) fn acquire(&self) -> UnitGuard {
        self.0.set(self.0.get() + 1);
        UnitGuard { counter: self.clone() }
    }

    pub(super) fn count(&self) -> u64 {
        self.0.get()
    }
}

/// One unit in use.
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

/// A budget that limits units in use.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    pub(super) counter: InUseCounter,
    /// Longest time that one unit is in use, in milliseconds.
    pub(super) max_duration_ms: f64,
}

/// The units that an admitted request holds until this is dropped.
#[derive(Debug, Default)]
pub struct HeldUnits {
    units: Vec<UnitGuard>,
    max_duration_ms: f64,
}

impl HeldUnits {
    /// Takes one unit of each limit.
    pub(super) fn acquire<'a>(limits: impl Iterator<Item = &'a ConcurrencyLimit>) -> HeldUnits {
        let mut held = HeldUnits::default();
        for limit in limits {
            held.units.push(limit.counter.acquire());
            held.max_duration_ms = held.max_duration_ms.max(limit.max_duration_ms);
        }
        held
    }

    /// How many milliseconds after admission everything that the request may have running has ended; nothing if it holds
    /// no units.
    pub fn max_duration_ms(&self) -> Option<f64> {
        (!self.units.is_empty()).then_some(self.max_duration_ms)
    }
}
