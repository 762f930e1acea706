//! A member's polls of the leader: building the request, applying the response, and the delay before the next poll.

use super::held_budget::HeldBudget;
use super::{BudgetMember, OutstandingPoll};
use crate::message::{AppliedResponse, DemandReport, Epoch, FullStatement, Holding};
use crate::message::{PollRequest, PollResponse};
use crate::{BudgetTimings, InjectedBug, Share};
use beamgap_fleet_types::clock;

/// Factor by which the poll delay grows with each consecutive response that changes no holding.
const BACKOFF_FACTOR: f64 = 1.25;
/// Number of consecutive responses without a change after which the poll delay stops growing.
const MAX_BACKOFF_STEPS: u32 = 12;
/// Delay in milliseconds before a poll with a full statement that the leader has requested.
const RESTATE_DELAY_MS: f64 = 10.0;
/// Delay in milliseconds before a poll when the demand has risen
/// far above the last report and exceeds the member's share.
const RISING_DEMAND_DELAY_MS: f64 = 30.0;
/// Delay in milliseconds before a poll while the member has no applied response that is still valid.
const NOTHING_APPLIED_DELAY_MS: f64 = 60.0;
/// Delay in milliseconds before a poll when the demand for a rate has fallen far below the last report.
const FALLING_DEMAND_DELAY_MS: f64 = 150.0;

impl BudgetMember {
    /// Builds the next request to the leader, which becomes the outstanding poll. `sequence` must increase with each
    /// request; `in_use` returns the number of units in use of a concurrency limit.
    pub fn poll_request(
        &mut self,
        now: f64,
        sequence: u64,
        in_use: impl Fn(usize) -> u64,
    ) -> PollRequest {
        self.refill_all(now);
        self.drop_expired(now);
        let full_statement = self.restate_for.map(|epoch| FullStatement {
            epoch,
            holdings: self.holdings(),
        });
        let demands = self.demand_reports(now, full_statement.is_some(), in_use);
        self.outstanding = Some(OutstandingPoll {
            sequence,
            sent_at: now,
        });
        PollRequest {
            member: self.id.clone(),
            sequence,
            version: self.version,
            zone: self.zone.clone(),
            draining: self.draining,
            applied: self.applied,
            full_statement,
            demands,
        }
    }

    /// Clears shares and floors that have expired, so that the request
    /// does not state them and a later response does not renew them.
    fn drop_expired(&mut self, now: f64) {
        if now >= self.shares_expire_at && !self.ignores_expiry() {
            for budget in &mut self.budgets {
                budget.share = Share::ZERO;
            }
            self.applied = None;
        }
        if now >= self.floors_expire_at {
            for budget in &mut self.budgets {
                budget.holds_floor = false;
            }
        }
    }

    fn holdings(&self) -> Vec<Holding> {
        let is_held = |budget: &&HeldBudget| budget.share > Share::ZERO || budget.holds_floor;
        let holding = |budget: &HeldBudget| Holding {
            budget: budget.spec.name.clone(),
            share: budget.share,
            holds_floor: budget.holds_floor,
        };
        self.budgets.iter().filter(is_held).map(holding).collect()
    }

    fn demand_reports(
        &mut self,
        now: f64,
        states_all: bool,
        in_use: impl Fn(usize) -> u64,
    ) -> Vec<DemandReport> {
        let mut reports = Vec::new();
        for number in 0..self.budgets.len() {
            let limit = self.unit_limit(number, now);
            let budget = &mut self.budgets[number];
            let report = budget.prepare_report(now, in_use(number), limit, states_all);
            if let Some((demand, in_use)) = report {
                reports.push(DemandReport {
                    budget: budget.spec.name.clone(),
                    demand,
                    in_use,
                });
            }
        }
        reports
    }

    /// Handles a response. A response that does not answer the outstanding poll is ignored.
    pub fn handle_response(&mut self, now: f64, response: PollResponse) {
        let is_answered = |poll: &mut OutstandingPoll| poll.sequence == response.sequence;
        let Some(poll) = self.outstanding.take_if(is_answered) else {
            return;
        };
        self.back_off(&response);
        if !response.renewed {
            self.prepare_restatement(response.epoch);
            return;
        }
        self.restate_for = None;
        self.refill_all(now);
        let Some(timings) = response.timings else {
            return;
        };
        self.apply(&response, &timings, poll.sent_at);
        self.refill_all(now);
        if self.injected_bug == InjectedBug::FullBurstOnArrival {
            self.fill_buckets(now, &response.holdings);
        }
    }

    /// Applies the holdings in a response. Their lifetimes are counted from `requested_at`, when the poll was sent.
    fn apply(&mut self, response: &PollResponse, timings: &BudgetTimings, requested_at: f64) {
        for budget in &mut self.budgets {
            let holding = response
                .holdings
                .iter()
                .find(|holding| holding.budget == budget.spec.name);
            budget.apply(holding, response.complete);
        }
        self.applied = Some(AppliedResponse {
            epoch: response.epoch,
            sequence: response.sequence,
        });
        self.max_drift = timings.max_drift;
        self.position = response.position;
        // Only the response to the latest poll is applied, so a response never moves an expiry to an earlier time.
        self.shares_expire_at =
            requested_at + clock::usable_for(timings.share_ms, timings.max_drift);
        self.floors_expire_at =
            requested_at + clock::usable_for(timings.floor_ms, timings.max_drift);
    }

    /// Lengthens the poll delay exponentially while responses change nothing, as
    /// when a target becomes free only after another member's share has expired.
    fn back_off(&mut self, response: &PollResponse) {
        if response.holdings.is_empty() {
            self.idle_responses = (self.idle_responses + 1).min(MAX_BACKOFF_STEPS);
        } else {
            self.idle_responses = 0;
        }
        let factor = BACKOFF_FACTOR.powi(self.idle_responses as i32);
        self.poll_again_after_ms = response.poll_again_after_ms.map(|ms| ms * factor);
    }

    /// Prepares a full statement for the leader of `epoch`, which could not derive this member's holdings. The default
    /// epoch means that the responder is not the leader; then no statement is prepared.
    fn prepare_restatement(&mut self, epoch: Epoch) {
        if epoch == Epoch::default() {
            self.restate_for = None;
            self.poll_again_after_ms = None;
        } else {
            self.restate_for = Some(epoch);
            self.poll_again_after_ms = Some(RESTATE_DELAY_MS);
        }
    }

    /// Delay in milliseconds between the last response and the next poll, if the poll should
    /// be earlier than usual: because shares are being moved, the leader has requested a full
    /// statement, no response is in force, or the demand differs much from the last report.
    pub fn wants_early_poll(&self, now: f64) -> Option<f64> {
        if self.budgets.is_empty() {
            return None;
        }
        if self.poll_again_after_ms.is_some() {
            return self.poll_again_after_ms;
        }
        let mut demand_rises = false;
        let mut demand_falls = false;
        for (number, budget) in self.budgets.iter().enumerate() {
            let reported = budget.reported_demand().max(0.0);
            let demand = budget.demand(now, 0);
            let limit = self.unit_limit(number, now) as f64;
            demand_rises |= demand > 2.0 * reported + 1.0 && demand > limit;
            demand_falls |= budget.is_rate() && demand < 0.7 * reported - 1.0 && limit > demand;
        }
        let has_no_response = self.applied.is_none() && self.restate_for.is_none();
        if demand_rises {
            Some(RISING_DEMAND_DELAY_MS)
        } else if has_no_response {
            Some(NOTHING_APPLIED_DELAY_MS)
        } else if demand_falls {
            Some(FALLING_DEMAND_DELAY_MS)
        } else {
            None
        }
    }

    /// Injected bug: fills the token buckets of all budgets whose holdings were just received.
    fn fill_buckets(&mut self, now: f64, holdings: &[Holding]) {
        for number in 0..self.budgets.len() {
            let max_tokens = self.unit_limit(number, now) as f64;
            let budget = &mut self.budgets[number];
            if holdings
                .iter()
                .any(|holding| holding.budget == budget.spec.name)
            {
                budget.set_tokens(max_tokens);
            }
        }
    }
}
