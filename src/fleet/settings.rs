//! The `fleet` block: which fleet, who decides, where, and the fleet's figures of time.

use super::tasks::read as tasks;
use super::test_hooks::TestHooks;
use crate::node::config::ConfigError;
use crate::node::json::{self, OwnedValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use beamgap_config::schema::{Block, Key, Shape};
use beamgap_consensus::{VoterSlot, SLOT_STRIDE};
use beamgap_fleet_types::is_valid_name;
use beamgap_leases::TaskSpec;
use beamgap_policy::rollout::PolicyTimings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// How a front end takes part in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The fleet's name.
    pub name: String,
    /// This member's name.
    pub member: String,
    /// The deciders by their seats.
    pub voters: BTreeMap<VoterSlot, SocketAddr>,
    /// This member's seat, if it decides.
    pub slot: Option<VoterSlot>,
    /// Where it listens for the others, if it decides.
    pub listen: Option<SocketAddr>,
    /// Where it keeps what was agreed on, if it decides.
    pub data_dir: Option<PathBuf>,
    /// The fleet's figures, used when it is founded.
    pub timings: PolicyTimings,
    /// The tasks of its file, for `beamgap task apply`.
    pub tasks: Vec<TaskSpec>,
    /// What a test has set.
    pub test_hooks: TestHooks,
}

/// What may stand in the block.
pub fn schema() -> Block {
    let key = |name, setting, shape| Key { name, setting, shape, needed: false };
    let decider = Block {
        name: "decider",
        setting: "deciders",
        many: true,
        label: Some("seat"),
        keys: vec![Key { needed: true, ..key("address", "address", Shape::Address) }],
        blocks: Vec::new(),
    };
    Block {
        name: "fleet",
        setting: "fleet",
        keys: vec![
            Key { needed: true, ..key("name", "name", Shape::Text) },
            key("member", "member", Shape::Text),
            key("seat", "seat", Shape::Count { least: 1.0, most: 99.0 }),
            key("listen", "listen", Shape::Address),
            key("folder", "folder", Shape::Text),
            key("switch_bound", "switch_ms", Shape::Duration),
            key("right", "right_ms", Shape::Duration),
            key("check_time", "check_ms", Shape::Duration),
            key("drift", "drift", Shape::Share),
            key("plaintext_beyond_loopback", "plaintext_beyond_loopback", Shape::Flag),
        ],
        blocks: vec![decider, tasks::schema()],
        ..Block::default()
    }
}

fn wrong<T>(key: &str, problem: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError::new(format!("fleet.{key}"), problem))
}

/// Reads the block. `node` is the front end's name, which is the member's where the block names none.
pub fn read(
    fleet: &OwnedValue,
    node: &str,
    env: &dyn Fn(&str) -> Option<String>,
) -> Result<FleetSettings, ConfigError> {
    let text = |key: &str| fleet.get(key).and_then(|v| v.as_str());
    let number = |key: &str, absent: f64, least: f64, most: f64| match fleet.get(key).map(json::number) {
        None => Ok(absent),
        Some(Some(n)) if (least..=most).contains(&n) => Ok(n),
        Some(_) => wrong(key, format!("is not from {least} to {most}")),
    };
    let Some(name) = text("name").filter(|name| is_valid_name(name)) else {
        return wrong("name", "is not 1 to 64 letters, digits, dots and dashes");
    };
    let member = text("member").unwrap_or(node);
    if !is_valid_name(member) {
        return wrong("member", format!("is '{member}', not 1 to 64 letters, digits, dots and dashes"));
    }
    let open = fleet.get("plaintext_beyond_loopback").and_then(|v| v.as_bool()).unwrap_or(false);
    let address = |key: &str, text: &str| {
        let Ok(address) = text.parse::<SocketAddr>() else {
            return wrong(key, format!("is '{text}', not an address with a port"));
        };
        if !address.ip().is_loopback() && !open {
            let problem =
                "is beyond loopback, and links are neither secret nor signed in to; use 127.0.0.1, or say \
                           `plaintext_beyond_loopback = true` if nobody else reaches that network";
            return wrong(key, problem);
        }
        Ok(address)
    };
    let mut deciders = BTreeMap::new();
    let list = fleet.get("deciders").and_then(|list| list.as_array()).map_or(&[][..], |list| list.as_slice());
    for (i, decider) in list.iter().enumerate() {
        let at = |key: &str| format!("deciders[{i}].{key}");
        let of = |key: &str| decider.get(key).and_then(|v| v.as_str()).unwrap_or_default();
        let seat = of("seat").parse::<VoterSlot>().ok().filter(|seat| (1..SLOT_STRIDE).contains(seat));
        let Some(seat) = seat.filter(|seat| *seat < 100 && !deciders.contains_key(seat)) else {
            return wrong(
                &at("seat"),
                format!("is '{}', not a number from 1 to 99 that stands once", of("seat")),
            );
        };
        deciders.insert(seat, address(&at("address"), of("address"))?);
    }
    if !matches!(deciders.len(), 1 | 3 | 5) {
        let n = deciders.len();
        return wrong(
            "deciders",
            format!("are {n}; write three or five decider blocks (one for trying out)"),
        );
    }
    let seat = number("seat", 0.0, 1.0, 99.0)? as VoterSlot;
    let seat = (seat > 0).then_some(seat);
    let folder = text("folder").map(PathBuf::from);
    let listen = match (seat, text("listen")) {
        (None, Some(_)) => return wrong("listen", "is for deciders; give it a seat, or take this out"),
        (None, None) => None,
        (Some(seat), listen) => {
            let Some(known) = deciders.get(&seat) else {
                return wrong("seat", format!("is {seat}, which no decider block names"));
            };
            if folder.is_none() {
                return wrong(
                    "folder",
                    "is missing: a decider keeps what was agreed on; add `folder = \"PATH\"`",
                );
            }
            Some(listen.map_or(Ok(*known), |text| address("listen", text))?)
        }
    };
    let usual = PolicyTimings::default();
    let times = PolicyTimings {
        switch_bound_ms: number("switch_ms", usual.switch_bound_ms, 200.0, 60_000.0)?,
        lease_ms: number("right_ms", usual.lease_ms, 1_000.0, 600_000.0)?,
        validation_ms: number("check_ms", usual.validation_ms, 200.0, 60_000.0)?,
        max_drift: number("drift", usual.max_drift, 0.0, 0.2)?,
    };
    if times.lease_ms < 2.0 * times.switch_bound_ms {
        return wrong("right_ms", "is under twice the switch_bound: a leader's death would stop the fleet");
    }
    let test_hooks = TestHooks::from_env(env).or_else(|e| wrong("trial", e.to_string()))?;
    Ok(FleetSettings {
        name: name.to_owned(),
        member: member.to_owned(),
        voters: deciders,
        slot: seat,
        listen,
        data_dir: folder,
        timings: times,
        tasks: tasks::read(fleet)?,
        test_hooks,
    })
}
