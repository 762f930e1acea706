//! The status report for operators: connected proxies, their subscriptions and their leases.

use super::{Holder, Kind, Plane, Proxy, Subscription, Variant};
use serde_json::{json, Map, Value};

impl Plane {
    /// Returns the connected proxies with their subscriptions and leases as JSON.
    pub fn status(&self, now: f64) -> String {
        let clients: Vec<Value> =
            self.proxies.iter().map(|(holder, proxy)| self.client(now, *holder, proxy)).collect();
        let leased: Map<String, Value> = self
            .warming
            .keys()
            .map(|engine| (engine.to_string(), self.leases.total(engine).into()))
            .collect();
        let (engines, streams) = (self.published.engines.len(), self.proxies.len());
        json!({ "engines": engines, "streams": streams, "leased": leased, "clients": clients }).to_string()
    }

    fn client(&self, now: f64, holder: Holder, proxy: &Proxy) -> Value {
        let age = |at: f64| (now - at).round();
        let of = |(kind, sub): (Kind, &Subscription)| {
            let nack = sub.nacked.as_ref().map(|nack| json!({ "age_ms": age(nack.at), "error": nack.error }));
            let told = json!({
                "version": sub.version,
                "resources": sub.accepted().len(),
                "waiting": sub.waiting(),
                "ack_age_ms": sub.acked.map(age),
                "nacks": sub.nacks,
                "last_nack": nack,
            });
            (kind.short().to_owned(), told)
        };
        let leases = proxy.clusters.values().filter_map(|r| r.lease.as_ref());
        let leases: Map<String, Value> =
            leases.map(|(engine, most)| (engine.to_string(), (*most).into())).collect();
        json!({
            "stream": holder,
            "node": proxy.node,
            "peer": proxy.peer,
            "variant": if proxy.stream.variant == Variant::Delta { "delta" } else { "sotw" },
            "age_ms": age(proxy.since),
            "share": (self.shares.share(holder) * 1000.0).round() / 1000.0,
            "in_progress": (self.loads.in_progress(&proxy.node) * 10.0).round() / 10.0,
            "leases": leases,
            "types": proxy.stream.subscriptions().map(of).collect::<Map<String, Value>>(),
        })
    }
}
