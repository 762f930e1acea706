//! The bulletin's events of the start, in JSON.

use crate::node::discovery::{ListEvent, ListedEngine};
use crate::node::json::{self, OwnedValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use crate::node::section::{address, wrong, ReadResult};
use crate::{EngineEntry, EngineId, EngineState, ListKind};
use std::sync::Arc;

/// Reads `known`: the bulletin's events so far, in JSON.
pub(super) fn read_known(known: &OwnedValue) -> ReadResult<Vec<ListEvent>> {
    let Some(items) = known.get("items").and_then(|items| items.as_array()) else {
        return wrong("known.items", "is not a list");
    };
    let mut news = Vec::new();
    for (i, item) in items.iter().enumerate() {
        let at = |key: &str| format!("known.items[{i}].{key}");
        let Some(number) = item.get("no").and_then(|no| no.as_u64()) else {
            return wrong(&at("no"), "is not a number");
        };
        let Some(roster) = item.get("roster") else { return wrong(&at("roster"), "is missing") };
        let Some(targets) = roster.get("targets").and_then(|t| t.as_array()) else {
            return wrong(&at("roster.targets"), "is not a list");
        };
        let whole = roster.get("all").and_then(|all| all.as_bool()).unwrap_or(false);
        let mut listings = Vec::new();
        for (j, target) in targets.iter().enumerate() {
            listings.push(read_target(target, &format!("known.items[{i}].roster.targets[{j}]"))?);
        }
        let kind = match (whole, news.is_empty()) {
            (true, true) => ListKind::Cached,
            (true, false) => ListKind::Full,
            (false, _) => ListKind::Changes,
        };
        news.push(ListEvent { number, kind, listings });
    }
    Ok(news)
}

fn read_target(target: &OwnedValue, path: &str) -> ReadResult<ListedEngine> {
    let at = |key: &str| format!("{path}.{key}");
    let text = |key: &str| match target.get(key).and_then(|v| v.as_str()) {
        Some(text) => Ok(text),
        None => wrong(&at(key), "is not a string"),
    };
    let number = |key: &str| target.get(key).and_then(json::number);
    let state = match text("state")? {
        "in_service" => EngineState::Serving,
        "terminating" => EngineState::Draining,
        "terminated" => EngineState::Removed,
        other => return wrong(&at("state"), format!("is '{other}'")),
    };
    Ok(ListedEngine {
        address: address(text("endpoint")?, &at("endpoint"))?,
        member: EngineEntry {
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
