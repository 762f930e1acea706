//! Reads the `fleet` block of the configuration file: the fleet's voters and timings, and this member's role.
//!
//! Some keys have other names in the configuration file than in the code: a voter is a `decider`, a voter's slot is its
//! `seat`, and the length of an admission lease is `right`.

use super::tasks::read as tasks;
use super::test_hooks::TestHooks;
use crate::node::json::{OwnedValue, ValueAsArray, ValueAsScalar, ValueObjectAccess};
use crate::node::section::{invalid as invalid_at, number_of, Bounds, ReadResult};
use beamgap_config::schema::{Block, Key, Shape};
use beamgap_consensus::VoterSlot;
use beamgap_fleet_types::is_valid_name;
use beamgap_leases::TaskSpec;
use beamgap_policy::rollout::PolicyTimings;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Allowed range of a voter's slot number, the key `seat`.
const SLOT_BOUNDS: Bounds = Bounds { least: 1.0, most: 99.0 };
/// Allowed range of the key `switch_bound`, in milliseconds: the longest time from the first admission under a new
/// policy version to the last one under the previous version.
const SWITCH_BOUNDS: Bounds = Bounds { least: 200.0, most: 60_000.0 };
/// Allowed range of the key `right`, the length of an admission lease, in milliseconds.
const LEASE_BOUNDS: Bounds = Bounds { least: 1_000.0, most: 600_000.0 };
/// Allowed range of the key `check_time`, which limits how long members validate a policy change, in milliseconds.
const VALIDATION_BOUNDS: Bounds = Bounds { least: 200.0, most: 60_000.0 };
/// Allowed range of the key `drift`: by what fraction a member's clock may run faster or slower than real time.
const DRIFT_BOUNDS: Bounds = Bounds { least: 0.0, most: 0.2 };

/// The settings of a front end as a member of its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Name of the fleet.
    pub name: String,
    /// Name of this member.
    pub member: String,
    /// Addresses of all voters, by slot.
    pub voters: BTreeMap<VoterSlot, SocketAddr>,
    /// Slot of this member; `None` if it is not a voter.
    pub slot: Option<VoterSlot>,
    /// Address on which this member accepts connections of other members; `None` if it is not a voter.
    pub listen: Option<SocketAddr>,
    /// Folder in which a voter stores the replicated log; required for voters.
    pub data_dir: Option<PathBuf>,
    /// Timings with which a new fleet is bootstrapped; they do not change the timings of an existing fleet.
    pub timings: PolicyTimings,
    /// Tasks in the configuration file; `beamgap task apply` sends them to the fleet.
    pub tasks: Vec<TaskSpec>,
    /// Test hooks from the environment variable `BEAMGAP_TRIAL`.
    pub test_hooks: TestHooks,
}

/// Describes the keys and blocks that a `fleet` block may contain.
pub fn schema() -> Block {
    let key = |name, setting, shape| Key { name, setting, shape, needed: false };
    let voter = Block {
        name: "decider",
        setting: "deciders",
        many: true,
        label: Some("seat"),
        keys: vec![Key { needed: true, ..key("address", "address", Shape::Address) }],
        blocks: Vec::new(),
    };
    let Bounds { least, most } = SLOT_BOUNDS;
    Block {
        name: "fleet",
        setting: "fleet",
        keys: vec![
            Key { needed: true, ..key("name", "name", Shape::Text) },
            key("member", "member", Shape::Text),
            key("seat", "seat", Shape::Count { least, most }),
            key("listen", "listen", Shape::Address),
            key("folder", "folder", Shape::Text),
            key("switch_bound", "switch_ms", Shape::Duration),
            key("right", "right_ms", Shape::Duration),
            key("check_time", "check_ms", Shape::Duration),
            key("drift", "drift", Shape::Share),
            key("plaintext_beyond_loopback", "plaintext_beyond_loopback", Shape::Flag),
        ],
        blocks: vec![voter, tasks::schema()],
        ..Block::default()
    }
}

fn invalid<T>(key: &str, problem: impl Into<String>) -> ReadResult<T> {
    invalid_at(&format!("fleet.{key}"), problem)
}

/// Reads the `fleet` block. `node` is the front end's name and the default for the key `member`.
///
/// # Errors
/// The first setting that is missing or invalid.
pub fn read(
    fleet: &OwnedValue,
    node: &str,
    env: &dyn Fn(&str) -> Option<String>,
) -> ReadResult<FleetSettings> {
    let Some(name) = text(fleet, "name").filter(|name| is_valid_name(name)) else {
        return invalid("name", "is not 1 to 64 letters, digits, dots and dashes");
    };
    let member = text(fleet, "member").unwrap_or(node);
    if !is_valid_name(member) {
        return invalid("member", format!("is '{member}', not 1 to 64 letters, digits, dots and dashes"));
    }
    let voters = read_voters(fleet)?;
    let slot = read_slot(fleet)?;
    let data_dir = text(fleet, "folder").map(PathBuf::from);
    let listen = read_listen(fleet, &voters, slot, data_dir.is_some())?;
    let timings = read_timings(fleet)?;
    let test_hooks = TestHooks::from_env(env).or_else(|error| invalid("trial", error.to_string()))?;
    Ok(FleetSettings {
        name: name.to_owned(),
        member: member.to_owned(),
        voters,
        slot,
        listen,
        data_dir,
        timings,
        tasks: tasks::read(fleet)?,
        test_hooks,
    })
}

fn text<'a>(section: &'a OwnedValue, key: &str) -> Option<&'a str> {
    section.get(key).and_then(|value| value.as_str())
}

fn number(fleet: &OwnedValue, key: &str, default: f64, bounds: Bounds) -> ReadResult<f64> {
    number_of(fleet, key, &format!("fleet.{key}"), default, bounds)
}

/// Parses an address and port. Addresses other than loopback need `plaintext_beyond_loopback = true`.
fn read_address(fleet: &OwnedValue, key: &str, text: &str) -> ReadResult<SocketAddr> {
    let Ok(address) = text.parse::<SocketAddr>() else {
        return invalid(key, format!("is '{text}', not an address with a port"));
    };
    let allows_plaintext = fleet.get("plaintext_beyond_loopback").and_then(|value| value.as_bool());
    if !address.ip().is_loopback() && allows_plaintext != Some(true) {
        let problem =
            "is beyond loopback, and connections between members are neither encrypted nor authenticated; use \
                       127.0.0.1, or set `plaintext_beyond_loopback = true` if the network is trusted";
        return invalid(key, problem);
    }
    Ok(address)
}

fn read_voters(fleet: &OwnedValue) -> ReadResult<BTreeMap<VoterSlot, SocketAddr>> {
    let list = fleet.get("deciders").and_then(|list| list.as_array());
    let list = list.map_or(&[][..], |list| list.as_slice());
    let mut voters = BTreeMap::new();
    for (i, voter) in list.iter().enumerate() {
        let slot_text = text(voter, "seat").unwrap_or_default();
        let slot = slot_text.parse::<VoterSlot>().ok();
        let slot = slot.filter(|slot| (1..=99).contains(slot) && !voters.contains_key(slot));
        let Some(slot) = slot else {
            let problem = format!("is '{slot_text}', not a number from 1 to 99 that stands once");
            return invalid(&format!("deciders[{i}].seat"), problem);
        };
        let address = text(voter, "address").unwrap_or_default();
        voters.insert(slot, read_address(fleet, &format!("deciders[{i}].address"), address)?);
    }
    let count = voters.len();
    if !matches!(count, 1 | 3 | 5) {
        let problem = format!("are {count}; write three or five decider blocks, or one for a test setup");
        return invalid("deciders", problem);
    }
    Ok(voters)
}

fn read_slot(fleet: &OwnedValue) -> ReadResult<Option<VoterSlot>> {
    let slot = number(fleet, "seat", 0.0, SLOT_BOUNDS)? as VoterSlot;
    Ok((slot > 0).then_some(slot))
}

/// Returns the address that a voter listens on; `None` for members that are not voters.
///
/// The key `listen` overrides the address in the voter's own `decider` block.
fn read_listen(
    fleet: &OwnedValue,
    voters: &BTreeMap<VoterSlot, SocketAddr>,
    slot: Option<VoterSlot>,
    has_data_dir: bool,
) -> ReadResult<Option<SocketAddr>> {
    let listen = text(fleet, "listen");
    let Some(slot) = slot else {
        if listen.is_some() {
            return invalid("listen", "is only for deciders; set `seat` or remove `listen`");
        }
        return Ok(None);
    };
    let Some(address) = voters.get(&slot) else {
        return invalid("seat", format!("is {slot}, which no decider block names"));
    };
    if !has_data_dir {
        return invalid(
            "folder",
            "is missing: a decider stores the replicated log there; add `folder = \"PATH\"`",
        );
    }
    match listen {
        Some(text) => read_address(fleet, "listen", text).map(Some),
        None => Ok(Some(*address)),
    }
}

fn read_timings(fleet: &OwnedValue) -> ReadResult<PolicyTimings> {
    let default = PolicyTimings::default();
    let timings = PolicyTimings {
        switch_bound_ms: number(fleet, "switch_ms", default.switch_bound_ms, SWITCH_BOUNDS)?,
        lease_ms: number(fleet, "right_ms", default.lease_ms, LEASE_BOUNDS)?,
        validation_ms: number(fleet, "check_ms", default.validation_ms, VALIDATION_BOUNDS)?,
        max_drift: number(fleet, "drift", default.max_drift, DRIFT_BOUNDS)?,
    };
    if timings.lease_ms < 2.0 * timings.switch_bound_ms {
        return invalid(
            "right_ms",
            "is under twice the switch_bound: losing the leader would stop admission",
        );
    }
    Ok(timings)
}
