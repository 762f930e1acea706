//! The commands `fleet`, `policy` and `task`. Each prints text or JSON on standard output and sets the exit code.

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

/// Exit code of a command that failed or whose change was rejected.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of a command with invalid input, such as an operator's file or a policy with errors.
pub const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code of a command whose outcome is not known, for example because no leader responded in time.
pub const EXIT_UNKNOWN: u8 = 3;

/// Why a command did not succeed: the exit code, and the reason for standard error.
pub type CommandError = (u8, String);

/// Prints the error of a command, if any, to standard error and returns the exit code.
pub fn exit_code(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err((code, reason)) => {
            eprintln!("beamgap: {reason}");
            ExitCode::from(code)
        }
    }
}

fn invalid_input(reason: impl ToString) -> CommandError {
    (EXIT_INVALID_INPUT, reason.to_string())
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|e| invalid_input(format!("{}: {e}", path.display())))
}

/// Reads the `fleet` block of an operator's file.
fn read_fleet_settings(path: &Path) -> Result<FleetSettings, CommandError> {
    let name = path.display().to_string();
    let document = config::read_operator_file(&name, &read_file(path)?).map_err(invalid_input)?;
    let root = beamgap::node::json::read(document.root.json().into_bytes()).map_err(invalid_input)?;
    let Some(block) = simd_json::prelude::ValueObjectAccess::get(&root, "fleet") else {
        return Err(invalid_input(format!("{name}: has no `fleet` block; docs/policy.md shows an example")));
    };
    settings::read(block, "operator", &|_| None)
        .map_err(|e| invalid_input(operator::with_location(&document, e)))
}

/// Sends requests to the leader and the voters of a fleet.
struct FleetClient {
    leader_client: LeaderClient,
    fleet: FleetSettings,
    runtime: tokio::runtime::Runtime,
}

impl FleetClient {
    fn new(path: &Path) -> Result<FleetClient, CommandError> {
        let fleet = read_fleet_settings(path)?;
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
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(invalid_input)?;
        let leader_client = LeaderClient::new(&settings, &fleet.voters, Arc::default());
        Ok(FleetClient { leader_client, fleet, runtime })
    }

    /// Sends a request to the leader.
    ///
    /// # Errors
    /// Why no usable response arrived before the deadline.
    fn request(&mut self, request: &FleetRequest, deadline: Duration) -> Result<FleetResponse, String> {
        let bytes = self
            .runtime
            .block_on(self.leader_client.request(encode(request), deadline))
            .map_err(|e| e.to_string())?;
        match decode(&bytes) {
            Some(FleetResponse::Unreadable) | None => {
                Err("the leader runs another version of the program; use that version of `beamgap`".into())
            }
            Some(response) => Ok(response),
        }
    }

    fn sleep(&self, ms: u64) {
        self.runtime.block_on(async { tokio::time::sleep(Duration::from_millis(ms)).await });
    }
}
