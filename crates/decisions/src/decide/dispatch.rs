//! Dispatch of a request: it is sent to an engine, queued in the gateway, or rejected.

use super::load::{BUSY_CAPACITY, MIN_REPORT_TRUST};
use super::Gateway;
use crate::state::request::TrackedRequest;
use crate::Action;
use std::cmp::Ordering;

/// Maximum number of waiting requests that are dispatched in one pass; bounds the time that one
/// event takes.
const MAX_DISPATCHES_PER_PASS: usize = 8;

/// Without engine priorities, light queries are accepted until the load reaches this multiple of an
/// engine's thread limit.
const LIGHT_WORK_OVERCOMMIT: f64 = 1.3;

/// Sort key of a waiting request: requests that can be in time precede late ones, requests within
/// their tenant's quota precede those over it, then the lowest cost comes first.
struct WaitingRank {
    is_late: bool,
    over_quota: bool,
    cost: f64,
    sequence: u64,
}

impl WaitingRank {
    fn compare(&self, other: &WaitingRank) -> Ordering {
        (self.is_late, self.over_quota)
            .cmp(&(other.is_late, other.over_quota))
            .then(self.cost.total_cmp(&other.cost))
            .then(self.sequence.cmp(&other.sequence))
    }
}

impl Gateway {
    /// Sends the request to an engine, adds it to the waiting requests, or ends it by rejection or
    /// failure.
    pub(super) fn dispatch(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        let ranked = self.ranked_engines(&self.requests[sequence]);
        if let (None, Some(&preferred)) = (self.requests[sequence].flagged, ranked.first()) {
            self.decide_flag(sequence, preferred);
        }
        let candidates = self.candidates(sequence, ranked);
        let request = &self.requests[sequence];
        let flagged = request.flagged == Some(true);
        let may_wait = candidates.is_empty() || flagged || self.can_be_in_time(request);
        if let Some(engine) = self.choose_engine(request, candidates) {
            self.send(sequence, engine, actions);
        } else if may_wait && !self.is_too_late(request) {
            self.requests.waiting.insert(sequence);
        } else {
            self.reject_or_fail(sequence, actions);
        }
    }

    /// Filters the ranked engines down to those that may be used now. A query that locks its table
    /// group skips engines where the group is already locked: waiting there would occupy the
    /// engine's memory, so the request waits in the gateway until some engine is free.
    fn candidates(&self, sequence: u64, ranked: Vec<usize>) -> Vec<usize> {
        let request = &self.requests[sequence];
        let group = request.request.table_group;
        let mut candidates = ranked;
        candidates.retain(|engine| self.is_usable(sequence, *engine));
        if self.class(request).locks_tables {
            candidates
                .retain(|engine| !self.engines.is_group_locked(*engine, group, self.clock.now));
        }
        candidates
    }

    /// Chooses the first candidate with room. If no candidate has room, a light query may go to the
    /// least loaded candidate, and other queries may go to the least loaded candidate with free
    /// cores.
    fn choose_engine(&self, request: &TrackedRequest, candidates: Vec<usize>) -> Option<usize> {
        let flagged = request.flagged == Some(true);
        let may_exceed_limit = self.may_exceed_thread_limit(request);
        let costly = !may_exceed_limit && self.is_too_costly(request);
        let first_with_room = candidates
            .iter()
            .copied()
            .find(|engine| self.has_room(request, *engine));
        // Requests over the admitted cost are sent only to engines that show no pressure.
        let choice = first_with_room
            .filter(|engine| !costly || !self.is_under_pressure(*engine, self.load(*engine)));
        if choice.is_some() || costly || flagged {
            return choice;
        }
        self.least_loaded(may_exceed_limit, candidates)
    }

    /// Whether a query is light enough to be sent to an engine that has reached its thread limit.
    fn may_exceed_thread_limit(&self, request: &TrackedRequest) -> bool {
        let class_work_ms = self.costs.class(request.request.class.0).work_ms;
        let is_light_class = 2.0 * class_work_ms <= self.costs.mean_work_ms;
        self.is_small(request) || (is_light_class && self.is_light(request))
    }

    /// Whether an engine can take a request within its thread limit and, if the query is flagged as
    /// likely to run short of memory, within its free memory.
    fn has_room(&self, request: &TrackedRequest, engine: usize) -> bool {
        let flagged = request.flagged == Some(true);
        !self.would_exceed_thread_limit(engine, self.threads(request))
            && (!flagged || self.free_memory_mb(engine) >= request.memory_mb)
    }

    /// Chooses the candidate with the lowest load per core; queries that aren't light need a
    /// candidate with free cores. Without engine priorities, a light query slows other queries down
    /// like any other query, so candidates far over their thread limit are skipped.
    fn least_loaded(&self, is_light: bool, candidates: Vec<usize>) -> Option<usize> {
        let accepts = |engine: usize| {
            self.settings.priorities
                || self.load(engine) < LIGHT_WORK_OVERCOMMIT * self.engines[engine].thread_limit
        };
        let relative_load = |engine: &usize| self.load(*engine) / self.engines[*engine].cores;
        candidates
            .into_iter()
            .filter(|engine| is_light || self.has_free_cores(*engine))
            .filter(|engine| accepts(*engine))
            .min_by(|a, b| relative_load(a).total_cmp(&relative_load(b)))
    }

    fn has_free_cores(&self, index: usize) -> bool {
        let engine = &self.engines[index];
        let load = self.load(index);
        match engine
            .report_trusted(MIN_REPORT_TRUST)
            .and_then(|report| report.busy)
        {
            Some(busy) => busy < BUSY_CAPACITY && load < engine.thread_limit,
            None => load < engine.cores,
        }
    }

    /// Dispatches waiting requests again, in the order of their sort key. Does nothing if waiting
    /// requests were already dispatched at the current time.
    pub(super) fn dispatch_waiting(&mut self, actions: &mut Vec<Action>) {
        if self.requests.waiting.is_empty() || self.requests.last_dispatch == self.clock.now {
            return;
        }
        self.requests.last_dispatch = self.clock.now;
        for ranked in self
            .ranked_waiting()
            .into_iter()
            .take(MAX_DISPATCHES_PER_PASS)
        {
            self.requests.waiting.remove(&ranked.sequence);
            self.dispatch(ranked.sequence, actions);
        }
    }

    fn ranked_waiting(&self) -> Vec<WaitingRank> {
        let waiting = self.requests.waiting_requests();
        let in_turn = waiting.filter(|(sequence, request)| self.is_in_turn(*sequence, request));
        let mut order: Vec<WaitingRank> = in_turn
            .map(|(sequence, request)| WaitingRank {
                is_late: !self.can_be_in_time(request),
                over_quota: request.over_quota,
                cost: self.cost(request),
                sequence,
            })
            .collect();
        order.sort_by(WaitingRank::compare);
        order
    }
}
