//! Outlier ejection, as known from proxies: an engine that shows more failures than the rest of the
//! fleet gets no requests for some time. The engine then becomes half-open and receives one attempt
//! at a time until one is served.

use super::Gateway;
use crate::state::decay::{remaining, Tally};
use crate::state::engine::{Engine, Health};
use crate::state::zones::Zones;
use crate::{Action, EjectionReason, LogEvent, Micros, Outcome};

/// Duration of an engine's first ejection, doubled for each further one. Also the initial interval
/// between trial requests to a failed zone.
pub(super) const BASE_EJECTION_TIME: Micros = Micros::from_millis(1000);

/// Maximum duration of an ejection, and maximum interval between trial requests to a failed zone.
pub(super) const MAX_EJECTION_TIME: Micros = Micros::from_millis(8000);

/// Maximum fraction of listed engines that may be ejected or half-open before further ejections
/// stop. Ejections for repeated connection failures are exempt.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// Evidence against an engine, in log odds, above which the engine is ejected. The negative of this
/// value bounds the evidence in favor of an engine, so that long success doesn't delay a later
/// ejection.
const EJECTION_THRESHOLD: f64 = 2.0;

/// Number of broken connections in a row, with no served attempt in between, from which on each
/// broken connection counts as a bad observation (evidence of a fault).
const MIN_RESETS_TO_COUNT: u32 = 3;

/// Number of failed connection attempts in a row that eject an engine regardless of the other
/// evidence. If the engine serves an attempt after that many failures, it is assumed to have
/// restarted.
const CONNECT_FAILURES_TO_EJECT: u32 = 2;

/// Number of engines in one zone that fail to respond, with no response from the zone since, after
/// which the whole zone counts as failed.
const LOST_ENGINES_TO_FAIL_ZONE: usize = 2;

/// Half-life of the counts of good and bad observations, in milliseconds.
const OBSERVATION_HALF_LIFE_MS: f64 = 10_000.0;

/// Half-life of the evidence against one engine, in milliseconds.
const EVIDENCE_HALF_LIFE_MS: f64 = 3000.0;

/// Lower bound on the assumed share of bad observations: even a healthy fleet has failures, for
/// example from bad query plans and wrong estimates.
const MIN_BAD_SHARE: f64 = 0.02;

/// Upper bound on the assumed share of bad observations; with a share of 1, a bad observation would
/// carry no evidence against an engine.
const MAX_BAD_SHARE: f64 = 0.95;

/// Weight of the minimum share of bad observations as a prior in the estimated share, in number of
/// observations.
const PRIOR_OBSERVATIONS: f64 = 5.0;

/// Health of the whole fleet and of its zones.
#[derive(Default)]
pub(super) struct FleetHealth {
    /// Counts of good and bad observations of all engines.
    signs: Tally,
    pub(super) zones: Zones,
    /// Latest send time among all attempts that were served.
    pub(super) newest_served_attempt: Micros,
    /// Ejections before this time aren't logged; limits the rate of log messages.
    next_log: Micros,
}

impl Gateway {
    /// Updates the health of an engine and its zone with the outcome of an attempt.
    /// `silence_counted` means that missing progress reports of the attempt were already counted
    /// against the engine.
    pub(super) fn record_outcome(
        &mut self,
        index: usize,
        outcome: Outcome,
        silence_counted: bool,
        work_ms: f64,
        actions: &mut Vec<Action>,
    ) {
        let zone = &self.engines[index].entry.zone;
        self.health
            .zones
            .zone_mut(zone)
            .attempt_ended(index, outcome);
        match outcome {
            Outcome::Served => self.engine_served(index, silence_counted),
            Outcome::Overloaded => self.record_engine_queue(index, work_ms),
            Outcome::ConnectFailed => self.connect_failed(index, actions),
            Outcome::Reset => self.connection_reset(index, actions),
            Outcome::Error | Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn engine_served(&mut self, index: usize, silence_counted: bool) {
        let now = self.clock.now;
        let engine = &mut self.engines[index];
        if engine.health.connect_failures_in_row >= CONNECT_FAILURES_TO_EJECT {
            // The engine refused connections before and now serves requests: it has restarted and
            // is warming up.
            engine.started = Some(now);
        }
        engine.health.connect_failures_in_row = 0;
        engine.health.resets_in_row = 0;
        if !silence_counted {
            self.record_good_observation(index);
        }
    }

    /// Records a failed connection attempt. The engine is treated as restarting, so that slow start
    /// applies once it accepts connections again.
    fn connect_failed(&mut self, index: usize, actions: &mut Vec<Action>) {
        let engine = &mut self.engines[index];
        engine.health.connect_failures_in_row += 1;
        engine.started = Some(self.clock.now);
        self.record_bad_observation(index, EjectionReason::ConnectionsFail, actions);
        if self.engines[index].health.connect_failures_in_row >= CONNECT_FAILURES_TO_EJECT {
            self.eject(index, EjectionReason::ConnectionsFail, true, actions);
        }
    }

    /// Records a broken connection. Single broken connections occur with healthy engines; several
    /// in a row without a served attempt indicate a fault.
    fn connection_reset(&mut self, index: usize, actions: &mut Vec<Action>) {
        let health = &mut self.engines[index].health;
        health.resets_in_row += 1;
        if health.resets_in_row >= MIN_RESETS_TO_COUNT {
            self.record_bad_observation(index, EjectionReason::ConnectionsBreak, actions);
        }
    }

    /// Whether the zone of an engine counts as failed, which makes all of its engines unusable. A
    /// zone tends to fail as a whole, and a gateway that sends little to each engine would take
    /// long to detect each failure; two unresponsive engines with no response from the zone are
    /// taken as proof. If all zones appear to have failed, none counts as failed.
    pub(super) fn zone_has_failed(&self, index: usize) -> bool {
        let lost = |engine: &Engine| {
            self.health.zones.lost_engines(&engine.entry.zone) >= LOST_ENGINES_TO_FAIL_ZONE
        };
        lost(&self.engines[index]) && self.engines.listed().any(|other| !lost(other))
    }

    /// Counts earlier errors of a request against the engines that returned them, once another
    /// engine has served the same request. Until then, the request itself may be the cause. Errors
    /// on requests that are never retried therefore never eject an engine.
    pub(super) fn attribute_errors(
        &mut self,
        sequence: u64,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        if outcome != Outcome::Served {
            return;
        }
        let failed: Vec<usize> = self.requests[sequence].failed_engines().collect();
        for engine in failed {
            self.record_bad_observation(engine, EjectionReason::AnswersWithErrors, actions);
        }
    }

    /// Records a bad observation of an engine, and ejects the engine if it is half-open or the
    /// evidence is sufficient.
    pub(super) fn record_bad_observation(
        &mut self,
        index: usize,
        reason: EjectionReason,
        actions: &mut Vec<Action>,
    ) {
        let now = self.clock.now;
        let share = self.bad_share_of_others(index);
        let own_observations = self.engines[index]
            .health
            .signs
            .at(now, OBSERVATION_HALF_LIFE_MS)
            .0;
        self.add_evidence(index, ((1.0 + share) / (2.0 * share)).ln(), true);
        let health = &self.engines[index].health;
        let is_enough =
            health.suspicion > EJECTION_THRESHOLD + (1.0 + own_observations * share).ln();
        if health.health == Health::HalfOpen || is_enough {
            self.eject(index, reason, false, actions);
        }
    }

    /// Records a good observation of an engine. A half-open engine becomes healthy.
    fn record_good_observation(&mut self, index: usize) {
        self.add_evidence(index, -std::f64::consts::LN_2, false);
        let health = &mut self.engines[index].health;
        if health.health == Health::HalfOpen {
            health.health = Health::Healthy;
            health.suspicion = 0.0;
            health.ejections = health.ejections.saturating_sub(1);
        }
    }

    /// Share of bad observations among those of the other engines. It is the baseline for judging
    /// an engine, so that a problem common to the whole fleet ejects no engine.
    fn bad_share_of_others(&self, index: usize) -> f64 {
        let own = &self.engines[index].health.signs;
        let signs = &self.health.signs;
        let share = signs.share_without(
            own,
            self.clock.now,
            OBSERVATION_HALF_LIFE_MS,
            MIN_BAD_SHARE,
            PRIOR_OBSERVATIONS,
        );
        share.clamp(MIN_BAD_SHARE, MAX_BAD_SHARE)
    }

    /// Adds the log likelihood ratio of an observation (how much more likely it is from a faulty
    /// engine than from the rest of the fleet) to the evidence against an engine.
    fn add_evidence(&mut self, index: usize, log_odds: f64, bad: bool) {
        let now = self.clock.now;
        let health = &mut self.engines[index].health;
        let kept = remaining(now.since(health.suspicion_updated), EVIDENCE_HALF_LIFE_MS);
        health.suspicion = (health.suspicion * kept + log_odds).max(-EJECTION_THRESHOLD);
        health.suspicion_updated = now;
        health.signs.count(now, bad, OBSERVATION_HALF_LIFE_MS);
        self.health.signs.count(now, bad, OBSERVATION_HALF_LIFE_MS);
    }

    /// Ejects an engine for a time that doubles with each ejection. Unless the fault is certain,
    /// nothing happens if too much of the fleet is already out of use.
    fn eject(
        &mut self,
        index: usize,
        reason: EjectionReason,
        is_certain: bool,
        actions: &mut Vec<Action>,
    ) {
        let health = self.engines[index].health.health;
        let is_bounded = !is_certain && health == Health::Healthy && self.too_many_ejected();
        if is_bounded || matches!(health, Health::Ejected(_)) {
            return;
        }
        let engine = &mut self.engines[index];
        let duration =
            Micros(BASE_EJECTION_TIME.0 << engine.health.ejections.min(3)).min(MAX_EJECTION_TIME);
        engine.health.ejections += 1;
        engine.health.health = Health::Ejected(self.clock.now.plus(duration));
        if self.clock.now >= self.health.next_log {
            self.health.next_log = self.clock.now.plus(BASE_EJECTION_TIME);
            let engine = engine.entry.engine.clone();
            actions.push(Action::Log(LogEvent::EngineEjected {
                engine,
                rest: duration,
                reason,
            }));
        }
    }

    /// Whether one more ejection would exceed the fraction of engines that may be out of use.
    fn too_many_ejected(&self) -> bool {
        let listed = self.engines.listed().count() as f64;
        let unhealthy = self
            .engines
            .listed()
            .filter(|engine| engine.health.health != Health::Healthy);
        unhealthy.count() as f64 + 1.0 > MAX_EJECTED_SHARE * listed
    }
}
