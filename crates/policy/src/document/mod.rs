//! The policy as operators write it, and as the fleet replicates it.

mod parse;
mod schema;

pub use parse::{claimed_format_version, parse, parse_with_blocks, ParsedPolicy};
pub use schema::schema;

use std::collections::{BTreeMap, BTreeSet};

/// The latest format version of policies that this program reads. A document of a later one is rejected by every
/// member that is older.
pub const FORMAT_VERSION: u64 = 1;

/// Longest document in bytes: it goes through the replicated log as one entry.
pub const MAX_TEXT_LENGTH: usize = 64 * 1024;

/// What applies to the requests of a class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassRule {
    /// All of them are rejected.
    pub rejected: bool,
    /// Most attempts of one request.
    pub max_attempts: Option<u32>,
    /// Most requests that each front end admits in a second.
    pub max_rate: Option<f64>,
    /// Most time that a request has, in milliseconds.
    pub deadline_ms: Option<f64>,
}

/// A fleet's policy. What is absent is not restricted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Engines that get no new requests, by id.
    pub excluded_engines: BTreeSet<String>,
    /// Rules by class.
    pub classes: BTreeMap<String, ClassRule>,
    /// By account: the largest part of a front end's requests that may be its own, from 0 to 1.
    pub accounts: BTreeMap<String, f64>,
    /// By zone: the part of its engines that is used, from 0 to 1.
    pub zones: BTreeMap<String, f64>,
    /// Tasks of the fleet that do not run, by name.
    pub forbidden_tasks: BTreeSet<String>,
    /// Most requests in flight at a front end.
    pub max_in_flight: Option<usize>,
}
