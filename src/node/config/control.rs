//! The `control` section: where balancers and proxies ask.

use super::schema::key;
use crate::node::json::{OwnedValue, ValueObjectAccess};
use crate::node::section::{address, text_of, ConfigError, ReadResult};
use beamgap_config::schema::{Block, Shape};
use std::net::SocketAddr;

/// The cluster's name where none is given.
const DEFAULT_CLUSTER: &str = "query-boxes";

/// Where balancers and proxies ask.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlSettings {
    /// Health over HTTP, and xDS.
    pub http: Option<SocketAddr>,
    /// The agent check.
    pub agent: Option<SocketAddr>,
    /// The name of the cluster that xDS serves.
    pub cluster: String,
}

/// What may stand in the operator's block.
pub(super) fn schema() -> Block {
    Block {
        name: "control",
        setting: "control",
        keys: vec![
            key("http", "http", Shape::Address),
            key("agent", "agent", Shape::Address),
            key("cluster", "cluster", Shape::Text),
        ],
        ..Block::default()
    }
}

/// Reads the section of the settings' root; the defaults if it is absent.
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
