//! Admission control: under overload only a share of the requested work is admitted, the cheapest
//! first; and what is too late for its client is rejected.

use super::Gateway;
use crate::state::hash::{mix, unit_fraction};
use crate::state::request::TrackedRequest;
use crate::Micros;

/// Half-life of the share of overload signs, in milliseconds.
const OVERLOAD_HALF_LIFE_MS: f64 = 2000.0;

/// Share of overload signs that is borne: some engines may be slow, or those of some groups hot.
const OVERLOAD_TARGET: f64 = 0.4;

/// Good signs that are assumed beside those that were seen.
const PRIOR_SIGNS: f64 = 5.0;

/// Part of the admitted share that is shed in a second if all signs are of overload.
const SHED_PER_SECOND: f64 = 0.6;

/// Share of the requested work that is admitted under any overload, so that its end is seen.
const LEAST_ADMITTED_SHARE: f64 = 0.02;

/// Times its run alone that a query takes at least beside others.
const RUN_MARGIN: f64 = 1.3;

/// Weight of a late answer from which a request may wait past its latency objective.
const LEAST_LATE_WEIGHT: f64 = 0.2;

/// Time before its client leaves at which a waiting request is answered.
pub(super) const ANSWER_MARGIN: Micros = Micros::from_millis(80);

/// Time that a gateway may stall unforeseen while a request waits in it, in milliseconds.
const STALL_ALLOWANCE_MS: f64 = 2000.0;

/// The part of a client's patience that the allowance for stalls takes at most.
const MAX_STALL_PART: f64 = 0.75;

impl Gateway {
    /// Counts a sign of overload, from 0 (none) to 1, that a request met; it weighs more for heavy
    /// work.
    pub(super) fn overload_sign(&mut self, work_ms: f64, strength: f64) {
        let weight = (work_ms / self.costs.mean_work_ms.max(1.0)).clamp(0.1, 4.0);
        let overload = &mut self.admission.overload;
        overload.add(
            self.clock.now,
            weight,
            weight * strength,
            OVERLOAD_HALF_LIFE_MS,
        );
    }

    /// Lowers the admitted share while signs of overload pass the target, in proportion to it;
    /// raises it after.
    pub(super) fn update_admitted_share(&mut self, elapsed: Micros) {
        let signs =
            self.admission
                .overload
                .share(self.clock.now, OVERLOAD_HALF_LIFE_MS, PRIOR_SIGNS);
        let excess = signs - OVERLOAD_TARGET;
        let scale = if excess > 0.0 {
            self.admission.admitted_share
        } else {
            1.0
        };
        let step = excess * scale * elapsed.as_millis().min(1000.0) * 1e-3;
        let admitted = self.admission.admitted_share - SHED_PER_SECOND * step;
        self.admission.admitted_share = admitted.clamp(LEAST_ADMITTED_SHARE, 1.0);
    }

    /// Priority weight of a request, less while its tenant is over its quota.
    fn priority_weight(&self, request: &TrackedRequest) -> f64 {
        let kept = if request.over_quota {
            self.settings.over_quota_weight
        } else {
            1.0
        };
        (self.class(request).priority_weight * kept).max(1e-6)
    }

    /// Cost of a request: work over priority weight.
    pub(super) fn cost(&self, request: &TrackedRequest) -> f64 {
        request.work_ms / self.priority_weight(request)
    }

    /// Whether a request costs more than what is admitted now; among those of one cost a hash
    /// decides.
    pub(super) fn is_too_costly(&self, request: &TrackedRequest) -> bool {
        let rank = self.admission.costs.rank(self.cost(request));
        rank.cheaper + rank.equal * unit_fraction(mix(request.hash)) > self.admission.admitted_share
    }

    /// Whether a request should wait no longer: late and of no use then, not to be done before its
    /// client leaves, or lost if this gateway stalls.
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
}
