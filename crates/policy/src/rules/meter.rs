//! Admission control under a policy: rejected classes, rate limits, account shares and the limit of requests in flight.

use super::CompiledPolicy;
use crate::document::ClassRule;
use std::collections::HashMap;

/// Time constant of the exponentially decayed request counts that account shares are computed from, in milliseconds.
const SHARE_TIME_CONSTANT_MS: f64 = 5000.0;
/// Decayed request count below which only shares of 0 are enforced. Fewer requests are too small a sample to measure
/// an account's share of them.
const MIN_REQUESTS_FOR_SHARE: f64 = 20.0;

/// Why the policy rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The policy rejects all requests of the class.
    #[error("the policy rejects all requests of this class")]
    ClassRejected,
    /// The class has reached its rate limit.
    #[error("the class has reached its rate limit")]
    RateExceeded,
    /// The account has reached its share of the requests.
    #[error("the account has reached its share of the requests")]
    AccountShareExceeded,
    /// The front end has reached its limit of requests in flight.
    #[error("the front end has reached its limit of requests in flight")]
    TooManyInFlight,
}

/// Limits that apply to an admitted request until it finishes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestLimits {
    /// Maximum number of attempts; `None` means no limit.
    pub max_attempts: Option<u32>,
    /// Maximum duration in milliseconds, counted from when the client sent the request; `None` means no limit.
    pub deadline_ms: Option<f64>,
}

/// The token bucket of a class. Its refill rate and size come from the class rule at each admission.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    refilled_at: f64,
}

/// Counts recent requests to enforce the class rates and account shares of a policy.
///
/// The counts are kept when the policy changes. All times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct AdmissionMeter {
    buckets_by_class: HashMap<usize, TokenBucket>,
    /// Exponentially decayed number of admitted requests, by account.
    admitted_by_account: HashMap<String, f64>,
    /// Exponentially decayed number of requests that reached the share check, admitted or rejected.
    recent_requests: f64,
    decayed_at: f64,
}

impl AdmissionMeter {
    /// Decides whether to admit a request, and counts it if so.
    ///
    /// `now` is the current time in milliseconds, `class` the class number, and `in_flight` the number of requests in
    /// flight at this front end, not counting this one.
    ///
    /// # Errors
    /// The first limit of the policy that rejects the request.
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
            .is_some_and(|max| in_flight >= max)
        {
            return Err(Rejection::TooManyInFlight);
        }
        self.decay(now);
        // A share is a fraction of all counted requests, admitted or rejected. An account that sends all of the traffic
        // is therefore limited to its share of its own requests.
        self.recent_requests += 1.0;
        if account.is_some_and(|account| self.is_over_share(policy, account)) {
            return Err(Rejection::AccountShareExceeded);
        }
        if let Some(max_rate) = rule.and_then(|rule| rule.max_rate) {
            if !self.take_token(now, class, max_rate) {
                return Err(Rejection::RateExceeded);
            }
        }
        // The settings define the accounts, so the map can't grow without bound.
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
        let is_measured = self.recent_requests >= MIN_REQUESTS_FOR_SHARE;
        *share <= 0.0 || (is_measured && admitted + 1.0 > share * self.recent_requests)
    }

    fn take_token(&mut self, now: f64, class: usize, max_rate: f64) -> bool {
        // The bucket's size is the number of requests allowed per second. At a rate between 0 and 1 the size is 1,
        // because a smaller bucket would never contain a whole token.
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

    /// Applies the exponential decay since the last call to all request counts.
    fn decay(&mut self, now: f64) {
        let factor = (-(now - self.decayed_at).max(0.0) / SHARE_TIME_CONSTANT_MS).exp();
        self.decayed_at = now;
        self.recent_requests *= factor;
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
