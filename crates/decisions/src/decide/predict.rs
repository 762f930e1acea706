//! What a query will need, and whether it is flagged: estimates, model, quota, and what answers teach.

use super::*;

const GAMMA: f64 = 1.0; // quota; weight of a flag's entropy in its price: the paper's
const BETA: f64 = 0.5; // quota; discount for each miss since the last refill: the paper's
const C_MIN: f64 = 0.1; // quota; lowest price of a flag: the paper's
const SMALL_NEED: f64 = 1.0 / 64.0; // share of memory; sixty such queries fit side by side
const FLAG_AT: f64 = 0.5; // confidence; trouble is likelier than not
const NEED_MARGIN: f64 = 0.9; // deviations of the log estimate error; about four needs in five are covered

impl Gateway {
    pub(super) fn estimate(&self, job: &Job) -> (f64, f64) {
        let (l, class) = (&self.learned[job.request.class.0], self.class(job));
        let fitted = |fit: &Fit, hint: f64| fit.expect(hint.ln());
        let work = match job.request.work_hint.filter(|hint| hint.0 > 0) {
            Some(hint) => fitted(&l.work, hint.as_millis()).0.exp(),
            None => l.usual_work(class),
        };
        let hint = job.request.memory_hint_mb.filter(|m| *m > 0.0).map(|m| fitted(&l.memory, m));
        // What is not known yet is not small: a thread's part of the memory at the bound.
        let usual =
            if l.memory_mb > 0.0 { l.memory_mb * 1.5 } else { self.threads(job) * self.thread_memory };
        (work.max(1.0), hint.map_or(usual, |(log, sd)| (log + NEED_MARGIN * sd).exp()))
    }

    /// Steps 1 to 3 of the mechanism, once for a request: leaves its flag.
    pub(super) fn decide_flag(&mut self, seq: u64, home: usize) {
        let job = &self.jobs[&seq];
        if self.cheap_pass(job, home) {
            return self.job(seq).flagged = Some(false);
        }
        let (features, free) = (self.features(job, home), self.free_memory(home));
        let missed = self.miss_list.has(&job.miss_key(), self.now);
        let p = if missed { 1.0 } else { self.model.predict(&features) };
        let price = self.price(home, p);
        let accepted = p >= FLAG_AT && self.engines[home].quota >= price;
        self.engines[home].quota -= if accepted { price } else { 0.0 };
        let job = self.job(seq);
        (job.features, job.free_then, job.flagged) = (Some(features), free, Some(accepted));
    }

    /// Step 1. Small against the kind's memory, or no memory trouble there in the last window.
    fn cheap_pass(&self, job: &Job, home: usize) -> bool {
        self.is_small(job) || self.engines[home].last_trouble + self.engines[home].trouble < 1.0
    }

    pub(super) fn is_small(&self, job: &Job) -> bool {
        job.need_mb <= SMALL_NEED * self.least_memory
    }

    pub(super) fn is_light(&self, job: &Job) -> bool {
        self.is_small(job) || job.work_ms <= self.middle
    }

    /// Step 2. What the online logistic model goes by.
    fn features(&self, job: &Job, e: usize) -> [f64; FEATURES] {
        let engine = &self.engines[e];
        let free = self.free_memory(e).max(1.0);
        let (size, fit) = ((job.need_mb / engine.memory_mb * 4.0).min(2.0), (job.need_mb / free).min(2.0));
        [1.0, size, fit, 1.0 - (free / engine.memory_mb).min(1.0), (engine.last_trouble / 5.0).min(1.0)]
    }

    /// Step 3. Price of a flag on this engine: C = max(1 + gamma H(p) - beta FNC, Cmin).
    fn price(&self, e: usize, p: f64) -> f64 {
        (1.0 + GAMMA * entropy(p) - BETA * self.engines[e].misses).max(C_MIN)
    }

    pub(super) fn refill(&mut self) {
        for e in &mut self.engines {
            (e.quota, e.last_trouble, e.trouble, e.misses) = (e.trouble + 1.0, e.trouble, 0.0, 0.0);
        }
        self.miss_list.tidy(self.now);
    }

    /// Memory trouble of a query: counted for its engine; if it was not flagged it is a miss, and listed.
    pub(super) fn trouble(&mut self, seq: u64, e: usize) {
        let now = self.now;
        let job = self.job(seq);
        job.troubled = true;
        let miss = Some(job.miss_key()).filter(|_| job.flagged != Some(true));
        self.engines[e].trouble += 1.0;
        self.engines[e].quota += 1.0; // A turn of mix drains the last window's quota: trouble refills it.
        let Some(key) = miss else { return };
        self.engines[e].misses += 1.0;
        self.miss_list.note(key, now);
    }

    pub(super) fn learn(
        &mut self,
        seq: u64,
        e: usize,
        latency: Micros,
        cost: Option<TrueCost>,
        stalled: bool,
    ) {
        let job = &self.jobs[&seq];
        let (class, threads) = (job.request.class.0, self.threads(job));
        let work = cost.map_or(latency.as_millis() * threads, |c| c.work.as_millis()).max(0.1);
        let (features, troubled, need) = (job.features, job.troubled, job.need_mb);
        let memory = cost.map(|c| c.memory_mb).filter(|m| *m > 0.0);
        let memory_hint = job.request.memory_hint_mb.filter(|m| *m > 0.0);
        let hint = job.request.work_hint.filter(|h| h.0 > 0 && cost.is_some());
        self.learned[class].take(work, hint.map(Micros::as_millis), memory, memory_hint);
        if let Some(memory) = memory {
            // Label: true need against what was free then; holding removes the trouble that it predicted.
            if let Some(features) = features {
                let label = f64::from(u8::from(troubled || memory > job.free_then));
                self.model.learn(&features, label);
            }
            if memory_hint.is_some() && memory > 2.0 * need && !troubled {
                self.trouble(seq, e);
            }
        }
        if stalled {
            return;
        }
        let seen = (latency.as_millis() * threads / work).min(20.0);
        let step = (0.1 * work / self.middle.max(1.0)).clamp(0.01, 0.4); // Heavy work feels a crowd.
        self.stretch_n += 1.0;
        self.stretch += step.max(1.0 / self.stretch_n) * (seen - self.stretch);
        let busy = self.engines[e].fresh(TRUST_LEAST).and_then(|r| r.busy).unwrap_or(0.0);
        let slow = (seen / self.best - STRETCH_LOW) / (STRETCH_HIGH - STRETCH_LOW) / 2.0;
        self.feel_crowd(work, slow.max((busy - FULL_RATE) / (1.0 - FULL_RATE)).clamp(0.0, 1.0));
        self.engines[e].take_stretch(self.now, seen, step, RECENT_MS);
        self.move_bound(e);
    }
}
