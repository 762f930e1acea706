//! An open request and its attempts.

use super::hash::hash_text;
use super::memory_shortage_model::{QueryKind, FEATURES};
use crate::{Attempt, Micros, Outcome, Progress, Request};

/// An attempt of a request to be served by one engine.
pub struct TrackedAttempt {
    /// Index of the engine in the engine table.
    pub engine: usize,
    pub sent: Micros,
    /// When the attempt was sent or last reported progress.
    pub last_progress: Micros,
    pub memory_mb: f64,
    pub expected_ms: f64,
    /// Whether the query ever spilled to disk or waited on the engine.
    pub stalled: bool,
    /// Whether, according to its last progress report, the query waits for memory or for a table
    /// lock. A waiting query does no work.
    pub waits: bool,
    /// Whether the lack of progress reports was already counted against the engine.
    pub silence_counted: bool,
    pub cancelled: bool,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl TrackedAttempt {
    /// Creates an attempt that is sent at `now`.
    pub fn new(engine: usize, now: Micros, memory_mb: f64, expected_ms: f64) -> TrackedAttempt {
        TrackedAttempt {
            engine,
            sent: now,
            last_progress: now,
            memory_mb,
            expected_ms,
            stalled: false,
            waits: false,
            silence_counted: false,
            cancelled: false,
            outcome: None,
        }
    }

    /// Returns whether the attempt has not ended yet.
    pub fn in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Stores a progress report of the attempt.
    pub fn progressed(&mut self, now: Micros, progress: Progress) {
        self.last_progress = now;
        self.stalled |= !matches!(progress, Progress::ShareDone(_));
        self.waits = matches!(
            progress,
            Progress::WaitsForMemory | Progress::WaitsForTableLock
        );
    }

    /// Returns whether a retry after this attempt must spend a token of the bucket in `RetryState`.
    /// After errors, failed connections, unsent attempts and cancellations of a waiting query it
    /// need not, since these took next to no work from the engine.
    fn needs_token(&self) -> bool {
        match self.outcome {
            Some(Outcome::Error | Outcome::ConnectFailed | Outcome::NotSent) => false,
            Some(Outcome::Cancelled) => !self.waits,
            _ => true,
        }
    }
}

/// An open request: one that is not answered yet or still has an attempt in flight.
#[derive(Default)]
pub struct TrackedRequest {
    pub request: Request,
    /// Hash of the request's id.
    pub hash: u64,
    pub arrived: Micros,
    pub deadline: Micros,
    /// Whether the client already has its answer or no longer waits for one.
    pub answered: bool,
    /// Whether the request's tenant exceeded its quota when the request arrived.
    pub over_quota: bool,
    /// Whether the query was flagged as likely to run short of memory; `None` while no engine is
    /// available for the request.
    pub flagged: Option<bool>,
    /// Input of the model that predicts memory shortages; `None` if the model was not used.
    pub features: Option<[f64; FEATURES]>,
    /// Free memory of the preferred engine when flagging was decided, in megabytes.
    pub free_memory_at_flagging_mb: f64,
    /// Whether the query ran short of memory.
    pub ran_short_of_memory: bool,
    /// Expected work, as run time on a single thread in milliseconds.
    pub work_ms: f64,
    /// Expected memory, in megabytes.
    pub memory_mb: f64,
    pub attempts: Vec<TrackedAttempt>,
}

impl TrackedRequest {
    /// Creates a request that arrives at `now`.
    pub fn new(request: Request, now: Micros) -> TrackedRequest {
        let deadline = now.plus(request.time_left);
        let hash = hash_text(&request.id.0);
        TrackedRequest {
            request,
            hash,
            arrived: now,
            deadline,
            free_memory_at_flagging_mb: f64::INFINITY,
            ..TrackedRequest::default()
        }
    }

    /// Returns whether an attempt of this request was ever sent to an engine.
    pub fn was_sent_to(&self, engine: usize) -> bool {
        self.attempts.iter().any(|attempt| attempt.engine == engine)
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.in_flight())
            .count()
    }

    /// Returns the attempt with this number, if it is in flight.
    pub fn attempt_in_flight(&mut self, attempt: Attempt) -> Option<&mut TrackedAttempt> {
        self.attempts
            .get_mut(attempt.0 as usize)
            .filter(|attempt| attempt.in_flight())
    }

    /// Iterates over the engines that answered the request with an error.
    pub fn failed_engines(&self) -> impl Iterator<Item = usize> + '_ {
        let failed = self
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome == Some(Outcome::Error));
        failed.map(|attempt| attempt.engine)
    }

    /// Returns whether an attempt in flight was cancelled so that the request can be sent again,
    /// which happens once the cancelled attempt has ended.
    pub fn resend_pending(&self) -> bool {
        !self.answered
            && self
                .attempts
                .iter()
                .any(|attempt| attempt.cancelled && attempt.in_flight())
    }

    /// Marks all attempts in flight as cancelled and returns those that were not cancelled before.
    pub fn cancel_all(&mut self) -> Vec<Attempt> {
        let mut cancelled = Vec::new();
        for (number, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.in_flight() && !attempt.cancelled {
                attempt.cancelled = true;
                cancelled.push(Attempt(number as u32));
            }
        }
        cancelled
    }

    /// Returns the kind of the query, which is its key in `FalseNegatives`: its class, its table
    /// group and its memory estimate, rounded to a power of two.
    pub fn query_kind(&self) -> QueryKind {
        let estimate = self.request.memory_hint_mb.filter(|mb| *mb > 0.0);
        QueryKind {
            class: self.request.class.0,
            group: self.request.table_group,
            bucket: estimate.map_or(-1, |mb| mb.log2().round() as i32),
        }
    }

    /// Returns whether a retry after the last attempt must spend a token of the bucket in
    /// `RetryState`. Returns false if there was no attempt yet.
    pub fn last_attempt_needs_token(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(TrackedAttempt::needs_token)
    }

    /// Returns the first attempt that may have run, including attempts in flight.
    pub fn first_that_may_have_run(&self) -> Option<&TrackedAttempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }
}
