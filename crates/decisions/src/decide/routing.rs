//! Routing: in which order engines are tried for a request.
//!
//! Queries of one table group go by an order of engines that all gateways share, so that few
//! engines hold a group in their caches: weighted rendezvous hashing, bounded by each engine's part
//! of all queries.

use super::send_rules::is_open_to;
use super::Gateway;
use crate::state::engine::{Engine, Health};
use crate::state::placement::{
    order_by_distance, rendezvous_distance, PlacementPlan, WeightedEngine,
};
use crate::state::request::TrackedRequest;
use crate::{ClassSettings, Repeat};
use std::cmp::Ordering;

/// Share of a kind that is left to classes open to all kinds, at least.
const LEAST_SHARE_LEFT: f64 = 0.02;

/// Times an engine's even part of all queries that groups may be planned on it.
const PLACEMENT_SLACK: f64 = 1.25;

/// Times as far that an engine of another zone counts.
const OTHER_ZONE_DISTANCE: f64 = 4.0;

/// Where an engine stands in the order for a request.
struct RankedEngine {
    /// Comes last: it was tried before, or its tables are held.
    avoided: bool,
    /// The group is not planned on it.
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
    /// Weight of an engine in placement: cores, less what classes bound to its kind need.
    fn placement_weight(&self, class: &ClassSettings, engine: &Engine) -> f64 {
        let share_left = if class.kinds.is_none() {
            self.kinds[engine.kind].share_left
        } else {
            1.0
        };
        engine.cores * share_left.max(LEAST_SHARE_LEFT)
    }

    /// Plans all table groups anew, after counts or the list have changed.
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

    /// Spreads a group over the first engines in its order, each up to its part of all queries.
    /// Many gateways that see little each never find an engine pressed: where groups are few, all
    /// would press the same few.
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

    /// Counts a query of a group, and plans the group for each class if it is new.
    pub(super) fn count_group(&mut self, group: u64) {
        self.placement.counts.count(group);
        let mut plans = std::mem::take(&mut self.placement.plans);
        for (class, plan) in self.settings.classes.iter().zip(&mut plans) {
            self.plan_group(class, plan, group);
        }
        self.placement.plans = plans;
    }

    /// Engines open to a request in its group's order; those tried before or held last.
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
        let (avoided, unplanned, distance) = if class.holds_tables {
            // What holds its tables is spread by request, away from the group's readers.
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
        let minds_holders = class.waits_for_holder || class.holds_tables;
        let is_held = minds_holders && self.engines.holds_group(index, group, self.clock.now);
        RankedEngine {
            avoided: avoided || is_held || request.was_sent_to(index),
            unplanned,
            distance,
            engine: index,
        }
    }

    /// Distance of an engine from a request, shorter in the own zone.
    fn request_distance(&self, request: &TrackedRequest, engine: &Engine) -> f64 {
        let is_near = self
            .settings
            .zone
            .as_ref()
            .is_none_or(|zone| *zone == engine.entry.zone);
        rendezvous_distance(engine.hash, request.hash)
            * if is_near { 1.0 } else { OTHER_ZONE_DISTANCE }
    }

    /// Whether some class that waits for holders of a table group has it planned on an engine.
    fn group_is_read_on(&self, group: u64, engine: usize) -> bool {
        let plans = self.placement.plans.iter().zip(&self.settings.classes);
        let mut readers = plans.filter(|(_, class)| class.waits_for_holder);
        readers.any(|(plan, _)| plan.part(group, engine).is_some())
    }

    /// Whether a request may be sent to an engine, and the engine and its zone are trusted enough
    /// for it.
    pub(super) fn is_usable(&self, sequence: u64, index: usize) -> bool {
        let engine = &self.engines[index];
        let class = self.class(&self.requests[sequence]);
        let health = engine.health.health;
        let is_free_for_trial = health == Health::HalfOpen && engine.queries < 1.0;
        // What can't be sent again is never the trial of an engine that failed.
        let engine_trusted =
            health == Health::Healthy || (is_free_for_trial && class.repeat != Repeat::Unsafe);
        let zone_trusted = || {
            let trial_due = || {
                self.health
                    .zones
                    .trial_due(&engine.entry.zone, self.clock.now)
            };
            !self.zone_is_lost(index) || (class.repeat == Repeat::Safe && trial_due())
        };
        engine_trusted && zone_trusted() && self.may_send(sequence, index)
    }
}
