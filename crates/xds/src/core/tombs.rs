//! Engines announced to a proxy as draining or removed. Their names are part of the resource version, which the proxy
//! sends back when it reconnects.
//!
//! Instances of the control plane do not communicate, and their engine lists have no common numbering by which the
//! newer list could be determined. A version is opaque to a proxy, though, and a proxy that reconnects sends the last
//! version that it accepted (xDS protocol, "ACK/NACK and versioning"; `initial_resource_versions` in the incremental
//! variant). Therefore the version of each endpoint list contains the names of the engines recently announced as
//! draining or removed. The instance to which the proxy connects next applies these names to this proxy: an engine
//! named in the version stays draining, whether the instance's own list is newer or older.

use super::picture::{EngineName, Health, Picture};
use std::collections::BTreeMap;

/// How long an engine is remembered as draining or removed, in milliseconds. Engine lists are only seconds out of date,
/// so after this time every instance has received the change itself.
pub const REMEMBERED_MS: f64 = 60_000.0;
/// The maximum number of engine names in one version. If there are more, the most recent names are included.
const NAMED_MOST: usize = 64;
/// The maximum length of an engine name in a version, in characters; longer names are omitted.
const NAME_MOST: usize = 64;
/// The maximum length of a version that is parsed, in bytes. A longer version cannot stem from this control plane.
const VERSION_MOST: usize = 8 * 1024;

/// Draining and removed engines, each with the time at which the change became known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WithdrawnEngines(BTreeMap<EngineName, f64>);

impl WithdrawnEngines {
    /// Records the engines that are draining in the snapshot `after` or missing from it, and returns the newly recorded
    /// names.
    pub fn step(&mut self, now: f64, before: &Picture, after: &Picture) -> Vec<EngineName> {
        let gone = before.engines.iter().filter(|e| after.engine(&e.name).is_none());
        let draining = after.engines.iter().filter(|e| e.health == Health::Draining);
        // Consecutive snapshots of this instance are in order, so an engine that is no longer draining is in service
        // again.
        after.engines.iter().filter(|e| e.health != Health::Draining).for_each(|e| {
            self.0.remove(&e.name);
        });
        let mut new = Vec::new();
        for engine in gone.chain(draining) {
            if !self.0.contains_key(&engine.name) {
                self.0.insert(engine.name.clone(), now);
                new.push(engine.name.clone());
            } else if engine.health == Health::Draining && after.engine(&engine.name).is_some() {
                // The engine is still present and draining, so its expiry is postponed.
                self.0.insert(engine.name.clone(), now);
            }
        }
        new
    }

    /// Discards entries older than [`REMEMBERED_MS`], which every instance has received by now.
    pub fn forget(&mut self, now: f64) {
        self.0.retain(|_, since| now - *since < REMEMBERED_MS);
    }

    /// Whether an engine is draining or removed, so that it must not be published as usable.
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// The names of the draining and removed engines.
    pub fn names(&self) -> impl Iterator<Item = &EngineName> {
        self.0.keys()
    }

    /// Adds names that another instance announced to the proxy.
    pub fn merge(&mut self, now: f64, names: impl IntoIterator<Item = EngineName>) {
        for name in names.into_iter().take(NAMED_MOST) {
            if self.0.len() < 4 * NAMED_MOST {
                self.0.entry(name).or_insert(now);
            }
        }
    }

    /// The version of an endpoint list: the hash `content`, followed by the names of the engines in `self` and `more`.
    pub fn version(&self, content: u64, more: &WithdrawnEngines) -> String {
        let mut named: Vec<(&EngineName, f64)> = self.0.iter().map(|(n, at)| (n, *at)).collect();
        named.extend(more.0.iter().filter(|(n, _)| !self.0.contains_key(*n)).map(|(n, at)| (n, *at)));
        named.retain(|(name, _)| carried(name));
        named.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        named.truncate(NAMED_MOST);
        named.sort_by(|a, b| a.0.cmp(b.0));
        let mut version = format!("{content:016x}");
        for (i, (name, _)) in named.iter().enumerate() {
            version.push(if i == 0 { '~' } else { ',' });
            version.push_str(name);
        }
        version
    }
}

/// The engines that a version lists as draining or removed. A version of another format lists no engines.
pub fn named(version: &str) -> Vec<EngineName> {
    if version.len() > VERSION_MOST {
        return Vec::new();
    }
    match version.split_once('~') {
        Some((content, names)) if content.len() == 16 => {
            names.split(',').filter(|name| carried(name)).take(NAMED_MOST).map(EngineName::from).collect()
        }
        _ => Vec::new(),
    }
}

fn carried(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
    !name.is_empty() && name.len() <= NAME_MOST && name.bytes().all(plain)
}
