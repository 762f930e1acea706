//! One proxy: its part in the shares, and the resources that are its own.

use super::*;

impl Proxy {
    /// Takes a part in the shares, and what this proxy held by a stream that has ended; unless its name is in use.
    pub(super) fn join(&mut self, now: f64, holder: Holder, shares: &mut Shares, leases: &mut Leases) {
        let (before, taken) = shares.joined(now, holder, &self.node);
        self.leases = !taken;
        if let Some(before) = before {
            // It goes on with what it held, so that nothing is taken from it that its route still names.
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
        shown: &Picture,
        edition: u64,
        tombs: &Tombs,
        main: &Arc<Resource>,
        warming: &BTreeMap<EngineName, Arc<Resource>>,
    ) -> Set {
        let foreign = self.tombs.names().any(|name| !tombs.holds(name));
        let list = if foreign {
            if self.endpoints.as_ref().is_none_or(|(of, _)| *of != edition) {
                let own = resources::endpoints(terms, shown, None, tombs, &self.tombs);
                self.endpoints = Some((edition, Arc::new(own)));
            }
            self.endpoints.as_ref().map_or(main, |(_, own)| own)
        } else {
            self.endpoints = None;
            main
        };
        let mut set = Set::from([(list.name.clone(), list.clone())]);
        for engine in self.clusters.keys() {
            // An engine that is no more is told as an empty list: state of the world can't take one back.
            let list = match warming.get(engine).filter(|_| !self.tombs.holds(engine)) {
                Some(list) => list.clone(),
                None => Arc::new(resources::endpoints(terms, shown, Some(engine), tombs, &self.tombs)),
            };
            set.insert(list.name.clone(), list);
        }
        set
    }

    pub(super) fn routes(
        &mut self,
        terms: &Terms,
        shown: &Picture,
        warming: &BTreeMap<EngineName, Arc<Resource>>,
        load: f64,
    ) -> Set {
        let warm = resources::warm_weight(shown, &self.tombs);
        let ready = |r: &Resource, kind: Kind| {
            self.stream.sub(kind).is_some_and(|sub| sub.good().contains_key(&r.name))
        };
        let mut parts = Vec::new();
        for (engine, cluster) in &self.clusters {
            let Some((_, most)) = &cluster.lease else { continue };
            let usable =
                shown.engine(engine).filter(|e| e.health == Health::Usable && warming.contains_key(engine));
            let Some(engine) =
                usable.filter(|e| self.wanted.contains_key(&e.name) && !self.tombs.holds(&e.name))
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

/// Books the leases that a response of clusters tells or takes back.
pub(super) fn tell_leases(leases: &mut Leases, holder: Holder, response: &Response, proxy: &Proxy) {
    let Some(sub) = proxy.stream.sub(Kind::Cds) else { return };
    for (engine, most) in sub.told().values().filter_map(|r| r.lease.as_ref()) {
        leases.told(engine, holder, response.nonce, *most);
    }
    // Whatever is not in the set that the proxy holds after this push is taken back by it.
    let held: BTreeSet<&EngineName> =
        sub.told().values().filter_map(|r| r.lease.as_ref()).map(|(e, _)| e).collect();
    let before: BTreeSet<EngineName> =
        sub.in_force().filter_map(|r| r.lease.as_ref()).map(|(e, _)| e.clone()).collect();
    for engine in before.iter().filter(|engine| !held.contains(engine)) {
        leases.told(engine, holder, response.nonce, 0);
    }
}
