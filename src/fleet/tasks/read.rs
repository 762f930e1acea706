//! Reads the `task` blocks of the configuration file. `beamgap task apply` applies them to the whole fleet.

use crate::node::json::{self, OwnedValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use crate::node::section::ConfigError;
use beamgap_config::schema::{Block, Key, Shape};
use beamgap_leases::{OnUnknownOutcome, Schedule, TaskSpec, MAX_STEPS, MAX_TASKS};

/// The value of the key `unfenced` that an operator must write for a task whose target ignores fencing tokens.
///
/// With such a target two members may act at the same time: one of them was suspended and resumes after its lease has
/// expired. The required text makes the operator acknowledge that.
pub const UNFENCED_ACKNOWLEDGEMENT: &str = "two may act if a process stands still";

/// Default of the key `window`, in milliseconds: how long after its time of day a daily run may still start.
const DEFAULT_WINDOW_MS: f64 = 3_600_000.0;
/// Number of milliseconds in a minute.
const MINUTE_MS: f64 = 60_000.0;

/// Describes the keys that a `task` block may contain.
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
            key("steps", "steps", count(1.0, f64::from(MAX_STEPS))),
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

/// Reads all `task` blocks of a `fleet` block.
///
/// # Errors
///
/// The first key with an invalid value.
pub fn read(fleet: &OwnedValue) -> Result<Vec<TaskSpec>, ConfigError> {
    let blocks = fleet.get("tasks").and_then(|list| list.as_array()).map_or(&[][..], |list| list.as_slice());
    let mut specs: Vec<TaskSpec> = Vec::new();
    for (index, block) in blocks.iter().enumerate() {
        let block = TaskBlock { index, block };
        let spec = block.read()?;
        if specs.iter().any(|other| other.name == spec.name) || specs.len() >= MAX_TASKS {
            let problem = format!("is used twice, or there are more than {MAX_TASKS} tasks");
            return Err(block.error("name", problem));
        }
        specs.push(spec);
    }
    Ok(specs)
}

/// One `task` block and its index in the list, which error messages contain.
struct TaskBlock<'a> {
    index: usize,
    block: &'a OwnedValue,
}

impl TaskBlock<'_> {
    fn error(&self, key: &str, problem: impl Into<String>) -> ConfigError {
        ConfigError::new(format!("fleet.tasks[{}].{key}", self.index), problem)
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.block.get(key).and_then(|value| value.as_str())
    }

    fn number(&self, key: &str) -> Option<f64> {
        self.block.get(key).and_then(json::number)
    }

    /// Splits the comma-separated names of a key's value.
    fn names(&self, key: &str) -> Vec<String> {
        let names = self.text(key).unwrap_or_default().split(',').map(str::trim);
        names.filter(|name| !name.is_empty()).map(str::to_owned).collect()
    }

    fn read(&self) -> Result<TaskSpec, ConfigError> {
        let url = self.url()?;
        let schedule = self.schedule()?;
        let on_unknown = self.on_unknown()?;
        let requires_fencing = self.requires_fencing()?;
        let defaults = TaskSpec::new(self.text("name").unwrap_or_default(), schedule, url);
        let spec = TaskSpec {
            on_unknown,
            requires_fencing,
            zones: self.names("zones"),
            members: self.names("members"),
            step_count: self.number("steps").map_or(defaults.step_count, |count| count as u32),
            max_step_ms: self.number("step_ms").unwrap_or(defaults.max_step_ms),
            lease_ms: self.number("lease_ms").unwrap_or(defaults.lease_ms),
            max_attempts: self.number("tries").map_or(defaults.max_attempts, |count| count as u32),
            backoff_ms: self.number("backoff_ms").unwrap_or(defaults.backoff_ms),
            priority: self.number("priority").map_or(defaults.priority, |priority| priority as u8),
            ..defaults
        };
        spec.validate().map_err(|invalid| self.error(invalid.key(), invalid.to_string()))?;
        Ok(spec)
    }

    fn url(&self) -> Result<&str, ConfigError> {
        let url = self.text("call").unwrap_or_default();
        if !url.starts_with("http://") {
            return Err(self.error("call", format!("is '{url}'; write a URL that begins with http://")));
        }
        Ok(url)
    }

    fn schedule(&self) -> Result<Schedule, ConfigError> {
        match (self.number("every_ms"), self.text("at")) {
            (Some(_), Some(_)) => Err(self.error("every", "and `at` exclude each other; remove one of them")),
            (Some(interval_ms), None) => Ok(Schedule::Every(interval_ms)),
            (None, None) => Ok(Schedule::OnDemand),
            (None, Some(at)) => self.daily(at),
        }
    }

    fn daily(&self, at: &str) -> Result<Schedule, ConfigError> {
        let Some(minute) = minute_of_day(at) else {
            return Err(self.error("at", format!("is '{at}', not a time like 02:30 (UTC)")));
        };
        let window = self.number("window_ms").unwrap_or(DEFAULT_WINDOW_MS) / MINUTE_MS;
        Ok(Schedule::Daily { minute, window: window.ceil() as u32 })
    }

    fn on_unknown(&self) -> Result<OnUnknownOutcome, ConfigError> {
        match self.text("unknown").unwrap_or("halt") {
            "halt" => Ok(OnUnknownOutcome::Halt),
            "skip" => Ok(OnUnknownOutcome::Skip),
            "repeat" => Ok(OnUnknownOutcome::Repeat),
            other => Err(self.error("unknown", format!("is '{other}'; write halt, skip or repeat"))),
        }
    }

    fn requires_fencing(&self) -> Result<bool, ConfigError> {
        match self.text("unfenced") {
            None => Ok(true),
            Some(UNFENCED_ACKNOWLEDGEMENT) => Ok(false),
            Some(other) => {
                let fix = format!(
                    "a target that checks no tokens needs `unfenced = \"{UNFENCED_ACKNOWLEDGEMENT}\"`"
                );
                Err(self.error("unfenced", format!("is '{other}'; {fix}")))
            }
        }
    }
}

/// Parses a time of day such as 02:30 and returns the minutes since midnight.
fn minute_of_day(time: &str) -> Option<u32> {
    let (hours, minutes) = time.split_once(':')?;
    let hours: u32 = hours.parse().ok()?;
    let minutes: u32 = minutes.parse().ok()?;
    (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
}
