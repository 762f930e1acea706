//! Requested work by its cost.

use std::collections::BTreeMap;

/// Work under which a step of the histogram is dropped, in milliseconds.
const SMALLEST_WORK: f64 = 1e-3;

/// Steps for each doubling of the cost.
const STEPS_PER_DOUBLING: f64 = 3.0;

/// Decaying sums of requested work by its cost (work over priority weight), in logarithmic steps.
#[derive(Default)]
pub struct CostHistogram(BTreeMap<i32, f64>);

/// Where a cost ranks among all requested work.
pub struct CostRank {
    /// Share of the work that costs less.
    pub cheaper: f64,
    /// Share of the work that costs as much.
    pub equal: f64,
}

impl CostHistogram {
    fn step(cost: f64) -> i32 {
        (cost.log2() * STEPS_PER_DOUBLING).round() as i32
    }

    /// Counts requested work of this cost.
    pub fn count(&mut self, cost: f64, work_ms: f64) {
        *self.0.entry(CostHistogram::step(cost)).or_insert(0.0) += work_ms;
    }

    /// Where a cost ranks.
    pub fn rank(&self, cost: f64) -> CostRank {
        let step = CostHistogram::step(cost);
        let all = self.0.values().sum::<f64>().max(1e-9);
        let cheaper: f64 = self.0.range(..step).map(|(_, work)| work).sum();
        CostRank {
            cheaper: cheaper / all,
            equal: self.0.get(&step).unwrap_or(&0.0) / all,
        }
    }

    /// Keeps this part of each sum.
    pub fn decay(&mut self, kept: f64) {
        for work in self.0.values_mut() {
            *work *= kept;
        }
        self.0.retain(|_, work| *work > SMALLEST_WORK);
    }
}
