//! What admission control under overload goes by.

use super::cost_histogram::CostHistogram;
use super::decay::Tally;

/// Signs of overload, and the share of the requested work that is admitted.
pub struct AdmissionState {
    /// Signs of overload that requests met, weighted by their work.
    pub overload: Tally,
    /// Requested work by its cost.
    pub costs: CostHistogram,
    /// Share of the requested work that is admitted, from 0 to 1, the cheapest first.
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

/// How far answers of the whole fleet are stretched.
#[derive(Default)]
pub struct FleetStretch {
    /// Mean over all answers.
    pub mean: f64,
    /// Answers so far.
    pub samples: f64,
    /// The least stretch of a listed engine, near 1.
    pub best: f64,
}

impl FleetStretch {
    /// Takes in how far an answer was stretched.
    pub fn learn(&mut self, stretch: f64, step: f64) {
        self.samples += 1.0;
        self.mean += step.max(1.0 / self.samples) * (stretch - self.mean);
    }
}
