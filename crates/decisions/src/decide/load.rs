//! How loaded each engine is: by its reports, by own work, and by how far answers are stretched.

use super::{Gateway, WINDOW};
use crate::state::decay::remaining;
use crate::state::engine::{Engine, Health};
use crate::state::observed_load::{update_share_left, SurveyBasis};
use crate::Micros;

/// Trust in a report under which it is not taken by itself.
pub(super) const LEAST_TRUST: f64 = 0.5;

/// Half-life of what is known of one engine, in milliseconds.
pub(super) const ENGINE_HALF_LIFE_MS: f64 = 3000.0;

/// First bound of threads a core, all gateways together; over 1, as some wait for disks.
pub(super) const INITIAL_THREADS_PER_CORE: f64 = 1.8;

/// First bound of threads a core where engines admit more than their memory holds.
pub(super) const CAREFUL_THREADS_PER_CORE: f64 = 1.0;

/// Stretch over the best above which heavy work contends for cores, so that the thread bound falls.
pub(super) const STRETCH_HIGH: f64 = 2.2;

/// Stretch over the best below which the thread bound may rise.
pub(super) const STRETCH_LOW: f64 = 1.7;

/// Share of busy cores that counts as capacity.
pub(super) const BUSY_CAPACITY: f64 = 0.85;

/// Weight of a fresh report against own work, in gateways: they weigh the same where so many others
/// send.
const REPORT_WEIGHT_GATEWAYS: f64 = 3.0;

/// Half-life of what own work shows of the fleet, in milliseconds.
const FLEET_HALF_LIFE_MS: f64 = 4000.0;

/// Half-life of the trust in a report, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 1500.0;

/// Age up to which a report's free memory is used.
const MAX_REPORT_AGE: Micros = WINDOW;

/// Time for which an engine counts as having a queue, after an attempt met one.
const QUEUE_MEMORY: Micros = WINDOW;

/// Stretch less threads a core: at half use nothing is stretched yet.
const IDLE_STRETCH: f64 = 0.5;

/// Recent answers that make an engine's own stretch count half.
const PRIOR_ANSWERS: f64 = 4.0;

/// Lowest thread bound, in threads a core: it keeps an engine in use.
const LOWEST_THREADS_PER_CORE: f64 = 0.6;

/// Highest thread bound, in threads a core: past any level at which work done still rises.
const HIGHEST_THREADS_PER_CORE: f64 = 2.4;

/// Time between two moves of a thread bound.
const THREAD_BOUND_PAUSE: Micros = Micros::from_millis(700);

impl Gateway {
    /// Free memory in megabytes: by a fresh report less what was sent since, else the engine's
    /// memory less what own queries and those of others use.
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

    /// Threads of all gateways that run on an engine.
    pub(super) fn load(&self, engine: usize) -> f64 {
        let engine = &self.engines[engine];
        engine.threads + self.threads_of_others(engine)
    }

    /// Threads that other gateways run there: by a report, fading as it ages into what own work
    /// shows against its kind's mean. Busy cores are the least that runs: any number may wait for
    /// them.
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

    /// What a fresh report counts against own work, from 0 to 1.
    fn report_weight(&self) -> f64 {
        (self.gateways() - 1.0) / (self.gateways() - 1.0 + REPORT_WEIGHT_GATEWAYS)
    }

    /// Updates each engine's warm share, trust and stretch, and ends rests of ejected engines.
    pub(super) fn survey_engines(&mut self, elapsed: Micros) {
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

    /// Updates what each kind of machine shows.
    pub(super) fn survey_kinds(&mut self, elapsed: Micros) {
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

    /// Updates the least stretch of a listed engine.
    pub(super) fn update_best_stretch(&mut self) {
        let stretches = self.engines.listed().map(|engine| engine.stretch.blended);
        self.stretch.best = stretches.fold(f64::INFINITY, f64::min).clamp(0.7, 1.3);
    }

    /// Whether more threads would pass the engine's bound, which binds only under pressure. A queue
    /// lowers the bound, the more so the smaller the own part of the load.
    pub(super) fn past_thread_bound(&self, index: usize, threads: f64) -> bool {
        let engine = &self.engines[index];
        let load = self.load(index);
        let queue_factor = if self.has_queue(engine) {
            1.0 - self.report_weight()
        } else {
            1.0
        };
        let bound = self.warmth(engine) * engine.thread_bound * queue_factor;
        load + threads > bound.max(threads) && self.is_pressed(index, load)
    }

    /// Whether queries wait for memory on an engine.
    fn has_queue(&self, engine: &Engine) -> bool {
        let reported = engine
            .report_trusted(LEAST_TRUST)
            .and_then(|report| report.queued);
        reported.is_some_and(|queued| queued >= 1.0) || engine.queue_seen_until > self.clock.now
    }

    /// Whether an engine under this load shows pressure: stretched answers, a queue, or no free
    /// core.
    pub(super) fn is_pressed(&self, index: usize, load: f64) -> bool {
        let engine = &self.engines[index];
        engine.stretch.blended > STRETCH_LOW * self.stretch.best
            || self.has_queue(engine)
            || load >= engine.cores
    }

    /// Moves the thread bound: down fast where heavy work is stretched, up slowly where the bound
    /// is in use.
    pub(super) fn move_thread_bound(&mut self, index: usize) {
        let now = self.clock.now;
        let best = self.stretch.best;
        let used = self.load(index) / self.engines[index].thread_bound;
        let engine = &mut self.engines[index];
        if now.since(engine.thread_bound_moved) < THREAD_BOUND_PAUSE {
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
            LOWEST_THREADS_PER_CORE * engine.cores,
            HIGHEST_THREADS_PER_CORE * engine.cores,
        );
        engine.thread_bound_moved = now;
    }

    /// An own attempt met a queue for memory: the engine counts as having one for a while.
    pub(super) fn queue_met(&mut self, engine: usize, work_ms: f64) {
        self.engines[engine].queue_seen_until = self.clock.now.plus(QUEUE_MEMORY);
        self.overload_sign(work_ms, 1.0);
    }
}
