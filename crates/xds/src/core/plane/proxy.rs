//! The state of one proxy: its share and the resources built specifically for the proxy.

use super::*;

impl Proxy {
    /// Registers the proxy for a share and transfers the leases of its earlier, closed stream, unless another stream
    /// uses the same node id.
    pub(super) fn register(&mut self, now: f64, holder: Holder, shares: &mut Shares, leases: &mut Leases) {
        let (before, taken) = shares.register(now, holder, &self.node);
        self.may_lease = !taken;
        if let Some(before) = before {
            // The proxy retains its earlier leases, so that no cluster is removed that its route still names.
            self.wanted.extend(leases.adopt(before, holder));
        }
    }

    pub(super) fn clusters(&self, main: &Arc<Resource>) -> Set {
        let own = self.clusters.values().map(|r| (r.name.clone(), r.clone()));
        own.chain([(main.name.clone(), main.clone())]).collect()
    }

    pub(super) fn endpoints(
        &mut self,
        terms: &Terms,
        published: &Picture,
        edition: u64,
        withdrawn: &WithdrawnEngines,
        main: &Arc<Resource>,
        warming: &BTreeMap<EngineName, Arc<Resource>>,
    ) -> Set {
        let foreign = self.withdrawn.names().any(|name| !withdrawn.contains(name));
        let list = if foreign {
            if self.endpoints.as_ref().is_none_or(|(of, _)| *of != edition) {
                let own = resources::endpoints(terms, published, None, withdrawn, &self.withdrawn);
                self.endpoints = Some((edition, Arc::new(own)));
            }
            self.endpoints.as_ref().map_or(main, |(_, own)| own)
        } else {
            self.endpoints = None;
            main
        };
        let mut set = Set::from([(list.name.clone(), list.clone())]);
        for engine in self.clusters.keys() {
            // A removed engine gets an empty endpoint list, as state of the world EDS responses cannot remove
            // resources.
            let list = match warming.get(engine).filter(|_| !self.withdrawn.contains(engine)) {
                Some(list) => list.clone(),
                None => {
                    Arc::new(resources::endpoints(terms, published, Some(engine), withdrawn, &self.withdrawn))
                }
            };
            set.insert(list.name.clone(), list);
        }
        set
    }

    pub(super) fn routes(
        &mut self,
        terms: &Terms,
        published: &Picture,
        warming: &BTreeMap<EngineName, Arc<Resource>>,
        load: f64,
    ) -> Set {
        let warm = resources::warm_weight(published, &self.withdrawn);
        let ready = |r: &Resource, kind: Kind| {
            self.stream.subscription(kind).is_some_and(|sub| sub.accepted().contains_key(&r.name))
        };
        let mut parts = Vec::new();
        for (engine, cluster) in &self.clusters {
            let Some((_, most)) = &cluster.lease else { continue };
            let usable = published
                .engine(engine)
                .filter(|e| e.health == Health::Usable && warming.contains_key(engine));
            let Some(engine) =
                usable.filter(|e| self.wanted.contains_key(&e.name) && !self.withdrawn.contains(&e.name))
            else {
                continue;
            };
            if ready(cluster, Kind::Cds) && ready(cluster, Kind::Eds) {
                parts.push((engine.name.clone(), resources::warming_weight(engine.cores, *most, warm, load)));
            }
        }
        let fresh = resources::routes(terms, warm, &parts);
        if self.routes.as_ref().is_none_or(|routes| **routes != fresh) {
            self.routes = Some(Arc::new(fresh));
        }
        self.routes.iter().map(|r| (r.name.clone(), r.clone())).collect()
    }
}

/// Records the leases that a CDS response grants or revokes.
pub(super) fn record_leases(leases: &mut Leases, holder: Holder, response: &Response, proxy: &Proxy) {
    let Some(sub) = proxy.stream.subscription(Kind::Cds) else { return };
    for (engine, most) in sub.expected().values().filter_map(|r| r.lease.as_ref()) {
        leases.record_sent(engine, holder, response.nonce, *most);
    }
    // Leases that are absent from the proxy's set of clusters after this response are revoked by the response.
    let held: BTreeSet<&EngineName> =
        sub.expected().values().filter_map(|r| r.lease.as_ref()).map(|(e, _)| e).collect();
    let before: BTreeSet<EngineName> =
        sub.in_force().filter_map(|r| r.lease.as_ref()).map(|(e, _)| e.clone()).collect();
    for engine in before.iter().filter(|engine| !held.contains(engine)) {
        leases.record_sent(engine, holder, response.nonce, 0);
    }
}
