//! Work and memory of queries by class, as learned from served queries, and corrections of the
//! estimates that clients send.

use crate::ClassSettings;

/// Weight of a new sample in a moving average, which thus reflects about the last fifty samples.
const AVERAGE_WEIGHT: f64 = 0.02;

/// Standard deviation assumed for the logarithm of the actual cost around its prediction, before
/// samples are known.
const PRIOR_DEVIATION: f64 = 0.4;

/// Slope assumed for the regression from the logarithm of an estimate to that of the actual value,
/// before samples are known. A slope below 1 pulls estimates towards their mean.
const PRIOR_SLOPE: f64 = 0.6;

/// Weight of the assumed slope and deviation, as a number of samples.
const PRIOR_WEIGHT: f64 = 6.0;

/// Number of served queries of a class from which the class's mean work is trusted more than the
/// estimate of a single request.
const MIN_ANSWERS: f64 = 10.0;

/// Actual and estimated cost of a served query. Work is run time on a single thread in
/// milliseconds, memory is in megabytes.
pub struct CostSample {
    pub work_ms: f64,
    pub estimated_work_ms: Option<f64>,
    pub memory_mb: Option<f64>,
    pub estimated_memory_mb: Option<f64>,
}

/// Costs learned from the served queries of one class.
#[derive(Clone, Copy, Default)]
pub struct ClassCosts {
    /// Number of served queries.
    pub answers: f64,
    /// Moving average of the work of a query, in milliseconds.
    pub work_ms: f64,
    /// Moving average of the memory of a query, in megabytes.
    pub memory_mb: f64,
    /// Sum of the estimated work of all requests that have arrived, in milliseconds.
    pub requested_work_ms: f64,
    /// Regression from estimated work to actual work.
    pub work_fit: LogFit,
    /// Regression from estimated memory to actual memory.
    pub memory_fit: LogFit,
}

impl ClassCosts {
    /// Returns the expected work, in milliseconds, of a query without an estimate: the class's mean
    /// or, before the first served query, a figure derived from the class's latency objective.
    pub fn usual_work_ms(&self, class: &ClassSettings) -> f64 {
        if self.answers > 0.0 {
            self.work_ms
        } else {
            class.latency_objective.as_millis() * class.threads.max(0.1) / 4.0
        }
    }

    /// Returns the work, in milliseconds, that slow start assumes for a query: the class's mean, or
    /// the estimate if the estimate is higher and the mean is based on few queries.
    pub fn cautious_work_ms(&self, estimate_ms: f64) -> f64 {
        let floor = if self.answers < MIN_ANSWERS {
            estimate_ms
        } else {
            0.0
        };
        self.work_ms.max(floor)
    }

    /// Updates averages and regressions with the cost of a served query.
    pub fn learn(&mut self, sample: &CostSample) {
        self.answers += 1.0;
        let step = AVERAGE_WEIGHT.max(1.0 / self.answers);
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

/// Linear regression on the logarithms of estimates (`x`) and actual values (`y`). It stores
/// exponentially weighted means, variances and covariance, so that old samples lose weight.
#[derive(Clone, Copy, Default)]
pub struct LogFit {
    samples: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    yy: f64,
}

/// Prediction of a regression: the logarithm of the expected value, and the standard deviation of
/// the actual logarithm from it.
pub struct LogPrediction {
    pub log: f64,
    pub deviation: f64,
}

impl LogFit {
    fn learn(&mut self, x: f64, y: f64) {
        self.samples += 1.0;
        let step = AVERAGE_WEIGHT.max(1.0 / self.samples);
        let dx = x - self.x;
        let dy = y - self.y;
        let blend = |old: f64, square: f64| (1.0 - step) * (old + step * square);
        self.xx = blend(self.xx, dx * dx);
        self.xy = blend(self.xy, dx * dy);
        self.yy = blend(self.yy, dy * dy);
        self.x += step * dx;
        self.y += step * dy;
    }

    /// Predicts the logarithm of the actual value from `x`, the logarithm of the estimate. The
    /// assumed slope and deviation count as `PRIOR_WEIGHT` samples whose `x` has a variance of 1.
    pub fn expect(&self, x: f64) -> LogPrediction {
        if self.samples < 1.0 {
            return LogPrediction {
                log: x,
                deviation: PRIOR_DEVIATION,
            };
        }
        let weight = PRIOR_WEIGHT;
        let all = self.samples + weight;
        let slope =
            (self.samples * self.xy + weight * PRIOR_SLOPE) / (self.samples * self.xx + weight);
        let variance = (self.yy - slope * (2.0 * self.xy - slope * self.xx)).max(0.0);
        let deviation =
            ((self.samples * variance + weight * PRIOR_DEVIATION * PRIOR_DEVIATION) / all).sqrt();
        LogPrediction {
            log: self.y + slope * (x - self.x),
            deviation,
        }
    }
}

/// Learned costs of all classes.
#[derive(Default)]
pub struct CostModel {
    classes: Vec<ClassCosts>,
    /// Mean work of a query over all classes, in milliseconds, as of the last survey (periodic load
    /// update). It separates light queries from heavy ones.
    pub mean_work_ms: f64,
}

impl CostModel {
    /// Creates a model without samples for this number of classes.
    pub fn new(classes: usize) -> CostModel {
        CostModel {
            classes: vec![ClassCosts::default(); classes],
            mean_work_ms: 0.0,
        }
    }

    /// Returns the learned costs of the class with this index in the settings.
    pub fn class(&self, class: usize) -> &ClassCosts {
        &self.classes[class]
    }

    /// Returns the learned costs of the class with this index in the settings, for modification.
    pub fn class_mut(&mut self, class: usize) -> &mut ClassCosts {
        &mut self.classes[class]
    }

    /// Returns the learned costs of all classes, in the order of the settings.
    pub fn all(&self) -> &[ClassCosts] {
        &self.classes
    }

    /// Recomputes the mean work of a query over all classes.
    pub fn update_mean_work(&mut self) {
        let work: f64 = self
            .classes
            .iter()
            .map(|costs| costs.answers * costs.work_ms)
            .sum();
        let answers: f64 = self.classes.iter().map(|costs| costs.answers).sum();
        self.mean_work_ms = work / answers.max(1.0);
    }

    /// Returns the largest mean work of any class in milliseconds, or `least_ms` if that is larger.
    pub fn heaviest_work_ms(&self, least_ms: f64) -> f64 {
        self.classes
            .iter()
            .map(|costs| costs.work_ms)
            .fold(least_ms, f64::max)
    }
}
