//! The resources that a proxy has received, in decoded form.

use crate::core::resources::Kind;
use crate::core::spans::millis;
use crate::envoy::config::cluster::v3::Cluster;
use crate::envoy::config::core::v3::{address::Address, socket_address::PortSpecifier, HealthStatus};
use crate::envoy::config::endpoint::v3::{lb_endpoint::HostIdentifier, ClusterLoadAssignment, LbEndpoint};
use crate::envoy::config::listener::v3::Listener;
use crate::envoy::config::route::v3::{route::Action, route_action::ClusterSpecifier, RouteConfiguration};
use prost::Message;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// A decoded endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The name of the engine.
    pub name: String,
    /// The address at which the engine listens.
    pub address: SocketAddr,
    /// The health status, which decides whether new requests may be sent.
    pub health: Told,
    /// The load balancing weight.
    pub weight: u32,
}

/// The health status of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The endpoint accepts requests.
    Healthy,
    /// The endpoint must not receive requests, but may become healthy again.
    Unhealthy,
    /// The endpoint finishes its open requests and must not receive new ones.
    Draining,
}

impl fmt::Display for Told {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Told::Healthy => "healthy",
            Told::Unhealthy => "unhealthy",
            Told::Draining => "draining",
        })
    }
}

/// The endpoints of a cluster and the percentage of requests to be dropped.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// The endpoints of the cluster.
    pub endpoints: Vec<Endpoint>,
    /// The percentage of requests to be dropped.
    pub drop: u32,
}

/// The content of a decoded resource.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A cluster with its maximum number of open requests.
    Cluster(u32),
    /// The endpoints of a cluster.
    EndpointList(EndpointList),
    /// A listener with its address, if the address is usable.
    Listener(Option<SocketAddr>),
    /// The clusters of a route with their weights, and the request timeout in milliseconds.
    Routes(Vec<(String, u32)>, f64),
}

/// The reason why a resource is invalid, used as the error message of a NACK.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidResource(pub String);

impl fmt::Display for InvalidResource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidResource {}

/// Decodes a resource and returns its name and content.
pub fn read(kind: Kind, body: &[u8]) -> Result<(String, Content), InvalidResource> {
    let bad = |e: prost::DecodeError| InvalidResource(format!("{}: {e}", kind.short()));
    match kind {
        Kind::Cds => {
            let cluster = Cluster::decode(body).map_err(bad)?;
            let thresholds = cluster.circuit_breakers.iter().flat_map(|c| &c.thresholds);
            let most = thresholds.filter_map(|t| t.max_requests).map(|most| most.value).min();
            Ok((cluster.name, Content::Cluster(most.unwrap_or(1024))))
        }
        Kind::Eds => {
            let list = ClusterLoadAssignment::decode(body).map_err(bad)?;
            let endpoints = list.endpoints.iter().flat_map(|l| &l.lb_endpoints).map(endpoint);
            let endpoints = endpoints.collect::<Result<_, _>>()?;
            let drops = list.policy.iter().flat_map(|p| &p.drop_overloads);
            let drop = drops.filter_map(|d| d.drop_percentage).map(|p| p.numerator).max().unwrap_or(0);
            Ok((list.cluster_name, Content::EndpointList(EndpointList { endpoints, drop })))
        }
        Kind::Lds => {
            let listener = Listener::decode(body).map_err(bad)?;
            let address = listener.address.and_then(|a| a.address).and_then(|a| socket(&a));
            Ok((listener.name, Content::Listener(address)))
        }
        Kind::Rds => {
            let routes = RouteConfiguration::decode(body).map_err(bad)?;
            let route = routes.virtual_hosts.first().and_then(|host| host.routes.first());
            let Some(Action::Route(action)) = route.and_then(|route| route.action.clone()) else {
                return Err(InvalidResource(format!("rds: {} has no route to a cluster", routes.name)));
            };
            let timeout = action.timeout.as_ref().map_or(15_000.0, millis);
            let parts = match action.cluster_specifier {
                Some(ClusterSpecifier::WeightedClusters(parts)) => {
                    let part = |c: crate::envoy::config::route::v3::weighted_cluster::ClusterWeight| {
                        (c.name, c.weight.map_or(0, |w| w.value))
                    };
                    parts.clusters.into_iter().map(part).collect()
                }
                Some(ClusterSpecifier::Cluster(name)) => vec![(name, 1)],
                _ => return Err(InvalidResource(format!("rds: {} names no cluster", routes.name))),
            };
            Ok((routes.name, Content::Routes(parts, timeout)))
        }
    }
}

fn endpoint(told: &LbEndpoint) -> Result<Endpoint, InvalidResource> {
    let Some(HostIdentifier::Endpoint(endpoint)) = &told.host_identifier else {
        return Err(InvalidResource("eds: an endpoint without address".to_owned()));
    };
    let address = endpoint.address.as_ref().and_then(|a| a.address.as_ref()).and_then(socket);
    let Some(address) = address else {
        return Err(InvalidResource(format!("eds: the address of {} can't be used", endpoint.hostname)));
    };
    let health = match HealthStatus::try_from(told.health_status) {
        Ok(HealthStatus::Healthy | HealthStatus::Unknown) => Told::Healthy,
        Ok(HealthStatus::Draining) => Told::Draining,
        _ => Told::Unhealthy,
    };
    let weight = told.load_balancing_weight.map_or(1, |w| w.value);
    Ok(Endpoint { name: endpoint.hostname.clone(), address, health, weight })
}

fn socket(address: &Address) -> Option<SocketAddr> {
    let Address::SocketAddress(socket) = address else { return None };
    let Some(PortSpecifier::PortValue(port)) = socket.port_specifier else { return None };
    Some(SocketAddr::new(socket.address.parse().ok()?, u16::try_from(port).ok()?))
}

/// All resources that a proxy has accepted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProxyResources {
    items: BTreeMap<(Kind, String), Entry>,
}

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    version: String,
    item: Content,
    until: Option<f64>,
}

impl ProxyResources {
    /// Stores a resource, replacing an earlier version.
    pub fn put(&mut self, kind: Kind, name: String, version: String, item: Content, until: Option<f64>) {
        self.items.insert((kind, name), Entry { version, item, until });
    }

    /// Changes the expiry time of a resource.
    pub fn renew(&mut self, kind: Kind, name: &str, until: Option<f64>) {
        if let Some(entry) = self.items.get_mut(&(kind, name.to_owned())) {
            entry.until = until;
        }
    }

    /// Removes a resource, and for a cluster its endpoints too. Returns whether the resource existed.
    pub fn remove(&mut self, kind: Kind, name: &str) -> bool {
        if kind == Kind::Cds {
            self.items.remove(&(Kind::Eds, name.to_owned()));
        }
        self.items.remove(&(kind, name.to_owned())).is_some()
    }

    /// Removes resources whose TTL has expired and returns their types and names.
    pub fn expire(&mut self, now: f64) -> Vec<(Kind, String)> {
        let over = self.items.iter().filter(|(_, e)| e.until.is_some_and(|until| now >= until));
        let over: Vec<_> = over.map(|(name, _)| name.clone()).collect();
        for name in &over {
            self.items.remove(name);
        }
        over
    }

    /// The time at which the next TTL expires.
    pub fn next_end(&self) -> Option<f64> {
        self.items.values().filter_map(|e| e.until).min_by(f64::total_cmp)
    }

    /// The names and versions of all resources of a type.
    pub fn versions(&self, kind: Kind) -> Vec<(String, String)> {
        let of = self.items.iter().filter(|((k, _), _)| *k == kind);
        of.map(|((_, name), e)| (name.clone(), e.version.clone())).collect()
    }

    /// The content of a resource.
    pub fn item(&self, kind: Kind, name: &str) -> Option<&Content> {
        self.items.get(&(kind, name.to_owned())).map(|e| &e.item)
    }

    /// The names and contents of all resources of a type.
    pub fn of(&self, kind: Kind) -> impl Iterator<Item = (&str, &Content)> {
        self.items.iter().filter(move |((k, _), _)| *k == kind).map(|((_, name), e)| (name.as_str(), &e.item))
    }

    /// The clusters named in the route with their weights.
    pub fn route(&self) -> Vec<(&str, u32)> {
        let routes = self.of(Kind::Rds).find_map(|(_, item)| match item {
            Content::Routes(parts, _) => Some(parts),
            _ => None,
        });
        routes.into_iter().flatten().map(|(name, weight)| (name.as_str(), *weight)).collect()
    }

    /// The maximum number of open requests at a cluster; 0 if the cluster is unknown.
    pub fn most(&self, cluster: &str) -> u32 {
        match self.item(Kind::Cds, cluster) {
            Some(Content::Cluster(most)) => *most,
            _ => 0,
        }
    }

    /// The endpoints of a cluster; empty if they are unknown.
    pub fn endpoints(&self, cluster: &str) -> &[Endpoint] {
        match self.item(Kind::Eds, cluster) {
            Some(Content::EndpointList(list)) => &list.endpoints,
            _ => &[],
        }
    }
}
