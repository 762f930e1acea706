//! A request that the gateway has taken, with its attempts.

use super::hash::hash_text;
use super::trouble_model::{MissKey, FEATURES};
use crate::{Attempt, Micros, Outcome, Progress, Request};

/// One attempt of a request.
pub struct TrackedAttempt {
    /// Place of its engine in the table.
    pub engine: usize,
    pub sent: Micros,
    /// When something last came of it.
    pub last_progress: Micros,
    pub memory_mb: f64,
    pub expected_ms: f64,
    /// Whether it ever spilled or waited.
    pub stalled: bool,
    /// Whether it waits for memory or for a holder of its tables, by its last report of progress:
    /// no work is done.
    pub waits: bool,
    /// Whether its silence was counted against its engine.
    pub silence_counted: bool,
    pub cancelled: bool,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
}

impl TrackedAttempt {
    /// An attempt that is sent now.
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

    /// Whether it has not ended.
    pub fn in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Stores a report of its progress.
    pub fn progressed(&mut self, now: Micros, progress: Progress) {
        self.last_progress = now;
        self.stalled |= !matches!(progress, Progress::ShareDone(_));
        self.waits = matches!(
            progress,
            Progress::WaitsForMemory | Progress::WaitsForHolder
        );
    }

    /// Whether it took work; an error, a failed connection or a wait took next to none.
    fn took_work(&self) -> bool {
        match self.outcome {
            Some(Outcome::Error | Outcome::ConnectFailed | Outcome::NotSent) => false,
            Some(Outcome::Cancelled) => !self.waits,
            _ => true,
        }
    }
}

/// A request that is not answered yet, or has an attempt in flight.
#[derive(Default)]
pub struct TrackedRequest {
    pub request: Request,
    /// Hash of its id.
    pub hash: u64,
    pub arrived: Micros,
    pub deadline: Micros,
    /// Whether nothing more is owed to the client.
    pub answered: bool,
    /// Whether its tenant was over its quota when it came.
    pub over_quota: bool,
    /// Whether it was accepted as a flagged query; `None` while no engine is known.
    pub flagged: Option<bool>,
    /// What the trouble model judged it by.
    pub features: Option<[f64; FEATURES]>,
    /// Free memory of its first engine when it was judged, in megabytes.
    pub free_memory_then_mb: f64,
    /// Whether it met memory trouble.
    pub troubled: bool,
    /// Expected work on one thread.
    pub work_ms: f64,
    /// Expected need of memory.
    pub memory_mb: f64,
    pub attempts: Vec<TrackedAttempt>,
}

impl TrackedRequest {
    /// A request that arrives now.
    pub fn new(request: Request, now: Micros) -> TrackedRequest {
        let deadline = now.plus(request.time_left);
        let hash = hash_text(&request.id.0);
        TrackedRequest {
            request,
            hash,
            arrived: now,
            deadline,
            free_memory_then_mb: f64::INFINITY,
            ..TrackedRequest::default()
        }
    }

    /// Whether it was sent to an engine before.
    pub fn was_sent_to(&self, engine: usize) -> bool {
        self.attempts.iter().any(|attempt| attempt.engine == engine)
    }

    /// How many attempts are in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.in_flight())
            .count()
    }

    /// An attempt that is in flight, by its number.
    pub fn attempt_in_flight(&mut self, attempt: Attempt) -> Option<&mut TrackedAttempt> {
        self.attempts
            .get_mut(attempt.0 as usize)
            .filter(|attempt| attempt.in_flight())
    }

    /// The engines that answered it with an error.
    pub fn failed_engines(&self) -> impl Iterator<Item = usize> + '_ {
        let failed = self
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome == Some(Outcome::Error));
        failed.map(|attempt| attempt.engine)
    }

    /// Whether an attempt in flight is cancelled, to be sent again at its outcome.
    pub fn resend_pending(&self) -> bool {
        !self.answered
            && self
                .attempts
                .iter()
                .any(|attempt| attempt.cancelled && attempt.in_flight())
    }

    /// Marks every attempt in flight as cancelled; returns those that were not yet.
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

    /// Class, table group and bucket of its memory estimate, as in the miss list.
    pub fn miss_key(&self) -> MissKey {
        let estimate = self.request.memory_hint_mb.filter(|mb| *mb > 0.0);
        MissKey {
            class: self.request.class.0,
            group: self.request.table_group,
            bucket: estimate.map_or(-1, |mb| mb.log2().round() as i32),
        }
    }

    /// Whether the last attempt took work.
    pub fn last_attempt_took_work(&self) -> bool {
        self.attempts.last().is_some_and(TrackedAttempt::took_work)
    }

    /// The first attempt that may have run, or is in flight.
    pub fn first_that_may_have_run(&self) -> Option<&TrackedAttempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }
}
