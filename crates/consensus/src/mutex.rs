//! Locks that outlive a panic of another thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a thread has panicked while it held the lock.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
