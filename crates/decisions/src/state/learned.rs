//! What answers teach: work and memory by class, the model of trouble, the list of misses.

use super::*;

const ESTIMATE_STEP: f64 = 0.02; // weight of a new answer; the last fifty count
const PRIOR_SD: f64 = 0.4; // log error of an estimate before answers tell: about a factor 1.5
const PRIOR_SLOPE: f64 = 0.6; // log of truth by log of estimate: estimates scatter about as much as truth
const PRIOR_PAIRS: f64 = 6.0; // answers that these two are worth

/// What answers have taught about a class.
#[derive(Clone, Copy, Default)]
pub struct Learned {
    pub n: f64,
    pub work_ms: f64,
    pub memory_mb: f64,
    /// Estimated work of all that was asked, in ms.
    pub asked: f64,
    /// Truth by estimate.
    pub work: Fit,
    pub memory: Fit,
}

impl Learned {
    /// Work as usual for the class; before any answer a guess by its aim.
    pub fn usual_work(&self, class: &ClassSettings) -> f64 {
        let guess = class.aim.as_millis() * class.threads.max(0.1) / 4.0;
        if self.n > 0.0 {
            self.work_ms
        } else {
            guess
        }
    }
    /// Work as usual for the class, or while that is hardly known by the estimate, if it is more.
    pub fn usual(&self, estimate: f64) -> f64 {
        self.work_ms.max(if self.n < 10.0 { estimate } else { 0.0 })
    }
    /// Takes in what a query took, beside its estimates.
    pub fn take(&mut self, work: f64, hint: Option<f64>, memory: Option<f64>, memory_hint: Option<f64>) {
        let step = ESTIMATE_STEP;
        self.n += 1.0;
        self.work_ms += step.max(1.0 / self.n) * (work - self.work_ms);
        hint.into_iter().for_each(|hint| self.work.take(hint.ln(), work.ln(), step));
        let Some(memory) = memory else { return };
        self.memory_mb += step.max(1.0 / self.n) * (memory - self.memory_mb);
        memory_hint.into_iter().for_each(|hint| self.memory.take(hint.ln(), memory.ln(), step));
    }
}

/// A straight line through pairs of logarithms (estimate, truth): fading means and squares.
#[derive(Clone, Copy, Default)]
pub struct Fit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

impl Fit {
    pub fn take(&mut self, x: f64, y: f64, step: f64) {
        self.n += 1.0;
        let step = step.max(1.0 / self.n);
        let (dx, dy) = (x - self.x, y - self.y);
        let blend = |old: f64, square: f64| (1.0 - step) * (old + step * square);
        (self.xx, self.xy, self.yy) =
            (blend(self.xx, dx * dx), blend(self.xy, dx * dy), blend(self.yy, dy * dy));
        (self.x, self.y) = (self.x + step * dx, self.y + step * dy);
    }
    /// The truth to be expected, and its deviation; the prior's slope and deviation are worth some pairs that scatter
    /// by 1.
    pub fn expect(&self, x: f64) -> (f64, f64) {
        let (slope, sd, weight) = (PRIOR_SLOPE, PRIOR_SD, PRIOR_PAIRS);
        if self.n < 1.0 {
            return (x, sd);
        }
        let all = self.n + weight;
        let slope = (self.n * self.xy + weight * slope) / (self.n * self.xx + weight);
        let var = (self.yy - slope * (2.0 * self.xy - slope * self.xx)).max(0.0);
        (self.y + slope * (x - self.x), ((self.n * var + weight * sd * sd) / all).sqrt())
    }
}

const MISSES: usize = 256; // entries of the miss list; bounds memory
const MISS_AGE: Micros = Micros::from_millis(60_000); // age in the miss list; tables and plans change

/// Class, table group and estimate bucket of queries that met trouble unflagged, and when they last did.
#[derive(Default)]
pub struct MissList(BTreeMap<(usize, u64, i32), Micros>);

impl MissList {
    pub fn has(&self, key: &(usize, u64, i32), now: Micros) -> bool {
        self.0.get(key).is_some_and(|at| now.since(*at) < MISS_AGE)
    }
    /// Notes one; past the most entries the oldest is dropped.
    pub fn note(&mut self, key: (usize, u64, i32), now: Micros) {
        self.0.insert(key, now);
        if self.0.len() > MISSES {
            let oldest = self.0.iter().min_by_key(|(_, at)| **at).map(|(k, _)| *k);
            oldest.and_then(|k| self.0.remove(&k));
        }
    }
    pub fn tidy(&mut self, now: Micros) {
        self.0.retain(|_, at| now.since(*at) < MISS_AGE);
    }
}

const LEARN: f64 = 0.15; // step of the model; some tens of answers move it from rest

/// An online logistic model.
#[derive(Default)]
pub struct Model(pub [f64; FEATURES]);

impl Model {
    pub fn predict(&self, features: &[f64; FEATURES]) -> f64 {
        let z: f64 = features.iter().zip(&self.0).map(|(x, w)| x * w).sum();
        1.0 / (1.0 + (-z).exp())
    }
    pub fn learn(&mut self, features: &[f64; FEATURES], label: f64) {
        let slip = label - self.predict(features);
        self.0.iter_mut().zip(features).for_each(|(w, x)| *w += LEARN * slip * x);
    }
}

pub fn entropy(p: f64) -> f64 {
    let part = |q: f64| if q > 0.0 { -q * q.log2() } else { 0.0 };
    part(p) + part(1.0 - p)
}
