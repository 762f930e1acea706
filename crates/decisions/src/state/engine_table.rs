//! All known engines, and the locks on table groups that their queries hold.

use super::engine::Engine;
use crate::{EngineEntry, EngineId, EngineState, Micros};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::{Index, IndexMut};

/// Engines by index. The index of a removed engine is reused once no open request refers to it.
#[derive(Default)]
pub struct EngineTable {
    engines: Vec<Engine>,
    index_by_id: HashMap<EngineId, usize>,
    /// Time until which a table group is assumed to be locked on an engine, by the engine's index
    /// and the number of the group.
    locked_groups: BTreeMap<(usize, u64), Micros>,
    /// Smallest memory of any listed engine, in megabytes.
    pub smallest_memory_mb: f64,
    /// Smallest memory per thread of any listed engine, in megabytes, if each engine runs as many
    /// threads as its initial thread limit allows.
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
    /// Returns the number of engines in the table, including removed ones.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Iterates over all engines in the order of their indices.
    pub fn iter(&self) -> std::slice::Iter<'_, Engine> {
        self.engines.iter()
    }

    /// Iterates over all engines in the order of their indices, for modification.
    pub fn iter_mut(&mut self) -> std::slice::IterMut<'_, Engine> {
        self.engines.iter_mut()
    }

    /// Iterates over the engines that are in the engine list and accept new work.
    pub fn listed(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().filter(|engine| engine.listed)
    }

    /// Returns the index of an engine, if the engine is known.
    pub fn index_of(&self, id: &EngineId) -> Option<usize> {
        self.index_by_id.get(id).copied()
    }

    /// Marks the engines that a complete engine list leaves out as removed. The others keep their
    /// index, whichever engines come before them in the list.
    pub fn remove_missing(&mut self, list: &[EngineEntry]) {
        let named: HashSet<&EngineId> = list.iter().map(|entry| &entry.engine).collect();
        for engine in &mut self.engines {
            if !named.contains(&engine.entry.engine) {
                engine.listed = false;
                engine.entry.state = EngineState::Removed;
            }
        }
    }

    /// Adds a new engine and returns its index. The index of a removed engine for which `in_use`
    /// returns false is reused, so that the table does not grow as engines are replaced.
    pub fn insert(&mut self, id: &EngineId, in_use: impl Fn(usize) -> bool) -> usize {
        let is_gone = |engine: &Engine| engine.entry.state == EngineState::Removed;
        let free =
            (0..self.engines.len()).find(|index| is_gone(&self.engines[*index]) && !in_use(*index));
        let index = free.unwrap_or(self.engines.len());
        if free.is_some() {
            let replaced = std::mem::replace(&mut self.engines[index], Engine::new(id));
            self.index_by_id.remove(&replaced.entry.engine);
        } else {
            self.engines.push(Engine::new(id));
        }
        self.index_by_id.insert(id.clone(), index);
        self.locked_groups.retain(|(engine, _), _| *engine != index);
        index
    }

    /// Stores an engine's entry from the engine list.
    pub fn store_entry(&mut self, engine: usize, entry: EngineEntry) {
        let engine = &mut self.engines[engine];
        engine.listed = entry.state == EngineState::Serving;
        engine.entry = entry;
    }

    /// Recomputes the smallest memory figures of the listed engines. `threads_per_core` is the
    /// initial limit on the threads of an engine per core.
    pub fn update_smallest(&mut self, threads_per_core: f64) {
        let least =
            |figure: fn(&Engine) -> f64| self.listed().map(figure).fold(f64::INFINITY, f64::min);
        let memory_mb = least(|engine| engine.memory_mb);
        let memory_per_core_mb = least(|engine| engine.memory_mb / engine.cores);
        self.smallest_memory_mb = memory_mb;
        self.smallest_memory_per_thread_mb = memory_per_core_mb / threads_per_core;
    }

    /// Returns whether a table group is assumed to be locked on an engine.
    pub fn is_group_locked(&self, engine: usize, group: u64, now: Micros) -> bool {
        self.locked_groups
            .get(&(engine, group))
            .is_some_and(|until| *until > now)
    }

    /// Records that an attempt of this gateway locks a table group, until `until` at the latest.
    pub fn lock_group(&mut self, engine: usize, group: u64, until: Micros) {
        self.locked_groups.insert((engine, group), until);
    }

    /// Records that another query was found to lock a table group. `until` applies only if no lock
    /// on that group is recorded yet.
    pub fn observe_group_lock(&mut self, engine: usize, group: u64, until: Micros) {
        self.locked_groups.entry((engine, group)).or_insert(until);
    }

    /// Removes the lock on a table group after this gateway's attempt that held it has ended.
    pub fn unlock_group(&mut self, engine: usize, group: u64) {
        self.locked_groups.remove(&(engine, group));
    }

    /// Removes expired locks on table groups.
    pub fn expire_group_locks(&mut self, now: Micros) {
        self.locked_groups.retain(|_, until| *until > now);
    }
}
