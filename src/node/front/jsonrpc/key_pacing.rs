//! Upper bound on the time for which a request may have been queued at its client before the client sent it.
//!
//! Clients of the platform leave a minimum interval between two requests with the same ordering key. Requests that
//! are created faster queue at the client, and a request's budget starts when it joins that queue. The front end sees
//! only the requests that are sent, but a run of requests at exactly the minimum interval shows that the client's
//! queue was not empty: every request of the run joined the queue after the run began.
//!
//! This module does no I/O and reads no clock. All times are in milliseconds.

use std::collections::HashMap;
use std::sync::Arc;

/// Minimum interval between two requests with the same key, as specified by the platform, in milliseconds.
const KEY_INTERVAL_MS: f64 = 60.0;
/// Minimum interval after a request on a new connection, in milliseconds.
const NEW_CONNECTION_INTERVAL_MS: f64 = 250.0;
/// Largest deviation from the minimum interval within a run, in milliseconds. It allows for network jitter and delays
/// of a busy event loop.
const INTERVAL_TOLERANCE_MS: f64 = 3.0;
/// Number of requests in a run from which on a gap of several intervals does not end the run. A request that times
/// out in the client's queue is never sent and leaves such a gap.
const RUN_ESTABLISHED: usize = 3;
/// Number of keys below which no sweep for keys without recent requests takes place.
const MIN_KEYS_BEFORE_SWEEP: usize = 1024;
/// Time without a request after which a key is removed, in milliseconds. No client waits for that long.
const KEY_RETENTION_MS: f64 = 60_000.0;

/// Consecutive requests with one key at the minimum interval.
struct Run {
    started: f64,
    last_sent: f64,
    last_on_new_connection: bool,
    requests: usize,
}

impl Run {
    fn start(now: f64, on_new_connection: bool) -> Run {
        Run { started: now, last_sent: now, last_on_new_connection: on_new_connection, requests: 1 }
    }

    /// Whether a request at `now` continues the run: it comes at the minimum interval after the last request, or a
    /// whole number of intervals later. A gap of `budget` or more ends the run, since all requests that were queued
    /// when the gap began have timed out at the client.
    fn continues_at(&self, now: f64, budget: f64) -> bool {
        let gap = now - self.last_sent;
        let min_interval =
            if self.last_on_new_connection { NEW_CONNECTION_INTERVAL_MS } else { KEY_INTERVAL_MS };
        let excess = gap - min_interval;
        let missed_requests = (excess / KEY_INTERVAL_MS).round();
        let deviation = (excess - missed_requests * KEY_INTERVAL_MS).abs();
        let may_miss_requests = self.requests >= RUN_ESTABLISHED;
        let is_on_interval = missed_requests == 0.0 || (missed_requests > 0.0 && may_miss_requests);
        is_on_interval
            && deviation <= INTERVAL_TOLERANCE_MS
            && gap < budget.max(min_interval + INTERVAL_TOLERANCE_MS)
    }
}

/// The current run of each key with recent requests.
pub struct KeyPacing {
    runs: HashMap<Arc<str>, Run>,
    /// Number of keys at which the next sweep removes keys without recent requests.
    sweep_at: usize,
}

impl Default for KeyPacing {
    fn default() -> KeyPacing {
        KeyPacing { runs: HashMap::new(), sweep_at: MIN_KEYS_BEFORE_SWEEP }
    }
}

impl KeyPacing {
    /// Records a request with this key that was sent at `now`. Returns the longest time for which the request may
    /// have been queued at its client: 0 outside a run, and never more than `budget`, since a client does not send a
    /// request whose budget has ended.
    pub fn longest_wait(&mut self, now: f64, key: &Arc<str>, budget: f64, on_new_connection: bool) -> f64 {
        self.sweep(now);
        let Some(run) = self.runs.get_mut(key) else {
            self.runs.insert(key.clone(), Run::start(now, on_new_connection));
            return 0.0;
        };
        if !run.continues_at(now, budget) {
            *run = Run::start(now, on_new_connection);
            return 0.0;
        }
        run.last_sent = now;
        run.last_on_new_connection = on_new_connection;
        run.requests += 1;
        (now - run.started).min(budget)
    }

    /// Removes keys without recent requests once the number of keys has doubled, so that the cost per request is
    /// constant on average.
    fn sweep(&mut self, now: f64) {
        if self.runs.len() < self.sweep_at {
            return;
        }
        self.runs.retain(|_, run| now - run.last_sent <= KEY_RETENTION_MS);
        self.sweep_at = (2 * self.runs.len()).max(MIN_KEYS_BEFORE_SWEEP);
    }
}
