//! Builds the xDS v3 resources: clusters, endpoints, listeners and routes.
//!
//! `docs/xds.md` lists the meaning of each field.

use super::allot::{self, hash};
use super::picture::{Engine, EngineName, Health, Picture, Terms};
use super::spans::duration;
use super::tombs::WithdrawnEngines;
use envoy_types::pb::envoy::config::cluster::v3::{self as cluster, circuit_breakers::Thresholds};
use envoy_types::pb::envoy::config::cluster::v3::{CircuitBreakers, Cluster};
use envoy_types::pb::envoy::config::core::v3 as base;
use envoy_types::pb::envoy::config::endpoint::v3 as endpoint;
use envoy_types::pb::envoy::config::listener::v3 as listener;
use envoy_types::pb::envoy::config::route::v3 as route;
use envoy_types::pb::envoy::extensions::filters::http::router::v3::Router;
use envoy_types::pb::envoy::extensions::filters::network::http_connection_manager::v3 as http;
use envoy_types::pb::envoy::r#type::v3::{fractional_percent::DenominatorType, FractionalPercent};
use envoy_types::pb::google::protobuf::{Any, UInt32Value};
use prost::{Message, Name};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The weight of one core. A weight counts hundredths of a core; the smallest weight is 1.
const WEIGHT_UNIT: f64 = 100.0;
/// The largest weight of an endpoint or of a warming engine's cluster.
const WEIGHT_MOST: f64 = 1e6;
/// The circuit breaker threshold of clusters without a limit. The field's default of 1,024 would limit a warm cluster
/// unintentionally.
const UNBOUND: u32 = 1 << 30;
/// The name of the route configuration.
pub const ROUTES: &str = "beamgap-routes";

/// The four resource types in the order in which they are sent: a resource is sent before the resources that refer to
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Clusters (CDS).
    Cds,
    /// Endpoints (EDS).
    Eds,
    /// Listeners (LDS).
    Lds,
    /// Route configurations (RDS).
    Rds,
}

impl Kind {
    /// All resource types in the order in which they are sent.
    pub const ALL: [Kind; 4] = [Kind::Cds, Kind::Eds, Kind::Lds, Kind::Rds];

    /// The type URL of this resource type.
    pub fn url(self) -> &'static str {
        match self {
            Kind::Cds => "type.googleapis.com/envoy.config.cluster.v3.Cluster",
            Kind::Eds => "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
            Kind::Lds => "type.googleapis.com/envoy.config.listener.v3.Listener",
            Kind::Rds => "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
        }
    }

    /// The resource type with this type URL, if it is served.
    pub fn of(url: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.url() == url)
    }

    /// Whether a subscription without names is a wildcard subscription to all resources of this type (xDS protocol,
    /// "How the client specifies what resources").
    pub fn wildcard(self) -> bool {
        matches!(self, Kind::Cds | Kind::Lds)
    }

    /// The short name of the type in status output and logs.
    pub fn short(self) -> &'static str {
        match self {
            Kind::Cds => "cds",
            Kind::Eds => "eds",
            Kind::Lds => "lds",
            Kind::Rds => "rds",
        }
    }
}

/// One resource, encoded for sending.
#[derive(Clone, Debug, PartialEq)]
pub struct Resource {
    /// The resource name.
    pub name: Arc<str>,
    /// The version: a hash of the content, identical on all instances. For endpoint lists the names of draining and
    /// removed engines follow the hash.
    pub version: String,
    /// The encoded protobuf message.
    pub body: Vec<u8>,
    /// The TTL in milliseconds, after which the proxy discards the resource unless a heartbeat renews it.
    pub ttl_ms: Option<f64>,
    /// The lease that a warming engine's cluster grants: the engine, and the maximum number of open requests.
    pub lease: Option<(EngineName, u32)>,
    /// The warming engines whose clusters this resource refers to.
    pub refs: Vec<EngineName>,
}

impl Resource {
    fn new(name: &str, message: &impl Message) -> Resource {
        let body = message.encode_to_vec();
        let version = format!("{:016x}", hash(&[&body]));
        Resource { name: name.into(), version, body, ttl_ms: None, lease: None, refs: Vec::new() }
    }
}

/// Resources of one type by name.
pub type Set = BTreeMap<Arc<str>, Arc<Resource>>;

/// The name of a warming engine's own cluster.
pub fn cluster_name(terms: &Terms, engine: &str) -> String {
    format!("{}/{engine}", terms.cluster)
}

fn ads_config_source() -> base::ConfigSource {
    base::ConfigSource {
        resource_api_version: base::ApiVersion::V3 as i32,
        config_source_specifier: Some(base::config_source::ConfigSourceSpecifier::Ads(
            base::AggregatedConfigSource {},
        )),
        ..Default::default()
    }
}

/// The cluster of all warm engines, or of one warming engine with the maximum number of open requests.
pub fn cluster(terms: &Terms, warming: Option<(&EngineName, u32)>) -> Resource {
    let name = warming.map_or(terms.cluster.clone(), |(engine, _)| cluster_name(terms, engine));
    let most = warming.map_or(UNBOUND, |(_, most)| most);
    let bound = Some(UInt32Value { value: most });
    let threshold = |priority: base::RoutingPriority| Thresholds {
        priority: priority as i32,
        max_connections: bound,
        // Requests to a warming engine are not queued at the proxy: a request that exceeds the lease is rejected
        // immediately.
        max_pending_requests: Some(UInt32Value { value: if warming.is_some() { 1 } else { most } }),
        max_requests: bound,
        max_retries: Some(UInt32Value { value: 0 }),
        ..Default::default()
    };
    let message = Cluster {
        name: name.clone(),
        connect_timeout: Some(duration(terms.connect_ms)),
        eds_cluster_config: Some(cluster::cluster::EdsClusterConfig {
            eds_config: Some(ads_config_source()),
            service_name: String::new(),
        }),
        lb_policy: cluster::cluster::LbPolicy::RoundRobin as i32,
        circuit_breakers: Some(CircuitBreakers {
            thresholds: vec![threshold(base::RoutingPriority::Default)],
            ..Default::default()
        }),
        cluster_discovery_type: Some(cluster::cluster::ClusterDiscoveryType::Type(
            cluster::cluster::DiscoveryType::Eds as i32,
        )),
        lrs_server: Some(base::ConfigSource {
            config_source_specifier: Some(base::config_source::ConfigSourceSpecifier::Self_(
                base::SelfConfigSource { transport_api_version: base::ApiVersion::V3 as i32 },
            )),
            resource_api_version: base::ApiVersion::V3 as i32,
            ..Default::default()
        }),
        ..Default::default()
    };
    let lease = warming.map(|(engine, most)| (engine.clone(), most));
    Resource { lease, ..Resource::new(&name, &message) }
}

fn weight(cores: f64) -> u32 {
    (cores * WEIGHT_UNIT).round().clamp(1.0, WEIGHT_MOST) as u32
}

fn endpoint(engine: &Engine, draining: bool) -> endpoint::LbEndpoint {
    let health = match engine.health {
        _ if draining => base::HealthStatus::Draining,
        Health::Draining => base::HealthStatus::Draining,
        Health::Aside => base::HealthStatus::Unhealthy,
        Health::Usable => base::HealthStatus::Healthy,
    };
    let socket = base::SocketAddress {
        address: engine.address.ip().to_string(),
        port_specifier: Some(base::socket_address::PortSpecifier::PortValue(u32::from(
            engine.address.port(),
        ))),
        ..Default::default()
    };
    let address = base::Address { address: Some(base::address::Address::SocketAddress(socket)) };
    endpoint::LbEndpoint {
        health_status: health as i32,
        load_balancing_weight: Some(UInt32Value { value: weight(engine.cores) }),
        host_identifier: Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(endpoint::Endpoint {
            address: Some(address),
            hostname: engine.name.to_string(),
            ..Default::default()
        })),
        ..Default::default()
    }
}

/// The endpoints of the warm cluster, or of one warming engine. Engines in `withdrawn` are listed as draining.
pub fn endpoints(
    terms: &Terms,
    picture: &Picture,
    warming: Option<&EngineName>,
    own: &WithdrawnEngines,
    withdrawn: &WithdrawnEngines,
) -> Resource {
    let name = warming.map_or(terms.cluster.clone(), |engine| cluster_name(terms, engine));
    let mut zones: BTreeMap<&str, Vec<endpoint::LbEndpoint>> = BTreeMap::new();
    for engine in &picture.engines {
        let belongs = match warming {
            Some(name) => engine.name == *name,
            None => !engine.warming() || terms.cold.is_none(),
        };
        if belongs {
            let draining = withdrawn.contains(&engine.name);
            zones.entry(&engine.zone).or_default().push(endpoint(engine, draining));
        }
    }
    let locality = |(zone, lb_endpoints): (&str, Vec<endpoint::LbEndpoint>)| {
        let sum =
            lb_endpoints.iter().filter_map(|e| e.load_balancing_weight).map(|w| u64::from(w.value)).sum();
        let sum: u64 = sum;
        endpoint::LocalityLbEndpoints {
            locality: Some(base::Locality { zone: zone.to_owned(), ..Default::default() }),
            load_balancing_weight: Some(UInt32Value { value: u32::try_from(sum).unwrap_or(u32::MAX) }),
            lb_endpoints,
            ..Default::default()
        }
    };
    let dropped = ((1.0 - picture.admitted.clamp(0.0, 1.0)) * 100.0).round() as u32;
    let drop = endpoint::cluster_load_assignment::policy::DropOverload {
        category: "beamgap-admission".to_owned(),
        drop_percentage: Some(FractionalPercent {
            numerator: dropped,
            denominator: DenominatorType::Hundred as i32,
        }),
    };
    let message = endpoint::ClusterLoadAssignment {
        cluster_name: name.clone(),
        endpoints: zones.into_iter().map(locality).collect(),
        policy: Some(endpoint::cluster_load_assignment::Policy {
            drop_overloads: if dropped > 0 { vec![drop] } else { Vec::new() },
            // The published weights and health are authoritative: unhealthy engines must not cause the proxy to move
            // load to other priorities or zones.
            overprovisioning_factor: Some(UInt32Value { value: 100 }),
            weighted_priority_health: true,
            ..Default::default()
        }),
        ..Default::default()
    };
    let resource = Resource::new(&name, &message);
    let version = own.version(hash(&[&resource.body]), withdrawn);
    Resource { version, ttl_ms: warming.map(|_| terms.ttl_ms), ..resource }
}

fn any(message: &impl Name) -> Any {
    Any { type_url: format!("type.googleapis.com/{}", name_of(message)), value: message.encode_to_vec() }
}

fn name_of<M: Name>(_: &M) -> String {
    M::full_name()
}

/// The listeners from the operator's settings.
pub fn listeners(terms: &Terms) -> Set {
    let build = |l: &super::picture::Listener| {
        let router = http::http_filter::ConfigType::TypedConfig(any(&Router::default()));
        let manager = http::HttpConnectionManager {
            stat_prefix: l.name.clone(),
            route_specifier: Some(http::http_connection_manager::RouteSpecifier::Rds(http::Rds {
                config_source: Some(ads_config_source()),
                route_config_name: ROUTES.to_owned(),
            })),
            http_filters: vec![http::HttpFilter {
                name: "envoy.filters.http.router".to_owned(),
                config_type: Some(router),
                ..Default::default()
            }],
            ..Default::default()
        };
        let socket = base::SocketAddress {
            address: l.address.ip().to_string(),
            port_specifier: Some(base::socket_address::PortSpecifier::PortValue(u32::from(l.address.port()))),
            ..Default::default()
        };
        let message = listener::Listener {
            name: l.name.clone(),
            address: Some(base::Address { address: Some(base::address::Address::SocketAddress(socket)) }),
            filter_chains: vec![listener::FilterChain {
                filters: vec![listener::Filter {
                    name: "envoy.filters.network.http_connection_manager".to_owned(),
                    config_type: Some(listener::filter::ConfigType::TypedConfig(any(&manager))),
                }],
                ..Default::default()
            }],
            ..Default::default()
        };
        let resource = Resource::new(&l.name, &message);
        (resource.name.clone(), Arc::new(resource))
    };
    terms.listeners.iter().map(build).collect()
}

/// The route configuration of one proxy: the warm cluster and the warming engines on which the proxy holds leases, with
/// their weights.
pub fn routes(terms: &Terms, warm: u32, warming: &[(EngineName, u32)]) -> Resource {
    let part = |name: String, weight: u32| route::weighted_cluster::ClusterWeight {
        name,
        weight: Some(UInt32Value { value: weight }),
        ..Default::default()
    };
    // Proxies reject weighted clusters whose total weight is 0, so without usable engines the warm cluster has weight
    // 1.
    let mut clusters = vec![part(terms.cluster.clone(), if warming.is_empty() { warm.max(1) } else { warm })];
    clusters.extend(warming.iter().map(|(engine, weight)| part(cluster_name(terms, engine), *weight)));
    let action = route::RouteAction {
        timeout: Some(duration(terms.request_ms)),
        cluster_specifier: Some(route::route_action::ClusterSpecifier::WeightedClusters(
            route::WeightedCluster { clusters, ..Default::default() },
        )),
        ..Default::default()
    };
    let message = route::RouteConfiguration {
        name: ROUTES.to_owned(),
        virtual_hosts: vec![route::VirtualHost {
            name: "all".to_owned(),
            domains: vec!["*".to_owned()],
            routes: vec![route::Route {
                r#match: Some(route::RouteMatch {
                    path_specifier: Some(route::route_match::PathSpecifier::Prefix("/".to_owned())),
                    ..Default::default()
                }),
                action: Some(route::route::Action::Route(action)),
                ..Default::default()
            }],
            ..Default::default()
        }],
        ..Default::default()
    };
    let refs = warming.iter().map(|(engine, _)| engine.clone()).collect();
    Resource { refs, ..Resource::new(ROUTES, &message) }
}

/// The weight of the warm cluster in the route: the sum of the weights of its usable engines.
pub fn warm_weight(picture: &Picture, withdrawn: &WithdrawnEngines) -> u32 {
    let usable = |e: &&Engine| e.health == Health::Usable && !e.warming() && !withdrawn.contains(&e.name);
    let sum: u64 = picture.engines.iter().filter(usable).map(|e| u64::from(weight(e.cores))).sum();
    u32::try_from(sum).unwrap_or(u32::MAX / 2)
}

/// The weight of a warming engine in the route of a proxy with `in_progress` open requests. The weight is proportional
/// to the engine's cores but limited, so that few requests exceed the lease; the proxy rejects the requests that do.
pub fn warming_weight(cores: f64, lease: u32, warm: u32, in_progress: f64) -> u32 {
    let (fits, out) = (allot::offered(lease), in_progress.max(1.0));
    if warm == 0 {
        // Without a warm engine, requests are distributed among the warming engines by their leases.
        return 1 + lease;
    }
    // With weight `w`, the fraction `w / (warm + w)` of the `out` open requests is at the warming engine.
    let most = if out > fits { fits * f64::from(warm) / (out - fits) } else { WEIGHT_MOST };
    f64::from(weight(cores)).min(most).round().clamp(1.0, WEIGHT_MOST) as u32
}
