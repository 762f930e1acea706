//! A fleet of a test's case, and its turn to run: on few cores many fleets at once only wait for each other.

use crate::world::{Options, World};
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::sync::{Condvar, Mutex, PoisonError};

/// So many fleets at once at most.
const AT_ONCE: usize = 3;
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A turn; it is over when this is dropped.
struct Turn;

impl Turn {
    fn wait() -> Turn {
        let running = RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = RUNNING.1.wait_while(running, |n| *n >= AT_ONCE);
        *wait.unwrap_or_else(PoisonError::into_inner) += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RUNNING.1.notify_one();
    }
}

/// A fleet, and its turn to run. The fleet goes first.
pub struct Case(World, #[allow(dead_code)] Turn);

impl Case {
    /// Starts a fleet when its turn comes; with the fault that `RIG_TRIAL` plants, if any.
    ///
    /// # Panics
    ///
    /// If it does not start: a case has no use then.
    pub fn start(binary: &Path, name: &str, options: Options) -> Case {
        let trials = std::env::var("RIG_TRIAL").map_or(options.trials.clone(), |trial| vec![trial]);
        let turn = Turn::wait();
        match World::start(binary, name, Options { trials, ..options }) {
            Ok(world) => Case(world, turn),
            Err(e) => panic!("{e}"),
        }
    }
}

impl Deref for Case {
    type Target = World;
    fn deref(&self) -> &World {
        &self.0
    }
}

impl DerefMut for Case {
    fn deref_mut(&mut self) -> &mut World {
        &mut self.0
    }
}
