//! The engine list, with the engines that the policy excludes marked as draining for the decision module.

use crate::{EngineEntry, EngineId, EngineState};
use beamgap_policy::rules::CompiledPolicy;
use std::collections::BTreeMap;

/// The current engines as listed by service discovery, before the policy is applied. They are stored so that a policy
/// change can be applied to engines that were listed earlier.
#[derive(Debug, Default)]
pub(super) struct ListedEngines {
    by_id: BTreeMap<EngineId, EngineEntry>,
}

impl ListedEngines {
    /// Records an update of the list: the complete list if `replaces_all` is set, otherwise only changed entries.
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

    /// Returns the engines whose state differs between the two policies, with their state under the second one.
    pub(super) fn changed_between(
        &self,
        before: &CompiledPolicy,
        after: &CompiledPolicy,
    ) -> Vec<EngineEntry> {
        let mut changed = Vec::new();
        for engine in self.by_id.values() {
            let updated = apply_policy(after, engine.clone());
            if apply_policy(before, engine.clone()).state != updated.state {
                changed.push(updated);
            }
        }
        changed
    }
}

/// Changes the state of a serving engine that the policy excludes to draining: the engine finishes the requests that it
/// has and receives no new ones.
pub(super) fn apply_policy(policy: &CompiledPolicy, engine: EngineEntry) -> EngineEntry {
    let is_excluded = engine.state == EngineState::Serving && policy.excludes(&engine.engine.0, &engine.zone);
    let state = if is_excluded { EngineState::Draining } else { engine.state };
    EngineEntry { state, ..engine }
}
