//! Histogram of requested work over its cost.

use std::collections::BTreeMap;

/// Buckets whose decayed work falls below this many milliseconds are removed, which bounds the size
/// of the histogram.
const MIN_BUCKET_WORK_MS: f64 = 1e-3;

/// Number of logarithmic buckets per doubling of the cost.
const BUCKETS_PER_DOUBLING: f64 = 3.0;

/// Exponentially decaying sums of requested work, in milliseconds, in logarithmic buckets of its
/// cost (work divided by priority weight).
#[derive(Default)]
pub struct CostHistogram(BTreeMap<i32, f64>);

/// Position of a cost in the distribution of all requested work.
pub struct CostRank {
    /// Share of the requested work that lies in buckets of lower cost.
    pub cheaper: f64,
    /// Share of the requested work that lies in the same cost bucket.
    pub equal: f64,
}

impl CostHistogram {
    fn bucket(cost: f64) -> i32 {
        (cost.log2() * BUCKETS_PER_DOUBLING).round() as i32
    }

    /// Adds `work_ms` milliseconds of requested work to the bucket of its cost.
    pub fn count(&mut self, cost: f64, work_ms: f64) {
        *self.0.entry(CostHistogram::bucket(cost)).or_insert(0.0) += work_ms;
    }

    /// Returns the position of a cost in the distribution of all requested work.
    pub fn rank(&self, cost: f64) -> CostRank {
        let bucket = CostHistogram::bucket(cost);
        let total = self.0.values().sum::<f64>().max(1e-9);
        let cheaper: f64 = self.0.range(..bucket).map(|(_, work)| work).sum();
        CostRank {
            cheaper: cheaper / total,
            equal: self.0.get(&bucket).unwrap_or(&0.0) / total,
        }
    }

    /// Multiplies all sums by `factor` and removes buckets whose work has become negligible.
    pub fn decay(&mut self, factor: f64) {
        for work in self.0.values_mut() {
            *work *= factor;
        }
        self.0.retain(|_, work| *work > MIN_BUCKET_WORK_MS);
    }
}
