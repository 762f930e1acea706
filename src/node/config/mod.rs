//! Loading of the node's configuration. Each section is read, validated and completed with defaults by its own module,
//! and [`Config`] combines the sections. Every error names the key of the invalid setting.

mod control;
mod flat_settings;
mod initial_list;
pub mod mysql;
mod schema;
mod xds;

use super::discovery::ListEvent;
use super::json::{self, OwnedValue, ValueAsObject, ValueAsScalar, ValueObjectAccess};
use super::operator;
use super::section::{address, invalid, text_of, ReadResult};
use crate::fleet::settings as fleet_settings;
use crate::settings::read_settings_with_notes;
use crate::{KindSettings, Micros, Settings};
use beamgap_config::schema::Block;
use beamgap_config::Document;
use beamgap_xds::transport::Service;
pub use control::ControlSettings;
use flat_settings::FlatSettings;
use initial_list::read_initial_events;
use mysql::read_mysql;
pub use mysql::{Account, ClassRule, MysqlSettings, OrderBy};
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub use super::section::ConfigError;

/// Default maximum number of file descriptors, which is the usual soft limit of a process.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Smallest number of file descriptors with which the node starts.
const MIN_SOCKETS: usize = 32;
/// Default memory limit in megabytes, which is the least that the platform assigns to a node.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Default timeout of a connect to an engine, in milliseconds.
const DEFAULT_DIAL_MS: f64 = 250.0;
/// Default time after which engines close an idle connection, in milliseconds.
const DEFAULT_IDLE_MS: f64 = 15_000.0;
/// Default maximum number of concurrent attempts on one connection.
const DEFAULT_STREAMS: f64 = 100.0;
/// Default maximum number of open requests.
const DEFAULT_MAX_OPEN: f64 = 30_000.0;
/// Added to the configured pause of an ordering key after an attempt that may still be running. The attempt may end at
/// the engine slightly later than at the node, and the next request with the same key must not overtake it.
const EXTRA_KEY_PAUSE: Micros = Micros::from_millis(100);
/// Default upper bound of the Retry-After that a rejection tells the client.
const DEFAULT_MAX_RETRY_AFTER: Micros = Micros::from_millis(1000);

/// Configuration of the node.
#[derive(Clone)]
pub struct Config {
    /// Name of the node in its log.
    pub name: String,
    /// Address on which the JSON-RPC front accepts clients; `None` if this front is disabled.
    pub listen: Option<SocketAddr>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Maximum number of open file descriptors of the process.
    pub max_descriptors: usize,
    /// Memory limit of the process, in megabytes of 2^20 bytes.
    pub memory_mb: f64,
    /// Address of the service discovery server; `None` if the engine list is fixed.
    pub bulletin: Option<SocketAddr>,
    /// Events of the engine list that the configuration contains.
    pub initial_events: Vec<ListEvent>,
    /// Revision of the engine list that the configuration covers. Service discovery resumes after this revision.
    pub last_revision: u64,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the zones, in the order by which service discovery refers to a zone by its index.
    pub zones: Vec<String>,
    /// Timeout of a connect to an engine, in milliseconds.
    pub dial_ms: f64,
    /// Time after which engines close an idle connection, in milliseconds.
    pub idle_ms: f64,
    /// Maximum number of concurrent attempts on one connection.
    pub max_attempts_per_connection: usize,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Settings of the MySQL front and backend; `None` if they are disabled.
    pub mysql: Option<MysqlSettings>,
    /// Endpoints for load balancers and proxies; disabled without a `control` section.
    pub control: ControlSettings,
    /// Settings of the xDS server; `None` if the server is disabled.
    pub xds: Option<Service>,
    /// Settings of the node as a member of a fleet; `None` if the node belongs to no fleet.
    pub fleet: Option<fleet_settings::FleetSettings>,
    /// Log lines that name the ignored settings and the assumed defaults.
    pub fit: Vec<String>,
    /// Top-level keys of the configuration that only take effect at the start, with their values. A reload compares
    /// them to report which of them have changed.
    pub startup_only: BTreeMap<String, OwnedValue>,
}

/// The `settings` section, which the platform provides.
struct PlatformSettings {
    flat: FlatSettings,
    module: Settings,
    /// Log lines that name the ignored settings and the assumed defaults.
    notes: Vec<String>,
}

/// Schema of the operator's file, with the blocks of all sections.
pub fn operator_schema() -> Block {
    let blocks = vec![mysql::schema(), control::schema(), xds::schema(), fleet_settings::schema()];
    Block { blocks, ..Block::default() }
}

/// Parses an operator's file and checks it against [`operator_schema`]. `file` is the name that errors refer to.
///
/// # Errors
/// Returns all violations of the schema as one error.
pub fn read_operator_file(file: &str, text: &str) -> ReadResult<Document> {
    operator::read(file, text, &operator_schema())
}

impl Config {
    /// Reads a configuration in JSON. `env` looks up environment variables: `NODE_LISTEN` is the address of the
    /// JSON-RPC front if the file has none, and passwords are read only from the environment.
    ///
    /// # Errors
    /// Returns an error about the first setting that is missing or invalid.
    pub fn read(text: Vec<u8>, env: &dyn Fn(&str) -> Option<String>) -> ReadResult<Config> {
        Config::read_both(text, None, env)
    }

    /// Reads a configuration in JSON and, optionally, an operator's file in HCL, given by its name and text. A section
    /// must not be present in both files.
    ///
    /// # Errors
    /// Returns an error about the first setting that is missing or invalid.
    pub fn read_both(
        text: Vec<u8>,
        operator: Option<(&str, &str)>,
        env: &dyn Fn(&str) -> Option<String>,
    ) -> ReadResult<Config> {
        let mut root = json::read(text).or_else(|e| invalid("(file)", e))?;
        let Some((file, text)) = operator else { return Config::read_sections(&root, env) };
        let document = read_operator_file(file, text)?;
        let with_location = |error: ConfigError| operator::with_location(&document, error);
        operator::merge(&document, &mut root).map_err(with_location)?;
        Config::read_sections(&root, env).map_err(with_location)
    }

    /// Reads all sections of the settings.
    fn read_sections(root: &OwnedValue, env: &dyn Fn(&str) -> Option<String>) -> ReadResult<Config> {
        let PlatformSettings { flat, mut module, notes } = read_platform(root)?;
        let mysql = root.get("mysql").map(|mysql| read_mysql(mysql, &module, env)).transpose()?;
        let listen = read_listen(root, mysql.is_some(), env)?;
        let seed = read_seed(root)?;
        let bulletin = text_of(root, "bulletin")?.map(|text| address(text, "bulletin")).transpose()?;
        let control = control::read_control(root)?;
        let xds = root.get("xds").map(|xds| xds::read_xds(xds, &control, &module)).transpose()?;
        if let Some(share) = xds.as_ref().and_then(|xds| xds.terms.cold).map(|cold| cold.proxy_share) {
            // Counts the proxies as additional front ends, so that the decision module uses only the capacity of
            // warming engines that is not reserved for proxies.
            module.gateways = (f64::from(module.gateways) / (1.0 - share)).ceil() as u32;
        }
        let mut config = Config {
            name: text_of(root, "name")?.unwrap_or("beamgap").to_owned(),
            listen,
            seed,
            max_descriptors: read_limit(root, "sockets", DEFAULT_SOCKETS)? as usize,
            memory_mb: read_limit(root, "memory_mb", DEFAULT_MEMORY_MB)?,
            bulletin,
            initial_events: Vec::new(),
            last_revision: 0,
            settings: module,
            zones: flat.names("Azs"),
            dial_ms: flat.number("Limits.DialTimeout", DEFAULT_DIAL_MS)?,
            idle_ms: flat.number("Limits.ConnIdle", DEFAULT_IDLE_MS)?,
            max_attempts_per_connection: flat.number("Limits.StreamsPerConn", DEFAULT_STREAMS)?.max(1.0)
                as usize,
            max_open_requests: flat.number("Limits.MaxOpen", DEFAULT_MAX_OPEN)?.max(1.0) as usize,
            mysql,
            control,
            xds,
            fleet: None,
            fit: notes,
            startup_only: startup_only_keys(root),
        };
        if let Some(fleet) = root.get("fleet") {
            config.fleet = Some(fleet_settings::read(fleet, &config.name, env)?);
        }
        if config.max_descriptors < MIN_SOCKETS {
            return invalid("limits.sockets", "is under 32, too few file descriptors to serve requests");
        }
        config.add_kinds(flat.names("MachineTypes"));
        config.add_initial_events(root)?;
        Ok(config)
    }

    /// Adds the machine kinds whose cores and memory the settings leave out. Service discovery refers to a machine kind
    /// by its index, so every kind needs an entry.
    fn add_kinds(&mut self, names: Vec<String>) {
        for name in names {
            if !self.settings.kinds.iter().any(|kind| kind.name == name) {
                self.settings.kinds.push(KindSettings { name, cores: None, memory_mb: None });
            }
        }
    }

    /// Reads the events of the engine list that the configuration contains.
    fn add_initial_events(&mut self, root: &OwnedValue) -> ReadResult<()> {
        let Some(known) = root.get("known") else { return Ok(()) };
        self.initial_events = read_initial_events(known)?;
        let last = self.initial_events.iter().map(|event| event.revision).max().unwrap_or(0);
        self.last_revision = last.max(known.get("no").and_then(|no| no.as_u64()).unwrap_or(0));
        Ok(())
    }

    /// Number of file descriptors for client connections: half of all descriptors. The platform guarantees that active
    /// clients use at most a third of all; the difference is for idle clients until they are evicted. The other half is
    /// for connections to engines and for the node itself.
    pub fn client_sockets(&self) -> usize {
        self.max_descriptors / 2
    }
}

/// Returns the top-level keys that a reload does not apply, with their values. A reload only applies the address of
/// the service discovery server and the events of the engine list.
fn startup_only_keys(root: &OwnedValue) -> BTreeMap<String, OwnedValue> {
    let keys = root.as_object().into_iter().flatten();
    let startup_only = keys.filter(|(key, _)| !matches!(key.as_str(), "bulletin" | "known"));
    startup_only.map(|(key, value)| (key.clone(), value.clone())).collect()
}

/// Reads the `settings` section and derives the settings of the decision module from it.
fn read_platform(root: &OwnedValue) -> ReadResult<PlatformSettings> {
    if root.as_object().is_none() {
        return invalid("(file)", "is not a JSON object");
    }
    let Some(nested) = root.get("settings") else { return invalid("settings", "is missing") };
    let flat = FlatSettings::flatten(nested);
    let (mut module, notes) =
        read_settings_with_notes(&flat.0).or_else(|e| invalid("settings", format!("are invalid: {e}")))?;
    // Every rejection carries a Retry-After, even if the settings disable it for the clients of the simulator.
    let max_retry_after = flat.number("Limits.MaxRetryAfter", 0.0)?;
    let max_retry_after = if max_retry_after > 0.0 {
        super::clock::to_micros(max_retry_after)
    } else {
        DEFAULT_MAX_RETRY_AFTER
    };
    module.retry_after = Some(module.retry_after.unwrap_or(max_retry_after));
    if module.classes.iter().any(|class| class.in_order) {
        module.key_pause = module.key_pause.plus(EXTRA_KEY_PAUSE);
    }
    Ok(PlatformSettings { flat, module, notes })
}

/// Reads the address of the JSON-RPC front. This front is disabled only if the MySQL front is configured and `listen`
/// is absent.
fn read_listen(
    root: &OwnedValue,
    has_mysql: bool,
    env: &dyn Fn(&str) -> Option<String>,
) -> ReadResult<Option<SocketAddr>> {
    let env_listen = env("NODE_LISTEN").filter(|_| !has_mysql);
    if root.get("listen").is_none() && env_listen.is_none() && !has_mysql {
        return invalid("listen", "is missing");
    }
    let text = text_of(root, "listen")?.or(env_listen.as_deref());
    text.map(|text| address(text, "listen")).transpose()
}

/// Reads the seed, which is given in hexadecimal; 0 if it is absent.
fn read_seed(root: &OwnedValue) -> ReadResult<u64> {
    match text_of(root, "seed")? {
        Some(hex) => u64::from_str_radix(hex, 16).or_else(|_| invalid("seed", "is not 16 hex digits")),
        None => Ok(0),
    }
}

/// Reads a number above 0 from the `limits` section, or returns `default` if it is absent.
fn read_limit(root: &OwnedValue, name: &str, default: f64) -> ReadResult<f64> {
    match root.get("limits").and_then(|limits| limits.get(name)) {
        None => Ok(default),
        Some(value) => match json::number(value).filter(|number| *number > 0.0) {
            Some(number) => Ok(number),
            None => invalid(&format!("limits.{name}"), "is not a number above 0"),
        },
    }
}
