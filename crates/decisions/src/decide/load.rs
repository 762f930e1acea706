//! How loaded each engine and the fleet are: by reports, by own work, by how crowded answers found it.

use super::*;

const SHOWN_MS: f64 = 4000.0; // ms; half-life of what own work shows of the fleet: a few heavy queries
const REPORT_MS: f64 = 1500.0; // ms; half-life of trust in a report: heavy queries come and go in it
const STRETCH_IDLE: f64 = 0.5; // stretch less threads a core: at half use nothing is stretched yet
const KNOWN: f64 = 4.0; // recent answers that make an engine's own stretch count half
const BOUND_LOW: f64 = 0.6; // threads a core; never less, to keep an engine in use
const BOUND_HIGH: f64 = 2.4; // threads a core; past any level at which work done still rises
const BOUND_PAUSE: Micros = Micros::from_millis(700); // between two moves of a bound: a heavy query's time
const CROWD_MS: f64 = 2000.0; // ms; half-life of the share of crowded signs: some attempts long
const CROWD_AIM: f64 = 0.4; // share of crowded signs that is borne: some engines may be slow, or homes hot
const CROWD_PACE: f64 = 0.6; // of the share admitted, a second, at crowded signs alone: answers take seconds
const ADMIT_LEAST: f64 = 0.02; // share of the asked work that is admitted however crowded: to see it pass

impl Gateway {
    /// Free memory by a fresh report less what was sent since, else capacity less grants, own and shown ones.
    pub(super) fn free_memory(&self, e: usize) -> f64 {
        let (engine, shown) = (&self.engines[e], &self.shown[self.engines[e].kind]);
        let fresh = engine.report_at.is_some_and(|at| self.now.since(at) < WINDOW);
        let free = match engine.report.memory_share.filter(|_| fresh) {
            Some(share) => engine.memory_mb * (1.0 - share) - engine.charged,
            None if fresh && engine.report.queued.is_some_and(|q| q >= 1.0) => 0.0,
            None => engine.memory_mb - engine.memory_out - self.others(e) * shown.memory_a_thread(),
        };
        free.max(0.0)
    }

    pub(super) fn load(&self, e: usize) -> f64 {
        self.engines[e].threads + self.others(e)
    }

    /// Threads that other gateways run there: by a report, fading as it ages into what own work shows against
    /// its kind's mean. Busy cores are the least that runs: any number may wait for them.
    fn others(&self, e: usize) -> f64 {
        let (engine, n) = (&self.engines[e], self.gateways());
        let sample = self.shown[engine.kind].sample(engine, n) * engine.warm;
        let Some(told) = engine.told(&self.shown[engine.kind]) else { return sample };
        let trust = engine.trust * self.report_worth();
        let blend = trust * told + (1.0 - trust) * sample;
        if engine.report.in_flight.is_some() {
            blend
        } else {
            blend.max(sample)
        }
    }

    /// Once a beat: what each kind shows; an engine's stretch, as far as known, else the fleet's.
    pub(super) fn survey(&mut self) {
        let sum = |of: fn(&Learned) -> f64| self.learned.iter().map(of).sum::<f64>();
        self.middle = sum(|l| l.n * l.work_ms) / sum(|l| l.n).max(1.0);
        let past = self.now.since(self.surveyed);
        self.surveyed = self.now;
        for e in 0..self.engines.len() {
            let warmth = self.warmth(&self.engines[e]);
            let engine = &mut self.engines[e];
            engine.warm = warmth.powi(2);
            engine.trust *= fade(past, REPORT_MS);
            if matches!(engine.health, Health::Ejected(until) if until <= self.now) {
                engine.health = Health::HalfOpen;
            }
            let n = engine.stretch_n * fade(self.now.since(engine.answered), RECENT_MS);
            engine.stretch = (n * engine.seen + KNOWN * self.stretch) / (n + KNOWN);
        }
        self.tenants.fade(fade(past, TENANT_MS * std::f64::consts::LN_2));
        room_left(&mut self.shown, &self.engines, &self.settings, &self.learned);
        let (kept, n) = (fade(past, SHOWN_MS), self.gateways());
        let by_stretch = (self.stretch / self.best - STRETCH_IDLE).max(0.0);
        for (kind, shown) in self.shown.iter_mut().enumerate() {
            let listed = self.engines.iter().filter(|e| e.listed && e.kind == kind);
            shown.survey(listed, kept, n, by_stretch);
        }
        let over = self.crowd.share(self.now, CROWD_MS, PRIOR_ATTEMPTS) - CROWD_AIM;
        let step = over * if over > 0.0 { self.admitted } else { 1.0 } * past.as_millis().min(1000.0) * 1e-3;
        self.admitted = (self.admitted - CROWD_PACE * step).clamp(ADMIT_LEAST, 1.0);
        let listed = self.engines.iter().filter(|e| e.listed);
        self.best = listed.map(|e| e.stretch).fold(f64::INFINITY, f64::min).clamp(0.7, 1.3);
    }

    /// Past the bound, which binds under pressure; a line counts the more the less own threads tell.
    pub(super) fn past_bound(&self, e: usize, threads: f64) -> bool {
        let (engine, load) = (&self.engines[e], self.load(e));
        let bound = self.warmth(engine)
            * engine.bound
            * if self.lined(engine) { 1.0 - self.report_worth() } else { 1.0 };
        load + threads > bound.max(threads) && self.pressed(e, load)
    }

    fn lined(&self, engine: &Engine) -> bool {
        let queued = engine.fresh(TRUST_LEAST).and_then(|r| r.queued).is_some_and(|q| q >= 1.0);
        queued || engine.full_until > self.now
    }

    pub(super) fn pressed(&self, e: usize, load: f64) -> bool {
        let engine = &self.engines[e];
        engine.stretch > STRETCH_LOW * self.best || self.lined(engine) || load >= engine.cores
    }

    /// Threads bound: down fast where heavy work is stretched, up slowly where the bound is in use.
    pub(super) fn move_bound(&mut self, e: usize) {
        let (cores, used) = (self.engines[e].cores, self.load(e) / self.engines[e].bound);
        let engine = &mut self.engines[e];
        let moved = match engine.stretch / self.best {
            _ if self.now.since(engine.bound_moved) < BOUND_PAUSE => return,
            s if s > STRETCH_HIGH && used > 0.4 => engine.bound * 0.85,
            s if s < STRETCH_LOW && used > 0.7 => engine.bound + 0.1 * cores,
            _ => return,
        };
        engine.bound = moved.clamp(BOUND_LOW * cores, BOUND_HIGH * cores);
        engine.bound_moved = self.now;
    }

    /// Books how crowded a job found an engine; heavy work feels it most.
    pub(super) fn feel_crowd(&mut self, work_ms: f64, crowded: f64) {
        let weight = (work_ms / self.middle.max(1.0)).clamp(0.1, 4.0);
        self.crowd.add(self.now, weight, weight * crowded, CROWD_MS);
    }

    pub(super) fn met_line(&mut self, e: usize, work_ms: f64) {
        self.engines[e].full_until = self.now.plus(WINDOW);
        self.feel_crowd(work_ms, 1.0);
    }
}
