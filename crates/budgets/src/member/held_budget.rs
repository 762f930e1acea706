//! One budget as a member holds it: its share, its token bucket and its demand.

use crate::message::Holding;
use crate::spec::{Amount, BudgetSpec};
use crate::Share;

/// Time constant of the exponential decay of counted demand, in milliseconds.
const DEMAND_DECAY_MS: f64 = 500.0;
/// Most demand that is counted, as a multiple of the whole budget: more could not be used and takes longer to decay.
const MAX_COUNTED_BUDGETS: f64 = 1.25;
/// Most demand of a concurrency limit that is reported, as a multiple of the whole budget.
const MAX_REPORTED_BUDGETS: f64 = 2.0;
/// Demand below this counts as none, in requests.
const NEGLIGIBLE_DEMAND: f64 = 0.01;
/// A demand is reported again when it differs by more than this fraction of the last report.
const REPORT_THRESHOLD: f64 = 0.12;
/// A demand is reported again only when it differs by more than this, in units.
const MIN_REPORT_DIFFERENCE: f64 = 0.3;

/// Counts requests with exponential decay.
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

/// Tokens of a rate, refilled by the share that is held.
#[derive(Clone, Debug, PartialEq)]
struct TokenBucket {
    tokens: f64,
    refilled_at: f64,
    /// The share that was available at the last refill.
    share: Share,
}

/// What was reported to the leader, in units.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Report {
    demand: f64,
    in_use: u64,
}

const NOTHING_REPORTED: Report = Report {
    demand: 0.0,
    in_use: 0,
};

/// A budget as this member holds it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HeldBudget {
    pub(super) spec: BudgetSpec,
    pub(super) share: Share,
    pub(super) holds_floor: bool,
    bucket: TokenBucket,
    /// Requests of late; for a concurrency limit only those that were rejected.
    counter: DecayingCounter,
    reported: Report,
    /// What becomes `reported` when the outstanding poll is answered.
    pending_report: Report,
}

impl HeldBudget {
    /// A budget of which nothing is held yet.
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

    /// The same holding under another version of the budget.
    pub(super) fn with_spec(self, spec: BudgetSpec) -> HeldBudget {
        HeldBudget { spec, ..self }
    }

    /// Prepares it for a version that has just been activated: its demand has to be reported again.
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

    /// Counts one request.
    pub(super) fn count_request(&mut self, now: f64) {
        let max = match self.spec.amount {
            Amount::Rate { per_second, .. } => {
                MAX_COUNTED_BUDGETS * per_second * DEMAND_DECAY_MS / 1000.0
            }
            Amount::Concurrency { max, .. } => MAX_COUNTED_BUDGETS * max as f64,
        };
        self.counter.increment(now, max.max(1.0));
    }

    /// What it could use now, in units.
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

    /// The demand that the leader knows of; negative if it knows none.
    pub(super) fn reported_demand(&self) -> f64 {
        self.reported.demand
    }

    /// Refills the bucket by the smaller of the shares available now and at the last refill; what exceeds the share
    /// now available is lost.
    pub(super) fn refill(&mut self, now: f64, share: Share, max_tokens: f64, max_drift: f64) {
        if let Amount::Rate { per_second, .. } = self.spec.amount {
            let fraction = share.min(self.bucket.share).fraction();
            // A clock that runs fast within the bound measures more time than has passed.
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

    /// For an injected bug.
    pub(super) fn set_tokens(&mut self, tokens: f64) {
        self.bucket.tokens = tokens;
    }

    /// Demand and units in use, if the leader has to learn of them with the next poll.
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
        // Units in use beyond the share count at the leader, so that it has to know the exact number.
        let exceeds_limit = in_use > limit || reported.in_use > limit;
        let excess_changed = in_use != reported.in_use && exceeds_limit;
        has_changed || starts_or_ends || excess_changed
    }

    /// Applies a response. `holding` is what the response says of this budget; without it, `complete` says whether
    /// nothing is held or everything stays as it is.
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
