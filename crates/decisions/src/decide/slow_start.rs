//! Slow start: what a freshly started engine is sent while it warms up.
//!
//! All gateways together must stay under what the engine bears, without talking to each other: each
//! takes its own part of it. Light work has a rate of its own; heavy work, of which the part is
//! under one query, goes by time slots that go round all gateways.

use super::load::BUSY_CAPACITY;
use super::{Gateway, SURVEY_INTERVAL};
use crate::state::engine::Engine;
use crate::state::hash::{mix, unit_fraction};
use crate::{Micros, SlowStart, SlowStartShare};

/// Share of a warming engine's budget that is used: its capacity is a guess.
const BUDGET_MARGIN: f64 = 0.75;

/// Times the time to warm up, over which gateways end their slow start.
const END_SPREAD: f64 = 0.15;

/// Times what a warming engine can do that heavy work may be sent, as not all time slots are used.
const SLOT_PACE: f64 = 1.5;

/// Deviations of what all gateways send by chance that must still fit.
const CHANCE_DEVIATIONS: f64 = 2.5;

/// Allowance for rounding in the comparison with the budget.
const ROUNDING: f64 = 1.000_001;

/// Slow start of one engine, as one gateway sees it.
struct WarmupShare<'a> {
    rule: SlowStart,
    engine: &'a Engine,
    started: Micros,
    /// Gateways that share the engine.
    gateways: f64,
    /// Which of them this one is.
    number: u64,
    /// Cores that the engine surely has.
    capacity: f64,
    /// A fraction that differs by gateway and engine.
    jitter: f64,
}

impl Gateway {
    /// Share of its capacity that an engine surely has: how it warms up is not known, the square is
    /// careful.
    pub(super) fn warmth(&self, engine: &Engine) -> f64 {
        let (Some(rule), Some(started)) = (self.settings.slow_start, engine.started) else {
            return 1.0;
        };
        let progress =
            self.clock.since(started).as_millis() / rule.warm_within.as_millis().max(1.0);
        rule.start_share + (1.0 - rule.start_share) * progress.min(1.0).powi(2)
    }

    /// Whether own work of this length is inside the own part of what a warming engine bears.
    pub(super) fn slow_start_allows(&self, engine: &Engine, work_ms: f64) -> bool {
        let Some(share) = self.warmup_share(engine) else {
            return true;
        };
        if self.is_warmed_up(&share) {
            return true;
        }
        let heaviest_ms = self.costs.heaviest_work_ms(work_ms);
        let slot_ms = slot_length_ms(
            heaviest_ms / (SLOT_PACE * share.capacity),
            share.rule.fall_span.as_millis(),
        );
        let is_heavy = 2.0 * work_ms > heaviest_ms;
        if share.gateways > 1.0 && is_heavy && slot_ms >= SURVEY_INTERVAL.as_millis() {
            self.slot_allows(&share, heaviest_ms, slot_ms)
        } else {
            self.rate_allows(&share, work_ms)
        }
    }

    fn warmup_share<'a>(&self, engine: &'a Engine) -> Option<WarmupShare<'a>> {
        let rule = self.settings.slow_start?;
        let started = engine.started?;
        let by_settings = SlowStartShare {
            gateways: self.gateways(),
            number: u64::from(self.settings.own_number),
        };
        let SlowStartShare { gateways, number } =
            self.settings.slow_start_share.unwrap_or(by_settings);
        let capacity = self.warmth(engine) * engine.cores * BUSY_CAPACITY;
        let jitter = unit_fraction(mix(engine.hash ^ mix(number)));
        Some(WarmupShare {
            rule,
            engine,
            started,
            gateways,
            number,
            capacity,
            jitter,
        })
    }

    /// Whether slow start is over. Not at all gateways at once: what waits at each would come
    /// together.
    fn is_warmed_up(&self, share: &WarmupShare) -> bool {
        let spread = 1.0 + END_SPREAD * share.jitter * (1.0 - 1.0 / share.gateways);
        self.clock.since(share.started).as_millis() >= share.rule.warm_within.as_millis() * spread
    }

    /// Heavy work: one query in each of the own time slots, so that what all gateways send together
    /// is even.
    fn slot_allows(&self, share: &WarmupShare, heaviest_ms: f64, slot_ms: f64) -> bool {
        let now_ms = self.clock.now.as_millis();
        let slot = (now_ms / slot_ms) as u64;
        let since_slot_start_ms = now_ms % slot_ms;
        let is_own_slot =
            slot.wrapping_add(share.engine.hash) % share.gateways as u64 == share.number;
        let already_sent = share.engine.warmup_sends.iter().any(|send| {
            2.0 * send.work_ms > heaviest_ms
                && self.clock.since(send.at).as_millis() <= since_slot_start_ms
        });
        is_own_slot && !already_sent
    }

    /// Light work: the own part of the budget less room for chance, over a longer span where it is
    /// under one query, and then from a moment that differs by gateway.
    fn rate_allows(&self, share: &WarmupShare, work_ms: f64) -> bool {
        let rule = share.rule;
        let gateways = share.gateways;
        let budget_ms =
            BUDGET_MARGIN * rule.fall_multiple * share.capacity * rule.fall_span.as_millis();
        let mean_ms = mean_within(
            budget_ms,
            work_ms * (1.0 - 1.0 / gateways),
            CHANCE_DEVIATIONS,
        );
        let span_factor = (work_ms * gateways / mean_ms).max(1.0);
        let span = Micros((rule.fall_span.0 as f64 * span_factor) as u64);
        let sends = share
            .engine
            .warmup_sends
            .iter()
            .filter(|send| self.clock.since(send.at) <= span);
        let sent_ms = sends.map(|send| send.work_ms).sum::<f64>();
        let up_since = self.clock.started_at.unwrap_or_default();
        let may_start_at_once = span_factor <= 1.0 && up_since <= share.started;
        let waited = self.clock.since(share.started.max(up_since)).0 as f64;
        (may_start_at_once || waited >= share.jitter * span.0 as f64)
            && sent_ms + work_ms <= mean_ms / gateways * span_factor * ROUNDING
    }
}

/// The greatest mean of a sum of independent parts of one size whose `deviations` still stay within
/// `most`.
fn mean_within(most: f64, size: f64, deviations: f64) -> f64 {
    let noise = deviations * size.sqrt();
    (((noise * noise + 4.0 * most).sqrt() - noise) / 2.0)
        .powi(2)
        .max(0.1)
}

/// The length of a time slot, as near to `ms` as halves and doubles of `span` come: gateways whose
/// figures differ a little still agree whose slot it is.
fn slot_length_ms(ms: f64, span: f64) -> f64 {
    span * (ms / span).log2().round().exp2()
}
