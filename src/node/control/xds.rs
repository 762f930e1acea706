//! Endpoint discovery for proxies. Publishes snapshots of the decision module's engine state to the xDS server, which
//! runs on its own thread, and answers polling requests in the REST-JSON variant of xDS.

use super::NodeStatus;
use crate::node::json::{self, quoted, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use crate::EngineState;
use beamgap_xds::core::allot::hash;
use beamgap_xds::core::picture::{Engine, Health, Picture};
use beamgap_xds::core::plane::Told;
use beamgap_xds::transport::{self, Handle, Service};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Type URL of the only resource type that REST-JSON discovery serves.
const TYPE_URL: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
/// Load balancing weight of one core. xDS weights are integers of at least 1, so a weight counts hundredths of a core.
const WEIGHT_PER_CORE: f64 = 100.0;

/// Interval at which changes to the health and capacity of engines are published, in milliseconds. Changes to the
/// engine list are published immediately.
pub const PUBLISH_INTERVAL_MS: f64 = 50.0;

/// Publishes snapshots to the running xDS server.
pub struct XdsPublisher {
    handle: Handle,
    last_published: Picture,
    /// When the next snapshot is due, in Unix milliseconds.
    next_publish: f64,
}

impl XdsPublisher {
    /// Starts the xDS server on its own thread.
    pub fn start(service: Service) -> io::Result<XdsPublisher> {
        let log = |message| match message {
            Told::Info(text) => tracing::info!(target: "xds", "xds: {text}"),
            Told::Warning(text) => tracing::warn!(target: "xds", "xds: {text}"),
        };
        let handle = transport::start(service, Arc::new(log))?;
        Ok(XdsPublisher { handle, last_published: Picture::default(), next_publish: 0.0 })
    }

    /// Address on which the xDS server listens.
    pub fn address(&self) -> SocketAddr {
        self.handle.address
    }

    /// Status of the connected xDS clients, as JSON.
    pub fn status(&self) -> Arc<str> {
        self.handle.status()
    }

    /// Makes the next snapshot due immediately. Called when the engine list changes.
    pub fn publish_soon(&mut self) {
        self.next_publish = 0.0;
    }

    /// Whether the next snapshot is due.
    pub fn is_due(&self, now: f64) -> bool {
        now >= self.next_publish
    }

    /// Publishes a snapshot of `view` if it differs from the last one, and schedules the next snapshot.
    pub fn publish(&mut self, now: f64, view: &NodeStatus) {
        self.next_publish = now + PUBLISH_INTERVAL_MS;
        let snapshot = snapshot(view);
        if snapshot != self.last_published {
            self.last_published = snapshot.clone();
            self.handle.publish(snapshot);
        }
    }
}

/// Converts the decision module's state to a snapshot for the xDS server.
pub fn snapshot(view: &NodeStatus) -> Picture {
    let engine = |(status, address): &(crate::EngineStatus, SocketAddr)| Engine {
        name: status.engine.0.clone(),
        address: *address,
        zone: status.zone.clone(),
        health: match (status.state, status.in_use) {
            (EngineState::Draining, _) => Health::Draining,
            (_, true) => Health::Usable,
            (_, false) => Health::Aside,
        },
        cores: status.weight,
        warmth: status.warmth,
    };
    Picture { engines: view.engines.iter().map(engine).collect(), admitted: view.admitted }
}

/// Answers a REST-JSON discovery request for the endpoints of `cluster`. Returns the HTTP status and the response body,
/// which is empty for status 304 if the client already has the current version.
pub fn discover(cluster: &str, request: Vec<u8>, view: &NodeStatus) -> (u16, String) {
    let Ok(request) = json::read(request) else { return (400, "not JSON\n".to_owned()) };
    let url = request.get("type_url").and_then(|url| url.as_str());
    if url.is_some_and(|url| url != TYPE_URL) {
        return (404, "only endpoints are told here\n".to_owned());
    }
    let names = request.get("resource_names").and_then(|names| names.as_array());
    let is_requested =
        names.is_none_or(|names| names.is_empty() || names.iter().any(|name| name.as_str() == Some(cluster)));
    let resources = resources(cluster, view);
    // The version is a hash of the content, so that it is the same at all front ends and after a restart.
    let version = format!("{:016x}", hash(&[resources.as_bytes()]));
    let client_version = request.get("version_info").and_then(|v| v.as_str());
    if is_requested && client_version == Some(&version) && request.get("error_detail").is_none() {
        return (304, String::new());
    }
    let resources = if is_requested { resources.as_str() } else { "" };
    let body = format!(
        r#"{{"version_info":"{version}","resources":[{resources}],"type_url":"{TYPE_URL}","nonce":"{version}"}}"#
    );
    (200, body)
}

/// Formats the `ClusterLoadAssignment` of the cluster as JSON, with one locality per zone.
fn resources(cluster: &str, view: &NodeStatus) -> String {
    let mut zones: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for (status, address) in &view.engines {
        let health = match (status.state, status.in_use) {
            (EngineState::Draining, _) => "DRAINING",
            (_, true) => "HEALTHY",
            (_, false) => "UNHEALTHY",
        };
        let weight = (status.weight * WEIGHT_PER_CORE).round().clamp(1.0, 1e6);
        let (ip, port) = (address.ip(), address.port());
        zones.entry(&status.zone).or_default().push(format!(
                r#"{{"endpoint":{{"address":{{"socket_address":{{"address":"{ip}","port_value":{port}}}}}}},"health_status":"{health}","load_balancing_weight":{weight}}}"#
            ));
    }
    let zones: Vec<String> = zones
        .into_iter()
        .map(|(zone, endpoints)| {
            let (zone, endpoints) = (quoted(zone), endpoints.join(","));
            format!(r#"{{"locality":{{"zone":{zone}}},"lb_endpoints":[{endpoints}]}}"#)
        })
        .collect();
    let (cluster, zones) = (quoted(cluster), zones.join(","));
    format!(r#"{{"@type":"{TYPE_URL}","cluster_name":{cluster},"endpoints":[{zones}]}}"#)
}
