//! The one place where the settings are read as a whole: it joins the sections, each of which is read, checked and given
//! its defaults by a module of its own. Every error names the faulty key.

mod control;
mod flat_settings;
mod initial_list;
pub mod mysql;
mod schema;
mod xds;

use super::discovery::ListEvent;
use super::json::{self, OwnedValue, ValueAsObject, ValueAsScalar, ValueObjectAccess};
use super::operator;
use super::section::{address, text_of, wrong, ReadResult};
use crate::fleet::settings as fleet_settings;
use crate::settings::read_settings_with_notes;
use crate::{KindSettings, Micros, Settings};
use beamgap_config::schema::Block;
use beamgap_config::Document;
use beamgap_xds::transport::Service;
pub use control::ControlSettings;
use flat_settings::Pairs;
use initial_list::read_known;
use mysql::read_mysql;
pub use mysql::{Account, MysqlSettings, OrderBy, Rule};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub use super::section::ConfigError;

/// File descriptors where no limit is given: the usual soft limit of a process.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Fewest file descriptors to serve with.
const MIN_SOCKETS: usize = 32;
/// Memory where no limit is given, in megabytes: the least that the platform gives.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Time to connect where none is given, in milliseconds.
const DEFAULT_DIAL_MS: f64 = 250.0;
/// Time after which engines close an idle connection, where none is given, in milliseconds.
const DEFAULT_IDLE_MS: f64 = 15_000.0;
/// Attempts on one connection where no number is given.
const DEFAULT_STREAMS: f64 = 100.0;
/// Open requests where no limit is given.
const DEFAULT_MAX_OPEN: f64 = 30_000.0;
/// Addition to the rest of an ordered key: what ended here may end later at the engine.
const EXTRA_KEY_REST: Micros = Micros::from_millis(100);
/// Longest Retry-After of a rejection where none is given.
const DEFAULT_MAX_RETRY_AFTER: Micros = Micros::from_millis(1000);

/// The settings of the node.
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
    pub known: Vec<ListEvent>,
    /// The number of the last event that the news of the start covers.
    pub last: u64,
    /// The settings of the decision module.
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
    pub fleet: Option<fleet_settings::FleetSettings>,
    /// What of the settings has no use here, and what is assumed where they say nothing: lines for the log.
    pub fit: Vec<String>,
    /// The file's keys that count at the start only, to see on a reload which of them have changed.
    pub at_start: BTreeMap<String, OwnedValue>,
}

/// The platform's part of the settings.
struct PlatformSettings {
    pairs: Pairs,
    module: Settings,
    /// Lines for the log: what has no use here, and what is assumed.
    notes: Vec<String>,
}

/// What may stand in an operator's file: the blocks of all sections.
pub fn operator_schema() -> Block {
    let blocks = vec![mysql::schema(), control::schema(), xds::schema(), fleet_settings::schema()];
    Block { blocks, ..Block::default() }
}

/// Reads an operator's file by [`operator_schema`].
///
/// # Errors
/// All that does not fit the schema.
pub fn read_operator_file(file: &str, text: &str) -> ReadResult<Document> {
    operator::read(file, text, &operator_schema())
}

impl Config {
    /// Reads the text of a configuration file. `env` gives the environment's variables: `NODE_LISTEN` stands in
    /// where the file names no address, and passwords stand only there.
    ///
    /// # Errors
    /// The first setting that is missing or wrong.
    pub fn read(text: Vec<u8>, env: &dyn Fn(&str) -> Option<String>) -> ReadResult<Config> {
        Config::read_both(text, None, env)
    }

    /// Likewise, with an operator's file in HCL: its name and its text. No section may stand in both.
    ///
    /// # Errors
    /// The first setting that is missing or wrong.
    pub fn read_both(
        text: Vec<u8>,
        operator: Option<(&str, &str)>,
        env: &dyn Fn(&str) -> Option<String>,
    ) -> ReadResult<Config> {
        let mut root = json::read(text).or_else(|e| wrong("(file)", e))?;
        let Some((file, text)) = operator else { return Config::join(&root, env) };
        let document = read_operator_file(file, text)?;
        let located = |error: ConfigError| operator::located(&document, error);
        operator::merge(&document, &mut root).map_err(located)?;
        Config::join(&root, env).map_err(located)
    }

    /// Reads all sections.
    fn join(root: &OwnedValue, env: &dyn Fn(&str) -> Option<String>) -> ReadResult<Config> {
        let PlatformSettings { pairs, mut module, notes } = read_platform(root)?;
        let mysql = root.get("mysql").map(|mysql| read_mysql(mysql, &module, env)).transpose()?;
        let listen = read_listen(root, mysql.is_some(), env)?;
        let seed = read_seed(root)?;
        let bulletin = text_of(root, "bulletin")?.map(|text| address(text, "bulletin")).transpose()?;
        let control = control::read_control(root)?;
        let xds = root.get("xds").map(|xds| xds::read_xds(xds, &control, &module)).transpose()?;
        if let Some(share) = xds.as_ref().and_then(|xds| xds.terms.cold).map(|cold| cold.proxy_share) {
            // To the module, the proxies are further gateways: it keeps to what is not theirs.
            module.gateways = (f64::from(module.gateways) / (1.0 - share)).ceil() as u32;
        }
        let mut config = Config {
            name: text_of(root, "name")?.unwrap_or("beamgap").to_owned(),
            listen,
            seed,
            sockets: read_limit(root, "sockets", DEFAULT_SOCKETS)? as usize,
            memory_mb: read_limit(root, "memory_mb", DEFAULT_MEMORY_MB)?,
            bulletin,
            known: Vec::new(),
            last: 0,
            settings: module,
            zones: pairs.names("Azs"),
            dial_ms: pairs.number("Limits.DialTimeout", DEFAULT_DIAL_MS)?,
            idle_ms: pairs.number("Limits.ConnIdle", DEFAULT_IDLE_MS)?,
            streams: pairs.number("Limits.StreamsPerConn", DEFAULT_STREAMS)?.max(1.0) as usize,
            open_most: pairs.number("Limits.MaxOpen", DEFAULT_MAX_OPEN)?.max(1.0) as usize,
            mysql,
            control,
            xds,
            fleet: None,
            fit: notes,
            at_start: at_start(root),
        };
        if let Some(fleet) = root.get("fleet") {
            config.fleet = Some(fleet_settings::read(fleet, &config.name, env)?);
        }
        if config.sockets < MIN_SOCKETS {
            return wrong("limits.sockets", "is under 32, too few to serve with");
        }
        config.add_kinds(pairs.names("MachineTypes"));
        config.add_known(root)?;
        Ok(config)
    }

    /// Adds the kinds of machines without cores or memory, which have a place too.
    fn add_kinds(&mut self, names: Vec<String>) {
        for name in names {
            if !self.settings.kinds.iter().any(|kind| kind.name == name) {
                self.settings.kinds.push(KindSettings { name, cores: None, memory_mb: None });
            }
        }
    }

    /// Adds the events that are known at the start.
    fn add_known(&mut self, root: &OwnedValue) -> ReadResult<()> {
        let Some(known) = root.get("known") else { return Ok(()) };
        self.known = read_known(known)?;
        let last = self.known.iter().map(|news| news.number).max().unwrap_or(0);
        self.last = last.max(known.get("no").and_then(|no| no.as_u64()).unwrap_or(0));
        Ok(())
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

fn read_platform(root: &OwnedValue) -> ReadResult<PlatformSettings> {
    if root.as_object().is_none() {
        return wrong("(file)", "is not an object");
    }
    let Some(nested) = root.get("settings") else { return wrong("settings", "is missing") };
    let pairs = Pairs::flatten(nested);
    let (mut module, notes) =
        read_settings_with_notes(&pairs.0).or_else(|e| wrong("settings", format!("are wrong: {e}")))?;
    // A rejection always carries a Retry-After, whether or not the simulator's clients are given one.
    let longest = pairs.number("Limits.MaxRetryAfter", 0.0)?;
    let longest = if longest > 0.0 { super::clock::to_micros(longest) } else { DEFAULT_MAX_RETRY_AFTER };
    module.retry_after = Some(module.retry_after.unwrap_or(longest));
    if module.classes.iter().any(|class| class.in_order) {
        module.key_rest = module.key_rest.plus(EXTRA_KEY_REST);
    }
    Ok(PlatformSettings { pairs, module, notes })
}

/// The address of the platform's front. It is off only where the settings have the MySQL front and no address for it.
fn read_listen(
    root: &OwnedValue,
    has_mysql: bool,
    env: &dyn Fn(&str) -> Option<String>,
) -> ReadResult<Option<SocketAddr>> {
    let stand_in = env("NODE_LISTEN").filter(|_| !has_mysql);
    if root.get("listen").is_none() && stand_in.is_none() && !has_mysql {
        return wrong("listen", "is missing");
    }
    let text = text_of(root, "listen")?.or(stand_in.as_deref());
    text.map(|text| address(text, "listen")).transpose()
}

fn read_seed(root: &OwnedValue) -> ReadResult<u64> {
    match text_of(root, "seed")? {
        Some(hex) => u64::from_str_radix(hex, 16).or_else(|_| wrong("seed", "is not 16 hex digits")),
        None => Ok(0),
    }
}

fn read_limit(root: &OwnedValue, name: &str, default: f64) -> ReadResult<f64> {
    match root.get("limits").and_then(|limits| limits.get(name)) {
        None => Ok(default),
        Some(value) => match json::number(value).filter(|number| *number > 0.0) {
            Some(number) => Ok(number),
            None => wrong(&format!("limits.{name}"), "is not a number above 0"),
        },
    }
}
