//! Which requests a front end admits under a policy: classes, rates, accounts' shares, requests in flight.

use super::CompiledPolicy;
use crate::document::ClassRule;
use std::collections::HashMap;

/// Time constant over which an account's share is measured, in milliseconds.
const SHARE_WINDOW_MS: f64 = 5000.0;
/// Requests that must have come within the window before a share applies.
const MIN_REQUESTS_FOR_SHARE: f64 = 20.0;

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// Requests of its class are rejected.
    #[error("requests of its class are rejected")]
    ClassRejected,
    /// Its class is over its rate.
    #[error("its class is over its rate")]
    RateExceeded,
    /// Its account is over its share.
    #[error("its account is over its share")]
    AccountShareExceeded,
    /// As many requests are in flight as may be.
    #[error("as many requests are in flight as may be")]
    TooManyInFlight,
}

/// What an admitted request is subject to until it ends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestLimits {
    /// Most attempts.
    pub max_attempts: Option<u32>,
    /// Most time from when the client sent it, in milliseconds.
    pub deadline_ms: Option<f64>,
}

/// A token bucket; its rate and size are those of a class's rule.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: f64,
}

/// What has been admitted lately, for rates and shares. It is kept when the policy changes. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct AdmissionMeter {
    buckets_by_class: HashMap<usize, TokenBucket>,
    /// Requests admitted lately, by account.
    admitted_by_account: HashMap<String, f64>,
    /// Requests that came lately, admitted or not.
    requests: f64,
    decayed_at: f64,
}

impl AdmissionMeter {
    /// Admits a request or not; an admitted one is counted. `in_flight` is how many are in flight before it.
    ///
    /// # Errors
    /// Why the request is not admitted.
    pub fn admit(
        &mut self,
        now: f64,
        policy: &CompiledPolicy,
        class: usize,
        account: Option<&str>,
        in_flight: usize,
    ) -> Result<RequestLimits, Rejection> {
        let rule = policy.class_rule(class);
        if rule.is_some_and(|rule| rule.rejected) {
            return Err(Rejection::ClassRejected);
        }
        if policy
            .policy()
            .max_in_flight
            .is_some_and(|most| in_flight >= most)
        {
            return Err(Rejection::TooManyInFlight);
        }
        self.decay(now);
        // Shares are of all requests, admitted or not: an account that is alone keeps its share of its own.
        self.requests += 1.0;
        if account.is_some_and(|account| self.is_over_share(policy, account)) {
            return Err(Rejection::AccountShareExceeded);
        }
        if let Some(max_rate) = rule.and_then(|rule| rule.max_rate) {
            if !self.take_token(now, class, max_rate) {
                return Err(Rejection::RateExceeded);
            }
        }
        // The number of accounts is bounded: they are those of the settings.
        if let Some(account) = account {
            *self
                .admitted_by_account
                .entry(account.to_owned())
                .or_default() += 1.0;
        }
        Ok(rule.map(RequestLimits::from).unwrap_or_default())
    }

    fn is_over_share(&self, policy: &CompiledPolicy, account: &str) -> bool {
        let Some(share) = policy.policy().accounts.get(account) else {
            return false;
        };
        let admitted = self
            .admitted_by_account
            .get(account)
            .copied()
            .unwrap_or(0.0);
        let is_measured = self.requests >= MIN_REQUESTS_FOR_SHARE;
        *share <= 0.0 || (is_measured && admitted + 1.0 > share * self.requests)
    }

    fn take_token(&mut self, now: f64, class: usize, max_rate: f64) -> bool {
        // A burst of one second's requests, of one at least where any are allowed.
        let burst = if max_rate > 0.0 {
            max_rate.max(1.0)
        } else {
            0.0
        };
        let full = TokenBucket {
            tokens: burst,
            refilled_at: now,
        };
        let bucket = self.buckets_by_class.entry(class).or_insert(full);
        let elapsed_ms = (now - bucket.refilled_at).max(0.0);
        bucket.tokens = (bucket.tokens + max_rate * elapsed_ms / 1000.0).min(burst);
        bucket.refilled_at = now;
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }

    /// Exponential decay of what was counted before.
    fn decay(&mut self, now: f64) {
        let factor = (-(now - self.decayed_at).max(0.0) / SHARE_WINDOW_MS).exp();
        self.decayed_at = now;
        self.requests *= factor;
        for admitted in self.admitted_by_account.values_mut() {
            *admitted *= factor;
        }
    }
}

impl From<&ClassRule> for RequestLimits {
    fn from(rule: &ClassRule) -> RequestLimits {
        RequestLimits {
            max_attempts: rule.max_attempts,
            deadline_ms: rule.deadline_ms,
        }
    }
}
