//! Assignment of table groups to engines by weighted rendezvous hashing, with a limit on the share
//! of all queries that is planned on each engine.

use super::hash::mix;
use std::collections::BTreeMap;

/// Assumed probability that two queries use the same table group, before queries were counted.
const PRIOR_SHARE: f64 = 0.05;

/// Weight of an assumed share when it is combined with counted queries, as a number of queries or
/// of pairs of queries.
const PRIOR_WEIGHT: f64 = 10.0;

/// Value below which the decaying count of a table group is removed.
const MIN_COUNT: f64 = 0.05;

/// Exponentially decaying counts of this gateway's queries by table group.
#[derive(Default)]
pub struct GroupCounts {
    counts: BTreeMap<u64, f64>,
    all: f64,
}

impl GroupCounts {
    /// Counts a query of a table group.
    pub fn count(&mut self, group: u64) {
        *self.counts.entry(group).or_insert(0.0) += 1.0;
        self.all += 1.0;
    }

    /// Multiplies all counts by `factor` and removes table groups that have become rare.
    pub fn decay(&mut self, factor: f64) {
        for count in self.counts.values_mut() {
            *count *= factor;
        }
        self.counts.retain(|_, count| *count > MIN_COUNT);
        self.all = self.counts.values().sum();
    }

    /// Returns the numbers of the counted table groups, in ascending order.
    pub fn groups(&self) -> Vec<u64> {
        self.counts.keys().copied().collect()
    }

    /// Estimates a table group's share of all queries. To smooth small counts, `PRIOR_WEIGHT`
    /// further queries are assumed to use the group with the probability that any two queries use
    /// the same group, which is `PRIOR_SHARE` before queries were counted.
    pub fn share(&self, group: u64) -> f64 {
        let weight = PRIOR_WEIGHT;
        let same: f64 = self
            .counts
            .values()
            .map(|count| count * (count - 1.0).max(0.0))
            .sum();
        let typical_share =
            (same + PRIOR_SHARE * weight) / (self.all * (self.all - 1.0).max(0.0) + weight);
        (self.counts.get(&group).unwrap_or(&0.0) + typical_share * weight) / (self.all + weight)
    }
}

/// Queries of one table group that are planned to run on one engine.
#[derive(Clone, Copy)]
pub struct PlannedPart {
    /// Index of the engine in the engine table.
    pub engine: usize,
    /// Share of all queries, over all table groups, that is planned for this group and engine.
    pub part: f64,
}

/// Planned engines of each table group, and the remaining capacity of each engine.
#[derive(Default)]
pub struct PlacementPlan {
    groups: BTreeMap<u64, Vec<PlannedPart>>,
    room: Vec<f64>,
}

impl PlacementPlan {
    /// Creates an empty plan. `room` is the share of all queries that may be planned on each
    /// engine, by engine index.
    pub fn with_room(room: Vec<f64>) -> PlacementPlan {
        PlacementPlan {
            groups: BTreeMap::new(),
            room,
        }
    }

    /// Returns whether a table group has been planned.
    pub fn contains(&self, group: u64) -> bool {
        self.groups.contains_key(&group)
    }

    /// Returns whether an engine has capacity left for further queries in this plan.
    pub fn has_room(&self, engine: usize) -> bool {
        self.room[engine] > 0.0
    }

    /// Returns the share of all queries that is planned for a table group on an engine; `None` if
    /// the group is not planned on that engine.
    pub fn part(&self, group: u64, engine: usize) -> Option<f64> {
        let parts = self.groups.get(&group)?;
        parts
            .iter()
            .find(|planned| planned.engine == engine)
            .map(|planned| planned.part)
    }

    /// Distributes a table group's share of all queries over engines in the given order, filling
    /// each engine up to its remaining capacity.
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

/// Query counts of table groups, and a placement plan for each class.
#[derive(Default)]
pub struct Placement {
    pub counts: GroupCounts,
    pub plans: Vec<PlacementPlan>,
}

/// Returns the unweighted distance between an engine and an item for weighted rendezvous hashing.
/// The caller divides it by the engine's weight; the engine with the smallest result is preferred.
pub fn rendezvous_distance(engine_hash: u64, item: u64) -> f64 {
    -(((mix(engine_hash ^ mix(item)) >> 11) as f64 + 1.0) / (1u64 << 53) as f64).ln()
}

/// An engine and its weight in rendezvous hashing.
pub struct WeightedEngine {
    /// Index of the engine in the engine table.
    pub engine: usize,
    pub hash: u64,
    pub weight: f64,
}

/// Returns the indices of the engines, ordered by weighted distance to an item from near to far.
pub fn order_by_distance(engines: impl Iterator<Item = WeightedEngine>, item: u64) -> Vec<usize> {
    let distance = |engine: &WeightedEngine| rendezvous_distance(engine.hash, item) / engine.weight;
    let mut order: Vec<(f64, usize)> = engines
        .map(|engine| (distance(&engine), engine.engine))
        .collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    order.into_iter().map(|(_, engine)| engine).collect()
}
