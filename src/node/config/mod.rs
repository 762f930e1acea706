//! The one place where settings are read, checked and given defaults. Every error names the faulty key.

mod known;
pub mod mysql;
mod xds;

use super::bulletin::{Listing, News};
use super::json::{self, *};
use super::operator;
use crate::settings::read as read_settings;
use crate::{ClassId, EngineEntry, EngineId, EngineState, ListKind, Micros, Repeat, Settings};
use beamgap_xds::core::picture::{ColdTerms, Listener, Terms};
use beamgap_xds::transport::Service;
use known::read_known;
use mysql::read_mysql;
pub use mysql::{Account, MysqlSettings, OrderBy, Rule};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use xds::read_xds;

const SOCKETS: f64 = 1024.0; // where no limit is told: the usual soft limit of a process
const MEMORY_MB: f64 = 192.0; // where no limit is told: the least that the platform gives
const DIAL_MS: f64 = 250.0; // where no time-out for connecting is told
const IDLE_MS: f64 = 15_000.0; // where it is not told when idle connections are closed
const STREAMS: f64 = 100.0; // attempts on one connection, where not told
const BOX_CONNECTIONS: usize = 48; // to one MySQL box, where not told: six sessions on each of eight cores
const OPEN_MOST: f64 = 30_000.0; // open requests, where not told
const REST_MORE: Micros = Micros::from_millis(100); // that a key rests longer: what ended here may end there later
const BACKOFF_MOST: Micros = Micros::from_millis(1000); // longest advice to a refused client, where not told

/// A setting that is missing or wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The faulty key, as a path.
    pub key: String,
    /// What is wrong with it, and what to do where that can be told.
    pub problem: String,
    /// Where it stands, as `FILE:LINE:COLUMN`, if that is in an operator's file.
    pub place: Option<String>,
}

impl ConfigError {
    /// An error at a key, of which no place is known.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> ConfigError {
        ConfigError { key: key.into(), problem: problem.into(), place: None }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = self.place.iter().map(|place| format!("{place}: ")).collect::<String>();
        write!(f, "config: {place}{} {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

type Read<T> = Result<T, ConfigError>;

fn wrong<T>(key: &str, problem: impl Into<String>) -> Read<T> {
    Err(ConfigError::new(key, problem))
}

/// Everything that the node is told at its start.
#[derive(Clone)]
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
    /// The number of the last event that the news of the start covers.
    pub last: u64,
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
    /// The MySQL front and its boxes; none if it is off.
    pub mysql: Option<MysqlSettings>,
    /// Where balancers and proxies ask; nowhere unless an operator's file says so.
    pub control: ControlSettings,
    /// The service for proxies over xDS; none if it is off.
    pub xds: Option<Service>,
    /// How it takes part in a fleet; not at all unless an operator's file says so.
    pub fleet: Option<crate::fleet::settings::FleetSettings>,
    /// What of the settings has no use here, and what is assumed where they say nothing: lines for the log.
    pub fit: Vec<String>,
    /// The file's keys that count at the start only, to see on a reload which of them have changed.
    pub at_start: BTreeMap<String, OwnedValue>,
}

/// Where balancers and proxies ask.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlSettings {
    /// Health over HTTP, and xDS.
    pub http: Option<SocketAddr>,
    /// The agent check.
    pub agent: Option<SocketAddr>,
    /// The name of the cluster that xDS tells of.
    pub cluster: String,
}

impl Config {
    /// Reads the text of a configuration file. `env` gives the environment's variables: `NODE_LISTEN` stands in
    /// where the file names no address, and passwords stand only there.
    pub fn read(text: Vec<u8>, env: &dyn Fn(&str) -> Option<String>) -> Read<Config> {
        Config::read_both(text, None, env)
    }

    /// Likewise, with an operator's file in HCL: its name and its text. What that holds stands in neither file twice.
    pub fn read_both(
        text: Vec<u8>,
        operator: Option<(&str, &str)>,
        env: &dyn Fn(&str) -> Option<String>,
    ) -> Read<Config> {
        let mut root = json::read(text).or_else(|e| wrong("(file)", e))?;
        let Some((file, text)) = operator else { return Config::of(&root, env) };
        let document = operator::read(file, text)?;
        let located = |e: ConfigError| operator::located(&document, e);
        operator::merge(&document, &mut root).map_err(located)?;
        Config::of(&root, env).map_err(located)
    }

    fn of(root: &OwnedValue, env: &dyn Fn(&str) -> Option<String>) -> Read<Config> {
        if root.as_object().is_none() {
            return wrong("(file)", "is not an object");
        }
        let Some(nested) = root.get("settings") else { return wrong("settings", "is missing") };
        let mut pairs = HashMap::new();
        flatten(nested, "", &mut pairs);
        let (mut settings, fit) =
            read_settings(&pairs).or_else(|e| wrong("settings", format!("are wrong: {}", e.0)))?;
        // A refusal always says when to come back, whether or not the simulator's clients are told.
        let told = figure(&pairs, "Limits.MaxRetryAfter", 0.0)?;
        let most = if told > 0.0 { super::clock::to_micros(told) } else { BACKOFF_MOST };
        settings.retry_after = Some(settings.retry_after.unwrap_or(most));
        if settings.classes.iter().any(|c| c.in_order) {
            settings.key_rest = settings.key_rest.plus(REST_MORE);
        }
        let zones = names(&pairs, "Azs");
        let kinds = names(&pairs, "MachineTypes");
        let mysql = match root.get("mysql") {
            Some(mysql) => Some(read_mysql(mysql, &settings, env)?),
            None => None,
        };
        // The platform's front is off only where an operator's file has the other one and no address for this.
        let stand_in = env("NODE_LISTEN").filter(|_| mysql.is_none());
        if root.get("listen").is_none() && stand_in.is_none() && mysql.is_none() {
            return wrong("listen", "is missing");
        }
        let listen = match text_of(root, "listen")?.or(stand_in.as_deref()) {
            Some(text) => Some(address(text, "listen")?),
            None => None,
        };
        let seed = match text_of(root, "seed")? {
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
        let bulletin = text_of(root, "bulletin")?.map(|text| address(text, "bulletin")).transpose()?;
        let control = read_control(root)?;
        let xds = root.get("xds").map(|xds| read_xds(xds, &control, &settings)).transpose()?;
        if let Some(share) = xds.as_ref().and_then(|xds| xds.terms.cold).map(|cold| cold.proxy_share) {
            // To the module, the proxies are further gateways: it keeps to what is not theirs.
            settings.gateways = (f64::from(settings.gateways) / (1.0 - share)).ceil() as u32;
        }
        let mut config = Config {
            name: text_of(root, "name")?.unwrap_or("beamgap").to_owned(),
            listen,
            seed,
            sockets: limit("sockets", SOCKETS)? as usize,
            memory_mb: limit("memory_mb", MEMORY_MB)?,
            bulletin,
            known: Vec::new(),
            last: 0,
            settings,
            zones,
            dial_ms: figure(&pairs, "Limits.DialTimeout", DIAL_MS)?,
            idle_ms: figure(&pairs, "Limits.ConnIdle", IDLE_MS)?,
            streams: figure(&pairs, "Limits.StreamsPerConn", STREAMS)?.max(1.0) as usize,
            open_most: figure(&pairs, "Limits.MaxOpen", OPEN_MOST)?.max(1.0) as usize,
            mysql,
            control,
            xds,
            fleet: None,
            fit,
            at_start: at_start(root),
        };
        if let Some(fleet) = root.get("fleet") {
            config.fleet = Some(crate::fleet::settings::read(fleet, &config.name, env)?);
        }
        if config.sockets < 32 {
            return wrong("limits.sockets", "is under 32, too few to serve with");
        }
        for kind in kinds {
            // The adapter's reading fills these too; kinds without cores or memory still have a place.
            if !config.settings.kinds.iter().any(|k| k.name == kind) {
                config.settings.kinds.push(crate::KindSettings { name: kind, cores: None, memory_mb: None });
            }
        }
        if let Some(known) = root.get("known") {
            config.known = read_known(known)?;
            let last = config.known.iter().map(|news| news.number).max().unwrap_or(0);
            config.last = last.max(known.get("no").and_then(|no| no.as_u64()).unwrap_or(0));
        }
        Ok(config)
    }

    /// Descriptors for clients: the usual ones hold a third at most, as the platform promises, and those that only
    /// hold a connection need room beside them until they are let go. The rest is for engines and the node itself.
    pub fn client_sockets(&self) -> usize {
        self.sockets / 2
    }
}

/// All that a reload does not apply: it takes the bulletin's address and events, and nothing else.
fn at_start(root: &OwnedValue) -> BTreeMap<String, OwnedValue> {
    let keys = root.as_object().into_iter().flatten();
    let kept = keys.filter(|(key, _)| !matches!(key.as_str(), "bulletin" | "known"));
    kept.map(|(key, value)| (key.clone(), value.clone())).collect()
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

fn read_control(root: &OwnedValue) -> Read<ControlSettings> {
    let cluster = "query-boxes".to_owned();
    let Some(control) = root.get("control") else {
        return Ok(ControlSettings { cluster, ..ControlSettings::default() });
    };
    let text = |key: &str| {
        text_of(control, key).map_err(|e| ConfigError::new(format!("control.{}", e.key), e.problem))
    };
    let at = |key: &str| text(key)?.map(|text| address(text, &format!("control.{key}"))).transpose();
    Ok(ControlSettings {
        http: at("http")?,
        agent: at("agent")?,
        cluster: text("cluster")?.map_or(cluster, str::to_owned),
    })
}
