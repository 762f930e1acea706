//! All engines that are known, and the tables that are held on them.

use super::engine::Engine;
use crate::{EngineEntry, EngineId, EngineState, Micros};
use std::collections::{BTreeMap, HashMap};
use std::ops::{Index, IndexMut};

/// Engines by their place in the table; a place is reused once its engine is gone and not in use.
#[derive(Default)]
pub struct EngineTable {
    engines: Vec<Engine>,
    index: HashMap<EngineId, usize>,
    /// Until when a table group counts as held on an engine.
    held_groups: BTreeMap<(usize, u64), Micros>,
    /// Least memory of a listed engine, in megabytes.
    pub smallest_memory_mb: f64,
    /// Least memory for one thread of a listed engine whose threads are at their first bound, in
    /// megabytes.
    pub smallest_memory_per_thread_mb: f64,
}

impl Index<usize> for EngineTable {
    type Output = Engine;

    fn index(&self, engine: usize) -> &Engine {
        &self.engines[engine]
    }
}

impl IndexMut<usize> for EngineTable {
    fn index_mut(&mut self, engine: usize) -> &mut Engine {
        &mut self.engines[engine]
    }
}

impl EngineTable {
    /// Engines in the table, those removed but still in use included.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// All engines by their place.
    pub fn iter(&self) -> std::slice::Iter<'_, Engine> {
        self.engines.iter()
    }

    /// All engines by their place, to be changed.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, Engine> {
        self.engines.iter_mut()
    }

    /// The engines that are listed and serving.
    pub fn listed(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().filter(|engine| engine.listed)
    }

    /// Place of an engine, if it is known.
    pub fn index_of(&self, id: &EngineId) -> Option<usize> {
        self.index.get(id).copied()
    }

    /// Marks all engines as gone, before a whole list is read.
    pub fn remove_all(&mut self) {
        for engine in &mut self.engines {
            engine.listed = false;
            engine.entry.state = EngineState::Removed;
        }
    }

    /// A place for an engine not known before: that of one that is gone and not in use, so that
    /// replacements of engines do not make the table grow.
    pub fn insert(&mut self, id: &EngineId, in_use: impl Fn(usize) -> bool) -> usize {
        let is_gone = |engine: &Engine| engine.entry.state == EngineState::Removed;
        let free =
            (0..self.engines.len()).find(|place| is_gone(&self.engines[*place]) && !in_use(*place));
        let place = free.unwrap_or(self.engines.len());
        if free.is_some() {
            let replaced = std::mem::replace(&mut self.engines[place], Engine::new(id));
            self.index.remove(&replaced.entry.engine);
        } else {
            self.engines.push(Engine::new(id));
        }
        self.index.insert(id.clone(), place);
        self.held_groups.retain(|(engine, _), _| *engine != place);
        place
    }

    /// Stores what the list says of an engine.
    pub fn store_entry(&mut self, engine: usize, entry: EngineEntry) {
        let engine = &mut self.engines[engine];
        engine.listed = entry.state == EngineState::Serving;
        engine.entry = entry;
    }

    /// Computes the smallest engine's figures anew, for `threads_per_core` at their bound.
    pub fn update_smallest(&mut self, threads_per_core: f64) {
        let least =
            |figure: fn(&Engine) -> f64| self.listed().map(figure).fold(f64::INFINITY, f64::min);
        let memory_mb = least(|engine| engine.memory_mb);
        let memory_per_core_mb = least(|engine| engine.memory_mb / engine.cores);
        self.smallest_memory_mb = memory_mb;
        self.smallest_memory_per_thread_mb = memory_per_core_mb / threads_per_core;
    }

    /// Whether a table group counts as held on an engine.
    pub fn holds_group(&self, engine: usize, group: u64, now: Micros) -> bool {
        self.held_groups
            .get(&(engine, group))
            .is_some_and(|until| *until > now)
    }

    /// Own work holds a table group until then.
    pub fn hold_group(&mut self, engine: usize, group: u64, until: Micros) {
        self.held_groups.insert((engine, group), until);
    }

    /// Something holds a table group; it counts as held until then unless more is known.
    pub fn observe_held_group(&mut self, engine: usize, group: u64, until: Micros) {
        self.held_groups.entry((engine, group)).or_insert(until);
    }

    /// Own work that held a table group has ended.
    pub fn release_group(&mut self, engine: usize, group: u64) {
        self.held_groups.remove(&(engine, group));
    }

    /// Forgets holds that have run out.
    pub fn expire_held_groups(&mut self, now: Micros) {
        self.held_groups.retain(|_, until| *until > now);
    }
}
