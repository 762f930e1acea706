//! The `control` section: addresses of the endpoints for load balancers and proxies.

use super::schema::optional_key;
use crate::node::json::{OwnedValue, ValueObjectAccess};
use crate::node::section::{address, text_of, ConfigError, ReadResult};
use beamgap_config::schema::{Block, Shape};
use std::net::SocketAddr;

/// Default name of the cluster in xDS resources.
const DEFAULT_CLUSTER: &str = "query-boxes";

/// Settings of the endpoints that load balancers and proxies query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlSettings {
    /// Address for HTTP health checks and xDS polling over HTTP; `None` if disabled.
    pub http: Option<SocketAddr>,
    /// Address for agent checks; `None` if disabled.
    pub agent: Option<SocketAddr>,
    /// Name of the cluster in xDS resources.
    pub cluster: String,
}

/// Schema of the `control` block in the operator's file.
pub(super) fn schema() -> Block {
    Block {
        name: "control",
        setting: "control",
        keys: vec![
            optional_key("http", "http", Shape::Address),
            optional_key("agent", "agent", Shape::Address),
            optional_key("cluster", "cluster", Shape::Text),
        ],
        ..Block::default()
    }
}

/// Reads the `control` section of the settings `root`. Without this section, both endpoints are disabled.
pub(super) fn read_control(root: &OwnedValue) -> ReadResult<ControlSettings> {
    let Some(control) = root.get("control") else {
        return Ok(ControlSettings { cluster: DEFAULT_CLUSTER.to_owned(), ..ControlSettings::default() });
    };
    let text = |key: &str| {
        text_of(control, key).map_err(|e| ConfigError::new(format!("control.{}", e.key), e.problem))
    };
    let address_of = |key: &str| text(key)?.map(|text| address(text, &format!("control.{key}"))).transpose();
    Ok(ControlSettings {
        http: address_of("http")?,
        agent: address_of("agent")?,
        cluster: text("cluster")?.unwrap_or(DEFAULT_CLUSTER).to_owned(),
    })
}
