//! The one place where settings are read, checked and given defaults. Every error names the faulty key.

use super::bulletin::{Listing, News};
use super::json::{self, *};
use crate::settings::settings as read_settings;
use crate::{EngineId, ListKind, Member, MemberState, Micros, Settings};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

const SOCKETS: f64 = 1024.0; // where no limit is told: the usual soft limit of a process
const MEMORY_MB: f64 = 192.0; // where no limit is told: the least that the platform gives
const DIAL_MS: f64 = 250.0; // where no time-out for connecting is told
const IDLE_MS: f64 = 15_000.0; // where it is not told when idle connections are closed
const STREAMS: f64 = 100.0; // attempts on one connection, where not told
const OPEN_MOST: f64 = 30_000.0; // open requests, where not told
const BACKOFF_MOST: Micros = Micros::from_millis(1000); // longest advice to a refused client, where not told

/// A setting that is missing or wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The faulty key, as a path.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "config: {} {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

type Read<T> = Result<T, ConfigError>;

fn wrong<T>(key: &str, problem: impl Into<String>) -> Read<T> {
    Err(ConfigError { key: key.to_owned(), problem: problem.into() })
}

/// Everything that the node is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, for its log.
    pub name: String,
    /// Where the platform's clients connect; none if that front is off.
    pub listen: Option<SocketAddr>,
    /// Seed of all random draws.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that it may use, in megabytes.
    pub memory_mb: f64,
    /// Where the bulletin is, if there is one.
    pub bulletin: Option<SocketAddr>,
    /// The news of the start.
    pub known: Vec<News>,
    /// What the decision module is told.
    pub settings: Settings,
    /// Names of zones and machine kinds, as the bulletin counts them.
    pub zones: Vec<String>,
    /// Connecting may take this long, in milliseconds.
    pub dial_ms: f64,
    /// Idle connections are closed by the engines after this long, in milliseconds.
    pub idle_ms: f64,
    /// Attempts on one connection.
    pub streams: usize,
    /// Open requests at most.
    pub open_most: usize,
}

impl Config {
    /// Reads the text of a configuration file. `listen` stands in where the file names no address.
    pub fn read(text: Vec<u8>, listen: Option<&str>) -> Read<Config> {
        let root = json::read(text).or_else(|e| wrong("(file)", e))?;
        if root.as_object().is_none() {
            return wrong("(file)", "is not an object");
        }
        let Some(nested) = root.get("settings") else { return wrong("settings", "is missing") };
        let mut pairs = HashMap::new();
        flatten(nested, "", &mut pairs);
        let mut settings =
            read_settings(&pairs).or_else(|e| wrong("settings", format!("are wrong: {}", e.0)))?;
        // A refusal always says when to come back, whether or not the simulator's clients are told.
        let told = figure(&pairs, "Limits.MaxRetryAfter", 0.0)?;
        let most = if told > 0.0 { super::clock::to_micros(told) } else { BACKOFF_MOST };
        settings.retry_after = Some(settings.retry_after.unwrap_or(most));
        let zones = names(&pairs, "Azs");
        let kinds = names(&pairs, "MachineTypes");
        let listen = match text_of(&root, "listen")?.or(listen) {
            Some(text) => Some(address(text, "listen")?),
            None => None,
        };
        let seed = match text_of(&root, "seed")? {
            Some(hex) => u64::from_str_radix(hex, 16).or_else(|_| wrong("seed", "is not 16 hex digits"))?,
            None => 0,
        };
        let limit = |name: &str, absent: f64| match root.get("limits").and_then(|l| l.get(name)) {
            None => Ok(absent),
            Some(value) => match json::number(value).filter(|v| *v > 0.0) {
                Some(value) => Ok(value),
                None => wrong(&format!("limits.{name}"), "is not a number above 0"),
            },
        };
        let bulletin = text_of(&root, "bulletin")?.map(|text| address(text, "bulletin")).transpose()?;
        let mut config = Config {
            name: text_of(&root, "name")?.unwrap_or("beamgap").to_owned(),
            listen,
            seed,
            sockets: limit("sockets", SOCKETS)? as usize,
            memory_mb: limit("memory_mb", MEMORY_MB)?,
            bulletin,
            known: Vec::new(),
            settings,
            zones,
            dial_ms: figure(&pairs, "Limits.DialTimeout", DIAL_MS)?,
            idle_ms: figure(&pairs, "Limits.ConnIdle", IDLE_MS)?,
            streams: figure(&pairs, "Limits.StreamsPerConn", STREAMS)?.max(1.0) as usize,
            open_most: figure(&pairs, "Limits.MaxOpen", OPEN_MOST)?.max(1.0) as usize,
        };
        if config.sockets < 32 {
            return wrong("limits.sockets", "is under 32, too few to serve with");
        }
        for kind in kinds {
            // The adapter's reading fills these too; kinds without cores or memory still have a place.
            if !config.settings.kinds.iter().any(|k| k.name == kind) {
                config.settings.kinds.push(crate::KindSettings { name: kind, cores: None, memory_mb: None });
            }
        }
        config.known = match root.get("known") {
            Some(known) => read_known(known)?,
            None => Vec::new(),
        };
        Ok(config)
    }

    /// Descriptors for clients: a third, as the platform promises; the rest is for engines and the node itself.
    pub fn client_sockets(&self) -> usize {
        self.sockets / 3 + 8
    }
}

/// Nested JSON to the flat pairs of the simulator's wire.
fn flatten(value: &OwnedValue, path: &str, pairs: &mut HashMap<String, String>) {
    let at = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    if let Some(object) = value.as_object() {
        object.iter().for_each(|(name, value)| flatten(value, &at(name), pairs));
    } else if let Some(list) = value.as_array() {
        if list.iter().any(|item| item.as_object().is_some()) {
            pairs.insert(at("count"), list.len().to_string());
            list.iter().enumerate().for_each(|(i, item)| flatten(item, &at(&i.to_string()), pairs));
        } else {
            let plain: Vec<String> = list.iter().map(plain).collect();
            pairs.insert(path.to_owned(), plain.join(","));
        }
    } else {
        pairs.insert(path.to_owned(), plain(value));
    }
}

fn plain(value: &OwnedValue) -> String {
    match value {
        OwnedValue::String(text) => text.clone(),
        OwnedValue::Static(StaticNode::Null) => String::new(),
        OwnedValue::Static(node) => node.to_string(),
        _ => String::new(),
    }
}

fn figure(pairs: &HashMap<String, String>, path: &str, absent: f64) -> Read<f64> {
    match pairs.get(path).filter(|text| !text.is_empty()) {
        None => Ok(absent),
        Some(text) => match text.parse::<f64>() {
            Ok(value) if value.is_finite() && value >= 0.0 => Ok(value),
            _ => wrong(&format!("settings.{path}"), format!("is '{text}', not a number from 0")),
        },
    }
}

fn names(pairs: &HashMap<String, String>, path: &str) -> Vec<String> {
    let list = pairs.get(path).map(String::as_str).unwrap_or_default();
    list.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect()
}

fn text_of<'a>(root: &'a OwnedValue, key: &str) -> Read<Option<&'a str>> {
    match root.get(key) {
        None | Some(OwnedValue::Static(StaticNode::Null)) => Ok(None),
        Some(value) => value.as_str().map_or_else(|| wrong(key, "is not a string"), |text| Ok(Some(text))),
    }
}

fn address(text: &str, key: &str) -> Read<SocketAddr> {
    text.parse().or_else(|_| wrong(key, format!("is '{text}', not an address with a port")))
}

/// Reads `known`: the bulletin's events so far, in JSON.
fn read_known(known: &OwnedValue) -> Read<Vec<News>> {
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
        news.push(News { number, kind, listings });
    }
    Ok(news)
}

fn read_target(target: &OwnedValue, path: &str) -> Read<Listing> {
    let at = |key: &str| format!("{path}.{key}");
    let text = |key: &str| match target.get(key).and_then(|v| v.as_str()) {
        Some(text) => Ok(text),
        None => wrong(&at(key), "is not a string"),
    };
    let number = |key: &str| target.get(key).and_then(json::number);
    let state = match text("state")? {
        "in_service" => MemberState::Serving,
        "terminating" => MemberState::Draining,
        "terminated" => MemberState::Gone,
        other => return wrong(&at("state"), format!("is '{other}'")),
    };
    Ok(Listing {
        address: address(text("endpoint")?, &at("endpoint"))?,
        member: Member {
            engine: EngineId(Arc::from(text("uid")?)),
            zone: target.get("az").and_then(|v| v.as_str()).unwrap_or_default().to_owned(),
            kind: target.get("model").and_then(|v| v.as_str()).unwrap_or_default().to_owned(),
            size_hint: number("capacity_hint").unwrap_or(1.0),
            cell: number("pod_group").unwrap_or(0.0) as u64,
            started: number("boot_ms").filter(|ms| *ms > 0.0).map(super::clock::to_micros),
            state,
        },
    })
}
