//! Helpers shared by the readers of all sections of the settings, and the error type for invalid settings.

use super::json::{self, OwnedValue, StaticNode, ValueAsScalar, ValueObjectAccess};
use std::fmt;
use std::net::SocketAddr;

/// A setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Path of the setting's key, such as `limits.sockets`.
    pub key: String,
    /// Description of the problem, phrased to follow the key, with a remedy if one is known.
    pub problem: String,
    /// Location as `FILE:LINE:COLUMN` if the setting was read from an operator's file.
    pub place: Option<String>,
}

impl ConfigError {
    /// Creates an error without a location.
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

/// Result of reading settings: the value read, or the invalid setting.
pub type ReadResult<T> = Result<T, ConfigError>;

/// Returns an error about the setting `key`, for use as the result of a reader.
///
/// # Errors
/// Always returns an error.
pub fn invalid<T>(key: &str, problem: impl Into<String>) -> ReadResult<T> {
    Err(ConfigError::new(key, problem))
}

/// Reads an optional string; `None` if the key is absent or null.
///
/// # Errors
/// Returns an error if the value is not a string.
pub fn text_of<'a>(section: &'a OwnedValue, key: &str) -> ReadResult<Option<&'a str>> {
    match section.get(key) {
        None | Some(OwnedValue::Static(StaticNode::Null)) => Ok(None),
        Some(value) => match value.as_str() {
            Some(text) => Ok(Some(text)),
            None => invalid(key, "is not a string"),
        },
    }
}

/// Parses an IP address with a port. `key` is the setting that an error names.
///
/// # Errors
/// Returns an error if the text is not an IP address with a port.
pub fn address(text: &str, key: &str) -> ReadResult<SocketAddr> {
    text.parse().or_else(|_| invalid(key, format!("is '{text}', not an IP address with a port")))
}

/// Inclusive range of valid values of a number.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Smallest valid value.
    pub least: f64,
    /// Largest valid value.
    pub most: f64,
}

/// Reads a number, or returns `default` if the key is absent. `path` is the full path of the key, for errors.
///
/// # Errors
/// Returns an error if the value is not a number or is out of bounds.
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
        Some(_) => invalid(path, format!("is not from {least} to {most}")),
    }
}
