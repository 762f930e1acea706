//! The `mysql` section: settings of the MySQL front and of the MySQL backend, whose engines the settings call boxes.

use super::schema::{integer, optional_key, required_key};
use crate::node::json::{self, OwnedValue, ValueAsArray, ValueObjectAccess};
use crate::node::section::{address, invalid, text_of, ConfigError, ReadResult};
use crate::{ClassId, Repeat, Settings};
use beamgap_config::schema::{Block, Shape};
use std::net::SocketAddr;
use std::sync::Arc;

/// Default maximum number of connections to one engine, which allows six sessions per core on an engine with eight
/// cores.
const DEFAULT_BOX_CONNECTIONS: usize = 48;

/// An account with which clients log in to the MySQL front.
#[derive(Clone, PartialEq)]
pub struct Account {
    /// User name.
    pub user: String,
    /// Password; may be empty.
    pub password: String,
    /// Tenant to which requests of this account belong; `None` if requests belong to no tenant.
    pub tenant: Option<Arc<str>>,
}

/// Assigns a class to statements. The first rule whose conditions all match a statement applies to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRule {
    /// First keyword of a matching statement, in upper case; `None` matches any keyword.
    pub verb: Option<String>,
    /// Text that a matching statement contains, in lower case; `None` matches any statement.
    pub mentions: Option<String>,
    /// Class of the matching statements.
    pub class: ClassId,
    /// Deadline of a request, in milliseconds after its arrival; `None` uses the deadline of the class.
    pub budget_ms: Option<f64>,
    /// Estimated work of a statement, in milliseconds.
    pub work_ms: Option<f64>,
    /// Estimated memory of a statement, in megabytes.
    pub memory_mb: Option<f64>,
    /// Ordering key of the statements, if the class runs requests with the same key in order.
    pub order_by: OrderBy,
}

/// Ordering key of statements in a class that preserves order. Statements with the same key run one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderBy {
    /// One key per account, across all of its sessions. This is the default, because it preserves the order of the most
    /// statements.
    #[default]
    Account,
    /// One key per table group that a statement names.
    Tables,
    /// One key per session, so that sessions do not wait for each other. A session sends one statement at a time.
    Session,
}

/// Settings of the MySQL front and of the MySQL backend.
#[derive(Clone, PartialEq)]
pub struct MysqlSettings {
    /// Address on which the front accepts clients.
    pub listen: SocketAddr,
    /// Accounts with which clients can log in.
    pub accounts: Vec<Account>,
    /// Class of statements that match no rule. Requests of this class must never be run twice, because nothing is known
    /// about these statements.
    pub default_class: ClassId,
    /// Classification rules, in the order in which they are tried.
    pub rules: Vec<ClassRule>,
    /// User name with which the node logs in to engines.
    pub engine_user: String,
    /// Password with which the node logs in to engines.
    pub engine_password: String,
    /// Maximum number of connections to one engine.
    pub max_engine_connections: usize,
}

/// Schema of the `mysql` block in the operator's file.
pub(super) fn schema() -> Block {
    let account = Block {
        name: "account",
        setting: "accounts",
        many: true,
        label: Some("user"),
        keys: vec![
            optional_key("password_env", "password_env", Shape::Text),
            optional_key("tenant", "tenant", Shape::Text),
        ],
        blocks: Vec::new(),
    };
    let rule = Block {
        name: "rule",
        setting: "rules",
        many: true,
        keys: vec![
            required_key("class", Shape::Text),
            optional_key("verb", "verb", Shape::Text),
            optional_key("mentions", "mentions", Shape::Text),
            optional_key("budget", "budget_ms", Shape::Duration),
            optional_key("work", "work_ms", Shape::Duration),
            optional_key("memory", "memory_mb", Shape::Size),
            optional_key("order_by", "order_by", Shape::Text),
        ],
        ..Block::default()
    };
    Block {
        name: "mysql",
        setting: "mysql",
        keys: vec![
            required_key("listen", Shape::Address),
            required_key("default_class", Shape::Text),
            required_key("box_user", Shape::Text),
            optional_key("box_password_env", "box_password_env", Shape::Text),
            optional_key("box_connections", "box_connections", integer(1.0, 10_000.0)),
        ],
        blocks: vec![account, rule],
        ..Block::default()
    }
}

/// Looks up an environment variable by its name.
type Env<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Reads the `mysql` section. Classes and tenants must exist in `settings`; passwords are read from the environment.
///
/// # Errors
/// Returns an error about the first setting that is missing or invalid.
pub(super) fn read_mysql(mysql: &OwnedValue, settings: &Settings, env: Env) -> ReadResult<MysqlSettings> {
    let default_class = class_of(settings, &required_text(mysql, "default_class")?, "mysql.default_class")?;
    if settings.classes[default_class.0].repeat != Repeat::Unsafe {
        return invalid(
            "mysql.default_class",
            "may be run twice; the class of statements that match no rule must not allow that",
        );
    }
    let accounts = read_accounts(mysql, settings, env)?;
    let rules = read_rules(mysql, settings)?;
    let max_engine_connections = match mysql.get("box_connections").map(json::number) {
        None => DEFAULT_BOX_CONNECTIONS,
        Some(Some(number)) if number >= 1.0 => number as usize,
        Some(_) => return invalid("mysql.box_connections", "is not a number of at least 1"),
    };
    Ok(MysqlSettings {
        listen: address(&required_text(mysql, "listen")?, "mysql.listen")?,
        accounts,
        default_class,
        rules,
        engine_user: required_text(mysql, "box_user")?,
        engine_password: read_password(mysql, "box_password_env", "mysql.box_password_env", env)?,
        max_engine_connections,
    })
}

fn required_text(mysql: &OwnedValue, key: &str) -> ReadResult<String> {
    let path = format!("mysql.{key}");
    match text_of(mysql, key).map_err(|error| ConfigError::new(path.clone(), error.problem))? {
        Some(text) => Ok(text.to_owned()),
        None => invalid(&path, "is missing"),
    }
}

fn class_of(settings: &Settings, name: &str, path: &str) -> ReadResult<ClassId> {
    match settings.classes.iter().position(|class| class.name == name) {
        Some(index) => Ok(ClassId(index)),
        None => invalid(path, format!("is '{name}', not the name of a class in the settings")),
    }
}

/// Reads the password from the environment variable that the setting `key` names; empty if the key is absent.
fn read_password(section: &OwnedValue, key: &str, path: &str, env: Env) -> ReadResult<String> {
    let Some(variable) = text_of(section, key)? else { return Ok(String::new()) };
    match env(variable) {
        Some(password) => Ok(password),
        None => invalid(path, format!("names {variable}, which is not set in the environment")),
    }
}

/// Reads an optional list of the `mysql` section; empty if the key is absent.
fn list_of<'a>(mysql: &'a OwnedValue, key: &str) -> ReadResult<&'a [OwnedValue]> {
    match mysql.get(key) {
        None => Ok(&[]),
        Some(value) => match value.as_array() {
            Some(list) => Ok(list.as_slice()),
            None => invalid(&format!("mysql.{key}"), "is not a list"),
        },
    }
}

fn read_accounts(mysql: &OwnedValue, settings: &Settings, env: Env) -> ReadResult<Vec<Account>> {
    let mut accounts = Vec::new();
    for (i, account) in list_of(mysql, "accounts")?.iter().enumerate() {
        let at = |key: &str| format!("mysql.accounts[{i}].{key}");
        let Some(user) = text_of(account, "user")? else { return invalid(&at("user"), "is missing") };
        let password = read_password(account, "password_env", &at("password_env"), env)?;
        let tenant: Option<Arc<str>> = text_of(account, "tenant")?.map(Arc::from);
        let is_known = |tenant: &Arc<str>| settings.tenants.iter().any(|known| *known.name == **tenant);
        if tenant.as_ref().is_some_and(|tenant| !is_known(tenant)) {
            return invalid(&at("tenant"), "is not the name of a tenant in the settings");
        }
        accounts.push(Account { user: user.to_owned(), password, tenant });
    }
    Ok(accounts)
}

fn read_rules(mysql: &OwnedValue, settings: &Settings) -> ReadResult<Vec<ClassRule>> {
    let mut rules = Vec::new();
    for (i, rule) in list_of(mysql, "rules")?.iter().enumerate() {
        rules.push(read_rule(rule, &format!("mysql.rules[{i}]"), settings)?);
    }
    Ok(rules)
}

fn read_rule(rule: &OwnedValue, path: &str, settings: &Settings) -> ReadResult<ClassRule> {
    let at = |key: &str| format!("{path}.{key}");
    let Some(class) = text_of(rule, "class")? else { return invalid(&at("class"), "is missing") };
    let number = |key: &str| match rule.get(key) {
        None => Ok(None),
        Some(value) => match json::number(value).filter(|number| *number > 0.0) {
            Some(number) => Ok(Some(number)),
            None => invalid(&at(key), "is not a number above 0"),
        },
    };
    Ok(ClassRule {
        verb: text_of(rule, "verb")?.map(str::to_uppercase),
        mentions: text_of(rule, "mentions")?.map(str::to_lowercase),
        class: class_of(settings, class, &at("class"))?,
        budget_ms: number("budget_ms")?,
        work_ms: number("work_ms")?,
        memory_mb: number("memory_mb")?,
        order_by: read_order_by(rule, &at("order_by"))?,
    })
}

fn read_order_by(rule: &OwnedValue, path: &str) -> ReadResult<OrderBy> {
    match text_of(rule, "order_by")? {
        None | Some("account") => Ok(OrderBy::Account),
        Some("tables") => Ok(OrderBy::Tables),
        Some("session") => Ok(OrderBy::Session),
        Some(other) => invalid(path, format!("is '{other}'; use account, tables or session")),
    }
}
