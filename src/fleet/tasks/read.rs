//! The `task` blocks of the operator's file. They take effect for the whole fleet by `beamgap task apply`.

use crate::node::json::{self, OwnedValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use crate::node::section::ConfigError;
use beamgap_config::schema::{Block, Key, Shape};
use beamgap_leases::{OnUnknownOutcome, Schedule, TaskSpec, MAX_STEPS, MAX_TASKS};

/// What an operator writes to have a task whose target checks no tokens.
pub const UNFENCED: &str = "two may act if a process stands still";

/// The window of a daily task whose block has none, in milliseconds.
const DEFAULT_WINDOW_MS: f64 = 3_600_000.0;
/// Milliseconds of a minute.
const MINUTE_MS: f64 = 60_000.0;

/// What a block may hold.
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

/// Reads all tasks of a `fleet` block.
///
/// # Errors
///
/// The first key that can't be used as it is.
pub fn read(fleet: &OwnedValue) -> Result<Vec<TaskSpec>, ConfigError> {
    let blocks = fleet.get("tasks").and_then(|list| list.as_array()).map_or(&[][..], |list| list.as_slice());
    let mut specs: Vec<TaskSpec> = Vec::new();
    for (index, block) in blocks.iter().enumerate() {
        let block = TaskBlock { index, block };
        let spec = block.read()?;
        if specs.iter().any(|other| other.name == spec.name) || specs.len() >= MAX_TASKS {
            let problem = format!("stands twice, or there are more than {MAX_TASKS} tasks");
            return Err(block.error("name", problem));
        }
        specs.push(spec);
    }
    Ok(specs)
}

/// One `task` block.
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

    /// Names with commas between them.
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
            return Err(self.error("call", format!("is '{url}'; write an address that begins with http://")));
        }
        Ok(url)
    }

    fn schedule(&self) -> Result<Schedule, ConfigError> {
        match (self.number("every_ms"), self.text("at")) {
            (Some(_), Some(_)) => Err(self.error("every", "and `at` exclude each other; keep one")),
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
            Some(UNFENCED) => Ok(false),
            Some(other) => {
                let fix = format!("a target that checks no tokens needs `unfenced = \"{UNFENCED}\"`");
                Err(self.error("unfenced", format!("is '{other}'; {fix}")))
            }
        }
    }
}

/// The minute of the day of a time like 02:30.
fn minute_of_day(time: &str) -> Option<u32> {
    let (hours, minutes) = time.split_once(':')?;
    let hours: u32 = hours.parse().ok()?;
    let minutes: u32 = minutes.parse().ok()?;
    (hours < 24 && minutes < 60).then_some(hours * 60 + minutes)
}
