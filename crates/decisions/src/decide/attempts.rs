//! The life of attempts: sent, heard of, ended, called off, copied where they lag; and a request's last word.

use super::*;

const GRANT_PART: f64 = 0.85; // of the memory, granted by threads; the rest is for light queries
const SILENCE_NOTES: f64 = 1.3; // times the pause between notes after which silence is sure
const ERRORS_MOST: usize = 2; // engines that may answer a request with an error: more, and it is at fault
const HEDGE_TIMES: f64 = 3.0; // times its expected time after which a light query is copied
const HEDGE_LEAST_MS: f64 = 250.0; // ms; and not before this
const BAD_PLAN: f64 = 4.0; // times what was expected; past the scatter of estimates
const MOVES: usize = 3; // engines tried for a place without a line; the other attempts are kept
const BLOCKED_FOR: Micros = Micros::from_millis(1500); // a table group counts as held after a note of it
const GIANT: f64 = 3.0; // times its class's mean work; such a query yields to the rest

impl Gateway {
    pub(super) fn send(&mut self, seq: u64, e: usize, out: &mut Vec<Action>) {
        let trial = self.zone_lost(e);
        trial.then(|| self.zones.of(&self.engines[e]).try_again(self.now, EJECT_FIRST, EJECT_LONGEST));
        let job = &self.jobs[&seq];
        let (learned, threads) = (&self.learned[job.request.class.0], self.threads(job));
        let (usual, holds) = (learned.usual(job.work_ms), self.class(job).holds_tables);
        let giant = job.work_ms > GIANT * learned.work_ms && self.pressed(e, self.load(e));
        let priority = match (self.in_time(job) && !giant, !self.is_light(job)) {
            _ if !self.settings.priorities => 1,
            (_, false) => 3,
            (true, _) => 1 + u8::from(holds),
            (false, _) => 0, // Late, or a giant under pressure: its worth is spread over much work.
        };
        let (now, again) = (self.now, !job.tries.is_empty());
        let (wasted, tokens) = (job.wasted(), self.settings.grants);
        let engine = &mut self.engines[e];
        let job = self.jobs.get_mut(&seq).expect("a number in use names a job");
        let part =
            if tokens { GRANT_PART * threads * engine.memory_mb / engine.bound.max(threads) } else { 0.0 };
        let memory = job.need_mb.max(part).min(engine.memory_mb * self.settings.largest_grant).max(0.0);
        let memory_mb = if self.settings.grants { memory.ceil() as u64 } else { 0 };
        let request = job.request.id.clone();
        if self.settings.priorities || memory_mb > 0 {
            out.push(Action::Terms { request: request.clone(), memory_mb, priority });
        }
        let expect_ms = job.work_ms / threads.max(1.0) * engine.stretch.max(1.0);
        job.tries.push(Try::new(e, now, memory, expect_ms));
        engine.take(threads, memory);
        if engine.started.is_some() || engine.lost_in_row > 0 {
            let span = self.settings.cold.map_or(WINDOW, |c| c.warm_within);
            engine.take_cold(now, usual, span);
        }
        out.push(Action::Send { request, engine: engine.member.engine.clone(), give_up_after: None });
        holds.then(|| self.blocked.insert((e, job.request.tables), job.deadline));
        self.extra -= f64::from(u8::from(wasted));
        again.then(|| self.counts.further.push_back(now));
    }

    /// Answers a request that is given up, at once: refused where trying again is harmless, else failed.
    pub(super) fn give_up(&mut self, seq: u64, out: &mut Vec<Action>) {
        // The fuller the fleet, the later they are told to come back; spread, so as not to come as one.
        let pause =
            Micros((1_000_000.0 - 700_000.0 * self.admitted) as u64 * (700 + self.draw() % 600) / 1000);
        let job = &self.jobs[&seq];
        let harmless = self.class(job).repeat.may_be_refused() || job.may_have_run().is_none();
        let request = job.request.id.clone();
        let retry_after = self.settings.retry_after.map(|most| most.min(pause));
        out.push(if harmless { Action::Refuse { request, retry_after } } else { Action::Fail { request } });
        self.wind_up(seq, out);
    }

    /// Nothing more is owed: calls off what is out; at the last outcome forgets it and passes its key on.
    pub(super) fn wind_up(&mut self, seq: u64, out: &mut Vec<Action>) {
        self.held.remove(&seq);
        let cancel = self.settings.cancel;
        let job = self.job(seq);
        job.over = true;
        let request = job.request.id.clone();
        for attempt in if cancel { job.call_off() } else { Vec::new() } {
            out.push(Action::Cancel { request: request.clone(), attempt });
        }
        if job.open() > 0 {
            return;
        }
        let key = self.jobs.remove(&seq).and_then(|job| job.request.key);
        key.into_iter().for_each(|key| self.keys.leave(&key, seq));
        self.ids.remove(&request);
    }

    pub(super) fn closed(&mut self, seq: u64, c: &Closed, out: &mut Vec<Action>) {
        let job = self.job(seq);
        let Some(t) = job.tries.get_mut(c.attempt.0 as usize).filter(|t| t.end.is_none()) else { return };
        t.end = Some(c.outcome);
        let (e, memory, stalled, doubted) = (t.engine, t.memory, t.stalled, t.doubted);
        let tells = c.outcome == Outcome::Served || !(t.cancelled || c.outcome == Outcome::Moot);
        let job = &self.jobs[&seq];
        let (threads, class) = (self.threads(job), &self.settings.classes[job.request.class.0]);
        if let Some(key) = job.request.key.as_ref().filter(|_| class.in_order && c.outcome.end_unsure()) {
            self.keys.rest(key, self.now.plus(self.settings.key_rest));
        }
        class.holds_tables.then(|| self.blocked.remove(&(e, job.request.tables)));
        self.engines[e].give_back(threads, memory);
        if c.outcome == Outcome::Served {
            self.learn(seq, e, c.latency, c.cost, stalled);
        }
        let work_ms = self.jobs[&seq].work_ms;
        tells.then(|| self.judge(e, c.outcome, doubted, work_ms, out));
        self.blame_errors(seq, c.outcome, out);
        let job = &self.jobs[&seq];
        if c.request_over || job.over {
            self.wind_up(seq, out);
        } else if job.open() == 0 {
            let open = |e: usize| self.may_send(seq, e) || self.engines[e].started.is_some();
            let any = self.ranked(job).into_iter().any(open);
            let late = self.now.plus(LAST_CALL) >= job.deadline;
            if late || (job.wasted() && self.extra < 1.0) || !any || job.errors().count() >= ERRORS_MOST {
                self.give_up(seq, out);
            } else {
                self.dispatch(seq, out);
            }
        }
    }

    pub(super) fn noted(&mut self, seq: u64, attempt: Attempt, note: Note, out: &mut Vec<Action>) {
        let now = self.now;
        let job = self.job(seq);
        let cancels = job.tries.iter().filter(|t| t.cancelled).count();
        let Some(t) = job.tries.get_mut(attempt.0 as usize).filter(|t| t.end.is_none()) else { return };
        t.hear(now, note);
        let (e, age, expect, stalled) = (t.engine, now.since(t.sent).as_millis(), t.expect_ms, t.stalled);
        let (troubled, tables) = (job.troubled, job.request.tables);
        self.zones.of(&self.engines[e]).tell(e, true);
        if note == Note::WaitsForMemory {
            self.met_line(e, self.jobs[&seq].work_ms);
            let (job, threads) = (&self.jobs[&seq], self.threads(&self.jobs[&seq]));
            // Too late to be in time, it keeps its place from one that could be; no work is lost with it.
            if !self.in_time(job) && !job.over && self.class(job).repeat == Repeat::Safe {
                return self.give_up(seq, out);
            }
            let free = |o: usize| self.engines[o].health == Health::Well && !self.past_bound(o, threads);
            let better = || self.ranked(job).into_iter().any(|o| !job.tried(o) && free(o));
            if job.tries.len() < MOVES && better() {
                self.cancel_and_resend(seq, attempt, out); // A place in line is lost, no work.
            }
        }
        match note {
            Note::Spilling(_) | Note::WaitsForMemory if !troubled => self.trouble(seq, e),
            Note::WaitsForHolder => {
                self.blocked.entry((e, tables)).or_insert(now.plus(BLOCKED_FOR));
            }
            Note::Progress(share) if !stalled => {
                let whole = age / share.clamp(0.001, 1.0);
                // A further attempt draws a new plan; each earlier cancel speaks for a long query instead.
                if whole > BAD_PLAN * (1.0 + cancels as f64) * expect && whole - age > 2.0 * expect {
                    self.cancel_and_resend(seq, attempt, out);
                }
            }
            _ => {}
        }
    }

    /// Calls an attempt off, to send again at its outcome; only where a repeat is sure to be allowed.
    fn cancel_and_resend(&mut self, seq: u64, attempt: Attempt, out: &mut Vec<Action>) {
        let job = &self.jobs[&seq];
        let cap = self.settings.send_cap.is_none_or(|cap| (job.tries.len() as u32) < cap);
        let safe = cap && self.class(job).repeat == Repeat::Safe && self.budget_allows();
        let t = &job.tries[attempt.0 as usize];
        if self.settings.cancel && safe && !t.cancelled && !job.over && self.extra >= 1.0 {
            out.push(Action::Cancel { request: job.request.id.clone(), attempt });
            self.job(seq).tries[attempt.0 as usize].cancelled = true;
        }
    }

    /// Answers held requests whose time is up; copies or moves attempts that hang or lag.
    pub(super) fn overdue(&mut self, out: &mut Vec<Action>) {
        let done: Vec<u64> = self.held.iter().copied().filter(|seq| self.too_late(&self.jobs[seq])).collect();
        done.into_iter().for_each(|seq| self.give_up(seq, out));
        let sure = self.settings.notes_every.map_or(f64::INFINITY, |n| n.as_millis() * SILENCE_NOTES + 100.0);
        let mut lag: Vec<(u64, usize, bool, Option<bool>)> = Vec::new();
        for (&seq, job) in self.jobs.iter().filter(|_| self.lagged < self.now) {
            for (i, t) in job.tries.iter().enumerate().filter(|(_, t)| t.end.is_none()) {
                let engine = &self.engines[t.engine];
                let (quiet, age) = (self.now.since(t.heard).as_millis(), self.now.since(t.sent).as_millis());
                let (light, patience) = (self.is_light(job), (HEDGE_TIMES * t.expect_ms).max(HEDGE_LEAST_MS));
                // Lost: its engine is out, twice the patience is over, or it has missed a note of its own.
                let out = matches!(engine.health, Health::Ejected(_)) || self.zone_lost(t.engine);
                let lost = (out && age > t.expect_ms * 1.5)
                    || (light && !t.waits && age > 2.0 * patience)
                    || (!t.waits && quiet > sure);
                let doubt = !t.doubted && !t.waits && quiet > (2.0 * patience).min(sure);
                let late =
                    (lost || (light && age > patience)) && !job.over && !t.cancelled && job.open() == 1;
                if doubt || late {
                    lag.push((seq, i, doubt, Some(lost).filter(|_| late)));
                }
            }
        }
        for (seq, i, doubt, late) in lag {
            if doubt {
                self.job(seq).tries[i].doubted = true;
                let e = self.jobs[&seq].tries[i].engine;
                self.zones.of(&self.engines[e]).tell(e, false);
                self.weigh(e, true, "silent with work out", out);
            }
            let Some(lost) = late else { continue };
            let job = &self.jobs[&seq];
            if self.extra < 1.0 || (!lost && self.class(job).repeat != Repeat::Safe) {
                continue;
            }
            let (here, threads, light) = (job.tries[i].engine, self.threads(job), self.is_light(job));
            let mut fits = self.ranked(job);
            fits.retain(|e| *e != here && self.usable(seq, *e));
            let free = fits.iter().find(|e| !self.past_bound(**e, threads));
            if let Some(e) = free.or(fits.first().filter(|_| lost && light)).copied() {
                self.send(seq, e, out);
            } else if lost && !self.settings.second_copies {
                self.cancel_and_resend(seq, Attempt(i as u32), out);
            }
        }
    }
}
