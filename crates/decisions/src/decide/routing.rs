//! Routing: the order in which engines are tried for a request.
//!
//! All gateways compute the same order of engines for a table group, so that the data of each group
//! is cached on few engines. The order uses weighted rendezvous hashing, with a limit on the share
//! of all queries that is placed on each engine.

use super::send_rules::is_open_to;
use super::Gateway;
use crate::state::engine::{Engine, Health};
use crate::state::placement::{
    order_by_distance, rendezvous_distance, PlacementPlan, WeightedEngine,
};
use crate::state::request::TrackedRequest;
use crate::{ClassSettings, Repeat};
use std::cmp::Ordering;

/// Lower bound on the fraction of a machine kind's capacity that is assumed to be left for classes
/// that may use every kind.
const MIN_SHARE_LEFT: f64 = 0.02;

/// Limit on the share of all queries that is placed on one engine, as a multiple of an equal share
/// by weight.
const PLACEMENT_SLACK: f64 = 1.25;

/// Factor on the distance of engines in other zones, so that engines in the gateway's own zone are
/// preferred.
const OTHER_ZONE_DISTANCE: f64 = 4.0;

/// Sort key of an engine in the order for a request.
struct RankedEngine {
    /// Whether the engine is tried last, because the request was sent there before, its table group
    /// is locked there, or the query would lock tables that other queries read there.
    avoided: bool,
    /// Whether the table group of the request isn't placed on the engine.
    unplanned: bool,
    distance: f64,
    engine: usize,
}

impl RankedEngine {
    fn compare(&self, other: &RankedEngine) -> Ordering {
        let by_place = (self.avoided, self.unplanned).cmp(&(other.avoided, other.unplanned));
        by_place.then(self.distance.total_cmp(&other.distance))
    }
}

impl Gateway {
    /// Weight of an engine in the placement of a class: its number of cores. For a class that may
    /// use every kind of machine, the weight is reduced by the work of classes that may use only
    /// the engine's kind.
    fn placement_weight(&self, class: &ClassSettings, engine: &Engine) -> f64 {
        let share_left = if class.kinds.is_none() {
            self.kinds[engine.kind].share_left
        } else {
            1.0
        };
        engine.cores * share_left.max(MIN_SHARE_LEFT)
    }

    /// Recomputes the placement of all table groups, after the query counts or the engine list have
    /// changed.
    pub(super) fn plan_all_groups(&mut self) {
        let groups = self.placement.counts.groups();
        let mut plans = Vec::new();
        for class in &self.settings.classes {
            let mut plan = self.empty_plan(class);
            for group in &groups {
                self.plan_group(class, &mut plan, *group);
            }
            plans.push(plan);
        }
        self.placement.plans = plans;
    }

    fn empty_plan(&self, class: &ClassSettings) -> PlacementPlan {
        let is_open = |engine: &Engine| engine.listed && is_open_to(class, &engine.entry);
        let open = self.engines.iter().filter(|engine| is_open(engine));
        let weights: f64 = open
            .map(|engine| self.placement_weight(class, engine))
            .sum();
        let room_per_weight = PLACEMENT_SLACK / (1.0 - 1.0 / self.gateways()).max(1e-3) / weights;
        let room = |engine: &Engine| {
            if is_open(engine) {
                room_per_weight * self.placement_weight(class, engine)
            } else {
                0.0
            }
        };
        PlacementPlan::with_room(self.engines.iter().map(room).collect())
    }

    /// Places a table group on the first engines in its order, on each up to its limit. Without the
    /// limit, if there are few groups, all gateways would overload the same few engines: each
    /// gateway sends too little to detect the overload.
    fn plan_group(&self, class: &ClassSettings, plan: &mut PlacementPlan, group: u64) {
        if plan.contains(group) {
            return;
        }
        let open = self
            .engines
            .iter()
            .enumerate()
            .filter(|(index, _)| plan.has_room(*index));
        let weighted = open.map(|(index, engine)| WeightedEngine {
            engine: index,
            hash: engine.hash,
            weight: self.placement_weight(class, engine),
        });
        let order = order_by_distance(weighted, group);
        plan.place(group, self.placement.counts.share(group), &order);
    }

    /// Counts a query of a table group, and places the group for each class that has no placement
    /// for it yet.
    pub(super) fn count_group(&mut self, group: u64) {
        self.placement.counts.count(group);
        let mut plans = std::mem::take(&mut self.placement.plans);
        for (class, plan) in self.settings.classes.iter().zip(&mut plans) {
            self.plan_group(class, plan, group);
        }
        self.placement.plans = plans;
    }

    /// Engines that the class of a request may use, in the order in which they are tried. Engines
    /// that were tried before, or where the table group is locked, come last.
    pub(super) fn ranked_engines(&self, request: &TrackedRequest) -> Vec<usize> {
        let class = self.class(request);
        let open = self.engines.iter().enumerate();
        let open = open.filter(|(_, engine)| engine.listed && is_open_to(class, &engine.entry));
        let mut order: Vec<RankedEngine> = open
            .map(|(index, engine)| self.rank_engine(request, index, engine))
            .collect();
        order.sort_by(RankedEngine::compare);
        order.into_iter().map(|ranked| ranked.engine).collect()
    }

    fn rank_engine(&self, request: &TrackedRequest, index: usize, engine: &Engine) -> RankedEngine {
        let class = self.class(request);
        let group = request.request.table_group;
        let plan = self.placement.plans.get(request.request.class.0);
        let part = plan.and_then(|plan| plan.part(group, index));
        let (avoided, unplanned, distance) = if class.locks_tables {
            // A query that locks its table group is placed by the hash of the request, away from
            // engines that serve readers of the group.
            let distance =
                self.request_distance(request, engine) / self.placement_weight(class, engine);
            (self.group_is_read_on(group, index), false, distance)
        } else if let Some(part) = part {
            (false, false, self.request_distance(request, engine) / part)
        } else {
            let distance =
                rendezvous_distance(engine.hash, group) / self.placement_weight(class, engine);
            (false, true, distance)
        };
        let is_blocked_by_locks = class.waits_for_table_lock || class.locks_tables;
        let is_locked =
            is_blocked_by_locks && self.engines.is_group_locked(index, group, self.clock.now);
        RankedEngine {
            avoided: avoided || is_locked || request.was_sent_to(index),
            unplanned,
            distance,
            engine: index,
        }
    }

    /// Rendezvous distance of an engine from a request; engines in other zones are farther away.
    fn request_distance(&self, request: &TrackedRequest, engine: &Engine) -> f64 {
        let is_same_zone = self
            .settings
            .zone
            .as_ref()
            .is_none_or(|zone| *zone == engine.entry.zone);
        rendezvous_distance(engine.hash, request.hash)
            * if is_same_zone {
                1.0
            } else {
                OTHER_ZONE_DISTANCE
            }
    }

    /// Whether a table group is placed on an engine for a class whose queries wait for table locks.
    fn group_is_read_on(&self, group: u64, engine: usize) -> bool {
        let plans = self.placement.plans.iter().zip(&self.settings.classes);
        let mut readers = plans.filter(|(_, class)| class.waits_for_table_lock);
        readers.any(|(plan, _)| plan.part(group, engine).is_some())
    }

    /// Whether a request may be sent to an engine now, given the health of the engine and its zone,
    /// and the rules that apply to every send.
    pub(super) fn is_usable(&self, sequence: u64, index: usize) -> bool {
        let engine = &self.engines[index];
        let class = self.class(&self.requests[sequence]);
        let health = engine.health.health;
        let is_free_for_trial = health == Health::HalfOpen && engine.queries < 1.0;
        // A request that must not be retried is never the trial request for a half-open engine.
        let engine_trusted =
            health == Health::Healthy || (is_free_for_trial && class.repeat != Repeat::Unsafe);
        let zone_trusted = || {
            let trial_due = || {
                self.health
                    .zones
                    .trial_due(&engine.entry.zone, self.clock.now)
            };
            !self.zone_has_failed(index) || (class.repeat == Repeat::Safe && trial_due())
        };
        engine_trusted && zone_trusted() && self.may_send(sequence, index)
    }
}
