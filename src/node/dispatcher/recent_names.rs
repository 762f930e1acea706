//! Names of requests that came lately. A name is accepted once: a client that repeats one would earn retries for the
//! retry budget each time, and could have a load run twice.

use crate::Settings;
use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// Shortest time for which a name is kept, in milliseconds.
const MIN_RETENTION_MS: f64 = 10_000.0;

/// Longest time for which a name is kept, in milliseconds, whatever span the retry budget has.
const MAX_RETENTION_MS: f64 = 6.0 * MIN_RETENTION_MS;

/// Most names that are kept. Beyond, the oldest are dropped before their time.
pub const MAX_NAMES: usize = 16_384;

/// The names of recent requests, by the time at which each came.
pub struct RecentNames {
    retention_ms: f64,
    names: HashSet<Arc<str>>,
    by_arrival: VecDeque<(f64, Arc<str>)>,
}

impl RecentNames {
    /// No names yet. They are kept as long as the retry budget looks back, within fixed bounds.
    pub fn new(settings: &Settings) -> RecentNames {
        let budget_span_ms = settings.retry_budget.map_or(0.0, |budget| budget.span.as_millis());
        RecentNames {
            retention_ms: budget_span_ms.clamp(MIN_RETENTION_MS, MAX_RETENTION_MS),
            names: HashSet::new(),
            by_arrival: VecDeque::new(),
        }
    }

    /// Records a name; whether it comes for the first time within the retention. `now` is in milliseconds.
    pub fn insert(&mut self, now: f64, name: &Arc<str>) -> bool {
        self.drop_old(now);
        let is_new = self.names.insert(name.clone());
        if is_new {
            self.by_arrival.push_back((now, name.clone()));
        }
        is_new
    }

    /// How many names are kept.
    pub fn len(&self) -> usize {
        debug_assert_eq!(self.names.len(), self.by_arrival.len());
        self.names.len()
    }

    /// Whether no names are kept.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    fn drop_old(&mut self, now: f64) {
        while let Some((came, name)) = self.by_arrival.front() {
            let is_kept = now - came <= self.retention_ms && self.by_arrival.len() < MAX_NAMES;
            if is_kept {
                return;
            }
            self.names.remove(name);
            self.by_arrival.pop_front();
        }
    }
}
