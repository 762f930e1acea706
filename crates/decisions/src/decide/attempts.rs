//! Lifecycle of an attempt: the send to an engine, progress reports, and the outcome.

use super::outlier_ejection::{BASE_EJECTION_TIME, MAX_EJECTION_TIME};
use super::{Gateway, WINDOW};
use crate::state::request::{TrackedAttempt, TrackedRequest};
use crate::{Action, Attempt, AttemptEnd, Micros, Outcome, Progress};

/// Fraction of an engine's memory that is granted in proportion to threads; the rest is left for
/// light queries, which need little memory.
const GRANTED_MEMORY_SHARE: f64 = 0.85;

/// A query with more than this multiple of its class's mean work gets the lowest priority on an
/// engine under pressure.
const OUTSIZED_QUERY_FACTOR: f64 = 3.0;

/// How long a table group counts as locked on an engine after an attempt there reported that it
/// waits for another query's lock.
const OBSERVED_LOCK_TTL: Micros = Micros::from_millis(1500);

/// Priority value that is sent to engines without support for priorities.
const NEUTRAL_PRIORITY: u8 = 1;

/// Priority of light queries.
const LIGHT_PRIORITY: u8 = 3;

/// Priority of a heavy query that can meet its latency objective; raised by one if its class locks
/// table groups, since other queries wait for the lock.
const IN_TIME_PRIORITY: u8 = 1;

/// Priority of a heavy query that can't meet its latency objective, or whose work is far above its
/// class's mean while the engine is under pressure.
const LOW_PRIORITY: u8 = 0;

/// Copy of an attempt's state when a progress report for it arrives.
pub(super) struct AttemptSnapshot {
    pub(super) number: Attempt,
    pub(super) engine: usize,
    pub(super) age_ms: f64,
    pub(super) expected_ms: f64,
    /// Whether the attempt has spilled to disk or waited at any time.
    pub(super) stalled: bool,
}

impl Gateway {
    /// Sends a request to an engine as a new attempt, and records the send.
    pub(super) fn send(&mut self, sequence: u64, index: usize, actions: &mut Vec<Action>) {
        let now = self.clock.now;
        if self.zone_has_failed(index) {
            let zone = self.health.zones.zone_mut(&self.engines[index].entry.zone);
            zone.trial_sent(now, BASE_EJECTION_TIME, MAX_EJECTION_TIME);
        }
        let request = &self.requests[sequence];
        let threads = self.threads(request);
        let memory_mb = self.memory_to_reserve_mb(request, index);
        let expected_ms =
            request.work_ms / threads.max(1.0) * self.engines[index].stretch.blended.max(1.0);
        let is_retry = !request.attempts.is_empty();
        let needs_token = request.last_attempt_needs_token();
        self.push_send(request, index, memory_mb, actions);
        self.count_send(sequence, index, memory_mb);
        let attempt = TrackedAttempt::new(index, now, memory_mb, expected_ms);
        self.requests.get_mut(sequence).attempts.push(attempt);
        if needs_token {
            self.retries.spend_token();
        }
        if is_retry {
            self.retries.retry_sent(now);
        }
    }

    fn push_send(
        &self,
        request: &TrackedRequest,
        index: usize,
        memory_mb: f64,
        actions: &mut Vec<Action>,
    ) {
        let id = request.request.id.clone();
        let granted_mb = if self.settings.grants {
            memory_mb.ceil() as u64
        } else {
            0
        };
        if self.settings.priorities || granted_mb > 0 {
            let priority = self.priority(request, index);
            actions.push(Action::SetTerms {
                request: id.clone(),
                memory_mb: granted_mb,
                priority,
            });
        }
        let engine = self.engines[index].entry.engine.clone();
        actions.push(Action::Forward {
            request: id,
            engine,
            give_up_after: None,
        });
    }

    /// Adds an attempt to the load of its engine, to the engine's slow-start history, and to the
    /// table locks held there.
    fn count_send(&mut self, sequence: u64, index: usize, memory_mb: f64) {
        let now = self.clock.now;
        let request = &self.requests[sequence];
        let threads = self.threads(request);
        let work_ms = self.cautious_work_ms(request);
        let engine = &mut self.engines[index];
        engine.attempt_sent(threads, memory_mb);
        if engine.started.is_some() || engine.health.consecutive_connect_failures > 0 {
            let span = self
                .settings
                .slow_start
                .map_or(WINDOW, |rule| rule.warm_within);
            engine.warmup_work_sent(now, work_ms, span);
        }
        if self.class(request).locks_tables {
            self.engines
                .lock_group(index, request.request.table_group, request.deadline);
        }
    }

    /// Memory to reserve for a request on an engine, in megabytes: the expected need, or a share of
    /// the engine's memory in proportion to threads if engines apply memory grants and that share
    /// is larger.
    fn memory_to_reserve_mb(&self, request: &TrackedRequest, index: usize) -> f64 {
        let engine = &self.engines[index];
        let threads = self.threads(request);
        let share_by_threads = if self.settings.grants {
            GRANTED_MEMORY_SHARE * threads * engine.memory_mb / engine.thread_limit.max(threads)
        } else {
            0.0
        };
        let largest = engine.memory_mb * self.settings.largest_grant;
        request
            .memory_mb
            .max(share_by_threads)
            .min(largest)
            .max(0.0)
    }

    fn priority(&self, request: &TrackedRequest, index: usize) -> u8 {
        if !self.settings.priorities {
            return NEUTRAL_PRIORITY;
        }
        if self.is_light(request) {
            return LIGHT_PRIORITY;
        }
        let class_work_ms = self.costs.class(request.request.class.0).work_ms;
        let is_outsized = request.work_ms > OUTSIZED_QUERY_FACTOR * class_work_ms
            && self.is_under_pressure(index, self.load(index));
        if self.can_be_in_time(request) && !is_outsized {
            IN_TIME_PRIORITY + u8::from(self.class(request).locks_tables)
        } else {
            LOW_PRIORITY
        }
    }

    /// Handles the outcome of an attempt: updates the engine's load and health, then completes,
    /// retries or rejects the request.
    pub(super) fn attempt_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(sequence) = self.requests.sequence_of(&end.request) else {
            return;
        };
        let request = self.requests.get_mut(sequence);
        let work_ms = request.work_ms;
        let Some(attempt) = request.attempt_in_flight(end.attempt) else {
            return;
        };
        attempt.outcome = Some(end.outcome);
        let index = attempt.engine;
        let memory_mb = attempt.memory_mb;
        let stalled = attempt.stalled;
        let sent = attempt.sent;
        let silence_counted = attempt.silence_counted;
        let was_cancelled_or_unsent = attempt.cancelled || end.outcome == Outcome::NotSent;
        self.pause_key_after(sequence, end.outcome);
        self.release_engine(sequence, index, memory_mb);
        if end.outcome == Outcome::Served {
            let newest = &mut self.health.newest_served_attempt;
            *newest = sent.max(*newest);
            self.learn_from_answer(sequence, index, end, stalled);
        }
        if end.outcome == Outcome::Served || !was_cancelled_or_unsent {
            self.record_outcome(index, end.outcome, silence_counted, work_ms, actions);
        }
        self.attribute_errors(sequence, end.outcome, actions);
        let request = &self.requests[sequence];
        if end.request_answered || request.answered {
            self.finish(sequence, actions);
        } else if request.in_flight() == 0 {
            self.retry_or_reject(sequence, actions);
        }
    }

    /// Removes an ended attempt from its engine's load and releases its table lock.
    fn release_engine(&mut self, sequence: u64, index: usize, memory_mb: f64) {
        let request = &self.requests[sequence];
        if self.class(request).locks_tables {
            self.engines
                .unlock_group(index, request.request.table_group);
        }
        let threads = self.threads(request);
        self.engines[index].attempt_ended(threads, memory_mb);
    }

    /// Handles a progress report: updates the health of the zone and, if the attempt waits or is
    /// slow, may cancel it so that the request is sent to another engine.
    pub(super) fn attempt_progressed(
        &mut self,
        sequence: u64,
        number: Attempt,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        let Some(attempt) = self.record_progress(sequence, number, progress) else {
            return;
        };
        let engine = attempt.engine;
        let had_run_short_of_memory = self.requests[sequence].ran_short_of_memory;
        self.health
            .zones
            .zone_mut(&self.engines[engine].entry.zone)
            .engine_alive();
        if progress == Progress::WaitsForMemory {
            self.record_engine_queue(engine, self.requests[sequence].work_ms);
            if self.is_too_late_in_engine_queue(sequence) {
                self.reject_or_fail(sequence, actions);
                return;
            }
            self.leave_engine_queue(sequence, number, actions);
        }
        match progress {
            Progress::Spilling(_) | Progress::WaitsForMemory => {
                if !had_run_short_of_memory {
                    self.record_memory_shortage(sequence, engine);
                }
            }
            Progress::WaitsForTableLock => {
                let group = self.requests[sequence].request.table_group;
                let until = self.clock.now.plus(OBSERVED_LOCK_TTL);
                self.engines.observe_group_lock(engine, group, until);
            }
            Progress::ShareDone(share) => {
                if !attempt.stalled {
                    self.resend_if_slow(sequence, &attempt, share, actions);
                }
            }
        }
    }

    fn record_progress(
        &mut self,
        sequence: u64,
        number: Attempt,
        progress: Progress,
    ) -> Option<AttemptSnapshot> {
        let now = self.clock.now;
        let attempt = self.requests.get_mut(sequence).attempt_in_flight(number)?;
        attempt.progressed(now, progress);
        Some(AttemptSnapshot {
            number,
            engine: attempt.engine,
            age_ms: now.since(attempt.sent).as_millis(),
            expected_ms: attempt.expected_ms,
            stalled: attempt.stalled,
        })
    }
}
