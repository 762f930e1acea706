//! The control plane as a state machine without I/O. Its inputs are engine snapshots and discovery requests; it builds
//! a response whenever a stream is ready to send.
//!
//! Updates are ordered "make before break". A warming engine's cluster is sent first, then its endpoints; the route
//! names the cluster after the proxy has ACKed both. A removal first updates the route and removes the cluster after
//! the proxy has ACKed the new route. Listeners refer only to the route configuration and rarely change.

mod proxy;
mod status;

use super::allot::{bound, Holder, Leases, Shares};
use super::loads::Loads;
use super::picture::{Engine, EngineName, Health, Picture, Terms};
use super::resources::{self, Kind, Resource, Set};
use super::stream::{Ask, RequestMeaning, Response, Stream, StreamError, Subscription, Variant};
use super::tombs::WithdrawnEngines;
use proxy::record_leases;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The minimum time between two updates that change only weights, in milliseconds.
const WEIGHT_UPDATE_MS: f64 = 1_000.0;
/// The relative change of an engine's weight above which an update is sent.
const WEIGHT_CHANGE_MIN: f64 = 0.1;
/// The time between two plans of the leases on the same warming engine, in milliseconds, unless a share changes.
const PLAN_MS: f64 = 500.0;
/// The factor by which a proxy's planned lease must grow before the larger value is adopted; decreases apply at once.
const LEASE_GROWTH_MIN: f64 = 1.25;
/// The maximum length of a node id, in characters; longer ids are truncated.
const NODE_MOST: usize = 256;

/// A log line for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// An informational message.
    Info(String),
    /// A condition that the operator should investigate.
    Warning(String),
}

struct Proxy {
    node: String,
    peer: String,
    since: f64,
    stream: Stream,
    /// Engines that any instance announced to this proxy as draining or removed.
    withdrawn: WithdrawnEngines,
    /// Whether the proxy may hold leases: no other stream uses its node id.
    may_lease: bool,
    /// The planned lease value for each warming engine.
    wanted: BTreeMap<EngineName, u32>,
    /// Whether a response may have to be sent.
    dirty: bool,
    /// The clusters specific to this proxy (one per warming engine), as built last, by engine.
    clusters: BTreeMap<EngineName, Arc<Resource>>,
    routes: Option<Arc<Resource>>,
    /// The endpoint list specific to this proxy and the edition from which the list was built; needed if the proxy
    /// knows of draining or removed engines that this instance does not know of.
    endpoints: Option<(u64, Arc<Resource>)>,
}

/// The control plane.
pub struct Plane {
    terms: Terms,
    started: f64,
    latest: Picture,
    /// The published snapshot: the latest one, except that small changes of weights are deferred.
    published: Picture,
    published_at: f64,
    /// The number of changes of the published snapshot.
    edition: u64,
    /// The number of urgent changes, which are sent even while earlier responses await an ACK.
    urgent: u64,
    withdrawn: WithdrawnEngines,
    main: Arc<Resource>,
    main_endpoints: Arc<Resource>,
    /// The endpoints of each warming engine, shared by all proxies that hold a lease.
    warming: BTreeMap<EngineName, Arc<Resource>>,
    listeners: Set,
    shares: Shares,
    leases: Leases,
    loads: Loads,
    planned: BTreeMap<EngineName, f64>,
    proxies: BTreeMap<Holder, Proxy>,
    last: Holder,
    log_lines: Vec<Told>,
    ended: Vec<(Holder, StreamError)>,
}

impl Plane {
    /// Creates a control plane without engines. The leases granted by a previous instance are unknown, so no leases are
    /// granted until all earlier leases must have expired (`late_ms + ttl_ms`).
    pub fn new(now: f64, terms: Terms) -> Plane {
        let none = WithdrawnEngines::default();
        let main = Arc::new(resources::cluster(&terms, None));
        let main_endpoints = resources::endpoints(&terms, &Picture::default(), None, &none, &none);
        Plane {
            started: now,
            latest: Picture::default(),
            published: Picture::default(),
            published_at: now,
            edition: 0,
            urgent: 0,
            withdrawn: none,
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
            log_lines: Vec::new(),
            ended: Vec::new(),
            terms,
        }
    }

    /// Processes a new snapshot. Added, draining and removed engines and changes of health are published immediately.
    pub fn picture(&mut self, now: f64, picture: Picture) {
        self.latest = picture;
        self.publish_changes(now);
    }

    fn publish_changes(&mut self, now: f64) {
        let (before, after) = (&self.published, &self.latest);
        let plain = |p: &Picture| -> Vec<_> {
            p.engines.iter().map(|e| (e.name.clone(), e.address, e.health, e.warming())).collect()
        };
        let changed = plain(before) != plain(after);
        let off = |a: f64, b: f64, by: f64| (a - b).abs() > by * a.abs().max(1e-9);
        let weights = before.engines.iter().zip(&after.engines);
        let weights = off(1.0 + before.admitted, 1.0 + after.admitted, 0.02)
            || weights.into_iter().any(|(a, b)| off(a.cores, b.cores, WEIGHT_CHANGE_MIN));
        let weights = weights && now - self.published_at >= WEIGHT_UPDATE_MS;
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
        self.withdrawn.step(now, before, after);
        self.urgent += u64::from(worse);
        self.published = self.latest.clone();
        self.published_at = now;
        self.edition += 1;
        self.build_resources();
    }

    fn build_resources(&mut self) {
        let none = WithdrawnEngines::default();
        let list =
            |warming| resources::endpoints(&self.terms, &self.published, warming, &self.withdrawn, &none);
        let fresh = Arc::new(list(None));
        if *fresh != *self.main_endpoints {
            self.main_endpoints = fresh;
        }
        let cold = self.terms.cold.is_some();
        let engines = self.published.engines.iter().filter(|e| cold && e.warming());
        self.warming = engines.map(|e| (e.name.clone(), Arc::new(list(Some(&e.name))))).collect();
        let warming = &self.warming;
        self.planned.retain(|engine, _| warming.contains_key(engine));
        self.mark_all_dirty();
    }

    fn mark_all_dirty(&mut self) {
        self.proxies.values_mut().for_each(|proxy| proxy.dirty = true);
    }

    /// Registers a new stream and returns its number, or an error if the maximum number of streams is reached.
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
                withdrawn: WithdrawnEngines::default(),
                may_lease: false,
                wanted: BTreeMap::new(),
                dirty: false,
                clusters: BTreeMap::new(),
                routes: None,
                endpoints: None,
            },
        );
        Ok(self.last)
    }

    /// Unregisters a stream that ended; its leases count until they must have expired at the proxy.
    pub fn closed(&mut self, now: f64, holder: Holder) {
        if self.proxies.remove(&holder).is_some() {
            self.shares.record_disconnect(now, holder);
            self.leases.record_disconnect(holder, now + self.terms.late_ms + self.terms.ttl_ms);
        }
    }

    /// Processes a request. `node` is the proxy's node id, required only in the first request of a stream.
    pub fn asked(&mut self, now: f64, holder: Holder, node: &str, ask: &Ask) -> Result<(), StreamError> {
        let Some(proxy) = self.proxies.get_mut(&holder) else { return Ok(()) };
        if proxy.node.is_empty() && !node.is_empty() {
            proxy.node = node.chars().filter(|c| !c.is_control()).take(NODE_MOST).collect();
            proxy.register(now, holder, &mut self.shares, &mut self.leases);
            if !proxy.may_lease {
                let text = format!(
                    "name: node={} is in use by another stream; no leases until that stream ends",
                    proxy.node
                );
                self.log_lines.push(Told::Warning(text));
            }
        }
        let Some((kind, meant, named)) = proxy.stream.handle_request(now, ask)? else {
            let url: String = ask.url.chars().filter(|c| !c.is_control()).take(100).collect();
            self.log_lines.push(Told::Info(format!("type: node={} requests {url}: not served", proxy.node)));
            return Ok(());
        };
        if !named.is_empty() {
            proxy.withdrawn.merge(now, named);
            proxy.endpoints = None;
        }
        proxy.dirty = true;
        match meant {
            RequestMeaning::Acked(push) if kind == Kind::Cds => self.leases.record_ack(holder, push),
            RequestMeaning::Nacked(push, error) => {
                if kind == Kind::Cds {
                    self.leases.record_nack(holder, push);
                }
                let (node, kind) = (&proxy.node, kind.short());
                self.log_lines
                    .push(Told::Warning(format!("nack: node={node} type={kind} nonce={push} error={error}")));
            }
            _ => {}
        }
        Ok(())
    }

    /// Processes a load report: a proxy's requests in progress at the clusters of this control plane.
    pub fn reported(&mut self, now: f64, node: &str, in_progress: u64) {
        if !node.is_empty() && self.proxies.values().any(|p| p.node == node) {
            self.loads.report(now, node, in_progress);
        }
    }

    /// Whether a cluster belongs to this control plane, so that its load counts.
    pub fn knows(&self, cluster: &str) -> bool {
        let own = cluster.strip_prefix(&*self.terms.cluster);
        own.is_some_and(|rest| {
            rest.is_empty() || rest.strip_prefix('/').is_some_and(|e| self.latest.engine(e).is_some())
        })
    }

    /// Performs the periodic work: plans leases, discards expired state, and closes unresponsive streams.
    pub fn tick(&mut self, now: f64) {
        self.publish_changes(now);
        self.withdrawn.forget(now);
        self.loads.forget(now);
        let warming = &self.warming;
        self.leases.expire(now, &|engine| warming.contains_key(engine));
        let loads = &self.loads;
        let moved = self.shares.balance(now, self.terms.settle_ms, &|node| loads.in_progress(node));
        if now - self.started >= self.terms.late_ms + self.terms.ttl_ms {
            self.plan(now, moved);
        }
        for (holder, proxy) in &mut self.proxies {
            proxy.withdrawn.forget(now);
            if !proxy.may_lease && !proxy.node.is_empty() {
                proxy.register(now, *holder, &mut self.shares, &mut self.leases);
            }
            proxy.dirty |=
                !self.warming.is_empty() || !proxy.clusters.is_empty() || proxy.endpoints.is_some();
            let subscriptions = || proxy.stream.subscriptions();
            let oldest =
                subscriptions().filter_map(|(_, sub)| sub.oldest_pending()).fold(f64::INFINITY, f64::min);
            // A stream on which no drain can be announced is closed; the proxy receives the complete state on a new
            // stream.
            let stuck = subscriptions().any(|(kind, sub)| kind != Kind::Cds && sub.stuck(self.urgent));
            if stuck || now - oldest > self.terms.ack_ms {
                self.ended.push((*holder, StreamError::Unanswered));
            }
        }
    }

    /// Plans how many requests each proxy may have open at each warming engine whose plan is due.
    fn plan(&mut self, now: f64, moved: bool) {
        let Some(cold) = self.terms.cold else { return };
        for engine in self.published.engines.iter().filter(|e| e.warming()) {
            let due = self.planned.get(&engine.name).is_none_or(|at| now - at >= PLAN_MS);
            if !due && !moved {
                continue;
            }
            self.planned.insert(engine.name.clone(), now);
            // The bound uses the latest capacity, which the published snapshot may not contain yet.
            let cores = self.latest.engine(&engine.name).map_or(0.0, |e| e.cores);
            let usable = engine.health == Health::Usable;
            let most = if usable { bound(&cold, cores) } else { 0 };
            let parts = self.shares.divide(&engine.name, most);
            for (holder, proxy) in &mut self.proxies {
                let aim = if proxy.may_lease { parts.get(holder).copied().unwrap_or(0) } else { 0 };
                let had = proxy.wanted.get(&engine.name).copied().unwrap_or(0);
                if aim < had || f64::from(aim) >= f64::from(had) * LEASE_GROWTH_MIN && aim > had {
                    proxy.wanted.insert(engine.name.clone(), aim);
                    proxy.dirty = true;
                }
            }
        }
    }

    /// Returns the next response for a stream that is ready to send, if any is due.
    pub fn next(&mut self, now: f64, holder: Holder) -> Option<Response> {
        if !self.proxies.get(&holder)?.dirty {
            return None;
        }
        self.update_clusters(holder);
        let proxy = self.proxies.get_mut(&holder)?;
        let renew = self.terms.ttl_ms / 3.0;
        for kind in Kind::ALL {
            let desired = match kind {
                Kind::Cds => proxy.clusters(&self.main),
                Kind::Eds => proxy.endpoints(
                    &self.terms,
                    &self.published,
                    self.edition,
                    &self.withdrawn,
                    &self.main_endpoints,
                    &self.warming,
                ),
                Kind::Lds => self.listeners.clone(),
                Kind::Rds => {
                    let load = self.loads.in_progress(&proxy.node);
                    proxy.routes(&self.terms, &self.published, &self.warming, load)
                }
            };
            let urgent = if kind == Kind::Cds { 0 } else { self.urgent };
            if let Some(response) = proxy.stream.next(now, kind, &desired, urgent, renew) {
                if kind == Kind::Cds {
                    record_leases(&mut self.leases, holder, &response, proxy);
                }
                return Some(response);
            }
        }
        proxy.dirty = false;
        None
    }

    /// Updates the clusters specific to a proxy. Each lease is the planned value, limited by the bound that remains
    /// after the leases of other proxies.
    fn update_clusters(&mut self, holder: Holder) {
        let (Some(proxy), Some(cold)) = (self.proxies.get_mut(&holder), self.terms.cold) else { return };
        // Clusters that a route in use at the proxy may still name must not be removed.
        let named: BTreeSet<EngineName> = match proxy.stream.subscription(Kind::Rds) {
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

    /// Returns and clears the log lines produced since the last call.
    pub fn take_told(&mut self) -> Vec<Told> {
        std::mem::take(&mut self.log_lines)
    }

    /// Returns and clears the streams to be closed, each with the reason.
    pub fn take_ended(&mut self) -> Vec<(Holder, StreamError)> {
        std::mem::take(&mut self.ended)
    }

    /// The streams that may have a response to send.
    pub fn dirty(&self) -> impl Iterator<Item = Holder> + '_ {
        self.proxies.iter().filter(|(_, proxy)| proxy.dirty).map(|(holder, _)| *holder)
    }

    /// The leases on warming engines.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }
}
