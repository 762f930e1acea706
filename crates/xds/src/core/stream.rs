//! One stream of the aggregated discovery service (ADS): the proxy's subscriptions, the sent responses and their ACKs.
//!
//! The module implements both variants of the protocol (xDS protocol, "Variants of the xDS Transport Protocol"). A
//! state of the world response contains all subscribed resources; an incremental response contains only the differences
//! from the resources that the proxy has.

pub use super::messages::{Ask, Nack, RequestMeaning, Response, StreamError, Variant};
use super::resources::{Kind, Resource, Set};
use super::tombs;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// The maximum number of responses of one type that await an ACK or NACK. Usually a response is sent only after the ACK
/// of the previous one; urgent changes and changed subscriptions are answered earlier.
pub const PENDING_MOST: usize = 16;
/// The time without an ACK after which further changes that are not urgent are sent to a slow proxy, in milliseconds.
/// These changes use at most half of [`PENDING_MOST`], so that the other half remains for urgent changes.
const PATIENCE_MS: f64 = 2_000.0;
/// The maximum number of names to which a stream may subscribe in one type.
pub const NAMES_MOST: usize = 10_000;
/// The maximum length of a subscribed name, in bytes.
const NAME_MOST: usize = 512;

/// A response that awaits an ACK or NACK.
#[derive(Debug)]
struct PendingResponse {
    nonce: u64,
    at: f64,
    /// The complete set of resources that the proxy has after accepting this response.
    set: Set,
}

/// The subscription state of one resource type on one stream.
#[derive(Debug, Default)]
pub struct Subscription {
    wildcard: bool,
    names: BTreeSet<String>,
    /// Whether a response must be sent even if no resource changed.
    asked: bool,
    accepted: Set,
    pending: VecDeque<PendingResponse>,
    /// Incremental: versions of the resources that the proxy has from an earlier stream, by name, until the first
    /// response.
    earlier_versions: BTreeMap<String, String>,
    /// The set of resources that the proxy NACKed; not sent again until the resources change.
    refused: Option<Set>,
    /// Incremental: subscribed names without a response so far. Names without a resource are reported once as removed.
    unknown: BTreeSet<String>,
    /// The number of the latest urgent change that was sent or that required no response.
    urgent: u64,
    heartbeat: f64,
    /// The version of the last response accepted on this stream.
    pub version: String,
    sent_version: String,
    /// The time of the last ACK.
    pub acked: Option<f64>,
    /// The last NACK.
    pub nacked: Option<Nack>,
    /// The number of NACKs received.
    pub nacks: u64,
}

impl Subscription {
    fn subscribed(&self, name: &str) -> bool {
        self.wildcard || self.names.contains(name)
    }

    /// The resources that the proxy has after accepting all pending responses.
    pub fn expected(&self) -> &Set {
        self.pending.back().map_or(&self.accepted, |push| &push.set)
    }

    /// The resources that the proxy has ACKed.
    pub fn accepted(&self) -> &Set {
        &self.accepted
    }

    /// All resources that the proxy may be using: the last ACKed set and the sets of all pending responses.
    pub fn in_force(&self) -> impl Iterator<Item = &Arc<Resource>> {
        self.accepted.values().chain(self.pending.iter().flat_map(|push| push.set.values()))
    }

    /// The number of responses that await an ACK or NACK.
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
                // An empty list is a wildcard only until the proxy has subscribed to names; afterwards it unsubscribes
                // from all.
                let none = ask.names.is_empty() && kind.wildcard() && (first || self.wildcard);
                let changed = first || self.names != names || self.wildcard != (all || none);
                // The proxy discards resources that it unsubscribes from.
                (self.names, self.wildcard) = (names, all || none);
                let Subscription { names, wildcard, accepted, pending, .. } = self;
                let keep = |name: &Arc<str>| *wildcard || names.contains(&**name);
                accepted.retain(|name, _| keep(name));
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
                        // A repeated subscription requests the resource again, even if the proxy already has the
                        // resource.
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
        self.accepted.remove(name);
        self.earlier_versions.remove(name);
        self.pending.iter_mut().for_each(|push| {
            push.set.remove(name);
        });
    }

    fn handle_answer(&mut self, now: f64, nonce: u64, error: Option<&String>) -> RequestMeaning {
        let Some(place) = self.pending.iter().position(|push| push.nonce == nonce) else {
            return RequestMeaning::Stale;
        };
        match error {
            None => {
                if let Some(push) = self.pending.drain(..=place).next_back() {
                    self.accepted = push.set;
                }
                (self.acked, self.refused) = (Some(now), None);
                self.version = self.sent_version.clone();
                RequestMeaning::Acked(nonce)
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
                RequestMeaning::Nacked(nonce, error)
            }
        }
    }

    /// Whether an urgent change cannot be sent because too many responses await an ACK or NACK.
    pub fn stuck(&self, urgent: u64) -> bool {
        urgent > self.urgent && self.pending.len() >= PENDING_MOST
    }

    /// The time at which the oldest response that awaits an ACK or NACK was sent.
    pub fn oldest_pending(&self) -> Option<f64> {
        self.pending.front().map(|push| push.at)
    }
}

/// The state of one ADS stream.
#[derive(Debug)]
pub struct Stream {
    /// The protocol variant of the stream.
    pub variant: Variant,
    subscriptions: BTreeMap<Kind, Subscription>,
    nonce: u64,
}

impl Stream {
    /// Creates a stream without subscriptions.
    pub fn new(variant: Variant) -> Stream {
        Stream { variant, subscriptions: BTreeMap::new(), nonce: 0 }
    }

    /// The subscription state of a resource type, if the proxy has subscribed to the type.
    pub fn subscription(&self, kind: Kind) -> Option<&Subscription> {
        self.subscriptions.get(&kind)
    }

    /// The subscription states of all requested resource types.
    pub fn subscriptions(&self) -> impl Iterator<Item = (Kind, &Subscription)> {
        self.subscriptions.iter().map(|(kind, sub)| (*kind, sub))
    }

    /// Processes a request. Returns `Ok(None)` if the resource type is not served, and otherwise the type, the meaning
    /// of the request, and the engines that any instance announced to the proxy as draining or removed.
    pub fn handle_request(
        &mut self,
        now: f64,
        ask: &Ask,
    ) -> Result<Option<(Kind, RequestMeaning, Vec<super::picture::EngineName>)>, StreamError> {
        let Some(kind) = Kind::of(&ask.url) else { return Ok(None) };
        let first = !self.subscriptions.contains_key(&kind);
        let sub = self.subscriptions.entry(kind).or_default();
        let mut named = Vec::new();
        let mut meant = RequestMeaning::Subscribed;
        if first {
            if ask.held.len() > NAMES_MOST {
                return Err(StreamError::TooMany);
            }
            let versions = ask.held.iter().map(|(_, version)| version.as_str());
            named = versions.chain([ask.version.as_str()]).flat_map(tombs::named).collect();
        } else if !ask.nonce.is_empty() {
            meant = match ask.nonce.parse() {
                Ok(nonce) => sub.handle_answer(now, nonce, ask.error.as_ref()),
                Err(_) => RequestMeaning::Stale,
            };
            // State of the world: a request with a stale nonce does not change the subscription. The proxy still has to
            // answer the latest response, and that answer contains the current subscription.
            if meant == RequestMeaning::Stale && self.variant == Variant::World {
                return Ok(Some((kind, meant, named)));
            }
        }
        sub.subscribe(self.variant, kind, first, ask)?;
        if first {
            sub.earlier_versions =
                ask.held.iter().filter(|(name, _)| sub.subscribed(name)).cloned().collect();
            // A subscribed resource that the proxy already has is sent only if its version differs.
            sub.unknown.retain(|name| !sub.earlier_versions.contains_key(name));
        }
        Ok(Some((kind, meant, named)))
    }

    /// Returns the response of a resource type that is due on a stream that is ready to send. `urgent` counts the
    /// changes that are sent without waiting for an ACK. `renew_ms` is the interval at which heartbeats renew TTLs, in
    /// milliseconds.
    pub fn next(
        &mut self,
        now: f64,
        kind: Kind,
        desired: &Set,
        urgent: u64,
        renew_ms: f64,
    ) -> Option<Response> {
        let variant = self.variant;
        let sub = self.subscriptions.get_mut(&kind)?;
        let hurried = urgent > sub.urgent && sub.pending.len() < PENDING_MOST;
        let waited = sub.pending.back().is_none_or(|push| now - push.at >= PATIENCE_MS);
        let free = sub.pending.is_empty() || (waited && sub.pending.len() < PENDING_MOST / 2);
        let asked = sub.asked && sub.pending.len() < PENDING_MOST;
        if !free && !hurried && !asked {
            return sub.heartbeat_response(now, kind, renew_ms);
        }
        let mut visible = Set::new();
        for (name, resource) in desired.iter().filter(|(name, _)| sub.subscribed(name)) {
            visible.insert(name.clone(), resource.clone());
        }
        let same = sub.earlier_versions.is_empty() && unchanged(sub.expected(), &visible);
        let refused = sub.refused.as_ref().is_some_and(|refused| unchanged(refused, &visible));
        sub.urgent = urgent;
        if !sub.asked && (same || refused) {
            return sub.heartbeat_response(now, kind, renew_ms);
        }
        let (resources, removed) = match variant {
            Variant::World => (visible.values().cloned().collect(), Vec::new()),
            Variant::Delta => sub.difference(&visible),
        };
        sub.asked = false;
        sub.earlier_versions.clear();
        sub.unknown.clear();
        self.nonce += 1;
        let mut version = format!(
            "{:016x}",
            super::allot::hash(&visible.values().map(|r| r.version.as_bytes()).collect::<Vec<_>>())
        );
        // Versions of endpoint lists end with the names of draining and removed engines. Each list has the same names
        // or a subset, so the longest suffix contains all names.
        let tail = visible.values().filter_map(|r| r.version.split_once('~')).max_by_key(|(_, t)| t.len());
        if let Some((_, tail)) = tail {
            version.push('~');
            version.push_str(tail);
        }
        sub.sent_version = version.clone();
        sub.heartbeat = now;
        sub.pending.push_back(PendingResponse { nonce: self.nonce, at: now, set: visible });
        Some(Response { kind, version, nonce: self.nonce, resources, removed, heartbeat: false })
    }
}

/// Whether two sets contain the same resources. Most resources are shared, so comparing pointers usually suffices.
fn unchanged(a: &Set, b: &Set) -> bool {
    let same = |(x, y): (&Arc<Resource>, &Arc<Resource>)| Arc::ptr_eq(x, y) || x.version == y.version;
    a.len() == b.len() && a.keys().eq(b.keys()) && a.values().zip(b.values()).all(same)
}

impl Subscription {
    /// Returns a heartbeat for the resources with a TTL if `renew_ms` has passed since the last response.
    fn heartbeat_response(&mut self, now: f64, kind: Kind, renew_ms: f64) -> Option<Response> {
        if now - self.heartbeat < renew_ms {
            return None;
        }
        self.heartbeat = now;
        let resources: Vec<_> = self.accepted.values().filter(|r| r.ttl_ms.is_some()).cloned().collect();
        if resources.is_empty() {
            return None;
        }
        let version = self.sent_version.clone();
        Some(Response { kind, version, nonce: 0, resources, removed: Vec::new(), heartbeat: true })
    }

    fn difference(&self, visible: &Set) -> (Vec<Arc<Resource>>, Vec<String>) {
        let told = self.expected();
        let proxy_has = |r: &Resource| {
            // A resource with a TTL is sent again on a new stream, as an unchanged version would not renew the TTL.
            let earlier_versions = || self.earlier_versions.get(&*r.name).filter(|_| r.ttl_ms.is_none());
            told.get(&r.name).map(|r| &r.version).or_else(earlier_versions) == Some(&r.version)
        };
        let resources = visible.values().filter(|r| !proxy_has(r)).cloned().collect();
        let held = told.keys().map(|name| &**name).chain(self.earlier_versions.keys().map(String::as_str));
        let gone = held.chain(self.unknown.iter().map(String::as_str));
        let removed: BTreeSet<&str> = gone.filter(|name| !visible.contains_key(*name)).collect();
        (resources, removed.into_iter().map(str::to_owned).collect())
    }
}
