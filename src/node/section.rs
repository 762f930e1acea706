//! Reading a section of the settings: what the readers of all sections share.

use super::json::{self, OwnedValue, StaticNode, ValueAsScalar, ValueObjectAccess};
use std::fmt;
use std::net::SocketAddr;

/// A setting that is missing or wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The faulty key, as a path.
    pub key: String,
    /// What is wrong with it, and what to do where that is known.
    pub problem: String,
    /// Its place as `FILE:LINE:COLUMN`, if that is in an operator's file.
    pub place: Option<String>,
}

impl ConfigError {
    /// An error at a key whose place is not known.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> ConfigError {
        ConfigError { key: key.into(), problem: problem.into(), place: None }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "config: ")?;
        if let Some(place) = &self.place {
            write!(f, "{place}: ")?;
        }
        write!(f, "{} {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

/// What was read, or the faulty setting.
pub type ReadResult<T> = Result<T, ConfigError>;

/// Reports a faulty setting.
///
/// # Errors
/// Always.
pub fn wrong<T>(key: &str, problem: impl Into<String>) -> ReadResult<T> {
    Err(ConfigError::new(key, problem))
}

/// A text; none if it is absent or null.
///
/// # Errors
/// If it is no text.
pub fn text_of<'a>(section: &'a OwnedValue, key: &str) -> ReadResult<Option<&'a str>> {
    match section.get(key) {
        None | Some(OwnedValue::Static(StaticNode::Null)) => Ok(None),
        Some(value) => match value.as_str() {
            Some(text) => Ok(Some(text)),
            None => wrong(key, "is not a string"),
        },
    }
}

/// An address with a port.
///
/// # Errors
/// If the text is no such address.
pub fn address(text: &str, key: &str) -> ReadResult<SocketAddr> {
    text.parse().or_else(|_| wrong(key, format!("is '{text}', not an address with a port")))
}

/// Bounds of a number.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The least that is accepted.
    pub least: f64,
    /// The most that is accepted.
    pub most: f64,
}

/// A number within bounds, or the default if it is absent. `path` is the key's path in an error.
///
/// # Errors
/// If it is no number or out of bounds.
pub fn number_of(
    section: &OwnedValue,
    key: &str,
    path: &str,
    default: f64,
    bounds: Bounds,
) -> ReadResult<f64> {
    let Bounds { least, most } = bounds;
    match section.get(key).map(json::number) {
        None => Ok(default),
        Some(Some(number)) if (least..=most).contains(&number) => Ok(number),
        Some(_) => wrong(path, format!("is not from {least} to {most}")),
    }
}
