//! Estimates of the work and memory that a query needs. Estimates come from the client's hints and
//! from the actual costs of earlier queries in the same class.

use super::load::{BUSY_CAPACITY, MIN_REPORT_TRUST, STRETCH_HIGH, STRETCH_LOW};
use super::Gateway;
use crate::state::costs::CostSample;
use crate::state::request::TrackedRequest;
use crate::{AttemptEnd, Micros};

/// Safety margin on the memory estimate, in standard deviations of the logarithmic estimate error;
/// it covers the need of about four in five queries.
const MEMORY_MARGIN_DEVIATIONS: f64 = 0.9;

/// Factor on the mean memory of a class to estimate a query that came without a memory hint.
const MEAN_MEMORY_MARGIN: f64 = 1.5;

/// A query counts as small if it needs at most this fraction of the smallest engine's memory; sixty
/// such queries fit on an engine at the same time.
const SMALL_MEMORY_SHARE: f64 = 1.0 / 64.0;

/// A query that used more than this multiple of its expected memory counts as having run short of
/// memory.
const MEMORY_OVERRUN: f64 = 2.0;

/// Upper bound on a measured stretch, so that single outliers don't dominate the mean. Stretch is
/// the latency of a query divided by its latency on an idle engine.
const MAX_STRETCH: f64 = 20.0;

/// Expected work and memory of a query.
pub(super) struct Estimate {
    pub(super) work_ms: f64,
    pub(super) memory_mb: f64,
}

impl Gateway {
    pub(super) fn estimate(&self, request: &TrackedRequest) -> Estimate {
        Estimate {
            work_ms: self.estimate_work_ms(request).max(1.0),
            memory_mb: self.estimate_memory_mb(request),
        }
    }

    fn estimate_work_ms(&self, request: &TrackedRequest) -> f64 {
        let costs = self.costs.class(request.request.class.0);
        match request.request.work_hint.filter(|hint| hint.0 > 0) {
            Some(hint) => costs.work_fit.expect(hint.as_millis().ln()).log.exp(),
            None => costs.usual_work_ms(self.class(request)),
        }
    }

    fn estimate_memory_mb(&self, request: &TrackedRequest) -> f64 {
        let costs = self.costs.class(request.request.class.0);
        if let Some(hint) = request.request.memory_hint_mb.filter(|mb| *mb > 0.0) {
            let expected = costs.memory_fit.expect(hint.ln());
            return (expected.log + MEMORY_MARGIN_DEVIATIONS * expected.deviation).exp();
        }
        if costs.memory_mb > 0.0 {
            costs.memory_mb * MEAN_MEMORY_MARGIN
        } else {
            // A class without known memory use is assumed to need a full share of an engine's
            // memory for each of its threads, so that its queries don't pass as small.
            self.threads(request) * self.engines.smallest_memory_per_thread_mb
        }
    }

    /// Whether a query needs only a small fraction of the smallest engine's memory.
    pub(super) fn is_small(&self, request: &TrackedRequest) -> bool {
        request.memory_mb <= SMALL_MEMORY_SHARE * self.engines.smallest_memory_mb
    }

    /// Whether a query is small in memory, or needs no more work than the mean of all queries.
    pub(super) fn is_light(&self, request: &TrackedRequest) -> bool {
        self.is_small(request) || request.work_ms <= self.costs.mean_work_ms
    }

    /// Updates the cost model and the load estimates from a served attempt. `stalled` means that
    /// the attempt spilled or waited, so that its latency doesn't show how loaded the engine is.
    pub(super) fn learn_from_answer(
        &mut self,
        sequence: u64,
        engine: usize,
        end: &AttemptEnd,
        stalled: bool,
    ) {
        let request = &self.requests[sequence];
        let threads = self.threads(request);
        let latency_ms = end.latency.as_millis();
        let work_ms = end
            .cost
            .map_or(latency_ms * threads, |cost| cost.work.as_millis())
            .max(0.1);
        let sample = CostSample {
            work_ms,
            estimated_work_ms: request
                .request
                .work_hint
                .filter(|hint| hint.0 > 0 && end.cost.is_some())
                .map(Micros::as_millis),
            memory_mb: end.cost.map(|cost| cost.memory_mb).filter(|mb| *mb > 0.0),
            estimated_memory_mb: request.request.memory_hint_mb.filter(|mb| *mb > 0.0),
        };
        let class = request.request.class.0;
        self.costs.class_mut(class).learn(&sample);
        if let Some(memory_mb) = sample.memory_mb {
            self.learn_memory_use(
                sequence,
                engine,
                memory_mb,
                sample.estimated_memory_mb.is_some(),
            );
        }
        if !stalled {
            self.learn_stretch(engine, latency_ms * threads / work_ms, work_ms);
        }
    }

    /// Trains the model that predicts memory shortages with the actual memory use of a query. A
    /// query that used far more than its estimate is recorded as having run short of memory.
    fn learn_memory_use(
        &mut self,
        sequence: u64,
        engine: usize,
        memory_mb: f64,
        was_estimated: bool,
    ) {
        let request = &self.requests[sequence];
        let troubled = request.troubled;
        let overran = memory_mb > MEMORY_OVERRUN * request.memory_mb;
        if let Some(features) = request.features {
            // The label compares the need with the memory that was free when the query was judged.
            // If the query was flagged and therefore waited, it may not have run short of memory
            // although the prediction was right.
            let label = f64::from(u8::from(
                troubled || memory_mb > request.free_memory_then_mb,
            ));
            self.flagging.model.learn(&features, label);
        }
        if was_estimated && overran && !troubled {
            self.record_memory_shortage(sequence, engine);
        }
    }

    /// Records the stretch of an answer (its latency divided by the latency on an idle engine).
    /// Queries with more work get more weight because they show contention for cores more clearly.
    fn learn_stretch(&mut self, engine: usize, stretch: f64, work_ms: f64) {
        let stretch = stretch.min(MAX_STRETCH);
        let step = (0.1 * work_ms / self.costs.mean_work_ms.max(1.0)).clamp(0.01, 0.4);
        self.stretch.learn(stretch, step);
        let busy = self.engines[engine]
            .report_trusted(MIN_REPORT_TRUST)
            .and_then(|report| report.busy)
            .unwrap_or(0.0);
        let by_stretch =
            (stretch / self.stretch.best - STRETCH_LOW) / (STRETCH_HIGH - STRETCH_LOW) / 2.0;
        let by_cores = (busy - BUSY_CAPACITY) / (1.0 - BUSY_CAPACITY);
        self.record_overload_signal(work_ms, by_stretch.max(by_cores).clamp(0.0, 1.0));
        self.engines[engine].learn_stretch(
            self.clock.now,
            stretch,
            step,
            super::load::ENGINE_HALF_LIFE_MS,
        );
        self.adjust_thread_bound(engine);
    }
}
