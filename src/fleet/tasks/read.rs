//! The `task` blocks of the operator's file. They take effect by `beamgap task apply`, for the whole fleet.

use crate::node::json::{self, OwnedValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use crate::node::section::ConfigError;
use beamgap_config::schema::{Block, Key, Shape};
use beamgap_leases::spec::{Spec, Unknown, When};
use beamgap_leases::{STEPS_MOST, TASKS_MOST};

/// What an operator writes to have a task whose target checks no tokens.
pub const UNFENCED: &str = "two may act if a process stands still";

/// What may stand in a block.
pub fn schema() -> Block {
    let key = |name, setting, shape| Key { name, setting, shape, needed: false };
    let count = |least, most| Shape::Count { least, most };
    Block {
        name: "task",
        setting: "tasks",
        many: true,
        label: Some("name"),
        keys: vec![
            Key { needed: true, ..key("call", "call", Shape::Text) },
            key("every", "every_ms", Shape::Duration),
            key("at", "at", Shape::Text),
            key("window", "window_ms", Shape::Duration),
            key("steps", "steps", count(1.0, f64::from(STEPS_MOST))),
            key("step_time", "step_ms", Shape::Duration),
            key("lease", "lease_ms", Shape::Duration),
            key("zones", "zones", Shape::Text),
            key("members", "members", Shape::Text),
            key("unknown", "unknown", Shape::Text),
            key("tries", "tries", count(1.0, 100.0)),
            key("backoff", "backoff_ms", Shape::Duration),
            key("priority", "priority", count(0.0, 255.0)),
            key("unfenced", "unfenced", Shape::Text),
        ],
        blocks: Vec::new(),
    }
}

/// Reads all tasks of a `fleet` block.
pub fn read(fleet: &OwnedValue) -> Result<Vec<Spec>, ConfigError> {
    let list = fleet.get("tasks").and_then(|list| list.as_array()).map_or(&[][..], |list| list.as_slice());
    let mut all: Vec<Spec> = Vec::new();
    for (i, block) in list.iter().enumerate() {
        let wrong = |key: &str, problem: String| ConfigError::new(format!("fleet.tasks[{i}].{key}"), problem);
        let spec = one(block, &wrong)?;
        if all.iter().any(|other| other.name == spec.name) || all.len() >= TASKS_MOST {
            return Err(wrong("name", format!("stands twice, or there are more than {TASKS_MOST} tasks")));
        }
        all.push(spec);
    }
    Ok(all)
}

fn one(block: &OwnedValue, wrong: &dyn Fn(&str, String) -> ConfigError) -> Result<Spec, ConfigError> {
    let text = |key: &str| block.get(key).and_then(|v| v.as_str());
    let number = |key: &str| block.get(key).and_then(json::number);
    let names = |key: &str| {
        let names = text(key).unwrap_or_default().split(',').map(str::trim);
        names.filter(|name| !name.is_empty()).map(str::to_owned).collect::<Vec<_>>()
    };
    let call = text("call").unwrap_or_default();
    if !call.starts_with("http://") {
        return Err(wrong("call", format!("is '{call}'; write an address that begins with http://")));
    }
    let when = match (number("every_ms"), text("at")) {
        (Some(_), Some(_)) => return Err(wrong("every", "and `at` exclude each other; keep one".to_owned())),
        (Some(ms), None) => When::Every(ms),
        (None, None) => When::Asked,
        (None, Some(at)) => {
            let window = number("window_ms").unwrap_or(3_600_000.0) / 60_000.0;
            let minute = at.split_once(':').and_then(|(h, m)| {
                let (h, m) = (h.parse::<u32>().ok()?, m.parse::<u32>().ok()?);
                (h < 24 && m < 60).then_some(h * 60 + m)
            });
            let minute =
                minute.ok_or_else(|| wrong("at", format!("is '{at}', not a time like 02:30 (UTC)")))?;
            When::At { minute, window: window.ceil() as u32 }
        }
    };
    let unknown = match text("unknown").unwrap_or("halt") {
        "halt" => Unknown::Halt,
        "skip" => Unknown::Skip,
        "repeat" => Unknown::Repeat,
        other => return Err(wrong("unknown", format!("is '{other}'; write halt, skip or repeat"))),
    };
    if let Some(words) = text("unfenced").filter(|words| *words != UNFENCED) {
        let fix = format!("is '{words}'; a target that checks no tokens needs `unfenced = \"{UNFENCED}\"`");
        return Err(wrong("unfenced", fix));
    }
    let mut spec = Spec::new(text("name").unwrap_or_default(), when, call);
    (spec.unknown, spec.fenced) = (unknown, text("unfenced").is_none());
    (spec.zones, spec.members) = (names("zones"), names("members"));
    spec.steps = number("steps").map_or(spec.steps, |n| n as u32);
    spec.step = number("step_ms").unwrap_or(spec.step);
    spec.lease = number("lease_ms").unwrap_or(spec.lease);
    spec.tries = number("tries").map_or(spec.tries, |n| n as u32);
    spec.backoff = number("backoff_ms").unwrap_or(spec.backoff);
    spec.priority = number("priority").map_or(spec.priority, |n| n as u8);
    match spec.problem() {
        Some((key, problem)) => Err(wrong(key, problem)),
        None => Ok(spec),
    }
}
