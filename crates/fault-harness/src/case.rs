//! A fleet for one test case, with a bound on how many fleets run concurrently.
//! On a machine with few cores, more concurrent fleets would only slow each other down.

use crate::world::{Options, World};
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::sync::{Condvar, Mutex, PoisonError};

/// Maximum number of fleets that the test cases of one process run concurrently.
const MAX_CONCURRENT_FLEETS: usize = 3;
/// Number of fleets that run now, and the signal that one of them has ended.
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A permit to run one fleet; dropping it lets the next test case start its fleet.
struct RunPermit;

impl RunPermit {
    fn acquire() -> RunPermit {
        let running = RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = RUNNING.1.wait_while(running, |n| *n >= MAX_CONCURRENT_FLEETS);
        *wait.unwrap_or_else(PoisonError::into_inner) += 1;
        RunPermit
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        *RUNNING.0.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        RUNNING.1.notify_one();
    }
}

/// A fleet with its permit to run. Fields are dropped in order, so the fleet ends before its permit is released.
pub struct Case(World, #[allow(dead_code)] RunPermit);

impl Case {
    /// Waits until fewer than the maximum number of fleets run, then starts a fleet.
    /// If `RIG_TRIAL` is set, all members run with the injected bug that `RIG_TRIAL` names instead of `options.trials`.
    ///
    /// # Panics
    ///
    /// Panics if the fleet does not start, because the test case can't run without a fleet.
    pub fn start(binary: &Path, name: &str, options: Options) -> Case {
        let trials = std::env::var("RIG_TRIAL").map_or(options.trials.clone(), |trial| vec![trial]);
        let permit = RunPermit::acquire();
        match World::start(binary, name, Options { trials, ..options }) {
            Ok(world) => Case(world, permit),
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
