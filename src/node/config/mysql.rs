//! The `mysql` section: the MySQL front and its backends, the boxes.

use super::schema::{count, key, needed};
use crate::node::json::{self, OwnedValue, ValueAsArray, ValueObjectAccess};
use crate::node::section::{address, text_of, wrong, ConfigError, ReadResult};
use crate::{ClassId, Repeat, Settings};
use beamgap_config::schema::{Block, Shape};
use std::net::SocketAddr;
use std::sync::Arc;

/// Connections to one backend where no number is given: six sessions on each of eight cores.
const DEFAULT_BOX_CONNECTIONS: usize = 48;

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

/// What may stand in the operator's block.
pub(super) fn schema() -> Block {
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
    Block {
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
    }
}

/// The environment's variables.
type Env<'a> = &'a dyn Fn(&str) -> Option<String>;

/// Reads the section.
///
/// # Errors
/// The first setting that is missing or wrong.
pub(super) fn read_mysql(mysql: &OwnedValue, settings: &Settings, env: Env) -> ReadResult<MysqlSettings> {
    let default_class = class_of(settings, &needed_text(mysql, "default_class")?, "mysql.default_class")?;
    if settings.classes[default_class.0].repeat != Repeat::Unsafe {
        return wrong("mysql.default_class", "may be run twice; what no rule knows must not be");
    }
    let accounts = read_accounts(mysql, settings, env)?;
    let rules = read_rules(mysql, settings)?;
    let box_connections = match mysql.get("box_connections").map(json::number) {
        None => DEFAULT_BOX_CONNECTIONS,
        Some(Some(most)) if most >= 1.0 => most as usize,
        Some(_) => return wrong("mysql.box_connections", "is not a number from 1"),
    };
    Ok(MysqlSettings {
        listen: address(&needed_text(mysql, "listen")?, "mysql.listen")?,
        accounts,
        default_class,
        rules,
        box_user: needed_text(mysql, "box_user")?,
        box_password: read_password(mysql, "box_password_env", "mysql.box_password_env", env)?,
        box_connections,
    })
}

fn needed_text(mysql: &OwnedValue, key: &str) -> ReadResult<String> {
    let path = format!("mysql.{key}");
    match text_of(mysql, key).map_err(|error| ConfigError::new(path.clone(), error.problem))? {
        Some(text) => Ok(text.to_owned()),
        None => wrong(&path, "is missing"),
    }
}

fn class_of(settings: &Settings, name: &str, path: &str) -> ReadResult<ClassId> {
    match settings.classes.iter().position(|class| class.name == name) {
        Some(index) => Ok(ClassId(index)),
        None => wrong(path, format!("is '{name}', not a class of the settings")),
    }
}

/// The password in the environment's variable that a key names; empty if the key is absent.
fn read_password(section: &OwnedValue, key: &str, path: &str, env: Env) -> ReadResult<String> {
    let Some(variable) = text_of(section, key)? else { return Ok(String::new()) };
    match env(variable) {
        Some(password) => Ok(password),
        None => wrong(path, format!("names {variable}, which is not set in the environment")),
    }
}

fn list_of<'a>(mysql: &'a OwnedValue, key: &str) -> ReadResult<&'a [OwnedValue]> {
    match mysql.get(key) {
        None => Ok(&[]),
        Some(value) => match value.as_array() {
            Some(list) => Ok(list.as_slice()),
            None => wrong(&format!("mysql.{key}"), "is not a list"),
        },
    }
}

fn read_accounts(mysql: &OwnedValue, settings: &Settings, env: Env) -> ReadResult<Vec<Account>> {
    let mut accounts = Vec::new();
    for (i, account) in list_of(mysql, "accounts")?.iter().enumerate() {
        let at = |key: &str| format!("mysql.accounts[{i}].{key}");
        let Some(user) = text_of(account, "user")? else { return wrong(&at("user"), "is missing") };
        let password = read_password(account, "password_env", &at("password_env"), env)?;
        let tenant: Option<Arc<str>> = text_of(account, "tenant")?.map(Arc::from);
        let is_known = |tenant: &Arc<str>| settings.tenants.iter().any(|known| *known.name == **tenant);
        if tenant.as_ref().is_some_and(|tenant| !is_known(tenant)) {
            return wrong(&at("tenant"), "is not a tenant of the settings");
        }
        accounts.push(Account { user: user.to_owned(), password, tenant });
    }
    Ok(accounts)
}

fn read_rules(mysql: &OwnedValue, settings: &Settings) -> ReadResult<Vec<Rule>> {
    let mut rules = Vec::new();
    for (i, rule) in list_of(mysql, "rules")?.iter().enumerate() {
        rules.push(read_rule(rule, &format!("mysql.rules[{i}]"), settings)?);
    }
    Ok(rules)
}

fn read_rule(rule: &OwnedValue, path: &str, settings: &Settings) -> ReadResult<Rule> {
    let at = |key: &str| format!("{path}.{key}");
    let Some(class) = text_of(rule, "class")? else { return wrong(&at("class"), "is missing") };
    let number = |key: &str| match rule.get(key) {
        None => Ok(None),
        Some(value) => match json::number(value).filter(|number| *number > 0.0) {
            Some(number) => Ok(Some(number)),
            None => wrong(&at(key), "is not a number above 0"),
        },
    };
    Ok(Rule {
        verb: text_of(rule, "verb")?.map(str::to_uppercase),
        mentions: text_of(rule, "mentions")?.map(str::to_lowercase),
        class: class_of(settings, class, &at("class"))?,
        budget_ms: number("budget_ms")?,
        work_ms: number("work_ms")?,
        memory_mb: number("memory_mb")?,
        order_by: read_order(rule, &at("order_by"))?,
    })
}

fn read_order(rule: &OwnedValue, path: &str) -> ReadResult<OrderBy> {
    match text_of(rule, "order_by")? {
        None | Some("account") => Ok(OrderBy::Account),
        Some("tables") => Ok(OrderBy::Tables),
        Some("session") => Ok(OrderBy::Session),
        Some(other) => wrong(path, format!("is '{other}'; write account, tables or session")),
    }
}
