//! Retry budget from the settings: limits retries within a sliding time window.

use super::Gateway;
use crate::Micros;

impl Gateway {
    /// Whether the retry budget allows one more retry.
    pub(super) fn retry_budget_allows(&self) -> bool {
        let Some(budget) = self.settings.retry_budget else {
            return true;
        };
        let requests = self.retries.requests_within(self.clock.now, budget.span);
        let sent = self.retries.retries_within(self.clock.now, budget.span);
        // An attempt that was cancelled for a retry reserves its retry in the budget until its
        // outcome arrives.
        let reserved = self
            .requests
            .values()
            .filter(|request| request.resend_pending())
            .count();
        let sent = sent + reserved as f64;
        sent + 1.0 <= budget.free + budget.per_request * requests
    }

    pub(super) fn expire_retry_counts(&mut self) {
        let span = self
            .settings
            .retry_budget
            .map_or(Micros(0), |budget| budget.span);
        self.retries.expire(self.clock.now, span);
    }
}
