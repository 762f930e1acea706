//! The client side of the protocol for one proxy, without I/O. A session processes responses and produces requests; its
//! state survives reconnects.

use super::held::{read, Content, InvalidResource, ProxyResources};
use crate::core::resources::{Kind, ROUTES};
use crate::core::stream::{Ask, Response, Variant};
use std::collections::BTreeMap;

/// A resource in a received response.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedResource {
    /// The name, if sent outside the message; state of the world responses contain the name only inside the message.
    pub name: Option<String>,
    /// The version; empty in state of the world, where the whole response has one version.
    pub version: String,
    /// The encoded resource; absent in a heartbeat.
    pub body: Option<Vec<u8>>,
    /// The TTL in milliseconds.
    pub ttl_ms: Option<f64>,
}

/// A received response of either protocol variant.
#[derive(Clone, Debug, PartialEq)]
pub struct Got {
    /// The type URL of the resources.
    pub url: String,
    /// The version of the whole response.
    pub version: String,
    /// The nonce to repeat in the ACK or NACK.
    pub nonce: String,
    /// The received resources.
    pub resources: Vec<ReceivedResource>,
    /// Incremental: names of removed resources.
    pub removed: Vec<String>,
    /// The encoded size of the response in bytes; 0 if the response was not received over a network.
    pub bytes: usize,
}

impl From<Response> for Got {
    /// Converts a response to the form in which a client receives it.
    fn from(told: Response) -> Got {
        let resource = |r: &std::sync::Arc<crate::core::resources::Resource>| ReceivedResource {
            name: Some(r.name.to_string()),
            version: r.version.clone(),
            body: (!told.heartbeat).then(|| r.body.clone()),
            ttl_ms: r.ttl_ms,
        };
        Got {
            url: told.kind.url().to_owned(),
            version: told.version.clone(),
            nonce: if told.heartbeat { "heartbeat".to_owned() } else { told.nonce.to_string() },
            resources: told.resources.iter().map(resource).collect(),
            removed: told.removed.clone(),
            bytes: 0,
        }
    }
}

/// A change of a stored resource.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A resource was added or changed.
    Put(Kind, String, Content),
    /// A resource was removed or its TTL expired.
    Removed(Kind, String),
}

/// The protocol state and the resources of one client.
#[derive(Clone, Debug)]
pub struct Session {
    variant: Variant,
    held: ProxyResources,
    versions: BTreeMap<Kind, String>,
    subscribed: BTreeMap<Kind, Vec<String>>,
}

impl Session {
    /// Creates a session without resources.
    pub fn new(variant: Variant) -> Session {
        Session {
            variant,
            held: ProxyResources::default(),
            versions: BTreeMap::new(),
            subscribed: BTreeMap::new(),
        }
    }

    /// The accepted resources.
    pub fn held(&self) -> &ProxyResources {
        &self.held
    }

    /// Removes resources whose TTL has expired.
    pub fn expire(&mut self, now: f64) -> Vec<Change> {
        self.held.expire(now).into_iter().map(|(kind, name)| Change::Removed(kind, name)).collect()
    }

    /// Returns the first requests for a new stream, including the versions of the resources from an earlier stream.
    pub fn opened(&mut self) -> Vec<Ask> {
        self.subscribed.clear();
        let lists: Vec<String> = self.held.of(Kind::Cds).map(|(name, _)| name.to_owned()).collect();
        let mut asks = vec![self.first(Kind::Cds, Vec::new()), self.first(Kind::Lds, Vec::new())];
        asks.push(self.first(Kind::Rds, vec![ROUTES.to_owned()]));
        if !lists.is_empty() {
            asks.push(self.first(Kind::Eds, lists));
        }
        asks
    }

    fn first(&mut self, kind: Kind, names: Vec<String>) -> Ask {
        self.subscribed.insert(kind, names.clone());
        let held = if self.variant == Variant::Delta { self.held.versions(kind) } else { Vec::new() };
        let version = match self.variant {
            Variant::World => self.versions.get(&kind).cloned().unwrap_or_default(),
            Variant::Delta => String::new(),
        };
        Ask { url: kind.url().to_owned(), names, version, held, ..Ask::default() }
    }

    /// Processes a response and returns the resulting changes and the requests to send. If `refuse` is set, no resource
    /// changes and the request is a NACK with that error message.
    pub fn got(&mut self, now: f64, got: &Got, refuse: Option<&str>) -> (Vec<Change>, Vec<Ask>) {
        let Some(kind) = Kind::of(&got.url) else { return (Vec::new(), Vec::new()) };
        if got.nonce == "heartbeat"
            || (!got.resources.is_empty() && got.resources.iter().all(|r| r.body.is_none()))
        {
            for resource in &got.resources {
                let until = resource.ttl_ms.map(|ttl| now + ttl);
                self.held.renew(kind, resource.name.as_deref().unwrap_or_default(), until);
            }
            return (Vec::new(), Vec::new());
        }
        let mut ask = Ask { url: got.url.clone(), nonce: got.nonce.clone(), ..Ask::default() };
        let read = match refuse {
            Some(text) => Err(InvalidResource(text.to_owned())),
            None => self.read(kind, got),
        };
        let read = match read {
            Ok(read) => read,
            Err(e) => {
                ask.error = Some(e.0);
                if self.variant == Variant::World {
                    ask.version = self.versions.get(&kind).cloned().unwrap_or_default();
                    ask.names = self.subscribed.get(&kind).cloned().unwrap_or_default();
                }
                return (Vec::new(), vec![ask]);
            }
        };
        let mut changes = Vec::new();
        let mut removed = got.removed.clone();
        if self.variant == Variant::World && kind.wildcard() {
            let gone = self.held.of(kind).filter(|(name, _)| !read.iter().any(|(n, ..)| n == name));
            removed.extend(gone.map(|(name, _)| name.to_owned()));
        }
        for name in removed {
            if self.held.remove(kind, &name) {
                changes.push(Change::Removed(kind, name));
            }
        }
        for (name, version, item, ttl_ms) in read {
            if self.held.item(kind, &name) != Some(&item) {
                changes.push(Change::Put(kind, name.clone(), item.clone()));
            }
            self.held.put(kind, name, version, item, ttl_ms.map(|ttl| now + ttl));
        }
        self.versions.insert(kind, got.version.clone());
        if self.variant == Variant::World {
            ask.version = got.version.clone();
            ask.names = self.subscribed.get(&kind).cloned().unwrap_or_default();
        }
        let mut asks = vec![ask];
        if kind == Kind::Cds {
            asks.extend(self.follow());
        }
        (changes, asks)
    }

    /// Changes the EDS subscription to the current clusters. Returns `None` if the subscription is unchanged.
    fn follow(&mut self) -> Option<Ask> {
        let names: Vec<String> = self.held.of(Kind::Cds).map(|(name, _)| name.to_owned()).collect();
        let before = self.subscribed.get(&Kind::Eds).cloned();
        if before.as_ref() == Some(&names) {
            return None;
        }
        let Some(before) = before else { return Some(self.first(Kind::Eds, names)) };
        self.subscribed.insert(Kind::Eds, names.clone());
        let url = Kind::Eds.url().to_owned();
        Some(match self.variant {
            Variant::World => {
                let version = self.versions.get(&Kind::Eds).cloned().unwrap_or_default();
                Ask { url, names, version, ..Ask::default() }
            }
            Variant::Delta => Ask {
                url,
                names: names.iter().filter(|name| !before.contains(name)).cloned().collect(),
                leaves: before.iter().filter(|name| !names.contains(name)).cloned().collect(),
                ..Ask::default()
            },
        })
    }

    // The type is used once and destructured by the only caller.
    #[allow(clippy::type_complexity)]
    fn read(
        &self,
        kind: Kind,
        got: &Got,
    ) -> Result<Vec<(String, String, Content, Option<f64>)>, InvalidResource> {
        let whole = |r: &ReceivedResource| {
            let body = r.body.as_deref().unwrap_or_default();
            let (name, item) = read(kind, body)?;
            if name.is_empty() || r.name.as_ref().is_some_and(|told| *told != name) {
                return Err(InvalidResource(format!("{}: a resource's name is not its own", kind.short())));
            }
            let version = if self.variant == Variant::World { &got.version } else { &r.version };
            Ok((name, version.clone(), item, r.ttl_ms))
        };
        got.resources.iter().map(whole).collect()
    }
}
