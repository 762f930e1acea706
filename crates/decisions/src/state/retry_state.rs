//! What retries are limited by: own tokens that requests earn, and counts for the budget in the
//! settings.

use crate::Micros;
use std::collections::VecDeque;

/// Retries that can be saved up.
const MAX_TOKENS: f64 = 30.0;

/// Tokens that a request earns; under overload they are soon spent.
const TOKENS_PER_REQUEST: f64 = 0.2;

/// A token bucket for retries that repeat work, and when requests came and retries were sent.
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
    /// A request has come: it earns a part of a retry.
    pub fn request_arrived(&mut self, now: Micros) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
        self.requests.push_back(now);
    }

    /// Whether a retry that repeats work has a token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A retry that repeats work takes a token.
    pub fn spend_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Counts a retry for the budget in the settings.
    pub fn retry_sent(&mut self, now: Micros) {
        self.retries.push_back(now);
    }

    /// Requests that came inside a span.
    pub fn requests_within(&self, now: Micros, span: Micros) -> f64 {
        self.requests
            .iter()
            .filter(|at| now.since(**at) < span)
            .count() as f64
    }

    /// Retries sent inside a span, its edge included.
    pub fn retries_within(&self, now: Micros, span: Micros) -> f64 {
        self.retries
            .iter()
            .filter(|at| now.since(**at) <= span)
            .count() as f64
    }

    /// Forgets what lies before a span.
    pub fn expire(&mut self, now: Micros, span: Micros) {
        self.requests.retain(|at| now.since(*at) <= span);
        self.retries.retain(|at| now.since(*at) <= span);
    }
}
