//! The operator's file in HCL: what may stand in it, and how it joins the platform's configuration.
//!
//! Its blocks become the sections `mysql`, `control`, `xds` and `fleet` of the settings, which `config.rs` checks for their
//! meaning. So an operator's file and the JSON form of these sections mean the same.

use super::config::ConfigError;
use super::json::{self, OwnedValue, ValueAsObject};
use beamgap_config::schema::{Block, Key, Shape};
use beamgap_config::Document;

fn key(name: &'static str, setting: &'static str, shape: Shape) -> Key {
    Key { name, setting, shape, needed: false }
}

fn needed(name: &'static str, shape: Shape) -> Key {
    Key { name, setting: name, shape, needed: true }
}

fn count(least: f64, most: f64) -> Shape {
    Shape::Count { least, most }
}

/// What may stand in an operator's file.
pub fn schema() -> Block {
    let account = Block {
        name: "account",
        setting: "accounts",
        many: true,
        label: Some("user"),
        keys: vec![key("password_env", "password_env", Shape::Text), key("tenant", "tenant", Shape::Text)],
        blocks: Vec::new(),
    };
    let rule = Block {
        name: "rule",
        setting: "rules",
        many: true,
        keys: vec![
            needed("class", Shape::Text),
            key("verb", "verb", Shape::Text),
            key("mentions", "mentions", Shape::Text),
            key("budget", "budget_ms", Shape::Duration),
            key("work", "work_ms", Shape::Duration),
            key("memory", "memory_mb", Shape::Size),
            key("order_by", "order_by", Shape::Text),
        ],
        ..Block::default()
    };
    let mysql = Block {
        name: "mysql",
        setting: "mysql",
        keys: vec![
            needed("listen", Shape::Address),
            needed("default_class", Shape::Text),
            needed("box_user", Shape::Text),
            key("box_password_env", "box_password_env", Shape::Text),
            key("box_connections", "box_connections", count(1.0, 10_000.0)),
        ],
        blocks: vec![account, rule],
        ..Block::default()
    };
    let control = Block {
        name: "control",
        setting: "control",
        keys: vec![
            key("http", "http", Shape::Address),
            key("agent", "agent", Shape::Address),
            key("cluster", "cluster", Shape::Text),
        ],
        ..Block::default()
    };
    let listener = Block {
        name: "listener",
        setting: "listeners",
        many: true,
        label: Some("name"),
        keys: vec![needed("address", Shape::Address)],
        blocks: Vec::new(),
    };
    let xds = Block {
        name: "xds",
        setting: "xds",
        keys: vec![
            needed("listen", Shape::Address),
            key("plaintext_beyond_loopback", "plaintext_beyond_loopback", Shape::Flag),
            key("proxy_share", "proxy_share", Shape::Share),
            key("request_work", "request_work_ms", Shape::Duration),
            key("request_time", "request_ms", Shape::Duration),
            key("connect_time", "connect_ms", Shape::Duration),
            key("lease_ttl", "ttl_ms", Shape::Duration),
            key("late_most", "late_ms", Shape::Duration),
            key("ack_time", "ack_ms", Shape::Duration),
            key("settle_time", "settle_ms", Shape::Duration),
            key("streams_most", "streams_most", count(1.0, 100_000.0)),
        ],
        blocks: vec![listener],
        ..Block::default()
    };
    Block { blocks: vec![mysql, control, xds, crate::fleet::settings::schema()], ..Block::default() }
}

/// Reads an operator's file. All faults are told, the first as the error and the others in its text.
pub fn read(file: &str, text: &str) -> Result<Document, ConfigError> {
    beamgap_config::read(file, text, &schema()).map_err(|problems| {
        let mut lines = problems.iter();
        let Some(first) = lines.next() else { return ConfigError::new("(file)", "can't be read") };
        let more: String = lines.map(|p| format!("\n  {p}")).collect();
        ConfigError {
            key: first.key.clone(),
            problem: format!("{}; {}{more}", first.problem, first.fix),
            place: Some(format!("{}:{}:{}", first.file, first.place.line, first.place.column)),
        }
    })
}

/// Puts the operator's sections beside what the platform says.
pub fn merge(document: &Document, root: &mut OwnedValue) -> Result<(), ConfigError> {
    let OwnedValue::Object(of) = root else { return Err(ConfigError::new("(file)", "is not an object")) };
    let sections = json::read(document.root.json().into_bytes());
    let sections = sections.map_err(|e| ConfigError::new(document.file.clone(), e))?;
    for (name, section) in sections.as_object().into_iter().flatten() {
        if of.contains_key(name) {
            let problem = "stands in the platform's configuration too; keep it in the operator's file alone";
            return Err(ConfigError::new(name.clone(), problem));
        }
        of.insert(name.clone(), section.clone());
    }
    Ok(())
}

/// Adds the place in the operator's file to an error about what stands there.
pub fn located(document: &Document, error: ConfigError) -> ConfigError {
    match document.place(&error.key).filter(|_| error.place.is_none()) {
        Some(at) => {
            ConfigError { place: Some(format!("{}:{}:{}", document.file, at.line, at.column)), ..error }
        }
        None => error,
    }
}
