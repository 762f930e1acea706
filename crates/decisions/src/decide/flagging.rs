//! Which queries are flagged as likely to overload an engine's memory.
//!
//! The three steps of SAFELoad ("SAFELoad: Efficient Admission Control Framework for Identifying
//! Memory-Overloading Queries in Cloud Data Warehouses"): a cheap pass for what is harmless, a
//! confidence from a model and a list of misses, and a quota that each flag is paid from.

use super::Gateway;
use crate::state::request::TrackedRequest;
use crate::state::trouble_model::{entropy, MissList, TroubleModel, FEATURES};

/// Weight of a flag's entropy in its price (gamma).
const ENTROPY_WEIGHT: f64 = 1.0;

/// Discount on the price of a flag for each miss since the last refill (beta).
const MISS_DISCOUNT: f64 = 0.5;

/// Lowest price of a flag (Cmin).
const LOWEST_PRICE: f64 = 0.1;

/// Confidence from which a query is flagged.
const FLAG_CONFIDENCE: f64 = 0.5;

/// What flagging has learned; the quota stands with each engine.
#[derive(Default)]
pub(super) struct FlaggingState {
    pub(super) model: TroubleModel,
    misses: MissList,
}

impl Gateway {
    /// Decides once for a request whether it is flagged, by the engine that comes first for it.
    pub(super) fn decide_flag(&mut self, sequence: u64, home: usize) {
        let request = &self.requests[sequence];
        if self.passes_cheaply(request, home) {
            self.requests.get_mut(sequence).flagged = Some(false);
            return;
        }
        let features = self.trouble_features(request, home);
        let free_memory_mb = self.free_memory_mb(home);
        let confidence = self.trouble_confidence(request, &features);
        let price = self.flag_price(home, confidence);
        let accepted =
            confidence >= FLAG_CONFIDENCE && self.engines[home].flag_quota.quota >= price;
        if accepted {
            self.engines[home].flag_quota.quota -= price;
        }
        let request = self.requests.get_mut(sequence);
        request.features = Some(features);
        request.free_memory_then_mb = free_memory_mb;
        request.flagged = Some(accepted);
    }

    /// Step 1, the cheap pass: the query is small, or its engine had no memory trouble in the last
    /// window.
    fn passes_cheaply(&self, request: &TrackedRequest, home: usize) -> bool {
        let quota = &self.engines[home].flag_quota;
        self.is_small(request) || quota.last_trouble + quota.trouble < 1.0
    }

    /// Step 2, prediction: certain for what was missed before, else by the model.
    fn trouble_confidence(&self, request: &TrackedRequest, features: &[f64; FEATURES]) -> f64 {
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

    /// What the model goes by: a constant, need by memory, need by free memory, memory in use,
    /// recent trouble.
    fn trouble_features(&self, request: &TrackedRequest, engine: usize) -> [f64; FEATURES] {
        let free_mb = self.free_memory_mb(engine).max(1.0);
        let engine = &self.engines[engine];
        let size = (request.memory_mb / engine.memory_mb * 4.0).min(2.0);
        let fit = (request.memory_mb / free_mb).min(2.0);
        let in_use = 1.0 - (free_mb / engine.memory_mb).min(1.0);
        let trouble = (engine.flag_quota.last_trouble / 5.0).min(1.0);
        [1.0, size, fit, in_use, trouble]
    }

    /// Step 3, quota: the price of a flag is max(1 + gamma H(p) - beta FNC, Cmin).
    fn flag_price(&self, engine: usize, confidence: f64) -> f64 {
        let misses = self.engines[engine].flag_quota.misses;
        (1.0 + ENTROPY_WEIGHT * entropy(confidence) - MISS_DISCOUNT * misses).max(LOWEST_PRICE)
    }

    /// Refills the quota of each engine at the end of a window.
    pub(super) fn refill_flag_quotas(&mut self) {
        for engine in self.engines.iter_mut() {
            engine.flag_quota.refill();
        }
        self.flagging.misses.expire(self.clock.now);
    }

    /// A query met memory trouble: it is counted for its engine; one that was not flagged is a
    /// miss, and listed.
    pub(super) fn memory_trouble(&mut self, sequence: u64, engine: usize) {
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
