//! Requests in mind with their attempts, the order of keys, the counts of a ration.

use super::*;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Length of the model's feature vector.
pub const FEATURES: usize = 5;

pub struct Try {
    pub engine: usize,
    pub sent: Micros,
    pub heard: Micros,
    pub memory: f64,
    pub expect_ms: f64,
    pub stalled: bool,
    /// In the engine's line, or behind a holder, by its last note: no work is done.
    pub waits: bool,
    /// Counted against its engine as unanswered.
    pub doubted: bool,
    pub cancelled: bool,
    pub end: Option<Outcome>,
}

impl Try {
    pub fn new(engine: usize, now: Micros, memory: f64, expect_ms: f64) -> Try {
        Try {
            engine,
            sent: now,
            heard: now,
            memory,
            expect_ms,
            stalled: false,
            waits: false,
            doubted: false,
            cancelled: false,
            end: None,
        }
    }
}

impl Try {
    /// Books a note of it.
    pub fn hear(&mut self, now: Micros, note: Note) {
        self.heard = now;
        self.stalled |= !matches!(note, Note::Progress(_));
        self.waits = matches!(note, Note::WaitsForMemory | Note::WaitsForHolder);
    }
}

#[derive(Default)]
pub struct Job {
    pub request: Request,
    /// Of its id.
    pub hash: u64,
    pub taken: Micros,
    pub deadline: Micros,
    pub over: bool,
    pub over_share: bool,
    /// Accepted as a flag, or not; undecided while no engine is known.
    pub flagged: Option<bool>,
    pub features: Option<[f64; FEATURES]>,
    pub free_then: f64,
    pub troubled: bool,
    pub work_ms: f64,
    pub need_mb: f64,
    pub tries: Vec<Try>,
}

impl Job {
    pub fn new(request: Request, now: Micros) -> Job {
        let (deadline, hash) = (now.plus(request.left), hash_text(&request.id.0));
        Job { request, hash, taken: now, deadline, free_then: f64::INFINITY, ..Job::default() }
    }
    /// Whether it was sent to an engine before.
    pub fn tried(&self, e: usize) -> bool {
        self.tries.iter().any(|t| t.engine == e)
    }
    pub fn open(&self) -> usize {
        self.tries.iter().filter(|t| t.end.is_none()).count()
    }
    /// The engines that answered it with an error.
    pub fn errors(&self) -> impl Iterator<Item = usize> + '_ {
        self.tries.iter().filter(|t| t.end == Some(Outcome::Error)).map(|t| t.engine)
    }
    /// Marks every open attempt as called off; names those that were not yet.
    pub fn call_off(&mut self) -> Vec<Attempt> {
        let open = self.tries.iter_mut().enumerate().filter(|(_, t)| t.end.is_none() && !t.cancelled);
        open.map(|(i, t)| {
            t.cancelled = true;
            Attempt(i as u32)
        })
        .collect()
    }
    /// Class, table group and estimate bucket, as in the miss list.
    pub fn miss_key(&self) -> (usize, u64, i32) {
        let hint = self.request.memory_hint_mb.filter(|m| *m > 0.0);
        (self.request.class.0, self.request.tables, hint.map_or(-1, |m| m.log2().round() as i32))
    }
    /// Whether the last attempt took work; an error, a failed connection or a wait took next to none.
    pub fn wasted(&self) -> bool {
        let cheap = |t: &Try| {
            matches!(t.end, Some(Outcome::Error | Outcome::ConnectFailed | Outcome::Moot))
                || (t.waits && t.end == Some(Outcome::Cancelled))
        };
        self.tries.last().is_some_and(|t| !cheap(t))
    }
    /// The first attempt that may have run (or is still out).
    pub fn may_have_run(&self) -> Option<&Try> {
        self.tries.iter().find(|t| t.end.is_none_or(|e| !e.never_ran()))
    }
}

/// Requests in the order of their keys, and the rests of keys.
#[derive(Default)]
pub struct KeyLines {
    lines: HashMap<Arc<str>, VecDeque<u64>>,
    rests: HashMap<Arc<str>, Micros>,
}

impl KeyLines {
    /// Puts a request behind all others of its key; how many there are then.
    pub fn join(&mut self, key: &Arc<str>, seq: u64) -> usize {
        let line = self.lines.entry(key.clone()).or_default();
        line.push_back(seq);
        line.len()
    }
    pub fn leave(&mut self, key: &Arc<str>, seq: u64) {
        self.lines.entry(key.clone()).or_default().retain(|s| *s != seq);
    }
    pub fn first(&self, key: &Arc<str>, seq: u64) -> bool {
        self.lines.get(key).and_then(|line| line.front()).is_none_or(|first| *first == seq)
    }
    pub fn rest(&mut self, key: &Arc<str>, until: Micros) {
        self.rests.insert(key.clone(), until);
    }
    pub fn rests(&self, key: &Arc<str>, now: Micros) -> bool {
        self.rests.get(key).is_some_and(|until| *until > now)
    }
    pub fn tidy(&mut self, now: Micros) {
        self.lines.retain(|_, line| !line.is_empty());
        self.rests.retain(|_, until| *until > now);
    }
}

/// When requests were taken and further attempts sent.
#[derive(Default)]
pub struct AttemptCounts {
    pub taken: VecDeque<Micros>,
    pub further: VecDeque<Micros>,
}

impl AttemptCounts {
    /// Requests taken inside a span, and further attempts up to its edge.
    pub fn within(&self, now: Micros, span: Micros) -> (f64, f64) {
        let taken = self.taken.iter().filter(|t| now.since(**t) < span).count();
        let further = self.further.iter().filter(|t| now.since(**t) <= span).count();
        (taken as f64, further as f64)
    }
    pub fn tidy(&mut self, now: Micros, span: Micros) {
        self.taken.retain(|t| now.since(*t) <= span);
        self.further.retain(|t| now.since(*t) <= span);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_million_keys_leave_nothing_behind() {
        let mut keys = KeyLines::default();
        for n in 0..1_000_000u64 {
            let (key, now) = (Arc::from(format!("k{n}")), Micros::from_millis(n));
            assert_eq!(keys.join(&key, n), 1);
            keys.leave(&key, n);
            keys.rest(&key, now.plus(Micros::from_millis(400)));
            if n % 25 == 0 {
                keys.tidy(now);
            }
        }
        keys.tidy(Micros::from_millis(1_000_400));
        assert_eq!((keys.lines.len(), keys.rests.len()), (0, 0));
        assert!(keys.lines.capacity() + keys.rests.capacity() < 4096, "the tables have grown");
    }
}
