//! Which queries meet memory trouble: a model that learns with each answer, and a list of those it
//! missed.

use crate::Micros;
use std::collections::BTreeMap;

/// Length of the model's feature vector.
pub const FEATURES: usize = 5;

/// Entries of the miss list; bounds its memory.
const MAX_MISSES: usize = 256;

/// Age at which a miss is forgotten; tables and plans change.
const MAX_MISS_AGE: Micros = Micros::from_millis(60_000);

/// Learning rate of the model.
const LEARNING_RATE: f64 = 0.15;

/// Weights before any answer: all features but the constant raise the confidence.
const INITIAL_WEIGHTS: [f64; FEATURES] = [-2.0, 1.0, 2.0, 1.0, 1.0];

/// A kind of query in the miss list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MissKey {
    /// Place of its class.
    pub class: usize,
    /// Table group.
    pub group: u64,
    /// Binary logarithm of its memory estimate in megabytes; -1 without one.
    pub bucket: i32,
}

/// Queries that met trouble unflagged, and when they last did.
#[derive(Default)]
pub struct MissList(BTreeMap<MissKey, Micros>);

impl MissList {
    /// Whether queries of this kind were missed lately.
    pub fn contains(&self, key: &MissKey, now: Micros) -> bool {
        self.0
            .get(key)
            .is_some_and(|at| now.since(*at) < MAX_MISS_AGE)
    }

    /// Adds one; where the list is full the oldest is dropped.
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

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Micros) {
        self.0.retain(|_, at| now.since(*at) < MAX_MISS_AGE);
    }
}

/// A logistic regression that learns online.
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
    /// Confidence from 0 to 1 that a query meets trouble.
    pub fn predict(&self, features: &[f64; FEATURES]) -> f64 {
        let z: f64 = features
            .iter()
            .zip(&self.weights)
            .map(|(feature, weight)| feature * weight)
            .sum();
        1.0 / (1.0 + (-z).exp())
    }

    /// Takes one step of gradient descent towards a label, 0 or 1.
    pub fn learn(&mut self, features: &[f64; FEATURES], label: f64) {
        let error = label - self.predict(features);
        for (weight, feature) in self.weights.iter_mut().zip(features) {
            *weight += LEARNING_RATE * error * feature;
        }
    }
}

/// Entropy of a yes or no of chance `p`, in bits.
pub fn entropy(p: f64) -> f64 {
    let part = |q: f64| if q > 0.0 { -q * q.log2() } else { 0.0 };
    part(p) + part(1.0 - p)
}
