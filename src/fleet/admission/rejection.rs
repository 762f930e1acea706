//! The reasons for rejecting a request at admission, with their Retry-After times.

use beamgap_policy::rules::Rejection;

/// Retry-After time while the front end has no admission lease, in milliseconds. A fleet that lost its leader elects a
/// new one within one or two seconds.
const NO_LEASE_RETRY_AFTER_MS: f64 = 500.0;
/// Retry-After time for requests rejected by the policy, in milliseconds.
const POLICY_RETRY_AFTER_MS: f64 = 1000.0;
/// Retry-After time for requests rejected by an exhausted budget, in milliseconds. In this time the leader may move a
/// share of the budget to this front end.
const BUDGET_RETRY_AFTER_MS: f64 = 500.0;

/// The reason for which a request is rejected at admission.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// This front end holds no valid admission lease.
    #[error("no lease to admit requests")]
    NoLease,
    /// A rule of the policy rejects the request.
    #[error("rejected by the policy")]
    Policy(#[from] Rejection),
    /// This front end's share of a fleet budget is exhausted.
    #[error("budget {budget} is exhausted")]
    BudgetExhausted {
        /// Name of the exhausted budget.
        budget: String,
    },
}

impl RejectReason {
    /// Returns the time after which the client may retry, in milliseconds.
    pub fn retry_after_ms(&self) -> f64 {
        match self {
            RejectReason::NoLease => NO_LEASE_RETRY_AFTER_MS,
            RejectReason::Policy(_) => POLICY_RETRY_AFTER_MS,
            RejectReason::BudgetExhausted { .. } => BUDGET_RETRY_AFTER_MS,
        }
    }

    /// Returns the word for this reason in the history that the fault harness parses.
    pub(super) fn history_word(&self) -> &'static str {
        match self {
            RejectReason::NoLease => "right",
            RejectReason::Policy(Rejection::ClassRejected) => "class",
            RejectReason::Policy(Rejection::RateExceeded) => "rate",
            RejectReason::Policy(Rejection::AccountShareExceeded) => "share",
            RejectReason::Policy(Rejection::TooManyInFlight) => "open",
            RejectReason::BudgetExhausted { .. } => "budget",
        }
    }
}
