//! Admission control: under overload only a share of the asked work is admitted, the cheapest for its worth first;
//! and what is too late for its client is rejected.

use super::Gateway;
use crate::state::hash::{mix, unit_fraction};
use crate::state::request::TrackedRequest;
use crate::{Action, Micros};

/// Half-life of the share of overload signs, in milliseconds.
const OVERLOAD_HALF_LIFE_MS: f64 = 2000.0;

/// Share of overload signs that is borne: some engines may be slow, or those of some groups hot.
const OVERLOAD_TARGET: f64 = 0.4;

/// Good signs that are assumed beside those that were seen.
const PRIOR_SIGNS: f64 = 5.0;

/// Part of the admitted share that is shed in a second if all signs are of overload.
const SHED_PER_SECOND: f64 = 0.6;

/// Share of the asked work that is admitted under any overload, so that its end is seen.
const LEAST_ADMITTED_SHARE: f64 = 0.02;

/// Times its run alone that a query takes at least beside others.
const RUN_MARGIN: f64 = 1.3;

/// Weight of a late answer from which it is worth its wait.
const LEAST_LATE_WEIGHT: f64 = 0.2;

/// Time before its client leaves at which a waiting request is answered.
pub(super) const ANSWER_MARGIN: Micros = Micros::from_millis(80);

/// Time that a gateway may stall unforeseen while a request waits in it, in milliseconds.
const STALL_ALLOWANCE_MS: f64 = 2000.0;

/// The part of a client's patience that the allowance for stalls takes at most.
const MAX_STALL_PART: f64 = 0.75;

impl Gateway {
    /// Counts how crowded a request found an engine, from 0 to 1; heavy work feels it most.
    pub(super) fn overload_sign(&mut self, work_ms: f64, crowded: f64) {
        let weight = (work_ms / self.costs.mean_work_ms.max(1.0)).clamp(0.1, 4.0);
        let overload = &mut self.admission.overload;
        overload.add(self.clock.now, weight, weight * crowded, OVERLOAD_HALF_LIFE_MS);
    }

    /// Lowers the admitted share while signs of overload pass the target, in proportion to it; raises it after.
    pub(super) fn update_admitted_share(&mut self, elapsed: Micros) {
        let signs = self.admission.overload.share(self.clock.now, OVERLOAD_HALF_LIFE_MS, PRIOR_SIGNS);
        let excess = signs - OVERLOAD_TARGET;
        let scale = if excess > 0.0 { self.admission.admitted_share } else { 1.0 };
        let step = excess * scale * elapsed.as_millis().min(1000.0) * 1e-3;
        let admitted = self.admission.admitted_share - SHED_PER_SECOND * step;
        self.admission.admitted_share = admitted.clamp(LEAST_ADMITTED_SHARE, 1.0);
    }

    /// Priority weight of a request, less while its tenant is over its quota.
    fn priority_weight(&self, request: &TrackedRequest) -> f64 {
        let kept = if request.over_quota { self.settings.over_quota_weight } else { 1.0 };
        (self.class(request).priority_weight * kept).max(1e-6)
    }

    /// What a request costs for its worth: work over priority weight.
    pub(super) fn cost(&self, request: &TrackedRequest) -> f64 {
        request.work_ms / self.priority_weight(request)
    }

    /// Whether a request costs more than what is admitted now; among those of one cost a hash decides.
    pub(super) fn is_too_costly(&self, request: &TrackedRequest) -> bool {
        let rank = self.admission.costs.rank(self.cost(request));
        rank.cheaper + rank.equal * unit_fraction(mix(request.hash)) > self.admission.admitted_share
    }

    /// Whether a request should wait no longer: worth nothing late, not to be done before its client leaves, or
    /// lost if this gateway stalls.
    pub(super) fn is_too_late(&self, request: &TrackedRequest) -> bool {
        let patience_ms = request.request.time_left.as_millis();
        let run_ms = (RUN_MARGIN * request.work_ms / self.threads(request)).min(patience_ms / 2.0)
            + ANSWER_MARGIN.as_millis();
        let stall_ms = STALL_ALLOWANCE_MS
            .min(MAX_STALL_PART * patience_ms)
            .max(RUN_MARGIN * self.clock.longest_stall.as_millis());
        (!self.can_be_in_time(request) && self.class(request).late_weight < LEAST_LATE_WEIGHT)
            || request.deadline.since(self.clock.now).as_millis() <= run_ms.max(stall_ms)
    }

    /// Whether a request that is sent now can meet its latency objective.
    pub(super) fn can_be_in_time(&self, request: &TrackedRequest) -> bool {
        let class = self.class(request);
        let run_ms = request.work_ms / self.threads(request);
        let objective_ms = class.latency_objective.as_millis() + class.objective_stretch * run_ms;
        let age_ms = self.clock.since(request.arrived).as_millis();
        age_ms + RUN_MARGIN * run_ms < objective_ms.min(request.request.time_left.as_millis())
    }

    /// Answers a request that is given up, at once: rejected where trying again is harmless, else failed.
    pub(super) fn reject_or_fail(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        let retry_after = self.retry_after();
        let request = &self.requests[sequence];
        let may_be_refused = self.class(request).repeat.may_be_refused();
        let harmless = may_be_refused || request.first_that_may_have_run().is_none();
        let id = request.request.id.clone();
        if harmless {
            actions.push(Action::Reject { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.finish(sequence, actions);
    }

    /// When a rejected client should come back: the fuller the fleet the later, spread so that not all come as one.
    fn retry_after(&mut self) -> Option<Micros> {
        let spread = 700 + self.random.draw() % 600;
        let base = (1_000_000.0 - 700_000.0 * self.admission.admitted_share) as u64;
        let pause = Micros(base * spread / 1000);
        self.settings.retry_after.map(|longest| longest.min(pause))
    }

    /// Nothing more is owed to the client: cancels what is in flight; at the last outcome forgets the request and
    /// passes its key on.
    pub(super) fn finish(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        self.requests.waiting.remove(&sequence);
        let may_cancel = self.settings.cancel;
        let request = self.requests.get_mut(sequence);
        request.answered = true;
        let cancelled = if may_cancel { request.cancel_all() } else { Vec::new() };
        for attempt in cancelled {
            actions.push(Action::Cancel { request: request.request.id.clone(), attempt });
        }
        if request.in_flight() > 0 {
            return;
        }
        let removed = self.requests.remove(sequence);
        if let Some(key) = removed.and_then(|request| request.request.key) {
            self.keys.leave(&key, sequence);
        }
    }

    /// Answers waiting requests whose time is up.
    pub(super) fn finish_overdue(&mut self, actions: &mut Vec<Action>) {
        let waiting = self.requests.waiting_requests();
        let overdue: Vec<u64> =
            waiting.filter(|(_, request)| self.is_too_late(request)).map(|(sequence, _)| sequence).collect();
        for sequence in overdue {
            self.reject_or_fail(sequence, actions);
        }
    }
}
