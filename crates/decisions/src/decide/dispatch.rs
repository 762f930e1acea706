//! Dispatch: sends a request to an engine, lets it wait here, or rejects it.

use super::load::{BUSY_CAPACITY, LEAST_TRUST};
use super::Gateway;
use crate::state::request::TrackedRequest;
use crate::Action;
use std::cmp::Ordering;

/// Waiting requests tried in one pass; bounds its work.
const MAX_DISPATCHED_AT_ONCE: usize = 8;

/// Times the thread bound up to which light work still goes where engines know no priorities.
const LIGHT_WORK_BOUND: f64 = 1.3;

/// The order in which waiting requests are tried.
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
    /// Sends the request, lets it wait, or ends it.
    pub(super) fn dispatch(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        let ranked = self.ranked_engines(&self.requests[sequence]);
        if let (None, Some(&home)) = (self.requests[sequence].flagged, ranked.first()) {
            self.decide_flag(sequence, home);
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

    /// The engines that are usable now. Behind the holder of its tables a load would only keep
    /// memory: it waits here, for the first engine to be free.
    fn candidates(&self, sequence: u64, ranked: Vec<usize>) -> Vec<usize> {
        let request = &self.requests[sequence];
        let group = request.request.table_group;
        let mut candidates = ranked;
        candidates.retain(|engine| self.is_usable(sequence, *engine));
        if self.class(request).holds_tables {
            candidates.retain(|engine| !self.engines.holds_group(*engine, group, self.clock.now));
        }
        candidates
    }

    /// The first candidate with room; light work, and work for which cores are free, goes to the
    /// least loaded where none has room.
    fn choose_engine(&self, request: &TrackedRequest, candidates: Vec<usize>) -> Option<usize> {
        let flagged = request.flagged == Some(true);
        let passes = self.passes_as_light(request);
        let costly = !passes && self.is_too_costly(request);
        let first_with_room = candidates
            .iter()
            .copied()
            .find(|engine| self.has_room(request, *engine));
        // Under overload, costly work goes only to engines that show no pressure.
        let choice = first_with_room
            .filter(|engine| !costly || !self.is_pressed(*engine, self.load(*engine)));
        if choice.is_some() || costly || flagged {
            return choice;
        }
        self.least_loaded(passes, candidates)
    }

    /// Whether a request is so light that it may pass the thread bound.
    fn passes_as_light(&self, request: &TrackedRequest) -> bool {
        let class_work_ms = self.costs.class(request.request.class.0).work_ms;
        let is_light_class = 2.0 * class_work_ms <= self.costs.mean_work_ms;
        self.is_small(request) || (is_light_class && self.is_light(request))
    }

    /// Whether an engine has threads for a request and, if it is flagged, memory.
    fn has_room(&self, request: &TrackedRequest, engine: usize) -> bool {
        let flagged = request.flagged == Some(true);
        !self.past_thread_bound(engine, self.threads(request))
            && (!flagged || self.free_memory_mb(engine) >= request.memory_mb)
    }

    /// The least loaded candidate, of those with free cores unless the request is light. Light work
    /// passes the bound where priorities speed it up; elsewhere it would slow the others down like
    /// any work.
    fn least_loaded(&self, is_light: bool, candidates: Vec<usize>) -> Option<usize> {
        let bears = |engine: usize| {
            self.settings.priorities
                || self.load(engine) < LIGHT_WORK_BOUND * self.engines[engine].thread_bound
        };
        let relative_load = |engine: &usize| self.load(*engine) / self.engines[*engine].cores;
        candidates
            .into_iter()
            .filter(|engine| is_light || self.has_free_cores(*engine))
            .filter(|engine| bears(*engine))
            .min_by(|a, b| relative_load(a).total_cmp(&relative_load(b)))
    }

    fn has_free_cores(&self, index: usize) -> bool {
        let engine = &self.engines[index];
        let load = self.load(index);
        match engine
            .report_trusted(LEAST_TRUST)
            .and_then(|report| report.busy)
        {
            Some(busy) => busy < BUSY_CAPACITY && load < engine.thread_bound,
            None => load < engine.cores,
        }
    }

    /// Tries waiting requests again: in time before late, inside before over quota, cheapest first.
    pub(super) fn dispatch_waiting(&mut self, actions: &mut Vec<Action>) {
        if self.requests.waiting.is_empty() || self.requests.last_dispatch == self.clock.now {
            return;
        }
        self.requests.last_dispatch = self.clock.now;
        for ranked in self
            .ranked_waiting()
            .into_iter()
            .take(MAX_DISPATCHED_AT_ONCE)
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
