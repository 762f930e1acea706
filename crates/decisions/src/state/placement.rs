//! Which engines a table group is planned on: weighted rendezvous hashing, bounded by each engine's
//! part of all work.

use super::hash::mix;
use std::collections::BTreeMap;

/// Chance that two queries ask for one group, before some were seen.
const PRIOR_SHARE: f64 = 0.05;

/// Weight of the prior and of the usual share, in queries (or pairs of them).
const PRIOR_QUERIES: f64 = 10.0;

/// Count under which a group is forgotten.
const SMALLEST_COUNT: f64 = 0.05;

/// How often each table group is asked for: decaying counts of own queries.
#[derive(Default)]
pub struct GroupCounts {
    counts: BTreeMap<u64, f64>,
    all: f64,
}

impl GroupCounts {
    /// Counts a query of a group.
    pub fn count(&mut self, group: u64) {
        *self.counts.entry(group).or_insert(0.0) += 1.0;
        self.all += 1.0;
    }

    /// Keeps this part of each count; what is hardly asked for is forgotten.
    pub fn decay(&mut self, kept: f64) {
        for count in self.counts.values_mut() {
            *count *= kept;
        }
        self.counts.retain(|_, count| *count > SMALLEST_COUNT);
        self.all = self.counts.values().sum();
    }

    /// The groups that are asked for, in the order of their numbers.
    pub fn groups(&self) -> Vec<u64> {
        self.counts.keys().copied().collect()
    }

    /// A group's share of all queries: its count, and as if some more were seen at the chance that
    /// two queries ask for one group; that is the prior until some were seen.
    pub fn share(&self, group: u64) -> f64 {
        let weight = PRIOR_QUERIES;
        let same: f64 = self
            .counts
            .values()
            .map(|count| count * (count - 1.0).max(0.0))
            .sum();
        let usual = (same + PRIOR_SHARE * weight) / (self.all * (self.all - 1.0).max(0.0) + weight);
        (self.counts.get(&group).unwrap_or(&0.0) + usual * weight) / (self.all + weight)
    }
}

/// The part of a group's queries that is planned on one engine.
#[derive(Clone, Copy)]
pub struct PlannedPart {
    /// Place of the engine in the table.
    pub engine: usize,
    /// As a share of all queries.
    pub part: f64,
}

/// Parts of each table group's queries by engine, and the room left on each engine.
#[derive(Default)]
pub struct PlacementPlan {
    groups: BTreeMap<u64, Vec<PlannedPart>>,
    room: Vec<f64>,
}

impl PlacementPlan {
    /// An empty plan; `room` holds for each engine the share of all queries that may be planned on
    /// it.
    pub fn with_room(room: Vec<f64>) -> PlacementPlan {
        PlacementPlan {
            groups: BTreeMap::new(),
            room,
        }
    }

    /// Whether a group is planned.
    pub fn contains(&self, group: u64) -> bool {
        self.groups.contains_key(&group)
    }

    /// Whether more queries may be planned on an engine.
    pub fn has_room(&self, engine: usize) -> bool {
        self.room[engine] > 0.0
    }

    /// The part of a group's queries that is planned on an engine.
    pub fn part(&self, group: u64, engine: usize) -> Option<f64> {
        let parts = self.groups.get(&group)?;
        parts
            .iter()
            .find(|planned| planned.engine == engine)
            .map(|planned| planned.part)
    }

    /// Plans a group's share on engines in their order, on each up to its room.
    pub fn place(&mut self, group: u64, mut share: f64, order: &[usize]) {
        let parts = self.groups.entry(group).or_default();
        for &engine in order {
            let part = share.min(self.room[engine]);
            if part > 0.0 {
                parts.push(PlannedPart { engine, part });
            }
            self.room[engine] -= part;
            share -= part;
        }
    }
}

/// Counts of table groups, and a plan for each class.
#[derive(Default)]
pub struct Placement {
    pub counts: GroupCounts,
    pub plans: Vec<PlacementPlan>,
}

/// Distance of an engine from what is placed, for the order of a weighted rendezvous: to be divided
/// by a weight.
pub fn rendezvous_distance(engine_hash: u64, placed: u64) -> f64 {
    -(((mix(engine_hash ^ mix(placed)) >> 11) as f64 + 1.0) / (1u64 << 53) as f64).ln()
}

/// An engine and what it counts for in placement.
pub struct WeightedEngine {
    /// Place of the engine in the table.
    pub engine: usize,
    pub hash: u64,
    pub weight: f64,
}

/// Places of the engines in the order of their distance from what is placed.
pub fn order_by_distance(engines: impl Iterator<Item = WeightedEngine>, placed: u64) -> Vec<usize> {
    let distance =
        |engine: &WeightedEngine| rendezvous_distance(engine.hash, placed) / engine.weight;
    let mut order: Vec<(f64, usize)> = engines
        .map(|engine| (distance(&engine), engine.engine))
        .collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    order.into_iter().map(|(_, engine)| engine).collect()
}
