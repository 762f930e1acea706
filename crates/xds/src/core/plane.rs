//! The whole service without I/O: pictures and requests in, responses out when a stream takes one.
//!
//! The order of things (make before break): a warming engine's cluster is told first, then its endpoints, and only
//! when the proxy has accepted both does its route name it. Backwards, the route goes first, and the cluster once
//! the route without it is accepted. Listeners only name the route configuration and hardly change.

mod proxy;
mod status;

use super::allot::{bound, Holder, Leases, Shares};
use super::loads::Loads;
use super::picture::{Engine, EngineName, Health, Picture, Terms};
use super::resources::{self, Kind, Resource, Set};
use super::stream::{Ask, Meant, Response, Stream, StreamError, Sub, Variant};
use super::tombs::Tombs;
use proxy::tell_leases;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const WEIGHTS_MS: f64 = 1_000.0; // between two changes of weights alone
const WEIGHTS_OFF: f64 = 0.1; // of a weight, before it is told anew
const PLAN_MS: f64 = 500.0; // between two plans for the same warming engine
const MORE: f64 = 1.25; // a lease is raised when it is to grow by so much
const NODE_MOST: usize = 256; // characters of a proxy's name

/// A line for the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// Worth knowing.
    Info(String),
    /// Worth a look.
    Warning(String),
}

struct Proxy {
    node: String,
    peer: String,
    since: f64,
    stream: Stream,
    /// Engines that this proxy was told drain or are gone, by whomever.
    tombs: Tombs,
    /// Whether it may have leases: its name is its own.
    leases: bool,
    wanted: BTreeMap<EngineName, u32>,
    /// Something may be there to tell.
    dirty: bool,
    /// The clusters of its own, as last built, by engine.
    clusters: BTreeMap<EngineName, Arc<Resource>>,
    routes: Option<Arc<Resource>>,
    /// Its own list of endpoints, where it was told more than is known here.
    endpoints: Option<(u64, Arc<Resource>)>,
}

/// The service.
pub struct Plane {
    terms: Terms,
    born: f64,
    latest: Picture,
    /// What is told: the latest picture, but for small changes of weights.
    shown: Picture,
    shown_at: f64,
    /// Counts the changes of what is shown.
    edition: u64,
    /// Counts those that wait for no ACK.
    urgent: u64,
    tombs: Tombs,
    main: Arc<Resource>,
    main_endpoints: Arc<Resource>,
    /// The endpoints of warming engines: the same for all proxies that hold a lease.
    warming: BTreeMap<EngineName, Arc<Resource>>,
    listeners: Set,
    shares: Shares,
    leases: Leases,
    loads: Loads,
    planned: BTreeMap<EngineName, f64>,
    proxies: BTreeMap<Holder, Proxy>,
    last: Holder,
    told: Vec<Told>,
    ended: Vec<(Holder, StreamError)>,
}

impl Plane {
    /// A service that knows of no engine yet. What an instance before it may have leased is unknown: for the longest
    /// time that such leases last, none are given.
    pub fn new(now: f64, terms: Terms) -> Plane {
        let none = Tombs::default();
        let main = Arc::new(resources::cluster(&terms, None));
        let main_endpoints = resources::endpoints(&terms, &Picture::default(), None, &none, &none);
        Plane {
            born: now,
            latest: Picture::default(),
            shown: Picture::default(),
            shown_at: now,
            edition: 0,
            urgent: 0,
            tombs: none,
            main,
            main_endpoints: Arc::new(main_endpoints),
            warming: BTreeMap::new(),
            listeners: resources::listeners(&terms),
            shares: Shares::default(),
            leases: Leases::default(),
            loads: Loads::default(),
            planned: BTreeMap::new(),
            proxies: BTreeMap::new(),
            last: 0,
            told: Vec::new(),
            ended: Vec::new(),
            terms,
        }
    }

    /// Takes a picture in. Engines that come, drain, go, or change their health are told at once.
    pub fn picture(&mut self, now: f64, picture: Picture) {
        self.latest = picture;
        self.refresh(now);
    }

    fn refresh(&mut self, now: f64) {
        let (before, after) = (&self.shown, &self.latest);
        let plain = |p: &Picture| -> Vec<_> {
            p.engines.iter().map(|e| (e.name.clone(), e.address, e.health, e.warming())).collect()
        };
        let changed = plain(before) != plain(after);
        let off = |a: f64, b: f64, by: f64| (a - b).abs() > by * a.abs().max(1e-9);
        let weights = before.engines.iter().zip(&after.engines);
        let weights = off(1.0 + before.admitted, 1.0 + after.admitted, 0.02)
            || weights.into_iter().any(|(a, b)| off(a.cores, b.cores, WEIGHTS_OFF));
        let weights = weights && now - self.shown_at >= WEIGHTS_MS;
        if !(changed || weights) {
            return;
        }
        let worse = before.engines.iter().any(|e| {
            let then = after.engine(&e.name);
            let worse = |t: &Engine| {
                t.health != Health::Usable || t.address != e.address || (t.warming() && !e.warming())
            };
            e.health == Health::Usable && then.is_none_or(worse)
        });
        self.tombs.step(now, before, after);
        self.urgent += u64::from(worse);
        self.shown = self.latest.clone();
        self.shown_at = now;
        self.edition += 1;
        self.build();
    }

    fn build(&mut self) {
        let none = Tombs::default();
        let list = |warming| resources::endpoints(&self.terms, &self.shown, warming, &self.tombs, &none);
        let fresh = Arc::new(list(None));
        if *fresh != *self.main_endpoints {
            self.main_endpoints = fresh;
        }
        let cold = self.terms.cold.is_some();
        let engines = self.shown.engines.iter().filter(|e| cold && e.warming());
        self.warming = engines.map(|e| (e.name.clone(), Arc::new(list(Some(&e.name))))).collect();
        let warming = &self.warming;
        self.planned.retain(|engine, _| warming.contains_key(engine));
        self.touch();
    }

    fn touch(&mut self) {
        self.proxies.values_mut().for_each(|proxy| proxy.dirty = true);
    }

    /// A stream was opened; its number, or why it can't be.
    pub fn opened(&mut self, now: f64, variant: Variant, peer: &str) -> Result<Holder, StreamError> {
        if self.proxies.len() >= self.terms.streams_most {
            return Err(StreamError::Full);
        }
        self.last += 1;
        self.proxies.insert(
            self.last,
            Proxy {
                node: String::new(),
                peer: peer.to_owned(),
                since: now,
                stream: Stream::new(variant),
                tombs: Tombs::default(),
                leases: false,
                wanted: BTreeMap::new(),
                dirty: false,
                clusters: BTreeMap::new(),
                routes: None,
                endpoints: None,
            },
        );
        Ok(self.last)
    }

    /// A stream ended.
    pub fn closed(&mut self, now: f64, holder: Holder) {
        if self.proxies.remove(&holder).is_some() {
            self.shares.left(now, holder);
            self.leases.left(holder, now + self.terms.late_ms + self.terms.ttl_ms);
        }
    }

    /// A request came on a stream. `node` is the proxy's id, which only the first request must have.
    pub fn asked(&mut self, now: f64, holder: Holder, node: &str, ask: &Ask) -> Result<(), StreamError> {
        let Some(proxy) = self.proxies.get_mut(&holder) else { return Ok(()) };
        if proxy.node.is_empty() && !node.is_empty() {
            proxy.node = node.chars().filter(|c| !c.is_control()).take(NODE_MOST).collect();
            proxy.join(now, holder, &mut self.shares, &mut self.leases);
            if !proxy.leases {
                let text = format!(
                    "name: node={} is in use by another stream, no lease until that ends",
                    proxy.node
                );
                self.told.push(Told::Warning(text));
            }
        }
        let Some((kind, meant, named)) = proxy.stream.ask(now, ask)? else {
            let url: String = ask.url.chars().filter(|c| !c.is_control()).take(100).collect();
            self.told.push(Told::Info(format!("type: node={} asks for {url}, not told here", proxy.node)));
            return Ok(());
        };
        if !named.is_empty() {
            proxy.tombs.join(now, named);
            proxy.endpoints = None;
        }
        proxy.dirty = true;
        match meant {
            Meant::Acked(push) if kind == Kind::Cds => self.leases.confirmed(holder, push),
            Meant::Nacked(push, error) => {
                if kind == Kind::Cds {
                    self.leases.refused(holder, push);
                }
                let (node, kind) = (&proxy.node, kind.short());
                self.told
                    .push(Told::Warning(format!("nack: node={node} type={kind} nonce={push} error={error}")));
            }
            _ => {}
        }
        Ok(())
    }

    /// A load report came: requests in progress at the clusters told here.
    pub fn reported(&mut self, now: f64, node: &str, in_progress: u64) {
        if !node.is_empty() && self.proxies.values().any(|p| p.node == node) {
            self.loads.report(now, node, in_progress);
        }
    }

    /// Whether a cluster is one that is told here, so that its load counts.
    pub fn knows(&self, cluster: &str) -> bool {
        let own = cluster.strip_prefix(&*self.terms.cluster);
        own.is_some_and(|rest| {
            rest.is_empty() || rest.strip_prefix('/').is_some_and(|e| self.latest.engine(e).is_some())
        })
    }

    /// Time passes: plans are made, old things forgotten, streams ended that do not answer.
    pub fn tick(&mut self, now: f64) {
        self.refresh(now);
        self.tombs.forget(now);
        self.loads.forget(now);
        let warming = &self.warming;
        self.leases.expire(now, &|engine| warming.contains_key(engine));
        let loads = &self.loads;
        let moved = self.shares.balance(now, self.terms.settle_ms, &|node| loads.in_progress(node));
        if now - self.born >= self.terms.late_ms + self.terms.ttl_ms {
            self.plan(now, moved);
        }
        for (holder, proxy) in &mut self.proxies {
            proxy.tombs.forget(now);
            if !proxy.leases && !proxy.node.is_empty() {
                proxy.join(now, *holder, &mut self.shares, &mut self.leases);
            }
            proxy.dirty |=
                !self.warming.is_empty() || !proxy.clusters.is_empty() || proxy.endpoints.is_some();
            let oldest =
                proxy.stream.subs().filter_map(|(_, sub)| sub.oldest()).fold(f64::INFINITY, f64::min);
            // Better a new stream, which is told all at once, than one that no drain can be told on.
            let stuck = proxy.stream.subs().any(|(kind, sub)| kind != Kind::Cds && sub.stuck(self.urgent));
            if stuck || now - oldest > self.terms.ack_ms {
                self.ended.push((*holder, StreamError::Unanswered));
            }
        }
    }

    /// Plans who may have how much out at each warming engine, where it is time.
    fn plan(&mut self, now: f64, moved: bool) {
        let Some(cold) = self.terms.cold else { return };
        for engine in self.shown.engines.iter().filter(|e| e.warming()) {
            let due = self.planned.get(&engine.name).is_none_or(|at| now - at >= PLAN_MS);
            if !due && !moved {
                continue;
            }
            self.planned.insert(engine.name.clone(), now);
            // The newest figure counts, not the one that is shown.
            let cores = self.latest.engine(&engine.name).map_or(0.0, |e| e.cores);
            let usable = engine.health == Health::Usable;
            let most = if usable { bound(&cold, cores) } else { 0 };
            let parts = self.shares.divide(&engine.name, most);
            for (holder, proxy) in &mut self.proxies {
                let aim = if proxy.leases { parts.get(holder).copied().unwrap_or(0) } else { 0 };
                let had = proxy.wanted.get(&engine.name).copied().unwrap_or(0);
                if aim < had || f64::from(aim) >= f64::from(had) * MORE && aim > had {
                    proxy.wanted.insert(engine.name.clone(), aim);
                    proxy.dirty = true;
                }
            }
        }
    }

    /// The next response of a stream that takes one, if there is something to tell.
    pub fn next(&mut self, now: f64, holder: Holder) -> Option<Response> {
        if !self.proxies.get(&holder)?.dirty {
            return None;
        }
        self.lease(holder);
        let proxy = self.proxies.get_mut(&holder)?;
        let renew = self.terms.ttl_ms / 3.0;
        for kind in Kind::ALL {
            let desired = match kind {
                Kind::Cds => proxy.clusters(&self.main),
                Kind::Eds => proxy.endpoints(
                    &self.terms,
                    &self.shown,
                    self.edition,
                    &self.tombs,
                    &self.main_endpoints,
                    &self.warming,
                ),
                Kind::Lds => self.listeners.clone(),
                Kind::Rds => {
                    let load = self.loads.in_progress(&proxy.node);
                    proxy.routes(&self.terms, &self.shown, &self.warming, load)
                }
            };
            let urgent = if kind == Kind::Cds { 0 } else { self.urgent };
            if let Some(response) = proxy.stream.next(now, kind, &desired, urgent, renew) {
                if kind == Kind::Cds {
                    tell_leases(&mut self.leases, holder, &response, proxy);
                }
                return Some(response);
            }
        }
        proxy.dirty = false;
        None
    }

    /// Brings a proxy's own clusters up to date: leases as they were planned and as others leave room.
    fn lease(&mut self, holder: Holder) {
        let (Some(proxy), Some(cold)) = (self.proxies.get_mut(&holder), self.terms.cold) else { return };
        // What a route at the proxy may still name stays.
        let named: BTreeSet<EngineName> = match proxy.stream.sub(Kind::Rds) {
            Some(sub) => sub.in_force().flat_map(|r| r.refs.iter().cloned()).collect(),
            None => BTreeSet::new(),
        };
        let warming = &self.warming;
        proxy.wanted.retain(|engine, wanted| *wanted > 0 && warming.contains_key(engine));
        proxy.clusters.retain(|engine, _| proxy.wanted.contains_key(engine) || named.contains(engine));
        for (engine, wanted) in &proxy.wanted {
            let cores = self.latest.engine(engine).map_or(0.0, |e| e.cores);
            let most = self.leases.grant(engine, holder, *wanted, bound(&cold, cores));
            let had = proxy.clusters.get(engine).and_then(|r| r.lease.as_ref()).map_or(0, |(_, most)| *most);
            if most == 0 && !named.contains(engine) {
                proxy.clusters.remove(engine);
            } else if most > 0 && most != had {
                let cluster = resources::cluster(&self.terms, Some((engine, most)));
                proxy.clusters.insert(engine.clone(), Arc::new(cluster));
            }
        }
    }

    /// Lines for the operators since the last call.
    pub fn take_told(&mut self) -> Vec<Told> {
        std::mem::take(&mut self.told)
    }

    /// Streams that are to be ended.
    pub fn take_ended(&mut self) -> Vec<(Holder, StreamError)> {
        std::mem::take(&mut self.ended)
    }

    /// Streams for which there may be something to tell.
    pub fn dirty(&self) -> impl Iterator<Item = Holder> + '_ {
        self.proxies.iter().filter(|(_, proxy)| proxy.dirty).map(|(holder, _)| *holder)
    }

    /// The leases, to look at.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }
}
