//! Counts that decay exponentially, so that recent observations weigh most.

use crate::Micros;
use std::collections::BTreeMap;

/// Value below which a count in [`DecayingCounts`] is removed.
const MIN_COUNT: f64 = 0.01;

/// Returns the factor by which a decaying sum shrinks during `elapsed`.
pub fn remaining(elapsed: Micros, half_life_ms: f64) -> f64 {
    0.5f64.powf(elapsed.as_millis() / half_life_ms)
}

/// Exponentially decaying weights of all observations and of the bad ones among them.
#[derive(Clone, Copy, Default)]
pub struct Tally {
    all: f64,
    bad: f64,
    updated: Micros,
}

impl Tally {
    /// Returns the weights of all observations and of the bad ones, decayed to `now`.
    pub fn at(&self, now: Micros, half_life_ms: f64) -> (f64, f64) {
        let factor = remaining(now.since(self.updated), half_life_ms);
        (self.all * factor, self.bad * factor)
    }

    /// Counts one observation, with a weight of 1.
    pub fn count(&mut self, now: Micros, bad: bool, half_life_ms: f64) {
        self.add(now, 1.0, f64::from(u8::from(bad)), half_life_ms);
    }

    /// Adds observations of total weight `more`, including bad ones of weight `more_bad`.
    pub fn add(&mut self, now: Micros, more: f64, more_bad: f64, half_life_ms: f64) {
        let (all, bad) = self.at(now, half_life_ms);
        self.all = all + more;
        self.bad = bad + more_bad;
        self.updated = now;
    }

    /// Returns the share of bad observations. To smooth small counts, good observations with a
    /// total weight of `prior` are assumed in addition.
    pub fn share(&self, now: Micros, half_life_ms: f64, prior: f64) -> f64 {
        let (all, bad) = self.at(now, half_life_ms);
        (bad / (all + prior)).min(1.0)
    }

    /// Returns the share of bad observations without those counted in `own`. To smooth small
    /// counts, further observations with a total weight of `prior_weight` are assumed, of which the
    /// share `prior_share` is bad.
    pub fn share_without(
        &self,
        own: &Tally,
        now: Micros,
        half_life_ms: f64,
        prior_share: f64,
        prior_weight: f64,
    ) -> f64 {
        let (all, bad) = self.at(now, half_life_ms);
        let (own_all, own_bad) = own.at(now, half_life_ms);
        ((bad - own_bad).max(0.0) + prior_share * prior_weight)
            / ((all - own_all).max(0.0) + prior_weight)
    }
}

/// Exponentially decaying counts by name.
#[derive(Default)]
pub struct DecayingCounts(BTreeMap<String, f64>);

impl DecayingCounts {
    /// Adds 1 to the count of a name and returns the new count.
    pub fn count(&mut self, name: &str) -> f64 {
        let sum = self.0.entry(name.to_owned()).or_insert(0.0);
        *sum += 1.0;
        *sum
    }

    /// Multiplies all counts by `factor` and removes counts that have become negligible.
    pub fn decay(&mut self, factor: f64) {
        for sum in self.0.values_mut() {
            *sum *= factor;
        }
        self.0.retain(|_, sum| *sum > MIN_COUNT);
    }
}
