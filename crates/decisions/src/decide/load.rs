//! Load estimates for each engine, from its load reports, from this gateway's own queries, and from
//! how much contention stretches the latency of answers.

use super::{Gateway, WINDOW};
use crate::state::decay::remaining;
use crate::state::engine::{Engine, Health};
use crate::state::observed_load::{update_share_left, SurveyBasis};
use crate::Micros;

/// Minimum trust at which a value from a load report is used on its own instead of being blended
/// with other estimates. Trust is 1 for a new report and decays with its age.
pub(super) const MIN_REPORT_TRUST: f64 = 0.5;

/// Half-life of the weight of earlier answers in an engine's stretch estimate, in milliseconds.
pub(super) const ENGINE_HALF_LIFE_MS: f64 = 3000.0;

/// Initial limit on threads per core of an engine, for all gateways together. It exceeds 1 because
/// some threads wait for disk I/O.
pub(super) const INITIAL_THREADS_PER_CORE: f64 = 1.8;

/// Initial limit on threads per core where engines overcommit their memory.
pub(super) const CONSERVATIVE_THREADS_PER_CORE: f64 = 1.0;

/// The thread limit of an engine is lowered if its stretch exceeds the lowest stretch of any engine
/// by this factor: heavy queries then contend for cores. Stretch is the latency of a query divided
/// by its latency on an idle engine.
pub(super) const STRETCH_HIGH: f64 = 2.2;

/// The thread limit of an engine may be raised while its stretch is below this multiple of the
/// lowest stretch of any engine.
pub(super) const STRETCH_LOW: f64 = 1.7;

/// Fraction of busy cores at which an engine counts as fully used.
pub(super) const BUSY_CAPACITY: f64 = 0.85;

/// Number of other gateways at which a fresh load report and the estimate from this gateway's own
/// queries get equal weight. With more gateways, own queries reveal less of the total load.
const REPORT_WEIGHT_GATEWAYS: f64 = 3.0;

/// Half-life of the load estimates for each kind of machine, in milliseconds.
const FLEET_HALF_LIFE_MS: f64 = 4000.0;

/// Half-life of the trust in a load report, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 1500.0;

/// Maximum age at which the free memory in a load report is still used.
const MAX_REPORT_AGE: Micros = WINDOW;

/// How long an engine counts as having a memory queue after an attempt was queued there or was
/// rejected as overloaded.
const OBSERVED_QUEUE_TTL: Micros = WINDOW;

/// Offset between the stretch of answers and the number of threads per core: up to half a thread
/// per core, queries don't slow each other down.
const IDLE_STRETCH: f64 = 0.5;

/// Weight of the fleet's mean stretch in the estimate for one engine, in answers: after this many
/// recent answers the engine's own mean has equal weight.
const PRIOR_ANSWERS: f64 = 4.0;

/// Lower bound on the thread limit of an engine, in threads per core; it keeps a slow engine in
/// use.
const MIN_THREADS_PER_CORE: f64 = 0.6;

/// Upper bound on the thread limit of an engine, in threads per core; throughput no longer rises
/// with more threads.
const MAX_THREADS_PER_CORE: f64 = 2.4;

/// Minimum time between two changes of an engine's thread limit.
const MIN_THREAD_BOUND_INTERVAL: Micros = Micros::from_millis(700);

impl Gateway {
    /// Free memory of an engine in megabytes. With a fresh load report, it is the reported free
    /// memory less the memory reserved by later sends; otherwise it is the engine's memory less the
    /// estimated use by queries of all gateways.
    pub(super) fn free_memory_mb(&self, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        let reported = &engine.reported;
        let fresh = reported
            .received_at
            .is_some_and(|at| self.clock.since(at) < MAX_REPORT_AGE);
        let has_queue = reported.report.queued.is_some_and(|queued| queued >= 1.0);
        let free = match reported.report.memory_share.filter(|_| fresh) {
            Some(share) => engine.memory_mb * (1.0 - share) - reported.charged_mb,
            None if fresh && has_queue => 0.0,
            None => {
                let others_mb =
                    self.threads_of_others(engine) * self.kinds[engine.kind].memory_per_thread_mb();
                engine.memory_mb - engine.memory_in_use_mb - others_mb
            }
        };
        free.max(0.0)
    }

    /// Estimated number of threads that queries of all gateways run on an engine.
    pub(super) fn load(&self, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        engine.threads + self.threads_of_others(engine)
    }

    /// Estimated number of threads that queries of other gateways run on an engine. The value from
    /// the load report fades, as the report ages, into an estimate from own queries and the mean of
    /// the machine kind. A report that contains only busy cores can't lower the estimate, because
    /// more threads may be waiting for those cores.
    fn threads_of_others(&self, engine: &Engine) -> f64 {
        let kind = &self.kinds[engine.kind];
        let sampled = kind.threads_of_others(engine, self.gateways()) * engine.warm_share;
        let Some(reported) = engine.reported_threads_of_others(kind) else {
            return sampled;
        };
        let trust = engine.reported.trust * self.report_weight();
        let blended = trust * reported + (1.0 - trust) * sampled;
        if engine.reported.report.in_flight.is_some() {
            blended
        } else {
            blended.max(sampled)
        }
    }

    /// Weight of a fresh load report against the estimate from own queries, from 0 to 1; it grows
    /// with the number of gateways.
    fn report_weight(&self) -> f64 {
        (self.gateways() - 1.0) / (self.gateways() - 1.0 + REPORT_WEIGHT_GATEWAYS)
    }

    /// Updates the slow-start share, the trust in the load report and the stretch estimate of each
    /// engine. An engine whose ejection time has passed becomes half-open.
    pub(super) fn update_engine_loads(&mut self, elapsed: Micros) {
        let now = self.clock.now;
        for index in 0..self.engines.len() {
            let warmth = self.warmth(&self.engines[index]);
            let engine = &mut self.engines[index];
            engine.warm_share = warmth.powi(2);
            engine.reported.trust *= remaining(elapsed, REPORT_HALF_LIFE_MS);
            if matches!(engine.health.health, Health::Ejected(until) if until <= now) {
                engine.health.health = Health::HalfOpen;
            }
            let stretch = &mut engine.stretch;
            let samples =
                stretch.samples * remaining(now.since(stretch.last_answer), ENGINE_HALF_LIFE_MS);
            stretch.blended = (samples * stretch.own + PRIOR_ANSWERS * self.stretch.mean)
                / (samples + PRIOR_ANSWERS);
        }
    }

    /// Updates the load estimates for each kind of machine.
    pub(super) fn update_kind_loads(&mut self, elapsed: Micros) {
        update_share_left(
            &mut self.kinds,
            &self.engines,
            &self.settings,
            self.costs.all(),
        );
        let basis = SurveyBasis {
            kept: remaining(elapsed, FLEET_HALF_LIFE_MS),
            gateways: self.gateways(),
            threads_per_core_by_stretch: (self.stretch.mean / self.stretch.best - IDLE_STRETCH)
                .max(0.0),
        };
        for (kind, observed) in self.kinds.iter_mut().enumerate() {
            let engines = self.engines.listed().filter(|engine| engine.kind == kind);
            observed.survey(engines, basis);
        }
    }

    /// Updates the lowest stretch of all listed engines, the baseline for judging the stretch of
    /// the others.
    pub(super) fn update_best_stretch(&mut self) {
        let stretches = self.engines.listed().map(|engine| engine.stretch.blended);
        self.stretch.best = stretches.fold(f64::INFINITY, f64::min).clamp(0.7, 1.3);
    }

    /// Whether a query with this many threads would exceed an engine's thread limit while the
    /// engine is under pressure. Slow start scales the limit down. A memory queue lowers the limit
    /// further, and by more if many gateways share the engine, since each gateway then causes only
    /// a small part of the load.
    pub(super) fn would_exceed_thread_bound(&self, index: usize, threads: f64) -> bool {
        let engine = &self.engines[index];
        let load = self.load(index);
        let queue_factor = if self.has_queue(engine) {
            1.0 - self.report_weight()
        } else {
            1.0
        };
        let bound = self.warmth(engine) * engine.thread_bound * queue_factor;
        load + threads > bound.max(threads) && self.is_under_pressure(index, load)
    }

    /// Whether queries are waiting for memory on an engine, by a load report or by a recent
    /// attempt.
    fn has_queue(&self, engine: &Engine) -> bool {
        let reported = engine
            .report_trusted(MIN_REPORT_TRUST)
            .and_then(|report| report.queued);
        reported.is_some_and(|queued| queued >= 1.0) || engine.queue_seen_until > self.clock.now
    }

    /// Whether an engine with this load is under pressure: its answers are stretched, it has a
    /// memory queue, or no core is free.
    pub(super) fn is_under_pressure(&self, index: usize, load: f64) -> bool {
        let engine = &self.engines[index];
        engine.stretch.blended > STRETCH_LOW * self.stretch.best
            || self.has_queue(engine)
            || load >= engine.cores
    }

    /// Adjusts an engine's thread limit: lowers it by a factor while heavy queries are slowed down,
    /// and raises it in small steps while most of it is in use.
    pub(super) fn adjust_thread_bound(&mut self, index: usize) {
        let now = self.clock.now;
        let best = self.stretch.best;
        let used = self.load(index) / self.engines[index].thread_bound;
        let engine = &mut self.engines[index];
        if now.since(engine.thread_bound_moved) < MIN_THREAD_BOUND_INTERVAL {
            return;
        }
        let stretch = engine.stretch.blended / best;
        let bound = if stretch > STRETCH_HIGH && used > 0.4 {
            engine.thread_bound * 0.85
        } else if stretch < STRETCH_LOW && used > 0.7 {
            engine.thread_bound + 0.1 * engine.cores
        } else {
            return;
        };
        engine.thread_bound = bound.clamp(
            MIN_THREADS_PER_CORE * engine.cores,
            MAX_THREADS_PER_CORE * engine.cores,
        );
        engine.thread_bound_moved = now;
    }

    /// Records that an attempt met a memory queue on an engine; the engine counts as having a queue
    /// for some time.
    pub(super) fn record_engine_queue(&mut self, engine: usize, work_ms: f64) {
        self.engines[engine].queue_seen_until = self.clock.now.plus(OBSERVED_QUEUE_TTL);
        self.record_overload_signal(work_ms, 1.0);
    }
}
