//! The engine list as the policy has it offered to the decision module.

use crate::{EngineEntry, EngineId, EngineState};
use beamgap_policy::rules::CompiledPolicy;
use std::collections::BTreeMap;

/// The engines as service discovery lists them, to offer them anew when the policy changes.
#[derive(Debug, Default)]
pub(super) struct ListedEngines {
    by_id: BTreeMap<EngineId, EngineEntry>,
}

impl ListedEngines {
    /// Takes in news of the list.
    pub(super) fn update(&mut self, replaces_all: bool, engines: &[EngineEntry]) {
        if replaces_all {
            self.by_id.clear();
        }
        for engine in engines {
            if engine.state == EngineState::Removed {
                self.by_id.remove(&engine.engine);
            } else {
                self.by_id.insert(engine.engine.clone(), engine.clone());
            }
        }
    }

    /// Engines that the second policy offers in another state than the first, as the second has them.
    pub(super) fn changed_between(
        &self,
        before: &CompiledPolicy,
        after: &CompiledPolicy,
    ) -> Vec<EngineEntry> {
        let mut changed = Vec::new();
        for engine in self.by_id.values() {
            let offered = under_policy(after, engine.clone());
            if under_policy(before, engine.clone()).state != offered.state {
                changed.push(offered);
            }
        }
        changed
    }
}

/// An engine as the policy has it offered: one that it excludes gets no new requests, and finishes what it has.
pub(super) fn under_policy(policy: &CompiledPolicy, engine: EngineEntry) -> EngineEntry {
    let is_excluded = engine.state == EngineState::Serving && policy.excludes(&engine.engine.0, &engine.zone);
    let state = if is_excluded { EngineState::Draining } else { engine.state };
    EngineEntry { state, ..engine }
}
