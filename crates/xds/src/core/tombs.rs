//! What a proxy was told of engines that drain or are gone, carried in the version that the proxy echoes.
//!
//! Instances do not talk, and their lists can't be compared by number. But a version is opaque to a proxy, and when it
//! reconnects it tells the last that it accepted (xDS protocol, "ACK/NACK and versioning"; for the incremental form
//! `initial_resource_versions`). So the version of each list of endpoints names the engines that were told as
//! draining or gone of late. Whoever the proxy comes to next takes that over for this proxy: draining wins over
//! whatever a younger or older list says.

use super::picture::{EngineName, Health, Picture};
use std::collections::BTreeMap;

/// How long it is remembered that an engine drains or is gone, in milliseconds. Lists are seconds late, so that after
/// this long every instance has heard it by itself.
pub const REMEMBERED_MS: f64 = 60_000.0;
/// Engines that one version names at most; of more, the latest.
const NAMED_MOST: usize = 64;
const NAME_MOST: usize = 64; // characters; longer names are not carried
const VERSION_MOST: usize = 8 * 1024; // bytes; what is longer was not written here

/// Engines that drain or are gone, with the time at which that was learnt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tombs(BTreeMap<EngineName, f64>);

impl Tombs {
    /// Learns from the step of one picture to the next; gives the names that were new.
    pub fn step(&mut self, now: f64, before: &Picture, after: &Picture) -> Vec<EngineName> {
        let gone = before.engines.iter().filter(|e| after.engine(&e.name).is_none());
        let draining = after.engines.iter().filter(|e| e.health == Health::Draining);
        // The own list is in order: what it gives back to service, it gives back.
        after.engines.iter().filter(|e| e.health != Health::Draining).for_each(|e| {
            self.0.remove(&e.name);
        });
        let mut new = Vec::new();
        for engine in gone.chain(draining) {
            if !self.0.contains_key(&engine.name) {
                self.0.insert(engine.name.clone(), now);
                new.push(engine.name.clone());
            } else if engine.health == Health::Draining && after.engine(&engine.name).is_some() {
                self.0.insert(engine.name.clone(), now); // Still there: to be told for as long as it is.
            }
        }
        new
    }

    /// Forgets what every instance must have heard by now.
    pub fn forget(&mut self, now: f64) {
        self.0.retain(|_, since| now - *since < REMEMBERED_MS);
    }

    /// Whether an engine must not be told as usable.
    pub fn holds(&self, name: &str) -> bool {
        self.0.contains_key(name)
    }

    /// The names.
    pub fn names(&self) -> impl Iterator<Item = &EngineName> {
        self.0.keys()
    }

    /// Takes over what another told.
    pub fn join(&mut self, now: f64, names: impl IntoIterator<Item = EngineName>) {
        for name in names.into_iter().take(NAMED_MOST) {
            if self.0.len() < 4 * NAMED_MOST {
                self.0.entry(name).or_insert(now);
            }
        }
    }

    /// The version of a list with this content.
    pub fn version(&self, content: u64, more: &Tombs) -> String {
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

/// The engines that a version names as draining or gone. Whatever was not written here names none.
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
