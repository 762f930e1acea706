//! The endpoint discovery service of xDS v3, in its REST-JSON form: the engines, as the decision module sees them.

use super::View;
use crate::node::json::{self, quoted, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use crate::MemberState;
use std::collections::BTreeMap;

const TYPE: &str = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment";
const WEIGHT_UNIT: f64 = 100.0; // weights are whole numbers from 1: hundredths of a core

/// What was last told, and under which version.
#[derive(Debug)]
pub struct Endpoints {
    cluster: String,
    told: String,
    version: u64,
}

impl Endpoints {
    /// Nothing told yet.
    pub fn new(cluster: String) -> Endpoints {
        Endpoints { cluster, told: String::new(), version: 0 }
    }

    /// Answers a discovery request: a status and a body.
    pub fn discover(&mut self, request: Vec<u8>, view: &View) -> (u16, String) {
        let Ok(request) = json::read(request) else { return (400, "not JSON\n".to_owned()) };
        let url = request.get("type_url").and_then(|url| url.as_str());
        if url.is_some_and(|url| url != TYPE) {
            return (404, "only endpoints are told here\n".to_owned());
        }
        let names = request.get("resource_names").and_then(|names| names.as_array());
        let asked = names.is_none_or(|names| {
            names.is_empty() || names.iter().any(|name| name.as_str() == Some(&self.cluster))
        });
        let resources = self.resources(view);
        if resources != self.told || self.version == 0 {
            (self.told, self.version) = (resources, self.version + 1);
        }
        let version = self.version.to_string();
        let had = request.get("version_info").and_then(|v| v.as_str());
        if asked && had == Some(&version) && request.get("error_detail").is_none() {
            return (304, String::new());
        }
        let resources = if asked { self.told.as_str() } else { "" };
        let body = format!(
            r#"{{"version_info":"{version}","resources":[{resources}],"type_url":"{TYPE}","nonce":"{version}"}}"#
        );
        (200, body)
    }

    fn resources(&self, view: &View) -> String {
        let mut zones: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for (standing, address) in &view.engines {
            let health = match (standing.state, standing.takes) {
                (MemberState::Draining, _) => "DRAINING",
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
        let (cluster, zones) = (quoted(&self.cluster), zones.join(","));
        format!(r#"{{"@type":"{TYPE}","cluster_name":{cluster},"endpoints":[{zones}]}}"#)
    }
}
