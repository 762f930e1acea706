//! The one place where settings are read, checked and given defaults. Every error names the faulty key.

use super::bulletin::{Listing, News};
use super::json::{self, *};
use super::operator;
use crate::settings::read as read_settings;
use crate::{ClassId, EngineId, ListKind, Member, MemberState, Micros, Repeat, Settings};
use beamgap_xds::core::picture::{ColdTerms, Listener, Terms};
use beamgap_xds::transport::Service;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

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
    pub fleet: Option<crate::fleet::settings::Fleet>,
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

/// A client's account on the MySQL front.
#[derive(Clone, PartialEq)]
pub struct Account {
    /// Its name.
    pub user: String,
    /// Its password; may be empty.
    pub password: String,
    /// The tenant that its requests belong to.
    pub tenant: Option<Arc<str>>,
}

/// Gives a class to the statements that it fits; the first fitting rule counts.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The statement's first word, in capitals.
    pub verb: Option<String>,
    /// A text that it holds, in small letters.
    pub mentions: Option<String>,
    /// The class.
    pub class: ClassId,
    /// How long the client is taken to wait, in milliseconds; the class's own time if absent.
    pub budget_ms: Option<f64>,
    /// Estimated work in milliseconds.
    pub work_ms: Option<f64>,
    /// Estimated memory in megabytes.
    pub memory_mb: Option<f64>,
    /// In a class that keeps order, what has a key in common.
    pub order_by: OrderBy,
}

/// Which statements of a class that keeps order have a key in common: they run one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderBy {
    /// All of one account, whatever the session: the widest, and so what holds where nothing is said.
    #[default]
    Account,
    /// All that name one table group.
    Tables,
    /// Those of one session, which asks for one thing at a time: sessions do not wait for each other.
    Session,
}

/// What the operator's file says of the MySQL front and its boxes.
#[derive(Clone, PartialEq)]
pub struct MysqlSettings {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Who may log in.
    pub accounts: Vec<Account>,
    /// The class of statements that no rule fits; it must never be run twice.
    pub default_class: ClassId,
    /// The rules, in order.
    pub rules: Vec<Rule>,
    /// The user as whom the node logs in at the boxes.
    pub box_user: String,
    /// Its password.
    pub box_password: String,
    /// Connections to one box.
    pub box_connections: usize,
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

const PROXY_SHARE: f64 = 0.5; // of what a cold engine bears, for proxies, where not told
const REQUEST_WORK_MS: f64 = 200.0; // of a request that comes by proxies, where not told
const STREAMS_MOST: f64 = 1_000.0; // of proxies, where not told

fn read_xds(xds: &OwnedValue, control: &ControlSettings, settings: &Settings) -> Read<Service> {
    let number = |key: &str, absent: f64, least: f64, most: f64| match xds.get(key).map(json::number) {
        None => Ok(absent),
        Some(Some(n)) if (least..=most).contains(&n) => Ok(n),
        Some(_) => wrong(&format!("xds.{key}"), format!("is not a number from {least} to {most}")),
    };
    let text = |holder: &OwnedValue, key: &str, path: &str| match text_of(holder, key) {
        Ok(Some(text)) => Ok(text.to_owned()),
        Ok(None) => wrong(path, "is missing"),
        Err(e) => wrong(path, e.problem),
    };
    let listen = address(&text(xds, "listen", "xds.listen")?, "xds.listen")?;
    let open = xds.get("plaintext_beyond_loopback").and_then(|v| v.as_bool()).unwrap_or(false);
    if !listen.ip().is_loopback() && !open {
        let problem = "is beyond loopback, where anybody may listen in and ask; listen on 127.0.0.1, or say \
                       `plaintext_beyond_loopback = true`";
        return wrong("xds.listen", problem);
    }
    let mut listeners = Vec::new();
    let list = match xds.get("listeners") {
        None => &[][..],
        Some(value) => match value.as_array() {
            Some(list) => list.as_slice(),
            None => return wrong("xds.listeners", "is not a list"),
        },
    };
    for (i, listener) in list.iter().enumerate() {
        let at = |key: &str| format!("xds.listeners[{i}].{key}");
        let name = text(listener, "name", &at("name"))?;
        if name.is_empty() || listeners.iter().any(|l: &Listener| l.name == name) {
            return wrong(&at("name"), format!("is '{name}', which is empty or stands twice"));
        }
        let address = address(&text(listener, "address", &at("address"))?, &at("address"))?;
        listeners.push(Listener { name, address });
    }
    let mut cold = None;
    let request_ms = number("request_ms", 15_000.0, 1.0, 3_600_000.0)?;
    if let Some(rule) = settings.cold {
        let terms = ColdTerms {
            fall_multiple: rule.fall_multiple,
            fall_span_ms: rule.fall_span.as_millis(),
            proxy_share: number("proxy_share", PROXY_SHARE, 0.0, 0.9)?,
            instances: settings.gateways,
            request_work_ms: number("request_work_ms", REQUEST_WORK_MS, 1.0, 3_600_000.0)?,
        };
        if terms.proxy_share > 0.0 && terms.proxy_share * terms.fall_multiple <= 1.0 {
            let least = (100.0 / terms.fall_multiple).floor() + 1.0;
            let problem = format!("leaves proxies nothing on cold engines; write 0% or {least}% and more");
            return wrong("xds.proxy_share", problem);
        }
        if request_ms < terms.fall_span_ms {
            let problem = format!("is under the {} ms of the rule on cold engines", terms.fall_span_ms);
            return wrong("xds.request_ms", problem);
        }
        cold = Some(terms);
    }
    let terms = Terms {
        cluster: control.cluster.clone(),
        listeners,
        request_ms,
        connect_ms: number("connect_ms", DIAL_MS, 1.0, 60_000.0)?,
        ttl_ms: number("ttl_ms", 5_000.0, 500.0, 3_600_000.0)?,
        late_ms: number("late_ms", 10_000.0, 0.0, 3_600_000.0)?,
        ack_ms: number("ack_ms", 30_000.0, 1_000.0, 3_600_000.0)?,
        settle_ms: number("settle_ms", 2_000.0, 0.0, 3_600_000.0)?,
        streams_most: number("streams_most", STREAMS_MOST, 1.0, 100_000.0)? as usize,
        cold,
    };
    Ok(Service::new(listen, terms))
}

fn read_mysql(
    mysql: &OwnedValue,
    settings: &Settings,
    env: &dyn Fn(&str) -> Option<String>,
) -> Read<MysqlSettings> {
    let inside = |e: ConfigError| ConfigError::new(format!("mysql.{}", e.key), e.problem);
    let text = |key: &str| text_of(mysql, key).map_err(inside);
    let needed = |key: &str| match text(key)? {
        Some(text) => Ok(text.to_owned()),
        None => wrong(&format!("mysql.{key}"), "is missing"),
    };
    let class = |name: &str, path: &str| match settings.classes.iter().position(|c| c.name == name) {
        Some(place) => Ok(ClassId(place)),
        None => wrong(path, format!("is '{name}', not a class of the settings")),
    };
    let password = |holder: &OwnedValue, key: &str, path: &str| match text_of(holder, key)? {
        None => Ok(String::new()),
        Some(name) => match env(name) {
            Some(password) => Ok(password),
            None => wrong(path, format!("names {name}, which is not set in the environment")),
        },
    };
    let list = |key: &str| match mysql.get(key) {
        None => Ok(&[][..]),
        Some(value) => match value.as_array() {
            Some(list) => Ok(list.as_slice()),
            None => wrong(&format!("mysql.{key}"), "is not a list"),
        },
    };
    let default_class = class(&needed("default_class")?, "mysql.default_class")?;
    if settings.classes[default_class.0].repeat != Repeat::Unsafe {
        return wrong("mysql.default_class", "may be run twice; what no rule knows must not be");
    }
    let mut accounts = Vec::new();
    for (i, account) in list("accounts")?.iter().enumerate() {
        let at = |key: &str| format!("mysql.accounts[{i}].{key}");
        let Some(user) = text_of(account, "user")? else { return wrong(&at("user"), "is missing") };
        let password = password(account, "password_env", &at("password_env"))?;
        let tenant = text_of(account, "tenant")?.map(Arc::from);
        if tenant.as_ref().is_some_and(|t| !settings.tenants.iter().any(|known| *known.name == **t)) {
            return wrong(&at("tenant"), "is not a tenant of the settings");
        }
        accounts.push(Account { user: user.to_owned(), password, tenant });
    }
    let mut rules = Vec::new();
    for (i, rule) in list("rules")?.iter().enumerate() {
        let at = |key: &str| format!("mysql.rules[{i}].{key}");
        let Some(name) = text_of(rule, "class")? else { return wrong(&at("class"), "is missing") };
        let number = |key: &str| match rule.get(key) {
            None => Ok(None),
            Some(value) => match json::number(value).filter(|v| *v > 0.0) {
                Some(value) => Ok(Some(value)),
                None => wrong(&at(key), "is not a number above 0"),
            },
        };
        rules.push(Rule {
            verb: text_of(rule, "verb")?.map(str::to_uppercase),
            mentions: text_of(rule, "mentions")?.map(str::to_lowercase),
            class: class(name, &at("class"))?,
            budget_ms: number("budget_ms")?,
            work_ms: number("work_ms")?,
            memory_mb: number("memory_mb")?,
            order_by: match text_of(rule, "order_by")? {
                None | Some("account") => OrderBy::Account,
                Some("tables") => OrderBy::Tables,
                Some("session") => OrderBy::Session,
                Some(other) => {
                    let problem = format!("is '{other}'; write account, tables or session");
                    return wrong(&at("order_by"), problem);
                }
            },
        });
    }
    let box_connections = match mysql.get("box_connections").map(json::number) {
        None => BOX_CONNECTIONS,
        Some(Some(most)) if most >= 1.0 => most as usize,
        Some(_) => return wrong("mysql.box_connections", "is not a number from 1"),
    };
    Ok(MysqlSettings {
        listen: address(&needed("listen")?, "mysql.listen")?,
        accounts,
        default_class,
        rules,
        box_user: needed("box_user")?,
        box_password: password(mysql, "box_password_env", "mysql.box_password_env")?,
        box_connections,
    })
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
