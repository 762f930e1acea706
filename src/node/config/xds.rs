//! The `xds` section: settings of the xDS server, which sends engines and routes to proxies.

use super::control::ControlSettings;
use super::schema::{integer, optional_key, required_key};
use crate::node::json::{self, OwnedValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use crate::node::section::{address, invalid, text_of, ReadResult};
use crate::{Settings, SlowStart};
use beamgap_config::schema::{Block, Shape};
use beamgap_xds::core::picture::{ColdTerms, Listener, Terms};
use beamgap_xds::transport::Service;
use std::net::SocketAddr;

/// Default timeout of a proxy's connect to an engine, in milliseconds.
const DEFAULT_CONNECT_MS: f64 = 250.0;
/// Default share of a warming engine's capacity that all proxies together may use. The front ends use the rest.
const DEFAULT_PROXY_SHARE: f64 = 0.5;
/// Default estimate of the work of a request that a proxy sends to an engine, in milliseconds on one core.
const DEFAULT_REQUEST_WORK_MS: f64 = 200.0;
/// Default maximum number of concurrent xDS streams.
const DEFAULT_MAX_STREAMS: f64 = 1_000.0;

/// Schema of the `xds` block in the operator's file.
pub(super) fn schema() -> Block {
    let listener = Block {
        name: "listener",
        setting: "listeners",
        many: true,
        label: Some("name"),
        keys: vec![required_key("address", Shape::Address)],
        blocks: Vec::new(),
    };
    Block {
        name: "xds",
        setting: "xds",
        keys: vec![
            required_key("listen", Shape::Address),
            optional_key("plaintext_beyond_loopback", "plaintext_beyond_loopback", Shape::Flag),
            optional_key("proxy_share", "proxy_share", Shape::Share),
            optional_key("request_work", "request_work_ms", Shape::Duration),
            optional_key("request_time", "request_ms", Shape::Duration),
            optional_key("connect_time", "connect_ms", Shape::Duration),
            optional_key("lease_ttl", "ttl_ms", Shape::Duration),
            optional_key("late_most", "late_ms", Shape::Duration),
            optional_key("ack_time", "ack_ms", Shape::Duration),
            optional_key("settle_time", "settle_ms", Shape::Duration),
            optional_key("streams_most", "streams_most", integer(1.0, 100_000.0)),
        ],
        blocks: vec![listener],
        ..Block::default()
    }
}

/// Reads the `xds` section. The limits on warming engines come from the slow start rule in `settings`; without this
/// rule all engines count as warm.
///
/// # Errors
/// Returns an error about the first setting that is missing or invalid.
pub(super) fn read_xds(
    xds: &OwnedValue,
    control: &ControlSettings,
    settings: &Settings,
) -> ReadResult<Service> {
    let listen = read_listen(xds)?;
    let listeners = read_listeners(xds)?;
    let request_ms = number(xds, "request_ms", 15_000.0, 1.0, 3_600_000.0)?;
    let cold =
        settings.slow_start.map(|rule| read_cold(xds, rule, settings.gateways, request_ms)).transpose()?;
    let terms = Terms {
        cluster: control.cluster.clone(),
        listeners,
        request_ms,
        connect_ms: number(xds, "connect_ms", DEFAULT_CONNECT_MS, 1.0, 60_000.0)?,
        ttl_ms: number(xds, "ttl_ms", 5_000.0, 500.0, 3_600_000.0)?,
        late_ms: number(xds, "late_ms", 10_000.0, 0.0, 3_600_000.0)?,
        ack_ms: number(xds, "ack_ms", 30_000.0, 1_000.0, 3_600_000.0)?,
        settle_ms: number(xds, "settle_ms", 2_000.0, 0.0, 3_600_000.0)?,
        streams_most: number(xds, "streams_most", DEFAULT_MAX_STREAMS, 1.0, 100_000.0)? as usize,
        cold,
    };
    Ok(Service::new(listen, terms))
}

/// Reads a number from `least` to `most`, or returns `default` if the key is absent.
fn number(xds: &OwnedValue, key: &str, default: f64, least: f64, most: f64) -> ReadResult<f64> {
    match xds.get(key).map(json::number) {
        None => Ok(default),
        Some(Some(number)) if (least..=most).contains(&number) => Ok(number),
        Some(_) => invalid(&format!("xds.{key}"), format!("is not a number from {least} to {most}")),
    }
}

fn required_text(section: &OwnedValue, key: &str, path: &str) -> ReadResult<String> {
    match text_of(section, key) {
        Ok(Some(text)) => Ok(text.to_owned()),
        Ok(None) => invalid(path, "is missing"),
        Err(error) => invalid(path, error.problem),
    }
}

fn read_listen(xds: &OwnedValue) -> ReadResult<SocketAddr> {
    let listen = address(&required_text(xds, "listen", "xds.listen")?, "xds.listen")?;
    let allows_plaintext = xds.get("plaintext_beyond_loopback").and_then(|value| value.as_bool());
    if !listen.ip().is_loopback() && allows_plaintext != Some(true) {
        let problem =
            "is beyond loopback, where connections are neither encrypted nor authenticated; listen on \
                       127.0.0.1, or set `plaintext_beyond_loopback = true`";
        return invalid("xds.listen", problem);
    }
    Ok(listen)
}

fn read_listeners(xds: &OwnedValue) -> ReadResult<Vec<Listener>> {
    let list = match xds.get("listeners") {
        None => &[][..],
        Some(value) => match value.as_array() {
            Some(list) => list.as_slice(),
            None => return invalid("xds.listeners", "is not a list"),
        },
    };
    let mut listeners: Vec<Listener> = Vec::new();
    for (i, listener) in list.iter().enumerate() {
        let at = |key: &str| format!("xds.listeners[{i}].{key}");
        let name = required_text(listener, "name", &at("name"))?;
        if name.is_empty() || listeners.iter().any(|other| other.name == name) {
            return invalid(&at("name"), format!("is '{name}', which is empty or already in use"));
        }
        let address = address(&required_text(listener, "address", &at("address"))?, &at("address"))?;
        listeners.push(Listener { name, address });
    }
    Ok(listeners)
}

/// Reads the limits on the load that proxies may send to warming engines. `instances` is the number of front ends.
fn read_cold(xds: &OwnedValue, rule: SlowStart, instances: u32, request_ms: f64) -> ReadResult<ColdTerms> {
    let terms = ColdTerms {
        fall_multiple: rule.fall_multiple,
        fall_span_ms: rule.fall_span.as_millis(),
        proxy_share: number(xds, "proxy_share", DEFAULT_PROXY_SHARE, 0.0, 0.9)?,
        instances,
        request_work_ms: number(xds, "request_work_ms", DEFAULT_REQUEST_WORK_MS, 1.0, 3_600_000.0)?,
    };
    if terms.proxy_share > 0.0 && terms.proxy_share * terms.fall_multiple <= 1.0 {
        let least = (100.0 / terms.fall_multiple).floor() + 1.0;
        let problem = format!("leaves proxies nothing on cold engines; write 0% or {least}% and more");
        return invalid("xds.proxy_share", problem);
    }
    if request_ms < terms.fall_span_ms {
        let problem =
            format!("is under the {} ms over which the slow start rule measures load", terms.fall_span_ms);
        return invalid("xds.request_ms", problem);
    }
    Ok(terms)
}
