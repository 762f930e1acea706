//! A simulation without I/O: a control plane and proxies that exchange messages with delays, on a manual clock.
#![allow(dead_code)]

use beamgap_xds::client::held::Told;
use beamgap_xds::client::session::{Got, Session};
use beamgap_xds::core::picture::{ColdTerms, Engine, Health, Listener, Picture, Terms};
use beamgap_xds::core::plane::Plane;
use beamgap_xds::core::resources::Kind;
use beamgap_xds::core::stream::{Ask, Response, Variant};
use std::collections::VecDeque;

pub const COLD: ColdTerms = ColdTerms {
    fall_multiple: 3.0,
    fall_span_ms: 1500.0,
    proxy_share: 0.5,
    instances: 1,
    request_work_ms: 100.0,
};

pub fn terms() -> Terms {
    Terms {
        cluster: "boxes".to_owned(),
        listeners: vec![Listener { name: "tills".to_owned(), address: "127.0.0.1:8080".parse().unwrap() }],
        cold: Some(COLD),
        late_ms: 1_000.0,
        ttl_ms: 3_000.0,
        ..Terms::default()
    }
}

pub fn engine(name: &str, port: u16, warmth: f64) -> Engine {
    Engine {
        name: name.into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "a".to_owned(),
        health: Health::Usable,
        cores: 8.0 * warmth,
        warmth,
    }
}

pub fn picture(engines: &[Engine]) -> Picture {
    let mut engines = engines.to_vec();
    engines.sort_by(|a, b| a.name.cmp(&b.name));
    Picture { engines, admitted: 1.0 }
}

/// A simulated proxy with its stream. Responses arrive after `delay` milliseconds.
pub struct Proxy {
    pub node: String,
    pub session: Session,
    pub holder: Option<u64>,
    pub delay: f64,
    pub acks: bool,
    pub refuse: Option<&'static str>,
    down: VecDeque<(f64, Response)>,
    /// Whether a route ever named a warming engine's cluster without the proxy having the cluster and its endpoints.
    pub route_broke: bool,
    pub got: Vec<Response>,
}

impl Proxy {
    pub fn new(node: &str, variant: Variant) -> Proxy {
        Proxy {
            node: node.to_owned(),
            session: Session::new(variant),
            holder: None,
            delay: 0.0,
            acks: true,
            refuse: None,
            down: VecDeque::new(),
            route_broke: false,
            got: Vec::new(),
        }
    }

    pub fn connect(&mut self, now: f64, plane: &mut Plane, variant: Variant) {
        let holder = plane.opened(now, variant, "test").unwrap();
        self.holder = Some(holder);
        for ask in self.session.opened() {
            plane.asked(now, holder, &self.node, &ask).unwrap();
        }
    }

    pub fn disconnect(&mut self, now: f64, plane: &mut Plane) {
        if let Some(holder) = self.holder.take() {
            plane.closed(now, holder);
        }
        self.down.clear();
    }

    /// Fetches due responses, processes those that have arrived, and sends the resulting requests.
    pub fn step(&mut self, now: f64, plane: &mut Plane) {
        self.session.expire(now);
        let Some(holder) = self.holder else { return };
        while self.down.len() < 4 {
            let Some(response) = plane.next(now, holder) else { break };
            self.down.push_back((now + self.delay, response));
        }
        while self.down.front().is_some_and(|(at, _)| *at <= now) {
            let (_, response) = self.down.pop_front().unwrap();
            self.got.push(response.clone());
            let (_, asks) = self.session.got(now, &Got::from(response), self.refuse);
            self.route_broke |= !self.is_complete();
            for ask in asks.into_iter().filter(|_| self.acks) {
                plane.asked(now, holder, "", &ask).unwrap();
            }
        }
    }

    /// The engines to which the proxy would send new requests: healthy endpoints of the clusters with a positive weight
    /// in its route.
    pub fn usable(&self) -> Vec<String> {
        let held = self.session.held();
        let route = held.route();
        let clusters = route.iter().filter(|(_, weight)| *weight > 0);
        let lists = clusters.flat_map(|(cluster, _)| held.endpoints(cluster));
        let mut names: Vec<String> =
            lists.filter(|e| e.health == Told::Healthy).map(|e| e.name.clone()).collect();
        names.sort();
        names.dedup();
        names
    }

    /// The maximum number of open requests at a warming engine according to the proxy's resources.
    pub fn max_open(&self, engine: &str) -> u32 {
        let cluster = format!("boxes/{engine}");
        let held = self.session.held();
        let listed = held.endpoints(&cluster).iter().any(|e| e.health == Told::Healthy);
        if listed {
            held.most(&cluster)
        } else {
            0
        }
    }

    /// Whether the proxy has the cluster and the endpoint list of every warming engine named in its route.
    pub fn is_complete(&self) -> bool {
        let held = self.session.held();
        held.route().iter().filter(|(cluster, _)| cluster.contains('/')).all(|(cluster, _)| {
            held.item(Kind::Cds, cluster).is_some() && held.item(Kind::Eds, cluster).is_some()
        })
    }
}

pub struct World {
    pub now: f64,
    pub plane: Plane,
    pub proxies: Vec<Proxy>,
}

impl World {
    pub fn new(terms: Terms) -> World {
        World { now: 0.0, plane: Plane::new(0.0, terms), proxies: Vec::new() }
    }

    pub fn join(&mut self, node: &str, variant: Variant) -> usize {
        let mut proxy = Proxy::new(node, variant);
        proxy.connect(self.now, &mut self.plane, variant);
        self.proxies.push(proxy);
        self.proxies.len() - 1
    }

    pub fn show(&mut self, engines: &[Engine]) {
        self.plane.picture(self.now, picture(engines));
    }

    /// Advances the clock by `ms` milliseconds in steps and calls `look` after each step.
    pub fn pass_and(&mut self, ms: f64, mut look: impl FnMut(&mut World)) {
        let until = self.now + ms;
        loop {
            self.plane.tick(self.now);
            for _ in 0..8 {
                for proxy in &mut self.proxies {
                    proxy.step(self.now, &mut self.plane);
                }
            }
            look(self);
            if self.now >= until {
                return;
            }
            self.now = (self.now + 50.0).min(until);
        }
    }

    pub fn pass(&mut self, ms: f64) {
        self.pass_and(ms, |_| {});
    }
}

/// Builds a first request of a resource type.
pub fn first(kind: Kind, names: &[&str]) -> Ask {
    Ask {
        url: kind.url().to_owned(),
        names: names.iter().map(|n| (*n).to_owned()).collect(),
        ..Ask::default()
    }
}

/// Builds an ACK, or a NACK if `error` is set.
pub fn answer(kind: Kind, nonce: u64, names: &[&str], error: Option<&str>) -> Ask {
    Ask { nonce: nonce.to_string(), error: error.map(str::to_owned), ..first(kind, names) }
}
