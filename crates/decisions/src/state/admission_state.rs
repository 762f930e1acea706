//! State of admission control under overload.

use super::cost_histogram::CostHistogram;
use super::decay::Tally;

/// Observed overload, and the share of the requested work that is admitted.
pub struct AdmissionState {
    /// Decaying tally of requests and of those among them that met overload. Requests with more
    /// work have more weight.
    pub overload: Tally,
    /// Distribution of the requested work over its cost (work divided by priority weight).
    pub costs: CostHistogram,
    /// Share of the requested work that is admitted, from 0 to 1, the cheapest work first.
    pub admitted_share: f64,
}

impl Default for AdmissionState {
    fn default() -> AdmissionState {
        AdmissionState {
            overload: Tally::default(),
            costs: CostHistogram::default(),
            admitted_share: 1.0,
        }
    }
}

/// Stretch of the answers of all engines. The stretch of an answer is its latency divided by the
/// latency that the same query would have on an idle engine.
#[derive(Default)]
pub struct FleetStretch {
    /// Moving average of the stretch over all answers.
    pub mean: f64,
    /// Number of answers in the average so far.
    pub samples: f64,
    /// Lowest average stretch of any listed engine, limited to a range around 1.
    pub best: f64,
}

impl FleetStretch {
    /// Adds the stretch of an answer to the moving average. `step` is the weight of the answer; the
    /// first answers get a higher weight, so that the average starts as a plain mean.
    pub fn learn(&mut self, stretch: f64, step: f64) {
        self.samples += 1.0;
        self.mean += step.max(1.0 / self.samples) * (stretch - self.mean);
    }
}
