//! The `known` section: events of the engine list, in JSON, that the node applies at its start or on a reload.

use crate::node::discovery::{ListEvent, ListedEngine};
use crate::node::json::{self, OwnedValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use crate::node::section::{address, invalid, ReadResult};
use crate::{EngineEntry, EngineId, EngineState, ListKind};
use std::sync::Arc;

/// Reads the events in the `known` section. A complete list that comes first is marked as cached, because it may be
/// outdated.
pub(super) fn read_initial_events(known: &OwnedValue) -> ReadResult<Vec<ListEvent>> {
    let Some(items) = known.get("items").and_then(|items| items.as_array()) else {
        return invalid("known.items", "is not a list");
    };
    let mut events = Vec::new();
    for (i, item) in items.iter().enumerate() {
        let at = |key: &str| format!("known.items[{i}].{key}");
        let Some(revision) = item.get("no").and_then(|no| no.as_u64()) else {
            return invalid(&at("no"), "is not a number");
        };
        let Some(roster) = item.get("roster") else { return invalid(&at("roster"), "is missing") };
        let Some(targets) = roster.get("targets").and_then(|t| t.as_array()) else {
            return invalid(&at("roster.targets"), "is not a list");
        };
        let is_complete = roster.get("all").and_then(|all| all.as_bool()).unwrap_or(false);
        let mut engines = Vec::new();
        for (j, target) in targets.iter().enumerate() {
            engines.push(read_target(target, &format!("known.items[{i}].roster.targets[{j}]"))?);
        }
        let kind = match (is_complete, events.is_empty()) {
            (true, true) => ListKind::Cached,
            (true, false) => ListKind::Full,
            (false, _) => ListKind::Changes,
        };
        events.push(ListEvent { revision, kind, engines });
    }
    Ok(events)
}

/// Reads one engine; `path` is the path of `target` in the settings, for errors.
fn read_target(target: &OwnedValue, path: &str) -> ReadResult<ListedEngine> {
    let at = |key: &str| format!("{path}.{key}");
    let text = |key: &str| match target.get(key).and_then(|v| v.as_str()) {
        Some(text) => Ok(text),
        None => invalid(&at(key), "is not a string"),
    };
    let number = |key: &str| target.get(key).and_then(json::number);
    let state = match text("state")? {
        "in_service" => EngineState::Serving,
        "terminating" => EngineState::Draining,
        "terminated" => EngineState::Removed,
        other => return invalid(&at("state"), format!("is '{other}', not an engine state")),
    };
    Ok(ListedEngine {
        address: address(text("endpoint")?, &at("endpoint"))?,
        entry: EngineEntry {
            engine: EngineId(Arc::from(text("uid")?)),
            zone: target.get("az").and_then(|v| v.as_str()).unwrap_or_default().to_owned(),
            kind: target.get("model").and_then(|v| v.as_str()).unwrap_or_default().to_owned(),
            size_hint: number("capacity_hint").unwrap_or(1.0),
            cell: number("pod_group").unwrap_or(0.0) as u64,
            started: number("boot_ms").filter(|ms| *ms > 0.0).map(crate::node::clock::to_micros),
            state,
        },
    })
}
