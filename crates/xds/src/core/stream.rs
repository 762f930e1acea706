//! One stream of the aggregated discovery service: what a proxy subscribes to, what it was told, what it confirmed.
//!
//! Both variants of the protocol meet here (xDS protocol, "Variants of the xDS Transport Protocol"): state of the
//! world tells all that is subscribed to, the incremental form only what differs from what the proxy holds.

pub use super::messages::{Ask, Meant, Nack, Response, StreamError, Variant};
use super::resources::{Kind, Resource, Set};
use super::tombs;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Responses of one type that may be without ACK or NACK. Most are told when the last is confirmed: sooner only what is
/// urgent, or asked for anew.
pub const PENDING_MOST: usize = 16;
/// A proxy that answers late is told what is not urgent after this long without ACK, in milliseconds, as long as half of
/// [`PENDING_MOST`] is left for what is.
const PATIENCE_MS: f64 = 2_000.0;
/// Names that a stream may subscribe to in one type.
pub const NAMES_MOST: usize = 10_000;
const NAME_MOST: usize = 512;

#[derive(Debug)]
struct Push {
    nonce: u64,
    at: f64,
    /// All that the proxy holds once it accepts.
    set: Set,
}

/// The state of one type on one stream.
#[derive(Debug, Default)]
pub struct Sub {
    wildcard: bool,
    names: BTreeSet<String>,
    /// An answer is owed, changed or not.
    asked: bool,
    good: Set,
    pending: VecDeque<Push>,
    /// Incremental: what the proxy holds from before, by version, until it is told anew.
    before: BTreeMap<String, String>,
    /// What was refused: not told again until it changes.
    refused: Option<Set>,
    /// Names asked for that are not there: told as removed, once.
    unknown: BTreeSet<String>,
    /// The number of the urgent change that was told last.
    urgent: u64,
    heartbeat: f64,
    /// The version of the last response accepted on this stream.
    pub version: String,
    told_version: String,
    /// The time of the last ACK.
    pub acked: Option<f64>,
    /// The last NACK.
    pub nacked: Option<Nack>,
    /// How many there were.
    pub nacks: u64,
}

impl Sub {
    fn subscribed(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }

    /// What the proxy holds, or will if it accepts what is under way.
    pub fn told(&self) -> &Set {
        self.pending.back().map_or(&self.good, |push| &push.set)
    }

    /// What the proxy has accepted.
    pub fn good(&self) -> &Set {
        &self.good
    }

    /// All that may be in force at the proxy: what it accepted last, and all that is under way.
    pub fn in_force(&self) -> impl Iterator<Item = &Arc<Resource>> {
        self.good.values().chain(self.pending.iter().flat_map(|push| push.set.values()))
    }

    /// Responses without ACK or NACK.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    fn subscribe(
        &mut self,
        variant: Variant,
        kind: Kind,
        first: bool,
        ask: &Ask,
    ) -> Result<bool, StreamError> {
        let names = || ask.names.iter().chain(&ask.leaves);
        if names().any(|name| name.len() > NAME_MOST) || ask.names.len() > NAMES_MOST {
            return Err(StreamError::TooMany);
        }
        let changed = match variant {
            Variant::World => {
                let names: BTreeSet<String> = ask.names.iter().filter(|n| *n != "*").cloned().collect();
                let all = ask.names.iter().any(|n| n == "*");
                // Nothing named means all only until something was: later it means nothing.
                let none = ask.names.is_empty() && kind.wildcard() && (first || self.wildcard);
                let changed = first || self.names != names || self.wildcard != (all || none);
                // What leaves the subscription is dropped by the proxy.
                (self.names, self.wildcard) = (names, all || none);
                let Sub { names, wildcard, good, pending, .. } = self;
                let keep = |name: &Arc<str>| *wildcard || names.contains(&**name);
                good.retain(|name, _| keep(name));
                pending.iter_mut().for_each(|push| push.set.retain(|name, _| keep(name)));
                changed
            }
            Variant::Delta => {
                if first {
                    self.wildcard = kind.wildcard() && ask.names.is_empty();
                }
                for name in &ask.names {
                    if name == "*" {
                        self.wildcard = true;
                    } else {
                        // Subscribing anew asks for it anew, also where it is held.
                        self.forget(name);
                        self.names.insert(name.clone());
                        self.unknown.insert(name.clone());
                    }
                }
                for name in &ask.leaves {
                    self.names.remove(name);
                    self.unknown.remove(name);
                    self.wildcard &= name != "*";
                    if !self.wildcard {
                        self.forget(name);
                    }
                }
                first || !ask.names.is_empty()
            }
        };
        if self.names.len() > NAMES_MOST {
            return Err(StreamError::TooMany);
        }
        self.asked |= changed;
        Ok(changed)
    }

    fn forget(&mut self, name: &str) {
        self.good.remove(name);
        self.before.remove(name);
        self.pending.iter_mut().for_each(|push| {
            push.set.remove(name);
        });
    }

    fn answered(&mut self, now: f64, nonce: u64, error: Option<&String>) -> Meant {
        let Some(place) = self.pending.iter().position(|push| push.nonce == nonce) else {
            return Meant::Stale;
        };
        match error {
            None => {
                if let Some(push) = self.pending.drain(..=place).next_back() {
                    self.good = push.set;
                }
                (self.acked, self.refused) = (Some(now), None);
                self.version = self.told_version.clone();
                Meant::Acked(nonce)
            }
            Some(error) => {
                if let Some(push) = self.pending.remove(place) {
                    if place == self.pending.len() {
                        self.refused = Some(push.set);
                    }
                }
                let error: String = error.chars().filter(|c| !c.is_control()).take(300).collect();
                self.nacked = Some(Nack { at: now, error: error.clone() });
                self.nacks += 1;
                Meant::Nacked(nonce, error)
            }
        }
    }

    /// Whether an urgent change waits that can't be told, as too many responses are without answer.
    pub fn stuck(&self, urgent: u64) -> bool {
        urgent > self.urgent && self.pending.len() >= PENDING_MOST
    }

    /// When the oldest response without answer was told.
    pub fn oldest(&self) -> Option<f64> {
        self.pending.front().map(|push| push.at)
    }
}

/// One stream.
#[derive(Debug)]
pub struct Stream {
    /// The variant that it speaks.
    pub variant: Variant,
    subs: BTreeMap<Kind, Sub>,
    nonce: u64,
}

impl Stream {
    /// A stream that has asked for nothing yet.
    pub fn new(variant: Variant) -> Stream {
        Stream { variant, subs: BTreeMap::new(), nonce: 0 }
    }

    /// The state of a type, if it was asked for.
    pub fn sub(&self, kind: Kind) -> Option<&Sub> {
        self.subs.get(&kind)
    }

    /// All types asked for.
    pub fn subs(&self) -> impl Iterator<Item = (Kind, &Sub)> {
        self.subs.iter().map(|(kind, sub)| (*kind, sub))
    }

    /// Takes a request in. `Ok(None)`: of a type that is not told here. The names are those of engines that the proxy
    /// was told drain or are gone, wherever that was.
    pub fn ask(
        &mut self,
        now: f64,
        ask: &Ask,
    ) -> Result<Option<(Kind, Meant, Vec<super::picture::EngineName>)>, StreamError> {
        let Some(kind) = Kind::of(&ask.url) else { return Ok(None) };
        let first = !self.subs.contains_key(&kind);
        let sub = self.subs.entry(kind).or_default();
        let mut named = Vec::new();
        let mut meant = Meant::Subscribed;
        if first {
            if ask.held.len() > NAMES_MOST {
                return Err(StreamError::TooMany);
            }
            let versions = ask.held.iter().map(|(_, version)| version.as_str());
            named = versions.chain([ask.version.as_str()]).flat_map(tombs::named).collect();
        } else if !ask.nonce.is_empty() {
            meant = match ask.nonce.parse() {
                Ok(nonce) => sub.answered(now, nonce, ask.error.as_ref()),
                Err(_) => Meant::Stale,
            };
            // State of the world: a request that answers an older response than the last asks for nothing; the
            // proxy has that last one still to answer, and says there what it wants.
            if meant == Meant::Stale && self.variant == Variant::World {
                return Ok(Some((kind, meant, named)));
            }
        }
        sub.subscribe(self.variant, kind, first, ask)?;
        if first {
            sub.before = ask.held.iter().filter(|(name, _)| sub.subscribed(name)).cloned().collect();
            // What is held and asked for is not asked for anew: it is told only if it differs.
            sub.unknown.retain(|name| !sub.before.contains_key(name));
        }
        Ok(Some((kind, meant, named)))
    }

    /// What is to be told of a type, now that the stream takes a response. `urgent` counts the changes that wait for
    /// no ACK; `ttl_ms` is the time after which a time to live is renewed.
    pub fn next(
        &mut self,
        now: f64,
        kind: Kind,
        desired: &Set,
        urgent: u64,
        renew_ms: f64,
    ) -> Option<Response> {
        let variant = self.variant;
        let sub = self.subs.get_mut(&kind)?;
        let hurried = urgent > sub.urgent && sub.pending.len() < PENDING_MOST;
        let waited = sub.pending.back().is_none_or(|push| now - push.at >= PATIENCE_MS);
        let free = sub.pending.is_empty() || (waited && sub.pending.len() < PENDING_MOST / 2);
        let asked = sub.asked && sub.pending.len() < PENDING_MOST;
        if !free && !hurried && !asked {
            return sub.renewed(now, kind, renew_ms);
        }
        let mut visible = Set::new();
        for (name, resource) in desired.iter().filter(|(name, _)| sub.subscribed(name)) {
            visible.insert(name.clone(), resource.clone());
        }
        let same = sub.before.is_empty() && unchanged(sub.told(), &visible);
        let refused = sub.refused.as_ref().is_some_and(|refused| unchanged(refused, &visible));
        sub.urgent = urgent;
        if !sub.asked && (same || refused) {
            return sub.renewed(now, kind, renew_ms);
        }
        let (resources, removed) = match variant {
            Variant::World => (visible.values().cloned().collect(), Vec::new()),
            Variant::Delta => sub.difference(&visible),
        };
        sub.asked = false;
        sub.before.clear();
        sub.unknown.clear();
        self.nonce += 1;
        let mut version = format!(
            "{:016x}",
            super::allot::hash(&visible.values().map(|r| r.version.as_bytes()).collect::<Vec<_>>())
        );
        // A list of endpoints carries engines that drain or are gone; the longest tail holds all.
        let tail = visible.values().filter_map(|r| r.version.split_once('~')).max_by_key(|(_, t)| t.len());
        if let Some((_, tail)) = tail {
            version.push('~');
            version.push_str(tail);
        }
        sub.told_version = version.clone();
        sub.heartbeat = now;
        sub.pending.push_back(Push { nonce: self.nonce, at: now, set: visible });
        Some(Response { kind, version, nonce: self.nonce, resources, removed, heartbeat: false })
    }
}

/// Whether two sets are the same; most of what is told is shared, so that pointers tell it.
fn unchanged(a: &Set, b: &Set) -> bool {
    let same = |(x, y): (&Arc<Resource>, &Arc<Resource>)| Arc::ptr_eq(x, y) || x.version == y.version;
    a.len() == b.len() && a.keys().eq(b.keys()) && a.values().zip(b.values()).all(same)
}

impl Sub {
    /// A heartbeat for what has a time to live, if it is time.
    fn renewed(&mut self, now: f64, kind: Kind, renew_ms: f64) -> Option<Response> {
        if now - self.heartbeat < renew_ms {
            return None;
        }
        self.heartbeat = now;
        let resources: Vec<_> = self.good.values().filter(|r| r.ttl_ms.is_some()).cloned().collect();
        if resources.is_empty() {
            return None;
        }
        let version = self.told_version.clone();
        Some(Response { kind, version, nonce: 0, resources, removed: Vec::new(), heartbeat: true })
    }

    fn difference(&self, visible: &Set) -> (Vec<Arc<Resource>>, Vec<String>) {
        let told = self.told();
        let holds = |r: &Resource| {
            // What has a time to live is told anew on a new stream: the version alone would not renew it.
            let before = || self.before.get(&*r.name).filter(|_| r.ttl_ms.is_none());
            told.get(&r.name).map(|r| &r.version).or_else(before) == Some(&r.version)
        };
        let resources = visible.values().filter(|r| !holds(r)).cloned().collect();
        let held = told.keys().map(|name| &**name).chain(self.before.keys().map(String::as_str));
        let gone = held.chain(self.unknown.iter().map(String::as_str));
        let removed: BTreeSet<&str> = gone.filter(|name| !visible.contains_key(*name)).collect();
        (resources, removed.into_iter().map(str::to_owned).collect())
    }
}
