//! What the gateway keeps in mind of engines, requests and classes, and plain arithmetic. It decides nothing.

mod engines;
mod jobs;
mod learned;
mod plans;
mod shown;

use crate::api::*;
pub use engines::*;
pub use jobs::*;
pub use learned::*;
pub use plans::*;
pub use shown::*;
use std::collections::BTreeMap;

/// The greatest mean of a sum of independent parts of one size whose `deviations` still stay within `most`.
pub fn mean_within(most: f64, size: f64, deviations: f64) -> f64 {
    let noise = deviations * size.sqrt();
    (((noise * noise + 4.0 * most).sqrt() - noise) / 2.0).powi(2).max(0.1)
}

/// The length of a turn, as near to `ms` as halves and doubles of `span` come: gateways whose figures differ a
/// little still agree whose turn it is.
pub fn turn_ms(ms: f64, span: f64) -> f64 {
    span * (ms / span).log2().round().exp2()
}

/// When to try again after failures: pauses that double.
#[derive(Default)]
pub struct Backoff {
    at: Option<Micros>,
    failures: u32,
}

impl Backoff {
    /// Pauses for half to one and a half of a length that doubles from `first` to `longest`.
    pub fn failed(&mut self, now: Micros, draw: u64, first: Micros, longest: Micros) {
        let pause = longest.min(Micros(first.0 << self.failures.min(16)));
        self.at = Some(now.plus(Micros(pause.0 / 2 + draw % pause.0.max(1))));
        self.failures += 1;
    }
    /// Whether the pause is over; once for each.
    pub fn due(&mut self, now: Micros) -> bool {
        self.at.take_if(|at| *at <= now).is_some()
    }
}

/// Fading counts by name.
#[derive(Default)]
pub struct Rates(BTreeMap<String, f64>);

impl Rates {
    /// Counts one more; the sum with it.
    pub fn count(&mut self, name: &str) -> f64 {
        let sum = self.0.entry(name.to_owned()).or_insert(0.0);
        *sum += 1.0;
        *sum
    }
    pub fn fade(&mut self, kept: f64) {
        self.0.values_mut().for_each(|sum| *sum *= kept);
        self.0.retain(|_, sum| *sum > 0.01);
    }
}

/// Scrambles the bits of a number: the finalizer of SplitMix64.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

pub fn hash_text(text: &str) -> u64 {
    mix(text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}

pub fn fade(since: Micros, half_ms: f64) -> f64 {
    0.5f64.powf(since.as_millis() / half_ms)
}
