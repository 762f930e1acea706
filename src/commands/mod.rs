//! The commands that ask a fleet, or look at policies: each prints text or JSON and ends with a code of its own.

pub mod fleet;
pub mod policy;
pub mod task;

use beamgap::fleet::message::{decode, encode, FleetRequest, FleetResponse};
use beamgap::fleet::settings::{self, FleetSettings};
use beamgap::fleet::test_hooks::{machine_clock, TestHooks};
use beamgap::node::{config, operator};
use beamgap_consensus::{InjectedBugs, LeaderClient, Settings};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Turned down, or not done.
pub const NO: u8 = 1;
/// The command can't be used as it is.
pub const UNUSABLE: u8 = 2;
/// Not known yet: to be asked again by the change's id.
pub const UNKNOWN: u8 = 3;

/// What ends a command before it is done: its code, and a line on why.
pub type End = (u8, String);

/// Says how a command ended.
pub fn ended(done: Result<(), End>) -> ExitCode {
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, why)) => {
            eprintln!("beamgap: {why}");
            ExitCode::from(code)
        }
    }
}

fn unusable(why: impl ToString) -> End {
    (UNUSABLE, why.to_string())
}

fn text_of(path: &Path) -> Result<String, End> {
    std::fs::read_to_string(path).map_err(|e| unusable(format!("{}: {e}", path.display())))
}

/// The `fleet` block of an operator's file.
fn fleet_of(path: &Path) -> Result<FleetSettings, End> {
    let name = path.display().to_string();
    let document = config::read_operator_file(&name, &text_of(path)?).map_err(unusable)?;
    let root = beamgap::node::json::read(document.root.json().into_bytes()).map_err(unusable)?;
    let Some(block) = simd_json::prelude::ValueObjectAccess::get(&root, "fleet") else {
        return Err(unusable(format!("{name}: has no `fleet` block; add one, docs/policy.md shows it")));
    };
    settings::read(block, "operator", &|_| None).map_err(|e| unusable(operator::located(&document, e)))
}

/// Asks the fleet.
struct Asker {
    client: LeaderClient,
    fleet: FleetSettings,
    runtime: tokio::runtime::Runtime,
}

impl Asker {
    fn new(path: &Path) -> Result<Asker, End> {
        let fleet = fleet_of(path)?;
        let settings = Settings {
            fleet: fleet.name.clone(),
            member: "operator".to_owned(),
            voters: fleet.voters.clone(),
            slot: None,
            data_dir: None,
            seed: machine_clock().to_bits(),
            clock: TestHooks::default().clock(),
            injected_bugs: InjectedBugs::default(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(unusable)?;
        let client = LeaderClient::new(&settings, &fleet.voters, Arc::default());
        Ok(Asker { client, fleet, runtime })
    }

    /// Asks the leader; `Err` tells why nobody answered.
    fn ask(&mut self, request: &FleetRequest, deadline: Duration) -> Result<FleetResponse, String> {
        let bytes = self
            .runtime
            .block_on(self.client.request(encode(request), deadline))
            .map_err(|e| e.to_string())?;
        match decode(&bytes) {
            Some(FleetResponse::Unreadable) | None => {
                Err("the leader runs another program: use its own `beamgap`".into())
            }
            Some(response) => Ok(response),
        }
    }

    fn sleep(&self, ms: u64) {
        self.runtime.block_on(async { tokio::time::sleep(Duration::from_millis(ms)).await });
    }
}
