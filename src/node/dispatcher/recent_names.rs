//! Names of recent requests, to accept each name once. A client that repeated a name would add to the retry budget
//! each time, and could have a load run twice.

use crate::Settings;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Least time for which a name is remembered, in milliseconds.
const MIN_RETENTION_MS: f64 = 10_000.0;

/// Longest time for which a name is remembered, in milliseconds, even if the retry budget has a longer span.
const MAX_RETENTION_MS: f64 = 6.0 * MIN_RETENTION_MS;

/// Most names that are remembered. A further name evicts the oldest before its retention is over.
pub const MAX_NAMES: usize = 16_384;

/// The names of recent requests, in order of arrival.
pub struct RecentNames {
    retention_ms: f64,
    /// Arrival time of the first request with each name, in milliseconds.
    names: HashMap<Arc<str>, f64>,
    by_arrival: VecDeque<(f64, Arc<str>)>,
}

impl RecentNames {
    /// Creates an empty set. Names are remembered for the span of the retry budget, but no less than 10 s
    /// and no more than 60 s.
    pub fn new(settings: &Settings) -> RecentNames {
        let budget_span_ms = settings.retry_budget.map_or(0.0, |budget| budget.span.as_millis());
        RecentNames {
            retention_ms: budget_span_ms.clamp(MIN_RETENTION_MS, MAX_RETENTION_MS),
            names: HashMap::new(),
            by_arrival: VecDeque::new(),
        }
    }

    /// Records a name at time `now` in milliseconds. Returns whether the name is new within the retention time.
    pub fn insert(&mut self, now: f64, name: &Arc<str>) -> bool {
        self.drop_old(now);
        if self.names.contains_key(name) {
            return false;
        }
        self.names.insert(name.clone(), now);
        self.by_arrival.push_back((now, name.clone()));
        true
    }

    /// Time at which a name was recorded, in milliseconds, if that is within the retention time before `now`.
    pub fn arrived_at(&mut self, now: f64, name: &Arc<str>) -> Option<f64> {
        self.drop_old(now);
        self.names.get(name).copied()
    }

    /// Number of names that are remembered.
    pub fn len(&self) -> usize {
        debug_assert_eq!(self.names.len(), self.by_arrival.len());
        self.names.len()
    }

    /// Whether no names are remembered.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    fn drop_old(&mut self, now: f64) {
        while let Some((arrived_at, name)) = self.by_arrival.front() {
            let is_kept = now - arrived_at <= self.retention_ms && self.by_arrival.len() < MAX_NAMES;
            if is_kept {
                return;
            }
            self.names.remove(name);
            self.by_arrival.pop_front();
        }
    }
}
