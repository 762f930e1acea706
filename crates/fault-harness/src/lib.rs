//! The fault harness of a fleet: real `beamgap` processes on loopback, a relay on every connection between them, fake
//! engines and clients, faults derived from a seed, and history checkers without side effects. Tests and experiments use
//! this crate; the `beamgap` program itself does not depend on it.
//!
//! [`world::World`] is the entry point of most tests. [`faults`] defines the faults. [`checker`] checks histories of
//! policies, [`operations`] histories of tasks and [`budget_checker`] histories of budgets. [`soak`] runs front ends without
//! a fleet under traffic and restarts.

pub mod breaks;
pub mod budget_checker;
pub mod case;
pub mod checker;
pub mod client;
pub mod engine;
pub mod faults;
pub mod history;
pub mod operations;
pub mod process;
pub mod relay;
pub mod soak;
pub mod target;
pub mod world;

use rustix::time::{clock_gettime, ClockId};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Returns the time of the machine's boot clock in milliseconds; the clock is monotonic and runs during suspension.
/// All processes of the machine share this clock, so the timestamps of different processes can be compared.
pub fn now() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1000.0 + time.tv_nsec as f64 / 1e6
}

/// Locks a mutex, also after a thread has panicked while it had the lock.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
