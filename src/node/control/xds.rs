//! The service for proxies over xDS: hands pictures of the module's view to its thread, and answers the same view in
//! the protocol's REST-JSON form.

use super::View;
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

const TYPE: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
const WEIGHT_UNIT: f64 = 100.0; // weights are whole numbers from 1: hundredths of a core

/// How often health and warmth are looked at, in milliseconds; engines that come, drain or go are told at once.
pub const FEED_MS: f64 = 50.0;

/// The running service, and what it was told last.
pub struct Feed {
    handle: Handle,
    told: Picture,
    next: f64,
}

impl Feed {
    /// Starts the service.
    pub fn start(service: Service) -> io::Result<Feed> {
        let log = |told| match told {
            Told::Info(text) => tracing::info!(target: "xds", "xds: {text}"),
            Told::Warning(text) => tracing::warn!(target: "xds", "xds: {text}"),
        };
        let handle = transport::start(service, Arc::new(log))?;
        Ok(Feed { handle, told: Picture::default(), next: 0.0 })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.handle.address
    }

    /// Who is connected, as JSON.
    pub fn status(&self) -> Arc<str> {
        self.handle.status()
    }

    /// Something changed that proxies must hear of at once.
    pub fn hurry(&mut self) {
        self.next = 0.0;
    }

    /// Whether it is time to look.
    pub fn due(&self, now: f64) -> bool {
        now >= self.next
    }

    /// Tells what the module sees, if that has changed.
    pub fn publish(&mut self, now: f64, view: &View) {
        self.next = now + FEED_MS;
        let picture = picture(view);
        if picture != self.told {
            self.told = picture.clone();
            self.handle.publish(picture);
        }
    }
}

/// The module's view as the service takes it.
pub fn picture(view: &View) -> Picture {
    let engine = |(standing, address): &(crate::EngineStatus, SocketAddr)| Engine {
        name: standing.engine.0.clone(),
        address: *address,
        zone: standing.zone.clone(),
        health: match (standing.state, standing.in_use) {
            (EngineState::Draining, _) => Health::Draining,
            (_, true) => Health::Usable,
            (_, false) => Health::Aside,
        },
        cores: standing.weight,
        warmth: standing.warmth,
    };
    Picture { engines: view.engines.iter().map(engine).collect(), admitted: view.admitted }
}

/// Answers a discovery request of the REST-JSON form: a status and a body.
pub fn discover(cluster: &str, request: Vec<u8>, view: &View) -> (u16, String) {
    let Ok(request) = json::read(request) else { return (400, "not JSON\n".to_owned()) };
    let url = request.get("type_url").and_then(|url| url.as_str());
    if url.is_some_and(|url| url != TYPE) {
        return (404, "only endpoints are told here\n".to_owned());
    }
    let names = request.get("resource_names").and_then(|names| names.as_array());
    let asked =
        names.is_none_or(|names| names.is_empty() || names.iter().any(|name| name.as_str() == Some(cluster)));
    let resources = resources(cluster, view);
    // By content: the same at every instance, and after a restart.
    let version = format!("{:016x}", hash(&[resources.as_bytes()]));
    let had = request.get("version_info").and_then(|v| v.as_str());
    if asked && had == Some(&version) && request.get("error_detail").is_none() {
        return (304, String::new());
    }
    let resources = if asked { resources.as_str() } else { "" };
    let body = format!(
        r#"{{"version_info":"{version}","resources":[{resources}],"type_url":"{TYPE}","nonce":"{version}"}}"#
    );
    (200, body)
}

fn resources(cluster: &str, view: &View) -> String {
    let mut zones: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for (standing, address) in &view.engines {
        let health = match (standing.state, standing.in_use) {
            (EngineState::Draining, _) => "DRAINING",
            (_, true) => "HEALTHY",
            (_, false) => "UNHEALTHY",
        };
        let weight = (standing.weight * WEIGHT_UNIT).round().clamp(1.0, 1e6);
        let (ip, port) = (address.ip(), address.port());
        zones.entry(&standing.zone).or_default().push(format!(
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
    format!(r#"{{"@type":"{TYPE}","cluster_name":{cluster},"endpoints":[{zones}]}}"#)
}
