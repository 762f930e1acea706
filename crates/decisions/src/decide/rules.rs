//! The rules gate that every send passes: order, repeats, the ration of further attempts, cold engines.

use super::*;

const WINDOW_MARGIN: Micros = Micros::from_millis(200); // a keyed repeat stays inside its window by this
const COLD_MARGIN: f64 = 0.75; // share of a cold engine's budget in use: its capacity is a guess
const COLD_EASE: f64 = 0.15; // times the time to warm, over which gateways end their rations
const COLD_PACE: f64 = 1.5; // times what a cold engine can do, in turns: not all are used
const CHANCE: f64 = 2.5; // deviations of what all send to a cold engine by chance that must still fit

impl Gateway {
    pub(super) fn may_send(&self, seq: u64, e: usize) -> bool {
        let (job, engine) = (&self.jobs[&seq], &self.engines[e]);
        let (class, open) = (self.class(job), job.open());
        !job.over
            && self.now < job.deadline
            && engine.listed
            && open_to(class, &engine.member)
            && (open == 0 || (open == 1 && self.settings.second_copies))
            && self.settings.send_cap.is_none_or(|cap| (job.tries.len() as u32) < cap)
            && self.in_turn(seq, job)
            && self.repeat_allowed(job, class, engine)
            && (job.tries.is_empty() || self.budget_allows())
            && self.cold_allows(engine, self.learned[job.request.class.0].usual(job.work_ms))
    }

    pub(super) fn in_turn(&self, seq: u64, job: &Job) -> bool {
        let Some(key) = job.request.key.as_ref().filter(|_| self.class(job).in_order) else { return true };
        self.keys.first(key, seq) && (!job.tries.is_empty() || !self.keys.rests(key, self.now))
    }

    fn repeat_allowed(&self, job: &Job, class: &ClassSettings, engine: &Engine) -> bool {
        let Some(ran) = job.may_have_run() else { return true };
        let there = &self.engines[ran.engine].member;
        match class.repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => false,
            Repeat::Keyed { group, window } => {
                let zone = group != RepeatGroup::Zone || there.zone == engine.member.zone;
                let cell = group != RepeatGroup::Cell || there.cell == engine.member.cell;
                zone && cell && self.now.since(ran.sent).plus(WINDOW_MARGIN) < window
            }
        }
    }

    pub(super) fn budget_allows(&self) -> bool {
        let Some(b) = self.settings.budget else { return true };
        let (taken, sent) = self.counts.within(self.now, b.span);
        // What was called off to be sent again has its further attempt set aside until its outcome.
        let aside = |job: &Job| !job.over && job.tries.iter().any(|t| t.cancelled && t.end.is_none());
        let sent = sent + self.jobs.values().filter(|job| aside(job)).count() as f64;
        sent + 1.0 <= b.free + b.per_request * taken
    }

    /// Share of its capacity that an engine surely has: how it warms up is not told, the square is careful.
    pub(super) fn warmth(&self, engine: &Engine) -> f64 {
        let (Some(rule), Some(started)) = (self.settings.cold, engine.started) else { return 1.0 };
        let warm = self.now.since(started).as_millis() / rule.warm_within.as_millis().max(1.0);
        rule.start_share + (1.0 - rule.start_share) * warm.min(1.0).powi(2)
    }

    /// Own part of what a cold engine bears. Light work: a ration, less room for chance, from a moment that
    /// differs by gateway where it is under one query. Heavy work, of which the part is far under that: by
    /// turns that go round all gateways, a query each, so that what they send together is even.
    fn cold_allows(&self, engine: &Engine, work_ms: f64) -> bool {
        let (Some(rule), Some(started)) = (self.settings.cold, engine.started) else { return true };
        let born = self.born.unwrap_or_default();
        let (n, me) = self.settings.cold_among.unwrap_or((self.gateways(), u64::from(self.settings.me)));
        let able = self.warmth(engine) * engine.cores * FULL_RATE;
        let start = mix(engine.hash ^ mix(me)) as f64 / u64::MAX as f64;
        let ease = 1.0 + COLD_EASE * start * (1.0 - 1.0 / n);
        if self.now.since(started).as_millis() >= rule.warm_within.as_millis() * ease {
            return true; // Not at all gateways at once: what waits at each would come together.
        }
        let heaviest = self.learned.iter().map(|l| l.work_ms).fold(work_ms, f64::max);
        let turn = turn_ms(heaviest / (COLD_PACE * able), rule.fall_span.as_millis());
        if n > 1.0 && 2.0 * work_ms > heaviest && turn >= BEAT.as_millis() {
            let (no, since) = ((self.now.as_millis() / turn) as u64, self.now.as_millis() % turn);
            let sent = |(t, w): &(Micros, f64)| 2.0 * w > heaviest && self.now.since(*t).as_millis() <= since;
            return no.wrapping_add(engine.hash) % n as u64 == me && !engine.cold_sent.iter().any(sent);
        }
        let bears = COLD_MARGIN * rule.fall_multiple * able * rule.fall_span.as_millis();
        let mean = mean_within(bears, work_ms * (1.0 - 1.0 / n), CHANCE);
        let longer = (work_ms * n / mean).max(1.0);
        let span = Micros((rule.fall_span.0 as f64 * longer) as u64);
        let recent = engine.cold_sent.iter().filter(|(t, _)| self.now.since(*t) <= span).map(|(_, w)| w);
        let waited = self.now.since(started.max(born)).0 as f64 >= start * span.0 as f64;
        ((longer <= 1.0 && born <= started) || waited)
            && recent.sum::<f64>() + work_ms <= mean / n * longer * 1.000_001
    }
}
