//! Limits on retries: a token bucket that arriving requests refill, and counts for the retry budget
//! in the settings.

use crate::Micros;
use std::collections::VecDeque;

/// Capacity of the token bucket: the number of retries that can be saved up.
const MAX_TOKENS: f64 = 30.0;

/// Number of tokens that each arriving request adds to the bucket. Under overload, retries spend
/// tokens faster than requests add them, so retries soon stop.
const TOKENS_PER_REQUEST: f64 = 0.2;

/// Token bucket for retries that repeat work, and the times of recent requests and retries.
pub struct RetryState {
    tokens: f64,
    requests: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl Default for RetryState {
    fn default() -> RetryState {
        RetryState {
            tokens: MAX_TOKENS / 2.0,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }
}

impl RetryState {
    /// Records the arrival of a request and adds its tokens to the bucket.
    pub fn request_arrived(&mut self, now: Micros) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
        self.requests.push_back(now);
    }

    /// Returns whether the bucket has a token for a retry that repeats work.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends a token on a retry that repeats work.
    pub fn spend_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Records a retry, to be counted against the retry budget in the settings.
    pub fn retry_sent(&mut self, now: Micros) {
        self.retries.push_back(now);
    }

    /// Returns the number of requests that arrived less than `span` ago.
    pub fn requests_within(&self, now: Micros, span: Micros) -> f64 {
        self.requests
            .iter()
            .filter(|at| now.since(**at) < span)
            .count() as f64
    }

    /// Returns the number of retries that were sent at most `span` ago.
    pub fn retries_within(&self, now: Micros, span: Micros) -> f64 {
        self.retries
            .iter()
            .filter(|at| now.since(**at) <= span)
            .count() as f64
    }

    /// Removes recorded requests and retries that are older than `span`.
    pub fn expire(&mut self, now: Micros, span: Micros) {
        self.requests.retain(|at| now.since(*at) <= span);
        self.retries.retain(|at| now.since(*at) <= span);
    }
}
