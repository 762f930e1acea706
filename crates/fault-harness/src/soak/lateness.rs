//! Measures the scheduling lateness of the soak's own threads. On a busy machine the threads observe events late, and
//! time limits must allow for that.

use crate::{lock, now};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Sleep time of the measuring thread; a sample is the excess over this time.
const INTERVAL: Duration = Duration::from_millis(2);
/// Lateness up to this limit is normal and is not recorded, in milliseconds.
const USUAL_MS: f64 = 3.0;
/// Lateness samples at most this long before or after an observation apply to the observation, in milliseconds.
const AROUND_MS: f64 = 100.0;

/// Time at which the measuring thread should have woken up, and how much later the thread ran, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Sample {
    due: f64,
    late: f64,
}

/// Measures lateness on a thread of its own until it is stopped.
#[derive(Clone, Debug, Default)]
pub struct Lateness {
    samples: Arc<Mutex<Vec<Sample>>>,
    is_over: Arc<AtomicBool>,
}

impl Lateness {
    /// Starts the measuring thread.
    pub fn start() -> Lateness {
        let lateness = Lateness::default();
        let measured = lateness.clone();
        std::thread::spawn(move || {
            while !measured.is_over.load(Relaxed) {
                let due = now() + INTERVAL.as_secs_f64() * 1000.0;
                std::thread::sleep(INTERVAL);
                let late = now() - due;
                if late > USUAL_MS {
                    lock(&measured.samples).push(Sample { due, late });
                }
            }
        });
        lateness
    }

    /// Stops the measuring thread.
    pub fn stop(&self) {
        self.is_over.store(true, Relaxed);
    }

    /// Returns the maximum delay with which an event recorded at `at` may have been observed, in milliseconds.
    pub fn around(&self, at: f64) -> f64 {
        let samples = lock(&self.samples);
        let near = samples
            .iter()
            .filter(|sample| sample.due <= at + AROUND_MS && sample.due + sample.late >= at - AROUND_MS);
        near.map(|sample| sample.late).fold(0.0, f64::max)
    }

    /// Returns the maximum lateness of the run, in milliseconds.
    pub fn worst(&self) -> f64 {
        lock(&self.samples).iter().map(|sample| sample.late).fold(0.0, f64::max)
    }
}
