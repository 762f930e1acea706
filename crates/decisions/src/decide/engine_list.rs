//! Handles updates of the engine list and load reports from engines.

use super::load::{CONSERVATIVE_THREADS_PER_CORE, INITIAL_THREADS_PER_CORE};
use super::Gateway;
use crate::state::clock::Backoff;
use crate::{Action, EngineEntry, EngineId, ListKind, LoadReport, WhenMemoryFull};

impl Gateway {
    pub(super) fn update_engine_list(
        &mut self,
        kind: ListKind,
        entries: Vec<EngineEntry>,
        actions: &mut Vec<Action>,
    ) {
        self.list_backoff = Backoff::default();
        if kind != ListKind::Changes {
            self.engines.remove_missing(&entries);
        }
        for entry in entries {
            self.update_engine(entry);
        }
        self.engines.update_smallest(INITIAL_THREADS_PER_CORE);
        self.plan_all_groups();
        self.dispatch_waiting(actions);
    }

    fn update_engine(&mut self, entry: EngineEntry) {
        let machine = self.settings.machine(&entry.kind);
        let known = self.engines.index_of(&entry.engine);
        let requests = &self.requests;
        let in_use = |engine: usize| requests.values().any(|request| request.was_sent_to(engine));
        let index = known.unwrap_or_else(|| self.engines.insert(&entry.engine, in_use));
        let thread_limit = self.initial_threads_per_core() * machine.cores;
        let engine = &mut self.engines[index];
        if known.is_none() || entry.started > engine.started {
            engine.restarted(entry.started, thread_limit);
            self.health.zones.zone_mut(&entry.zone).engine_alive();
        }
        engine.cores = machine.cores;
        engine.memory_mb = machine.memory_mb;
        engine.kind = machine.kind;
        self.engines.store_entry(index, entry);
    }

    /// Initial limit on threads per core. It is lower if engines overcommit their memory, because
    /// too many concurrent queries then slow all of them down.
    fn initial_threads_per_core(&self) -> f64 {
        if self.settings.when_memory_full == WhenMemoryFull::Overcommits {
            CONSERVATIVE_THREADS_PER_CORE
        } else {
            INITIAL_THREADS_PER_CORE
        }
    }

    pub(super) fn store_report(&mut self, engine: &EngineId, report: Option<&LoadReport>) {
        let Some(index) = self.engines.index_of(engine) else {
            return;
        };
        let Some(report) = report else { return };
        self.engines[index].store_report(self.clock.now, report);
    }
}
