//! Counts that decay exponentially, so that what happened lately weighs most.

use crate::Micros;
use std::collections::BTreeMap;

/// Count under which an entry of [`DecayingCounts`] is dropped.
const SMALLEST_COUNT: f64 = 0.01;

/// The part of a decaying sum that is left after `elapsed`.
pub fn remaining(elapsed: Micros, half_life_ms: f64) -> f64 {
    0.5f64.powf(elapsed.as_millis() / half_life_ms)
}

/// Decaying sums of signs, and of the bad ones among them.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    all: f64,
    bad: f64,
    updated: Micros,
}

impl Tally {
    /// All signs and the bad ones, decayed to `now`.
    pub fn at(&self, now: Micros, half_life_ms: f64) -> (f64, f64) {
        let kept = remaining(now.since(self.updated), half_life_ms);
        (self.all * kept, self.bad * kept)
    }

    /// Counts one sign.
    pub fn count(&mut self, now: Micros, bad: bool, half_life_ms: f64) {
        self.add(now, 1.0, f64::from(u8::from(bad)), half_life_ms);
    }

    /// Adds signs by weight.
    pub fn add(&mut self, now: Micros, more: f64, more_bad: f64, half_life_ms: f64) {
        let (all, bad) = self.at(now, half_life_ms);
        self.all = all + more;
        self.bad = bad + more_bad;
        self.updated = now;
    }

    /// The share of bad signs, with `prior` good ones more.
    pub fn share(&self, now: Micros, half_life_ms: f64, prior: f64) -> f64 {
        let (all, bad) = self.at(now, half_life_ms);
        (bad / (all + prior)).min(1.0)
    }

    /// The share of bad signs without those of `own`, and with `prior` more of which a part `least`
    /// is bad.
    pub fn share_without(
        &self,
        own: &Tally,
        now: Micros,
        half_life_ms: f64,
        least: f64,
        prior: f64,
    ) -> f64 {
        let (all, bad) = self.at(now, half_life_ms);
        let (own_all, own_bad) = own.at(now, half_life_ms);
        ((bad - own_bad).max(0.0) + least * prior) / ((all - own_all).max(0.0) + prior)
    }
}

/// Decaying counts by name.
#[derive(Default)]
pub struct DecayingCounts(BTreeMap<String, f64>);

impl DecayingCounts {
    /// Counts one more; returns the sum with it.
    pub fn count(&mut self, name: &str) -> f64 {
        let sum = self.0.entry(name.to_owned()).or_insert(0.0);
        *sum += 1.0;
        *sum
    }

    /// Keeps this part of each count.
    pub fn decay(&mut self, kept: f64) {
        for sum in self.0.values_mut() {
            *sum *= kept;
        }
        self.0.retain(|_, sum| *sum > SMALLEST_COUNT);
    }
}
