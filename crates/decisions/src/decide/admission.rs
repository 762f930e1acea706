//! Admission control. Under overload only a share of the requested work is admitted, the cheapest
//! requests first, and requests that can't be answered in time are rejected early.

use super::Gateway;
use crate::state::hash::{mix, unit_fraction};
use crate::state::request::TrackedRequest;
use crate::Micros;

/// Half-life of the weight of recorded overload signals, in milliseconds.
const OVERLOAD_HALF_LIFE_MS: f64 = 2000.0;

/// Share of overload signals, weighted by work, above which load is shed. It is well above zero
/// because single slow engines and engines with popular table groups produce signals without a
/// general overload.
const TARGET_OVERLOAD_SHARE: f64 = 0.4;

/// Number of signals without overload that is added to the recorded ones, so that the first
/// overload signals after a quiet time shed no load.
const PRIOR_SIGNALS: f64 = 5.0;

/// Rate at which the admitted share falls, per second, in proportion to the admitted share and to
/// the excess of overload signals over the target.
const SHED_PER_SECOND: f64 = 0.6;

/// Lower bound on the admitted share of the work. Some work is always admitted so that the gateway
/// can observe the end of an overload.
const MIN_ADMITTED_SHARE: f64 = 0.02;

/// Factor on the run time of a query on an idle engine, to allow for contention with other queries.
const RUN_TIME_MARGIN: f64 = 1.3;

/// A request that can no longer meet its latency objective keeps waiting only if its class gives a
/// late answer at least this fraction of the value of an answer in time.
const MIN_LATE_WEIGHT: f64 = 0.2;

/// How long before its deadline a waiting request is answered at the latest, so that the answer
/// still reaches the client.
pub(super) const ANSWER_MARGIN: Micros = Micros::from_millis(80);

/// Time reserved before the deadline of a waiting request in case the gateway process stalls, in
/// milliseconds.
const STALL_ALLOWANCE_MS: f64 = 2000.0;

/// Upper bound on the time reserved for stalls, as a fraction of the time the client waits in all.
const MAX_STALL_SHARE: f64 = 0.75;

impl Gateway {
    /// Records how strongly a request was affected by overload, from 0 (not at all) to 1. Requests
    /// with much work weigh more.
    pub(super) fn record_overload_signal(&mut self, work_ms: f64, strength: f64) {
        let weight = (work_ms / self.costs.mean_work_ms.max(1.0)).clamp(0.1, 4.0);
        let overload = &mut self.admission.overload;
        overload.add(
            self.clock.now,
            weight,
            weight * strength,
            OVERLOAD_HALF_LIFE_MS,
        );
    }

    /// Lowers the admitted share of the work while the share of overload signals exceeds the
    /// target, and raises it again otherwise. The step is proportional to the distance from the
    /// target.
    pub(super) fn update_admitted_share(&mut self, elapsed: Micros) {
        let overload_share =
            self.admission
                .overload
                .share(self.clock.now, OVERLOAD_HALF_LIFE_MS, PRIOR_SIGNALS);
        let excess = overload_share - TARGET_OVERLOAD_SHARE;
        let scale = if excess > 0.0 {
            self.admission.admitted_share
        } else {
            1.0
        };
        let step = excess * scale * elapsed.as_millis().min(1000.0) * 1e-3;
        let admitted = self.admission.admitted_share - SHED_PER_SECOND * step;
        self.admission.admitted_share = admitted.clamp(MIN_ADMITTED_SHARE, 1.0);
    }

    /// Priority weight of a request, reduced if its tenant is over its quota.
    fn priority_weight(&self, request: &TrackedRequest) -> f64 {
        let quota_factor = if request.over_quota {
            self.settings.over_quota_weight
        } else {
            1.0
        };
        (self.class(request).priority_weight * quota_factor).max(1e-6)
    }

    /// Cost of a request for admission control: its expected work divided by its priority weight.
    pub(super) fn cost(&self, request: &TrackedRequest) -> f64 {
        request.work_ms / self.priority_weight(request)
    }

    /// Whether admission control excludes a request because cheaper requests already fill the
    /// admitted share. A hash of the request id selects among requests of equal cost.
    pub(super) fn is_too_costly(&self, request: &TrackedRequest) -> bool {
        let rank = self.admission.costs.rank(self.cost(request));
        rank.cheaper + rank.equal * unit_fraction(mix(request.hash)) > self.admission.admitted_share
    }

    /// Whether a waiting request should be answered now: because it can't meet its latency
    /// objective and a late answer has little value, because it can't finish before its deadline,
    /// or because a stall of the gateway could make it miss the deadline.
    pub(super) fn is_too_late(&self, request: &TrackedRequest) -> bool {
        let patience_ms = request.request.time_left.as_millis();
        let run_ms = (RUN_TIME_MARGIN * request.work_ms / self.threads(request))
            .min(patience_ms / 2.0)
            + ANSWER_MARGIN.as_millis();
        let stall_ms = STALL_ALLOWANCE_MS
            .min(MAX_STALL_SHARE * patience_ms)
            .max(RUN_TIME_MARGIN * self.clock.longest_stall.as_millis());
        (!self.can_be_in_time(request) && self.class(request).late_weight < MIN_LATE_WEIGHT)
            || request.deadline.since(self.clock.now).as_millis() <= run_ms.max(stall_ms)
    }

    /// Whether a request can meet its latency objective if it is sent now.
    pub(super) fn can_be_in_time(&self, request: &TrackedRequest) -> bool {
        let class = self.class(request);
        let run_ms = request.work_ms / self.threads(request);
        let objective_ms = class.latency_objective.as_millis() + class.objective_stretch * run_ms;
        let age_ms = self.clock.since(request.arrived).as_millis();
        age_ms + RUN_TIME_MARGIN * run_ms < objective_ms.min(request.request.time_left.as_millis())
    }
}
