//! `beamgap xds watch`: subscribes to all resource types like a proxy and prints each change.

use super::held::Content;
use super::link::{connect, Link};
use super::session::{Change, Session};
use crate::core::stream::Variant;
use serde_json::{json, Map, Value};
use std::io::Write;
use std::time::{Duration, Instant};

/// The options of `beamgap xds watch`.
#[derive(Clone, Debug)]
pub struct Watch {
    /// The address of the control plane, as `host:port`.
    pub address: String,
    /// The node id to use. The id must differ from those of all proxies: a proxy with the same id gets no leases while
    /// the watch runs.
    pub node: String,
    /// The protocol variant to use.
    pub variant: Variant,
    /// Whether to print JSON lines instead of text.
    pub json: bool,
    /// The short names of resource types whose responses are NACKed, and the error message of the NACKs.
    pub refuse: Option<(Vec<String>, String)>,
    /// The number of responses after which the watch ends; 0 for no limit.
    pub responses: u64,
}

/// Prints changes until the stream ends or the requested number of responses was received.
pub async fn run(watch: Watch, out: &mut dyn Write) -> Result<(), String> {
    let channel = connect(&watch.address).await.map_err(|e| format!("{}: {}", watch.address, chain(&e)))?;
    let mut session = Session::new(watch.variant);
    let first = session.opened();
    let mut link =
        Link::open(channel, &watch.node, watch.variant, first).await.map_err(|e| e.message().to_owned())?;
    let (start, mut seen) = (Instant::now(), 0);
    loop {
        let now = start.elapsed().as_secs_f64() * 1000.0;
        let end = session
            .held()
            .next_end()
            .map_or(Duration::from_secs(3600), |at| Duration::from_secs_f64(((at - now) / 1000.0).max(0.0)));
        let got = tokio::select! {
            got = link.next() => got.map_err(|e| format!("the stream ended: {}", e.message()))?,
            () = tokio::time::sleep(end) => {
                let now = start.elapsed().as_secs_f64() * 1000.0;
                print(&watch, now, "-", &session.expire(now), out)?;
                continue;
            }
        };
        let Some(got) = got else { return Ok(()) };
        let now = start.elapsed().as_secs_f64() * 1000.0;
        let kind = crate::core::resources::Kind::of(&got.url).map_or("", |kind| kind.short());
        let refuse = watch.refuse.as_ref().filter(|(kinds, _)| kinds.iter().any(|k| k == kind || k == "all"));
        let (changes, asks) = session.got(now, &got, refuse.map(|(_, text)| text.as_str()));
        print(&watch, now, &got.version, &changes, out)?;
        for ask in asks {
            if !link.send(ask).await {
                return Ok(());
            }
        }
        seen += 1;
        if watch.responses > 0 && seen >= watch.responses {
            return Ok(());
        }
    }
}

/// Formats an error with all its causes; only the innermost cause says that a connection was refused.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text = format!("{text}: {inner}");
        cause = inner.source();
    }
    text
}

fn print(
    watch: &Watch,
    now: f64,
    version: &str,
    changes: &[Change],
    out: &mut dyn Write,
) -> Result<(), String> {
    for change in changes {
        let line = if watch.json { json(now, version, change) } else { text(now, version, change) };
        writeln!(out, "{line}").map_err(|e| format!("output: {e}"))?;
    }
    out.flush().map_err(|e| format!("output: {e}"))
}

/// Formats a change as a line of text.
pub fn text(now: f64, version: &str, change: &Change) -> String {
    match change {
        Change::Removed(kind, name) => format!("{now:.0} {} {name} removed", kind.short()),
        Change::Put(kind, name, item) => {
            let what = match item {
                Content::Cluster(most) if *most >= 1 << 30 => "requests=unbounded".to_owned(),
                Content::Cluster(most) => format!("requests={most}"),
                Content::Listener(at) => at.map_or("address=?".to_owned(), |at| format!("address={at}")),
                Content::Routes(parts, timeout) => {
                    let parts: Vec<String> = parts.iter().map(|(n, w)| format!("{n}={w}")).collect();
                    format!("timeout_ms={timeout:.0} {}", parts.join(" "))
                }
                Content::EndpointList(list) => {
                    let each = list.endpoints.iter();
                    let each = each.map(|e| format!("{}@{}={},{}", e.name, e.address, e.health, e.weight));
                    format!("drop={}% {}", list.drop, each.collect::<Vec<_>>().join(" "))
                }
            };
            format!("{now:.0} {} {name} version={version} {what}", kind.short())
        }
    }
}

/// Formats a change as a line of JSON.
pub fn json(now: f64, version: &str, change: &Change) -> String {
    let mut line = match change {
        Change::Removed(kind, name) => json!({ "type": kind.short(), "name": name, "removed": true }),
        Change::Put(kind, name, item) => {
            let (key, value) = match item {
                Content::Cluster(most) => ("requests", json!(most)),
                Content::Listener(at) => ("address", json!(at.map(|at| at.to_string()))),
                Content::Routes(parts, timeout) => {
                    let parts: Map<String, Value> =
                        parts.iter().map(|(n, w)| (n.clone(), json!(w))).collect();
                    ("route", json!({ "timeout_ms": timeout, "clusters": parts }))
                }
                Content::EndpointList(list) => {
                    let each = list.endpoints.iter().map(|e| {
                        let (address, health) = (e.address.to_string(), e.health.to_string());
                        json!({ "name": e.name, "address": address, "health": health, "weight": e.weight })
                    });
                    ("list", json!({ "drop": list.drop, "endpoints": each.collect::<Vec<_>>() }))
                }
            };
            json!({ "type": kind.short(), "name": name, "version": version, key: value })
        }
    };
    line["at_ms"] = json!(now.round());
    line.to_string()
}
