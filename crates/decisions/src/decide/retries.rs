//! Retries and hedged requests: requests whose attempts failed, hang or are slow are sent to
//! another engine.

use super::admission::ANSWER_MARGIN;
use super::attempts::AttemptSnapshot;
use super::Gateway;
use crate::state::engine::Health;
use crate::state::request::{TrackedAttempt, TrackedRequest};
use crate::{Action, Attempt, EjectionReason, Repeat};
use std::collections::BTreeSet;

/// A progress report is missed after this multiple of the report interval, plus a fixed allowance.
const MISSED_REPORT_FACTOR: f64 = 1.3;

/// Fixed allowance for network and processing delay until a progress report counts as missed, in
/// milliseconds.
const MISSED_REPORT_ALLOWANCE_MS: f64 = 100.0;

/// Maximum number of engines that may return an error for one request; after that, the request is
/// assumed to be the cause and is given up.
const MAX_FAILED_ENGINES: usize = 2;

/// A light query is hedged after this multiple of its expected time.
const HEDGE_DELAY_FACTOR: f64 = 3.0;

/// Lower bound on the time after which a light query is hedged, in milliseconds.
const MIN_HEDGE_DELAY_MS: f64 = 250.0;

/// A query is assumed to run with a bad plan if its projected run time exceeds this multiple of the
/// expected time; the usual estimate errors are smaller.
const BAD_PLAN_FACTOR: f64 = 4.0;

/// A query with a bad plan is restarted only if its projected remaining time exceeds this multiple
/// of the expected time; otherwise finishing it is cheaper.
const BAD_PLAN_REMAINING_FACTOR: f64 = 2.0;

/// Lower bound on the reported share of work done when the run time is projected; avoids a division
/// by zero.
const MIN_SHARE_DONE: f64 = 0.001;

/// A request with this many attempts is no longer moved out of an engine's memory queue; the
/// remaining attempts are left for failures.
const MAX_QUEUE_MOVES: usize = 3;

/// An attempt that has sent no progress for too long or that runs for too long.
struct LaggingAttempt {
    sequence: u64,
    number: usize,
    /// Whether the missing progress reports should now be counted against the engine.
    count_silence: bool,
    second_attempt: SecondAttempt,
}

/// Whether a second attempt should be sent for a request whose attempt is in flight.
#[derive(Clone, Copy, PartialEq)]
enum SecondAttempt {
    /// No second attempt is needed.
    NotNeeded,
    /// The attempt is slow: a hedged request may be answered sooner.
    Hedge,
    /// The attempt is probably lost because its engine has failed.
    Replace,
}

impl Gateway {
    /// Decides what happens to a request after its last attempt in flight has ended without an
    /// answer: it is dispatched again, or rejected or failed.
    pub(super) fn retry_or_reject(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        let request = &self.requests[sequence];
        let may_become_usable = |engine: usize| {
            self.may_send(sequence, engine) || self.engines[engine].started.is_some()
        };
        let has_engine = self
            .ranked_engines(request)
            .into_iter()
            .any(may_become_usable);
        let is_late = self.clock.now.plus(ANSWER_MARGIN) >= request.deadline;
        let out_of_tokens = request.last_attempt_needs_token() && !self.retries.has_token();
        let request_is_faulty = request.failed_engines().count() >= MAX_FAILED_ENGINES;
        if is_late || out_of_tokens || !has_engine || request_is_faulty {
            self.reject_or_fail(sequence, actions);
        } else {
            self.dispatch(sequence, actions);
        }
    }

    /// Whether a request that waits in an engine's memory queue can no longer meet its latency
    /// objective and may be given up. No work is lost, and its place in the queue goes to a request
    /// that can be in time.
    pub(super) fn is_too_late_in_engine_queue(&self, sequence: u64) -> bool {
        let request = &self.requests[sequence];
        !self.can_be_in_time(request)
            && !request.answered
            && self.class(request).repeat == Repeat::Safe
    }

    /// Cancels an attempt that waits in an engine's memory queue if another engine has room. Only
    /// the position in the queue is lost, since the query hasn't started.
    pub(super) fn leave_engine_queue(
        &mut self,
        sequence: u64,
        attempt: Attempt,
        actions: &mut Vec<Action>,
    ) {
        let request = &self.requests[sequence];
        let threads = self.threads(request);
        let is_better = |engine: usize| {
            !request.was_sent_to(engine)
                && self.engines[engine].health.health == Health::Healthy
                && !self.would_exceed_thread_limit(engine, threads)
        };
        if request.attempts.len() < MAX_QUEUE_MOVES
            && self.ranked_engines(request).into_iter().any(is_better)
        {
            self.cancel_and_resend(sequence, attempt, actions);
        }
    }

    /// Cancels an attempt whose progress suggests a bad query plan, because a new attempt may get a
    /// better plan. Each earlier cancellation raises the threshold: a query that is slow again and
    /// again is more likely just long.
    pub(super) fn resend_if_slow(
        &mut self,
        sequence: u64,
        attempt: &AttemptSnapshot,
        share_done: f64,
        actions: &mut Vec<Action>,
    ) {
        let attempts = &self.requests[sequence].attempts;
        let cancels = attempts.iter().filter(|attempt| attempt.cancelled).count();
        let total_ms = attempt.age_ms / share_done.clamp(MIN_SHARE_DONE, 1.0);
        let remaining_ms = total_ms - attempt.age_ms;
        let slow_from_ms = BAD_PLAN_FACTOR * (1.0 + cancels as f64) * attempt.expected_ms;
        if total_ms > slow_from_ms && remaining_ms > BAD_PLAN_REMAINING_FACTOR * attempt.expected_ms
        {
            self.cancel_and_resend(sequence, attempt.number, actions);
        }
    }

    /// Cancels an attempt so that its request is sent again when the outcome arrives. Applies only
    /// if the class is idempotent and both the attempt limit and the retry budget allow a retry.
    fn cancel_and_resend(&mut self, sequence: u64, number: Attempt, actions: &mut Vec<Action>) {
        let request = &self.requests[sequence];
        let attempt = &request.attempts[number.0 as usize];
        let may_repeat = self.attempts_left(request)
            && self.class(request).repeat == Repeat::Safe
            && self.retry_budget_allows();
        let is_open = !attempt.cancelled && !request.answered;
        if self.settings.cancel && may_repeat && is_open && self.retries.has_token() {
            actions.push(Action::Cancel {
                request: request.request.id.clone(),
                attempt: number,
            });
            self.requests.get_mut(sequence).attempts[number.0 as usize].cancelled = true;
        }
    }

    /// Sends a second attempt for requests whose attempt hangs or is slow, and counts missing
    /// progress reports against engines.
    pub(super) fn retry_lagging(&mut self, actions: &mut Vec<Action>) {
        if self.clock.last_stall >= self.clock.now {
            // After a stall of the gateway, responses may still be unread, so engines can't be
            // judged yet.
            return;
        }
        for lagging in self.lagging_attempts() {
            if lagging.count_silence {
                self.count_silence(&lagging, actions);
            }
            if lagging.second_attempt != SecondAttempt::NotNeeded {
                self.send_second_attempt(&lagging, actions);
            }
        }
    }

    fn lagging_attempts(&self) -> Vec<LaggingAttempt> {
        let quiet_engines = self.quiet_engines();
        let mut lagging = Vec::new();
        for (sequence, request) in self.requests.iter() {
            let in_flight = request
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, attempt)| attempt.in_flight());
            for (number, attempt) in in_flight {
                let count_silence = self.is_newly_silent(attempt)
                    && !self.is_silence_shared(attempt, &quiet_engines);
                let second_attempt = self.second_attempt_needed(request, attempt);
                if count_silence || second_attempt != SecondAttempt::NotNeeded {
                    lagging.push(LaggingAttempt {
                        sequence,
                        number,
                        count_silence,
                        second_attempt,
                    });
                }
            }
        }
        lagging
    }

    /// Time without a progress report after which an attempt has certainly missed one, in
    /// milliseconds.
    fn missed_report_after_ms(&self) -> f64 {
        let interval = self.settings.progress_interval;
        interval.map_or(f64::INFINITY, |every| {
            every.as_millis() * MISSED_REPORT_FACTOR + MISSED_REPORT_ALLOWANCE_MS
        })
    }

    /// Time after which a light query is hedged, in milliseconds.
    fn hedge_after_ms(attempt: &TrackedAttempt) -> f64 {
        (HEDGE_DELAY_FACTOR * attempt.expected_ms).max(MIN_HEDGE_DELAY_MS)
    }

    fn is_newly_silent(&self, attempt: &TrackedAttempt) -> bool {
        let quiet_ms = self.clock.since(attempt.last_progress).as_millis();
        !attempt.silence_counted && !attempt.waits && quiet_ms > self.silence_timeout_ms(attempt)
    }

    /// Time without a progress report after which an attempt is counted against its engine, in
    /// milliseconds.
    fn silence_timeout_ms(&self, attempt: &TrackedAttempt) -> f64 {
        (2.0 * Gateway::hedge_after_ms(attempt)).min(self.missed_report_after_ms())
    }

    /// Returns the engines with an attempt whose time without progress exceeds half of the limit at
    /// which it counts against the engine.
    fn quiet_engines(&self) -> BTreeSet<usize> {
        let attempts = self
            .requests
            .iter()
            .flat_map(|(_, request)| &request.attempts);
        let is_quiet = |attempt: &&TrackedAttempt| {
            let quiet_ms = self.clock.since(attempt.last_progress).as_millis();
            let is_quiet = quiet_ms > self.silence_timeout_ms(attempt) / 2.0;
            attempt.in_flight() && !attempt.waits && is_quiet
        };
        attempts
            .filter(is_quiet)
            .map(|attempt| attempt.engine)
            .collect()
    }

    /// Whether the lack of progress may have a cause outside the engine, such as the network:
    /// another engine is quiet too, and no engine has served an attempt that was sent after this
    /// attempt's last progress.
    fn is_silence_shared(&self, attempt: &TrackedAttempt, quiet_engines: &BTreeSet<usize>) -> bool {
        let is_other_quiet = quiet_engines.iter().any(|engine| *engine != attempt.engine);
        is_other_quiet && self.health.newest_served_attempt <= attempt.last_progress
    }

    fn second_attempt_needed(
        &self,
        request: &TrackedRequest,
        attempt: &TrackedAttempt,
    ) -> SecondAttempt {
        if request.answered || attempt.cancelled || request.in_flight() != 1 {
            return SecondAttempt::NotNeeded;
        }
        let age_ms = self.clock.since(attempt.sent).as_millis();
        if self.is_likely_lost(request, attempt, age_ms) {
            SecondAttempt::Replace
        } else if self.is_light(request) && age_ms > Gateway::hedge_after_ms(attempt) {
            SecondAttempt::Hedge
        } else {
            SecondAttempt::NotNeeded
        }
    }

    /// Whether an attempt is probably lost: its engine is ejected or in a failed zone, a light
    /// query ran for twice its hedge delay, or a progress report is missing.
    fn is_likely_lost(
        &self,
        request: &TrackedRequest,
        attempt: &TrackedAttempt,
        age_ms: f64,
    ) -> bool {
        let health = self.engines[attempt.engine].health.health;
        let is_out = matches!(health, Health::Ejected(_)) || self.zone_has_failed(attempt.engine);
        let quiet_ms = self.clock.since(attempt.last_progress).as_millis();
        let past_timeout = self.is_light(request)
            && !attempt.waits
            && age_ms > 2.0 * Gateway::hedge_after_ms(attempt);
        let missed_report = !attempt.waits && quiet_ms > self.missed_report_after_ms();
        (is_out && age_ms > attempt.expected_ms * 1.5) || past_timeout || missed_report
    }

    /// Counts an attempt without progress against its engine and zone.
    fn count_silence(&mut self, lagging: &LaggingAttempt, actions: &mut Vec<Action>) {
        let attempt = &mut self.requests.get_mut(lagging.sequence).attempts[lagging.number];
        attempt.silence_counted = true;
        let engine = attempt.engine;
        self.health
            .zones
            .zone_mut(&self.engines[engine].entry.zone)
            .engine_lost(engine);
        self.record_bad_observation(engine, EjectionReason::NoProgress, actions);
    }

    /// Sends the request of a slow or lost attempt to another engine. The new attempt runs beside
    /// the old one where hedging is allowed; otherwise a lost attempt is cancelled first.
    fn send_second_attempt(&mut self, lagging: &LaggingAttempt, actions: &mut Vec<Action>) {
        let sequence = lagging.sequence;
        let is_lost = lagging.second_attempt == SecondAttempt::Replace;
        let request = &self.requests[sequence];
        let is_safe = self.class(request).repeat == Repeat::Safe;
        if !self.retries.has_token() || (!is_lost && !is_safe) {
            return;
        }
        let current = request.attempts[lagging.number].engine;
        let mut candidates = self.ranked_engines(request);
        candidates.retain(|engine| *engine != current && self.is_usable(sequence, *engine));
        let threads = self.threads(request);
        let with_room = candidates
            .iter()
            .copied()
            .find(|engine| !self.would_exceed_thread_limit(*engine, threads));
        let urgent = is_lost && self.is_light(request);
        let fallback = candidates.first().copied().filter(|_| urgent);
        if let Some(engine) = with_room.or(fallback) {
            self.send(sequence, engine, actions);
        } else if is_lost && !self.settings.hedging {
            self.cancel_and_resend(sequence, Attempt(lagging.number as u32), actions);
        }
    }
}
