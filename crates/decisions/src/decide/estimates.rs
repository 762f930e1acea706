//! What a query will need, by estimate and by what answers have taught, and what each answer
//! teaches.

use super::load::{BUSY_CAPACITY, LEAST_TRUST, STRETCH_HIGH, STRETCH_LOW};
use super::Gateway;
use crate::state::costs::CostSample;
use crate::state::request::TrackedRequest;
use crate::{AttemptEnd, Micros};

/// Deviations of the logarithmic estimate error that a memory need covers; about four needs in
/// five.
const MEMORY_DEVIATIONS: f64 = 0.9;

/// Margin on the usual memory of a class where a request has no estimate.
const USUAL_MEMORY_MARGIN: f64 = 1.5;

/// Share of the memory that a small query needs at most; sixty such queries fit side by side.
const SMALL_MEMORY_SHARE: f64 = 1.0 / 64.0;

/// Times its expected memory over which a query counts as memory trouble.
const MEMORY_OVERRUN: f64 = 2.0;

/// Largest stretch that an answer teaches.
const MAX_STRETCH: f64 = 20.0;

/// What a query is expected to need.
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
            return (expected.log + MEMORY_DEVIATIONS * expected.deviation).exp();
        }
        if costs.memory_mb > 0.0 {
            costs.memory_mb * USUAL_MEMORY_MARGIN
        } else {
            // What is not known yet is not small: a thread's part of the memory at the bound.
            self.threads(request) * self.engines.smallest_memory_per_thread_mb
        }
    }

    /// Whether a request needs little memory.
    pub(super) fn is_small(&self, request: &TrackedRequest) -> bool {
        request.memory_mb <= SMALL_MEMORY_SHARE * self.engines.smallest_memory_mb
    }

    /// Whether a request needs little memory, or little work.
    pub(super) fn is_light(&self, request: &TrackedRequest) -> bool {
        self.is_small(request) || request.work_ms <= self.costs.mean_work_ms
    }

    /// Takes in what a served attempt took. `stalled`: it spilled or waited, so that its latency
    /// says nothing.
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
            self.learn_trouble(
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

    /// Teaches the trouble model the true need of memory; one far over its estimate counts as
    /// trouble.
    fn learn_trouble(&mut self, sequence: u64, engine: usize, memory_mb: f64, was_estimated: bool) {
        let request = &self.requests[sequence];
        let troubled = request.troubled;
        let overran = memory_mb > MEMORY_OVERRUN * request.memory_mb;
        if let Some(features) = request.features {
            // The label compares with what was free then, as waiting removes the trouble that was
            // predicted.
            let label = f64::from(u8::from(
                troubled || memory_mb > request.free_memory_then_mb,
            ));
            self.flagging.model.learn(&features, label);
        }
        if was_estimated && overran && !troubled {
            self.memory_trouble(sequence, engine);
        }
    }

    /// Takes in how far an answer was stretched; heavy work shows contention most.
    fn learn_stretch(&mut self, engine: usize, stretch: f64, work_ms: f64) {
        let stretch = stretch.min(MAX_STRETCH);
        let step = (0.1 * work_ms / self.costs.mean_work_ms.max(1.0)).clamp(0.01, 0.4);
        self.stretch.learn(stretch, step);
        let busy = self.engines[engine]
            .report_trusted(LEAST_TRUST)
            .and_then(|report| report.busy)
            .unwrap_or(0.0);
        let by_stretch =
            (stretch / self.stretch.best - STRETCH_LOW) / (STRETCH_HIGH - STRETCH_LOW) / 2.0;
        let by_cores = (busy - BUSY_CAPACITY) / (1.0 - BUSY_CAPACITY);
        self.overload_sign(work_ms, by_stretch.max(by_cores).clamp(0.0, 1.0));
        self.engines[engine].learn_stretch(
            self.clock.now,
            stretch,
            step,
            super::load::ENGINE_HALF_LIFE_MS,
        );
        self.move_thread_bound(engine);
    }
}
