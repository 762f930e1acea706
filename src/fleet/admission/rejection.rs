//! Why a request is not admitted.

use beamgap_policy::rules::Rejection;

/// Retry-After without a lease, in milliseconds: a new leader is there within a second or two.
const NO_LEASE_RETRY_AFTER_MS: f64 = 500.0;
/// Retry-After where the policy rejects, in milliseconds.
const POLICY_RETRY_AFTER_MS: f64 = 1000.0;
/// Retry-After where a budget is exhausted, in milliseconds: a share may have moved here by then.
const BUDGET_RETRY_AFTER_MS: f64 = 500.0;

/// Why a request is not admitted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectReason {
    /// This front end holds no valid lease to admit requests.
    #[error("no lease to admit requests")]
    NoLease,
    /// The policy does not allow it now.
    #[error("rejected by the policy")]
    Policy(#[from] Rejection),
    /// A budget of the fleet has nothing left here.
    #[error("budget {budget} is exhausted")]
    BudgetExhausted {
        /// The budget's name.
        budget: String,
    },
}

impl RejectReason {
    /// After how long the client may try again, in milliseconds.
    pub fn retry_after_ms(&self) -> f64 {
        match self {
            RejectReason::NoLease => NO_LEASE_RETRY_AFTER_MS,
            RejectReason::Policy(_) => POLICY_RETRY_AFTER_MS,
            RejectReason::BudgetExhausted { .. } => BUDGET_RETRY_AFTER_MS,
        }
    }

    /// The reason as one word of the history that the fault harness reads.
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
