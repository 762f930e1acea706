//! Slow start: limits the work sent to a freshly started engine while it warms up.
//!
//! All gateways together must stay below the capacity of the engine without coordinating, so each
//! gateway uses a fixed share of that capacity. Light queries are limited by rate. If the share
//! allows less than one heavy query at a time, heavy queries are limited by time slots that are
//! assigned to the gateways in turn.

use super::load::BUSY_CAPACITY;
use super::{Gateway, LOAD_UPDATE_INTERVAL};
use crate::state::engine::Engine;
use crate::state::hash::{mix, unit_fraction};
use crate::{Micros, SlowStart, SlowStartShare};

/// Fraction of a warming engine's calculated budget that is used, as its capacity is only
/// estimated.
const BUDGET_MARGIN: f64 = 0.75;

/// Spread of the end of slow start across gateways, as a fraction of the warm-up time.
const END_JITTER: f64 = 0.15;

/// Factor by which the time slots for heavy queries are shorter than the engine needs per query, as
/// some slots remain unused.
const SLOT_OVERCOMMIT: f64 = 1.5;

/// Number of standard deviations of the work sent by all gateways that must still fit into the
/// budget; gateways send independently, so their sum varies randomly.
const CHANCE_DEVIATIONS: f64 = 2.5;

/// Tolerance factor for rounding errors in the comparison with the budget.
const ROUNDING_TOLERANCE: f64 = 1.000_001;

/// One gateway's share of the slow start of one engine.
struct WarmupShare<'a> {
    rule: SlowStart,
    engine: &'a Engine,
    started: Micros,
    /// Number of gateways that share the engine.
    gateways: f64,
    /// Index of this gateway among them.
    number: u64,
    /// Cores that the engine certainly provides at present.
    capacity: f64,
    /// Hash of gateway and engine as a fraction from 0 to 1; staggers the gateways in time.
    jitter: f64,
}

impl Gateway {
    /// Fraction of its full capacity that an engine certainly provides at present, 1 after warm-up.
    /// It grows with the square of the time since the start, a cautious assumption because the
    /// actual warm-up curve is unknown.
    pub(super) fn warmth(&self, engine: &Engine) -> f64 {
        let (Some(rule), Some(started)) = (self.settings.slow_start, engine.started) else {
            return 1.0;
        };
        let progress =
            self.clock.since(started).as_millis() / rule.warm_within.as_millis().max(1.0);
        rule.start_share + (1.0 - rule.start_share) * progress.min(1.0).powi(2)
    }

    /// Whether slow start allows work of this length on an engine, within this gateway's share of
    /// the engine's capacity.
    pub(super) fn slow_start_allows(&self, engine: &Engine, work_ms: f64) -> bool {
        let Some(share) = self.warmup_share(engine) else {
            return true;
        };
        if self.is_warmed_up(&share) {
            return true;
        }
        let heaviest_ms = self.costs.heaviest_work_ms(work_ms);
        let slot_ms = slot_length_ms(
            heaviest_ms / (SLOT_OVERCOMMIT * share.capacity),
            share.rule.fall_span.as_millis(),
        );
        let is_heavy = 2.0 * work_ms > heaviest_ms;
        if share.gateways > 1.0 && is_heavy && slot_ms >= LOAD_UPDATE_INTERVAL.as_millis() {
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

    /// Whether slow start is over for an engine. Gateways end it at different times; otherwise the
    /// requests queued in all of them would arrive at the engine at once.
    fn is_warmed_up(&self, share: &WarmupShare) -> bool {
        let spread = 1.0 + END_JITTER * share.jitter * (1.0 - 1.0 / share.gateways);
        self.clock.since(share.started).as_millis() >= share.rule.warm_within.as_millis() * spread
    }

    /// Whether a heavy query fits into the current time slot: the slot belongs to this gateway and
    /// no other heavy query was sent in it. This spreads the heavy queries of all gateways evenly
    /// over time.
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

    /// Whether light work fits into this gateway's share of the budget, with room for random
    /// variation. If the share is less than one query, the window is extended, and each gateway
    /// starts at a different time within it.
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
            && sent_ms + work_ms <= mean_ms / gateways * span_factor * ROUNDING_TOLERANCE
    }
}

/// Returns the largest mean for a sum of independent random parts of the given size whose mean plus
/// `deviations` standard deviations doesn't exceed `most`.
fn mean_within(most: f64, size: f64, deviations: f64) -> f64 {
    let noise = deviations * size.sqrt();
    (((noise * noise + 4.0 * most).sqrt() - noise) / 2.0)
        .powi(2)
        .max(0.1)
}

/// Rounds the length of a time slot to `span` times a power of two. Gateways whose cost estimates
/// differ slightly thus still agree on the owner of each slot.
fn slot_length_ms(ms: f64, span: f64) -> f64 {
    span * (ms / span).log2().round().exp2()
}
