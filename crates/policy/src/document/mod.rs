//! The policy document that operators write and the fleet replicates, and its parsed form.

mod parse;
mod schema;

pub use parse::{claimed_format_version, parse, parse_with_blocks, ParsedPolicy};
pub use schema::schema;

use std::collections::{BTreeMap, BTreeSet};

/// The newest policy format version that this program supports.
///
/// A member rejects a document whose format version is newer than its program supports.
pub const FORMAT_VERSION: u64 = 1;

/// Maximum length of a policy document in bytes. The limit bounds the log entry in which the document is replicated.
pub const MAX_TEXT_LENGTH: usize = 64 * 1024;

/// Restrictions on the requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassRule {
    /// Whether all requests of the class are rejected.
    pub rejected: bool,
    /// Maximum number of attempts per request; `None` means no limit.
    pub max_attempts: Option<u32>,
    /// Maximum admission rate at each front end, in requests per second; `None` means no limit.
    pub max_rate: Option<f64>,
    /// Maximum duration of a request in milliseconds, counted from when the client sent it; `None` means no limit.
    pub deadline_ms: Option<f64>,
}

/// A fleet's policy. Classes, accounts, zones, engines and tasks that it does not name are unrestricted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Ids of the engines that receive no new requests.
    pub excluded_engines: BTreeSet<String>,
    /// Restrictions on the requests of each class, by class name.
    pub classes: BTreeMap<String, ClassRule>,
    /// Maximum share of a front end's requests that each account may use, from 0 to 1, by account name.
    pub accounts: BTreeMap<String, f64>,
    /// Fraction of each zone's engines that receive requests, from 0 to 1, by zone name.
    pub zones: BTreeMap<String, f64>,
    /// Names of the fleet's tasks that must not run.
    pub forbidden_tasks: BTreeSet<String>,
    /// Maximum number of requests in flight at each front end; `None` means no limit.
    pub max_in_flight: Option<usize>,
}
