//! Log events of admission control, all with the target `fleet`.

use beamgap_policy::rollout::Version;
use std::collections::BTreeMap;

/// Minimum time between two reports of requests rejected by budgets, in milliseconds. It bounds the log volume when a
/// budget is exhausted and each request is rejected.
const BUDGET_REPORT_INTERVAL_MS: f64 = 10_000.0;

/// Writes log events, and stores the state that was last reported so that only changes are reported.
#[derive(Debug)]
pub(super) struct AdmissionLog {
    node: String,
    is_admitting: bool,
    /// Numbers of requests rejected since the last report, by budget name.
    budget_rejections: BTreeMap<String, u64>,
    budgets_reported_at: f64,
}

impl AdmissionLog {
    pub(super) fn new(node: &str) -> AdmissionLog {
        AdmissionLog {
            node: node.to_owned(),
            is_admitting: false,
            budget_rejections: BTreeMap::new(),
            budgets_reported_at: f64::NEG_INFINITY,
        }
    }

    pub(super) fn change_validated(&self, change: &str, errors: usize) {
        tracing::info!(target: "fleet", node = %self.node, change, errors, "policy change validated");
    }

    pub(super) fn policy_activated(&self, version: Version) {
        tracing::info!(target: "fleet", node = %self.node, version, "policy activated");
    }

    pub(super) fn policy_unusable(&self, version: Version, errors: &str) {
        tracing::warn!(target: "fleet", node = %self.node, version, errors, "policy can't be used");
    }

    pub(super) fn count_budget_rejection(&mut self, budget: &str) {
        *self.budget_rejections.entry(budget.to_owned()).or_default() += 1;
    }

    /// Reports the requests rejected by each budget, at most once per [`BUDGET_REPORT_INTERVAL_MS`].
    pub(super) fn report_budget_rejections(&mut self, now: f64) {
        if self.budget_rejections.is_empty() || now - self.budgets_reported_at < BUDGET_REPORT_INTERVAL_MS {
            return;
        }
        self.budgets_reported_at = now;
        for (budget, requests) in std::mem::take(&mut self.budget_rejections) {
            tracing::info!(target: "fleet", node = %self.node, budget, requests, "budget rejected requests");
        }
    }

    /// Reports when admission starts or stops; does nothing while that state is unchanged.
    pub(super) fn report_state(&mut self, blocked_reason: Option<&str>, version: Version) {
        let is_admitting = blocked_reason.is_none();
        if is_admitting == self.is_admitting {
            return;
        }
        self.is_admitting = is_admitting;
        match blocked_reason {
            Some(reason) => {
                tracing::warn!(target: "fleet", node = %self.node, reason, "admission stopped");
            }
            None => {
                tracing::info!(target: "fleet", node = %self.node, version, "admission started");
            }
        }
    }
}
