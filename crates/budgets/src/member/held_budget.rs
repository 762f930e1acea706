//! A member's state for one budget: its share, its token bucket and its demand.

use crate::message::Holding;
use crate::spec::{Amount, BudgetSpec};
use crate::Share;

/// Time constant of the exponential decay of counted demand, in milliseconds.
const DEMAND_DECAY_MS: f64 = 500.0;
/// Upper bound on the counted demand, as a multiple of the whole budget. Demand beyond the budget could not be served,
/// and a larger count would take longer to decay.
const MAX_COUNTED_BUDGETS: f64 = 1.25;
/// Upper bound on the reported demand for a concurrency limit, as a multiple of the whole budget.
const MAX_REPORTED_BUDGETS: f64 = 2.0;
/// Counts below this number of requests are rounded down to 0, because exponential decay alone never reaches 0.
const NEGLIGIBLE_DEMAND: f64 = 0.01;
/// Relative change of the demand since the last report above which the demand is reported again.
const REPORT_THRESHOLD: f64 = 0.12;
/// Absolute change of the demand, in units, up to which the demand is
/// not reported again; applies in addition to [`REPORT_THRESHOLD`].
const MIN_REPORT_DIFFERENCE: f64 = 0.3;

/// A count of recent requests that decays exponentially with the time constant [`DEMAND_DECAY_MS`].
#[derive(Clone, Debug, PartialEq)]
struct DecayingCounter {
    count: f64,
    updated_at: f64,
}

impl DecayingCounter {
    fn value(&self, now: f64) -> f64 {
        let value = self.count * (-(now - self.updated_at).max(0.0) / DEMAND_DECAY_MS).exp();
        if value < NEGLIGIBLE_DEMAND {
            0.0
        } else {
            value
        }
    }

    fn increment(&mut self, now: f64, max: f64) {
        self.count = (self.value(now) + 1.0).min(max);
        self.updated_at = now;
    }
}

/// The token bucket of a rate, refilled in proportion to the member's share.
#[derive(Clone, Debug, PartialEq)]
struct TokenBucket {
    tokens: f64,
    refilled_at: f64,
    /// The share that was available at the last refill.
    share: Share,
}

/// A demand report to the leader, in units.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    demand: f64,
    in_use: u64,
}

const NOTHING_REPORTED: Report = Report {
    demand: 0.0,
    in_use: 0,
};

/// A member's state for one budget.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HeldBudget {
    pub(super) spec: BudgetSpec,
    pub(super) share: Share,
    pub(super) holds_floor: bool,
    bucket: TokenBucket,
    /// Recent requests under a rate; recently rejected requests under a concurrency limit.
    counter: DecayingCounter,
    reported: Report,
    /// The report in the outstanding poll; becomes `reported` when the poll is answered.
    pending_report: Report,
}

impl HeldBudget {
    /// Creates the state for a budget of which the member holds nothing yet.
    pub(super) fn new(spec: BudgetSpec, now: f64) -> HeldBudget {
        HeldBudget {
            spec,
            share: Share::ZERO,
            holds_floor: false,
            bucket: TokenBucket {
                tokens: 0.0,
                refilled_at: now,
                share: Share::ZERO,
            },
            counter: DecayingCounter {
                count: 0.0,
                updated_at: now,
            },
            reported: NOTHING_REPORTED,
            pending_report: NOTHING_REPORTED,
        }
    }

    /// Replaces the definition of the budget and keeps the holding.
    pub(super) fn with_spec(self, spec: BudgetSpec) -> HeldBudget {
        HeldBudget { spec, ..self }
    }

    /// Adapts the state to a policy version that has just been activated: limits the
    /// tokens to the new bucket size and causes the demand to be reported again.
    pub(super) fn start_version(&mut self) {
        let max_tokens = self.spec.total_units() as f64;
        self.bucket.tokens = self.bucket.tokens.min(max_tokens);
        self.reported = Report {
            demand: -1.0,
            in_use: 0,
        };
    }

    pub(super) fn is_rate(&self) -> bool {
        matches!(self.spec.amount, Amount::Rate { .. })
    }

    /// Adds one request to the counted demand, up to [`MAX_COUNTED_BUDGETS`].
    pub(super) fn count_request(&mut self, now: f64) {
        let max = match self.spec.amount {
            Amount::Rate { per_second, .. } => {
                MAX_COUNTED_BUDGETS * per_second * DEMAND_DECAY_MS / 1000.0
            }
            Amount::Concurrency { max, .. } => MAX_COUNTED_BUDGETS * max as f64,
        };
        self.counter.increment(now, max.max(1.0));
    }

    /// The number of units that the member could use now.
    pub(super) fn demand(&self, now: f64, in_use: u64) -> f64 {
        let requests = self.counter.value(now);
        match self.spec.amount {
            Amount::Rate { per_second, burst } => {
                requests / DEMAND_DECAY_MS * 1000.0 / per_second * burst as f64
            }
            Amount::Concurrency { max, .. } => {
                (in_use as f64 + requests.ceil()).min(MAX_REPORTED_BUDGETS * max as f64)
            }
        }
    }

    /// The demand last reported to the leader, in units; negative
    /// if none was reported since the policy version changed.
    pub(super) fn reported_demand(&self) -> f64 {
        self.reported.demand
    }

    /// Refills the bucket for the time since the last refill, at the rate of the smaller of the shares available now
    /// and at the last refill. Tokens in excess of `max_tokens` are discarded.
    pub(super) fn refill(&mut self, now: f64, share: Share, max_tokens: f64, max_drift: f64) {
        if let Amount::Rate { per_second, .. } = self.spec.amount {
            let fraction = share.min(self.bucket.share).fraction();
            // The local clock may run fast by up to `max_drift`, so
            // the measured time is divided by the largest clock rate.
            let elapsed = (now - self.bucket.refilled_at).max(0.0) / (1.0 + max_drift);
            let refilled = self.bucket.tokens + per_second * fraction * elapsed / 1000.0;
            self.bucket.tokens = refilled.min(max_tokens);
        }
        self.bucket.refilled_at = now;
        self.bucket.share = share;
    }

    pub(super) fn has_token(&self) -> bool {
        self.bucket.tokens >= 1.0
    }

    pub(super) fn consume_token(&mut self) {
        self.bucket.tokens -= 1.0;
    }

    /// Sets the number of tokens. Used by an injected bug only.
    pub(super) fn set_tokens(&mut self, tokens: f64) {
        self.bucket.tokens = tokens;
    }

    /// Returns the demand and the units in use if the next poll has to report them. `limit` is the number of units of
    /// the member's share; `states_all` says whether the poll contains a full statement.
    pub(super) fn prepare_report(
        &mut self,
        now: f64,
        in_use: u64,
        limit: u64,
        states_all: bool,
    ) -> Option<(f64, u64)> {
        let demand = self.demand(now, in_use);
        let is_due = if states_all {
            demand > 0.0 || in_use > 0
        } else {
            self.differs_from_report(demand, in_use, limit)
        };
        if is_due {
            self.pending_report = Report { demand, in_use };
            return Some((demand, in_use));
        }
        self.pending_report = if states_all {
            NOTHING_REPORTED
        } else {
            self.reported
        };
        None
    }

    fn differs_from_report(&self, demand: f64, in_use: u64, limit: u64) -> bool {
        let reported = self.reported;
        let difference = (demand - reported.demand).abs();
        let has_changed =
            difference > (REPORT_THRESHOLD * reported.demand).max(MIN_REPORT_DIFFERENCE);
        let starts_or_ends = (demand == 0.0) != (reported.demand == 0.0);
        // The leader counts units in use that exceed the member's share, so it needs their exact number.
        let exceeds_limit = in_use > limit || reported.in_use > limit;
        let excess_changed = in_use != reported.in_use && exceeds_limit;
        has_changed || starts_or_ends || excess_changed
    }

    /// Applies a response. `holding` is the response's entry for this budget. Without an entry, the holding is cleared
    /// if the response is `complete` and stays unchanged otherwise.
    pub(super) fn apply(&mut self, holding: Option<&Holding>, complete: bool) {
        match holding {
            Some(holding) => {
                self.share = holding.share;
                self.holds_floor = holding.holds_floor;
            }
            None if complete => {
                self.share = Share::ZERO;
                self.holds_floor = false;
            }
            None => {}
        }
        self.reported = self.pending_report;
    }
}
