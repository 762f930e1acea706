//! Flags queries that are likely to run short of memory on their engine.
//!
//! The method is SAFELoad ("SAFELoad: Efficient Admission Control Framework for Identifying
//! Memory-Overloading Queries in Cloud Data Warehouses"). It has three steps: a prefilter for
//! harmless queries, a confidence from a model and from a list of missed queries, and a quota from
//! which the price of each flag is deducted.

use super::Gateway;
use crate::state::request::TrackedRequest;
use crate::state::trouble_model::{entropy, MissList, TroubleModel, FEATURES};

/// Weight of the prediction's entropy in the price of a flag (gamma in SAFELoad); uncertain
/// predictions cost more.
const ENTROPY_WEIGHT: f64 = 1.0;

/// Discount on the price of a flag for each missed query since the last quota refill (beta in
/// SAFELoad).
const MISS_DISCOUNT: f64 = 0.5;

/// Lower bound on the price of a flag (Cmin in SAFELoad).
const MIN_PRICE: f64 = 0.1;

/// Minimum predicted probability of running short of memory at which a query is flagged.
const FLAG_CONFIDENCE: f64 = 0.5;

/// Model and miss list of the flagging method. The quota is stored with each engine.
#[derive(Default)]
pub(super) struct FlaggingState {
    pub(super) model: TroubleModel,
    misses: MissList,
}

impl Gateway {
    /// Decides whether a request is flagged, with respect to its preferred engine. The decision is
    /// made once per request.
    pub(super) fn decide_flag(&mut self, sequence: u64, preferred: usize) {
        let request = &self.requests[sequence];
        if self.passes_prefilter(request, preferred) {
            self.requests.get_mut(sequence).flagged = Some(false);
            return;
        }
        let features = self.memory_shortage_features(request, preferred);
        let free_memory_mb = self.free_memory_mb(preferred);
        let confidence = self.memory_shortage_confidence(request, &features);
        let price = self.flag_price(preferred, confidence);
        let accepted =
            confidence >= FLAG_CONFIDENCE && self.engines[preferred].flag_quota.quota >= price;
        if accepted {
            self.engines[preferred].flag_quota.quota -= price;
        }
        let request = self.requests.get_mut(sequence);
        request.features = Some(features);
        request.free_memory_then_mb = free_memory_mb;
        request.flagged = Some(accepted);
    }

    /// Step 1, the prefilter: skips the prediction if the query is small, or if no query ran short
    /// of memory on the engine in the previous or the current window.
    fn passes_prefilter(&self, request: &TrackedRequest, preferred: usize) -> bool {
        let quota = &self.engines[preferred].flag_quota;
        self.is_small(request) || quota.last_trouble + quota.trouble < 1.0
    }

    /// Step 2, the prediction: returns the probability that the query runs short of memory. It is 1
    /// if a similar query recently ran short of memory without a flag; otherwise the model predicts
    /// it.
    fn memory_shortage_confidence(
        &self,
        request: &TrackedRequest,
        features: &[f64; FEATURES],
    ) -> f64 {
        if self
            .flagging
            .misses
            .contains(&request.miss_key(), self.clock.now)
        {
            1.0
        } else {
            self.flagging.model.predict(features)
        }
    }

    /// Features of the model: a constant, the expected memory relative to the engine's memory and
    /// to its free memory, the fraction of memory in use, and the number of queries that ran short
    /// of memory in the previous window.
    fn memory_shortage_features(&self, request: &TrackedRequest, engine: usize) -> [f64; FEATURES] {
        let free_mb = self.free_memory_mb(engine).max(1.0);
        let engine = &self.engines[engine];
        let size = (request.memory_mb / engine.memory_mb * 4.0).min(2.0);
        let fit = (request.memory_mb / free_mb).min(2.0);
        let in_use = 1.0 - (free_mb / engine.memory_mb).min(1.0);
        let trouble = (engine.flag_quota.last_trouble / 5.0).min(1.0);
        [1.0, size, fit, in_use, trouble]
    }

    /// Step 3, the quota: the price of a flag is max(1 + gamma H(p) - beta FNC, Cmin), where H(p)
    /// is the entropy of the prediction and FNC the number of missed queries (false negatives).
    fn flag_price(&self, engine: usize, confidence: f64) -> f64 {
        let misses = self.engines[engine].flag_quota.misses;
        (1.0 + ENTROPY_WEIGHT * entropy(confidence) - MISS_DISCOUNT * misses).max(MIN_PRICE)
    }

    /// Refills the flagging quota of each engine at the start of a quota window and drops expired
    /// entries of the miss list.
    pub(super) fn refill_flag_quotas(&mut self) {
        for engine in self.engines.iter_mut() {
            engine.flag_quota.refill();
        }
        self.flagging.misses.expire(self.clock.now);
    }

    /// Records that a query ran short of memory on an engine. If the query was not flagged, it
    /// counts as a miss and joins the miss list.
    pub(super) fn record_memory_shortage(&mut self, sequence: u64, engine: usize) {
        let request = self.requests.get_mut(sequence);
        request.troubled = true;
        let was_flagged = request.flagged == Some(true);
        let key = request.miss_key();
        let quota = &mut self.engines[engine].flag_quota;
        quota.count_trouble();
        if !was_flagged {
            quota.misses += 1.0;
            self.flagging.misses.add(key, self.clock.now);
        }
    }
}
