//! What answers teach of the work and the memory that queries take, by class.

use crate::ClassSettings;

/// Weight of a new answer; the last fifty count.
const LEARNING_STEP: f64 = 0.02;

/// Logarithmic error of an estimate before answers are known.
const PRIOR_DEVIATION: f64 = 0.4;

/// Slope of the line from estimate to truth, in logarithms, before answers are known.
const PRIOR_SLOPE: f64 = 0.6;

/// Weight of slope and deviation before any answer, in answers.
const PRIOR_ANSWERS: f64 = 6.0;

/// Answers after which the usual work of a class is known.
const ENOUGH_ANSWERS: f64 = 10.0;

/// What a served query took, beside its estimates; in milliseconds and megabytes.
pub struct CostSample {
    pub work_ms: f64,
    pub estimated_work_ms: Option<f64>,
    pub memory_mb: Option<f64>,
    pub estimated_memory_mb: Option<f64>,
}

/// What answers have taught about a class.
#[derive(Clone, Copy, Default)]
pub struct ClassCosts {
    /// Answers so far.
    pub answers: f64,
    /// Mean work.
    pub work_ms: f64,
    /// Mean memory.
    pub memory_mb: f64,
    /// Estimated work of all requests that came, in milliseconds.
    pub requested_work_ms: f64,
    /// True work by estimate.
    pub work_fit: LogFit,
    /// True memory by estimate.
    pub memory_fit: LogFit,
}

impl ClassCosts {
    /// Work as usual for the class; before any answer a guess from its latency objective.
    pub fn usual_work_ms(&self, class: &ClassSettings) -> f64 {
        if self.answers > 0.0 {
            self.work_ms
        } else {
            class.latency_objective.as_millis() * class.threads.max(0.1) / 4.0
        }
    }

    /// Work as usual for the class, or the estimate while that is hardly known, if it is more.
    pub fn cautious_work_ms(&self, estimate_ms: f64) -> f64 {
        let floor = if self.answers < ENOUGH_ANSWERS {
            estimate_ms
        } else {
            0.0
        };
        self.work_ms.max(floor)
    }

    /// Takes in what a query took.
    pub fn learn(&mut self, sample: &CostSample) {
        self.answers += 1.0;
        let step = LEARNING_STEP.max(1.0 / self.answers);
        self.work_ms += step * (sample.work_ms - self.work_ms);
        if let Some(estimate) = sample.estimated_work_ms {
            self.work_fit.learn(estimate.ln(), sample.work_ms.ln());
        }
        let Some(memory_mb) = sample.memory_mb else {
            return;
        };
        self.memory_mb += step * (memory_mb - self.memory_mb);
        if let Some(estimate) = sample.estimated_memory_mb {
            self.memory_fit.learn(estimate.ln(), memory_mb.ln());
        }
    }
}

/// A straight line through pairs of logarithms (estimate `x`, truth `y`): fading means and squares.
#[derive(Clone, Copy, Default)]
pub struct LogFit {
    pairs: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

/// What a fit expects, as a logarithm, and the deviation of the truth from it.
pub struct LogExpectation {
    pub log: f64,
    pub deviation: f64,
}

impl LogFit {
    fn learn(&mut self, x: f64, y: f64) {
        self.pairs += 1.0;
        let step = LEARNING_STEP.max(1.0 / self.pairs);
        let dx = x - self.x;
        let dy = y - self.y;
        let blend = |old: f64, square: f64| (1.0 - step) * (old + step * square);
        self.xx = blend(self.xx, dx * dx);
        self.xy = blend(self.xy, dx * dy);
        self.yy = blend(self.yy, dy * dy);
        self.x += step * dx;
        self.y += step * dy;
    }

    /// The truth to be expected for an estimate; the prior slope and deviation count as some pairs
    /// that scatter by 1.
    pub fn expect(&self, x: f64) -> LogExpectation {
        if self.pairs < 1.0 {
            return LogExpectation {
                log: x,
                deviation: PRIOR_DEVIATION,
            };
        }
        let weight = PRIOR_ANSWERS;
        let all = self.pairs + weight;
        let slope = (self.pairs * self.xy + weight * PRIOR_SLOPE) / (self.pairs * self.xx + weight);
        let variance = (self.yy - slope * (2.0 * self.xy - slope * self.xx)).max(0.0);
        let deviation =
            ((self.pairs * variance + weight * PRIOR_DEVIATION * PRIOR_DEVIATION) / all).sqrt();
        LogExpectation {
            log: self.y + slope * (x - self.x),
            deviation,
        }
    }
}

/// What is known of all classes.
#[derive(Default)]
pub struct CostModel {
    classes: Vec<ClassCosts>,
    /// Mean work of all answers, as of the last survey: it separates light queries from heavy ones.
    pub mean_work_ms: f64,
}

impl CostModel {
    /// Nothing is known yet of any class.
    pub fn new(classes: usize) -> CostModel {
        CostModel {
            classes: vec![ClassCosts::default(); classes],
            mean_work_ms: 0.0,
        }
    }

    /// What is known of a class, by its place in the settings.
    pub fn class(&self, class: usize) -> &ClassCosts {
        &self.classes[class]
    }

    /// What is known of a class, to be changed.
    pub fn class_mut(&mut self, class: usize) -> &mut ClassCosts {
        &mut self.classes[class]
    }

    /// What is known of each class, in the order of the settings.
    pub fn all(&self) -> &[ClassCosts] {
        &self.classes
    }

    /// Computes the mean work of all answers anew.
    pub fn update_mean_work(&mut self) {
        let work: f64 = self
            .classes
            .iter()
            .map(|costs| costs.answers * costs.work_ms)
            .sum();
        let answers: f64 = self.classes.iter().map(|costs| costs.answers).sum();
        self.mean_work_ms = work / answers.max(1.0);
    }

    /// The largest mean work of a class, or `least_ms` if that is more.
    pub fn heaviest_work_ms(&self, least_ms: f64) -> f64 {
        self.classes
            .iter()
            .map(|costs| costs.work_ms)
            .fold(least_ms, f64::max)
    }
}
