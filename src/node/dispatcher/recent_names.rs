//! Names of recent requests, to accept each name once. A client that repeated a name would add to the retry budget
//! each time, and could have a load run twice.

use crate::{Repeat, Settings};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Least time for which the name of any request is remembered, in milliseconds.
const MIN_RETENTION_MS: f64 = 10_000.0;

/// Longest time for which the name of any request is remembered, in milliseconds, even if the retry budget has a longer
/// span.
const MAX_RETENTION_MS: f64 = 6.0 * MIN_RETENTION_MS;

/// Most names of requests of any kind that are remembered. A further name evicts the oldest before its retention is
/// over.
pub const MAX_NAMES: usize = 16_384;

/// Time from the end of a request that must run only once, and may have run, for which its name is remembered, in
/// milliseconds.
const EXECUTED_RETENTION_MS: f64 = 600_000.0;

/// Most names of requests that must run only once, and may have run, that are remembered. Names of other requests do
/// not evict them.
pub const MAX_EXECUTED_NAMES: usize = 32_768;

/// Names with the time at which a request with the name first arrived, each remembered for the same time.
struct NameTable {
    retention_ms: f64,
    max_names: usize,
    /// Arrival time of the first request with each name, in milliseconds.
    arrivals: HashMap<Arc<str>, f64>,
    /// The names with the times at which they were recorded, in that order.
    by_time: VecDeque<(f64, Arc<str>)>,
}

impl NameTable {
    fn new(retention_ms: f64, max_names: usize) -> NameTable {
        NameTable { retention_ms, max_names, arrivals: HashMap::new(), by_time: VecDeque::new() }
    }

    /// Records a name. Returns whether the name is new within the retention time.
    fn insert(&mut self, now: f64, name: &Arc<str>, arrived_at: f64) -> bool {
        self.drop_old(now);
        if self.arrivals.contains_key(name) {
            return false;
        }
        self.arrivals.insert(name.clone(), arrived_at);
        self.by_time.push_back((now, name.clone()));
        true
    }

    fn arrived_at(&mut self, now: f64, name: &Arc<str>) -> Option<f64> {
        self.drop_old(now);
        self.arrivals.get(name).copied()
    }

    fn drop_old(&mut self, now: f64) {
        while let Some((recorded_at, name)) = self.by_time.front() {
            let is_kept = now - recorded_at <= self.retention_ms && self.by_time.len() < self.max_names;
            if is_kept {
                return;
            }
            self.arrivals.remove(name);
            self.by_time.pop_front();
        }
    }
}

/// The names of recent requests.
pub struct RecentNames {
    /// All requests, from their arrival.
    arrived: NameTable,
    /// Requests that must run only once and may have run, from their end.
    executed: NameTable,
}

impl RecentNames {
    /// Creates an empty set. The name of any request is remembered for the span of the retry budget, but no less than
    /// 10 s and no more than 60 s.
    pub fn new(settings: &Settings) -> RecentNames {
        let budget_span_ms = settings.retry_budget.map_or(0.0, |budget| budget.span.as_millis());
        let retention_ms = budget_span_ms.clamp(MIN_RETENTION_MS, MAX_RETENTION_MS);
        RecentNames {
            arrived: NameTable::new(retention_ms, MAX_NAMES),
            executed: NameTable::new(EXECUTED_RETENTION_MS, MAX_EXECUTED_NAMES),
        }
    }

    /// Records the name of a request that arrives at time `now` in milliseconds. Returns whether the name is new within
    /// the retention time.
    pub fn insert(&mut self, now: f64, name: &Arc<str>) -> bool {
        self.arrived.insert(now, name, now)
    }

    /// Records the name of a request that ends at time `now` and may have run, if its class must not run twice.
    pub fn record_end(&mut self, now: f64, name: &Arc<str>, arrived_at: f64, repeat: Repeat) {
        if repeat != Repeat::Safe {
            self.executed.insert(now, name, arrived_at);
        }
    }

    /// Time at which the first request with a name arrived, in milliseconds, if the name is remembered.
    pub fn arrived_at(&mut self, now: f64, name: &Arc<str>) -> Option<f64> {
        let executed = self.executed.arrived_at(now, name);
        executed.or_else(|| self.arrived.arrived_at(now, name))
    }

    /// Number of names that are remembered since the arrival of their requests.
    pub fn len(&self) -> usize {
        debug_assert_eq!(self.arrived.arrivals.len(), self.arrived.by_time.len());
        self.arrived.arrivals.len()
    }

    /// Whether no names are remembered since the arrival of their requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
