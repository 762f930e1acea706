//! Prediction of queries that run short of memory: a model trained on served queries, and a list of
//! recent queries that ran short of memory although they were not flagged.

use crate::Micros;
use std::collections::BTreeMap;

/// Length of the feature vector of the model.
pub const FEATURES: usize = 5;

/// Maximum number of entries in [`MissList`], which bounds the memory that the list uses.
const MAX_MISSES: usize = 256;

/// Age at which an entry of [`MissList`] expires. Tables and query plans change over time, so old
/// entries say little about new queries.
const MAX_MISS_AGE: Micros = Micros::from_millis(60_000);

/// Learning rate of the model's gradient descent.
const LEARNING_RATE: f64 = 0.15;

/// Weights before the model is trained. The first feature is the constant 1; all others raise the
/// predicted probability of a memory shortage.
const INITIAL_WEIGHTS: [f64; FEATURES] = [-2.0, 1.0, 2.0, 1.0, 1.0];

/// Kind of query, as a key of [`MissList`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MissKey {
    /// Index of the query's class in the settings.
    pub class: usize,
    /// Table group of the query.
    pub group: u64,
    /// Rounded binary logarithm of the query's memory estimate in megabytes; -1 for a query without
    /// a memory estimate.
    pub bucket: i32,
}

/// Kinds of query that recently ran short of memory without having been flagged, with the time of
/// the last case of each kind.
#[derive(Default)]
pub struct MissList(BTreeMap<MissKey, Micros>);

impl MissList {
    /// Returns whether a query of this kind recently ran short of memory without having been
    /// flagged as likely to do so.
    pub fn contains(&self, key: &MissKey, now: Micros) -> bool {
        self.0
            .get(key)
            .is_some_and(|at| now.since(*at) < MAX_MISS_AGE)
    }

    /// Adds a kind of query. If the list then has too many entries, the kind whose last case is the
    /// oldest is removed.
    pub fn add(&mut self, key: MissKey, now: Micros) {
        self.0.insert(key, now);
        if self.0.len() > MAX_MISSES {
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(key, _)| *key);
            if let Some(key) = oldest {
                self.0.remove(&key);
            }
        }
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Micros) {
        self.0.retain(|_, at| now.since(*at) < MAX_MISS_AGE);
    }
}

/// Logistic regression model that is trained online.
pub struct TroubleModel {
    weights: [f64; FEATURES],
}

impl Default for TroubleModel {
    fn default() -> TroubleModel {
        TroubleModel {
            weights: INITIAL_WEIGHTS,
        }
    }
}

impl TroubleModel {
    /// Returns the predicted probability, from 0 to 1, that a query runs short of memory.
    pub fn predict(&self, features: &[f64; FEATURES]) -> f64 {
        let z: f64 = features
            .iter()
            .zip(&self.weights)
            .map(|(feature, weight)| feature * weight)
            .sum();
        1.0 / (1.0 + (-z).exp())
    }

    /// Trains the model with one step of gradient descent. `label` is 1 if the query ran short of
    /// memory and 0 otherwise.
    pub fn learn(&mut self, features: &[f64; FEATURES], label: f64) {
        let error = label - self.predict(features);
        for (weight, feature) in self.weights.iter_mut().zip(features) {
            *weight += LEARNING_RATE * error * feature;
        }
    }
}

/// Returns the entropy, in bits, of a binary event with probability `p`.
pub fn entropy(p: f64) -> f64 {
    let part = |q: f64| if q > 0.0 { -q * q.log2() } else { 0.0 };
    part(p) + part(1.0 - p)
}
