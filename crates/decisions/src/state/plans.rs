//! How table groups are laid on engines, and what work is worth.

use super::*;

const PLAN_PRIOR: f64 = 0.05; // chance that two queries ask for one group, before some were seen
const PLAN_QUERIES: f64 = 10.0; // queries (or pairs of them) that this and the usual share are worth

/// How often each table group is asked for: fading counts of own queries.
#[derive(Default)]
pub struct Groups {
    counts: BTreeMap<u64, f64>,
    all: f64,
}

impl Groups {
    pub fn count(&mut self, group: u64) {
        *self.counts.entry(group).or_insert(0.0) += 1.0;
        self.all += 1.0;
    }
    /// Fades all counts; what is hardly asked for is forgotten.
    pub fn fade(&mut self, kept: f64) {
        self.counts.values_mut().for_each(|c| *c *= kept);
        self.counts.retain(|_, c| *c > 0.05);
        self.all = self.counts.values().sum();
    }
    pub fn names(&self) -> Vec<u64> {
        self.counts.keys().copied().collect()
    }
    /// A group's share of all queries: its count, and as if some more were seen at the chance that two queries ask for
    /// one group; that is the prior until some were seen.
    pub fn share(&self, group: u64) -> f64 {
        let (prior, weight) = (PLAN_PRIOR, PLAN_QUERIES);
        let same: f64 = self.counts.values().map(|c| c * (c - 1.0).max(0.0)).sum();
        let usual = (same + prior * weight) / (self.all * (self.all - 1.0).max(0.0) + weight);
        (self.counts.get(&group).unwrap_or(&0.0) + usual * weight) / (self.all + weight)
    }
}

/// Fading sums of asked work by its price (work for its worth), in steps of a fourth part.
#[derive(Default)]
pub struct Prices(BTreeMap<i32, f64>);

impl Prices {
    fn step(price: f64) -> i32 {
        (price.log2() * 3.0).round() as i32
    }
    pub fn count(&mut self, price: f64, work: f64) {
        *self.0.entry(Prices::step(price)).or_insert(0.0) += work;
    }
    /// Shares of the work that was cheaper, and of what was as dear.
    pub fn around(&self, price: f64) -> (f64, f64) {
        let (step, all) = (Prices::step(price), self.0.values().sum::<f64>().max(1e-9));
        let cheaper: f64 = self.0.range(..step).map(|(_, work)| work).sum();
        (cheaper / all, self.0.get(&step).unwrap_or(&0.0) / all)
    }
    pub fn fade(&mut self, kept: f64) {
        self.0.values_mut().for_each(|work| *work *= kept);
        self.0.retain(|_, work| *work > 1e-3);
    }
}

/// Parts of each table group's queries by engine, and the room left on each engine.
#[derive(Default)]
pub struct Plan {
    pub parts: BTreeMap<u64, Vec<(usize, f64)>>,
    pub room: Vec<f64>,
}

impl Plan {
    /// The part of a group's queries that is laid on an engine.
    pub fn part(&self, group: u64, e: usize) -> Option<f64> {
        self.parts.get(&group)?.iter().find(|(i, _)| *i == e).map(|(_, part)| *part)
    }
    /// Lays a group's share on engines in their order, on each up to its room.
    pub fn fill(&mut self, group: u64, mut share: f64, order: impl Iterator<Item = usize>) {
        let parts = self.parts.entry(group).or_default();
        for e in order {
            let part = share.min(self.room[e]);
            if part > 0.0 {
                parts.push((e, part));
            }
            self.room[e] -= part;
            share -= part;
        }
    }
}

/// What classes bound to some kinds of machine leave of each kind's even share of work to the other classes.
pub fn room_left(shown: &mut [Shown], engines: &[Engine], settings: &Settings, learned: &[Learned]) {
    let sum = |kind: usize| engines.iter().filter(|e| e.listed && e.kind == kind).map(|e| e.cores).sum();
    let cores: Vec<f64> = (0..shown.len()).map(sum).collect();
    let mut bound = vec![0.0; cores.len()];
    for (class, learned) in settings.classes.iter().zip(learned) {
        let Some(kinds) = &class.kinds else { continue };
        let open = |kind: &usize| settings.kinds.get(*kind).is_some_and(|k| kinds.contains(&k.name));
        let share =
            learned.asked / (0..cores.len()).filter(open).map(|kind| cores[kind]).sum::<f64>().max(0.1);
        (0..cores.len()).filter(open).for_each(|kind| bound[kind] += share);
    }
    let even = learned.iter().map(|l| l.asked).sum::<f64>() / cores.iter().sum::<f64>().max(0.1);
    for (shown, bound) in shown.iter_mut().zip(bound) {
        shown.left = if even > 0.0 { (1.0 - bound / even).min(1.0) } else { 1.0 };
    }
}

/// Distance of an engine from what is placed, for the order of a weighted rendezvous: to be divided by a weight.
pub fn rendezvous(engine: u64, placed: u64) -> f64 {
    -(((mix(engine ^ mix(placed)) >> 11) as f64 + 1.0) / (1u64 << 53) as f64).ln()
}

/// The indices of `weighted` (hash and weight) in the order of their distance from what is placed.
pub fn by_distance(weighted: impl Iterator<Item = (usize, u64, f64)>, placed: u64) -> Vec<usize> {
    let far = |(i, hash, weight)| (rendezvous(hash, placed) / weight, i);
    let mut order: Vec<(f64, usize)> = weighted.map(far).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    order.into_iter().map(|(_, i)| i).collect()
}

/// Whether an engine is among those that a class is bound to.
pub fn open_to(class: &ClassSettings, member: &Member) -> bool {
    class.kinds.as_ref().is_none_or(|k| k.contains(&member.kind))
        && class.zones.as_ref().is_none_or(|z| z.contains(&member.zone))
}
