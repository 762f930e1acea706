//! The command `beamgap fleet`: shows a fleet's status, bootstraps the fleet, and readmits or removes voters.

mod status;

use super::{CommandError, FleetClient, EXIT_FAILED, EXIT_UNKNOWN};
use crate::cli::{Fleet, FleetArgs, VoterArgs};
use beamgap_consensus::connection::{PeerRequest, PeerResponse};
use beamgap_consensus::VoterSlot;
use std::time::Duration;

pub use status::status;

/// Timeout of a bootstrap, in which all voters write their identities to disk and elect a leader.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of readmitting or removing a voter. It includes the time that a readmitted voter needs to receive the log.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a `fleet` subcommand.
///
/// # Errors
/// The exit code, and why the command failed.
pub fn run(fleet: Fleet) -> Result<(), CommandError> {
    match fleet {
        Fleet::Status(args) => status(&args),
        Fleet::Found(args) => bootstrap(&args),
        Fleet::Readmit(voter) => {
            change_voter(&voter, &PeerRequest::Readmit(voter.seat), "is back in its seat")
        }
        Fleet::Remove(voter) => change_voter(&voter, &PeerRequest::Remove(voter.seat), "decides no more"),
    }
}

fn bootstrap(args: &FleetArgs) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&args.operator)?;
    let first = client.fleet.voters.keys().next().copied();
    let first: VoterSlot = first.ok_or((EXIT_FAILED, "the operator's file lists no decider".to_owned()))?;
    let request = client.leader_client.request_voter(first, &PeerRequest::Bootstrap, BOOTSTRAP_TIMEOUT);
    match client.runtime.block_on(request) {
        Ok(PeerResponse::Done) => {
            println!("fleet {} is founded", client.fleet.name);
            Ok(())
        }
        Ok(PeerResponse::Rejected(reason)) => Err((EXIT_FAILED, reason)),
        Ok(_) => Err((EXIT_UNKNOWN, "unexpected response".to_owned())),
        Err(error) => {
            let advice = "the fleet may have been founded; check with `beamgap fleet status`";
            Err((EXIT_UNKNOWN, format!("decider {first}: {error}; {advice}")))
        }
    }
}

/// Asks the leader to readmit or remove a voter. The request goes to the other voters in turn until one of them
/// accepts it, because any of them can be the leader.
fn change_voter(voter: &VoterArgs, request: &PeerRequest, success_text: &str) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&voter.fleet_args.operator)?;
    let slots: Vec<VoterSlot> = client.fleet.voters.keys().copied().collect();
    let mut problems = Vec::new();
    for other in slots.into_iter().filter(|slot| *slot != voter.seat) {
        let response = client.leader_client.request_voter(other, request, MEMBERSHIP_TIMEOUT);
        match client.runtime.block_on(response) {
            Ok(PeerResponse::Done) => {
                println!("decider {} {success_text}", voter.seat);
                return Ok(());
            }
            Ok(PeerResponse::Rejected(reason)) => problems.push(format!("decider {other}: {reason}")),
            Ok(_) => problems.push(format!("decider {other}: unexpected response")),
            Err(error) => problems.push(format!("decider {other}: {error}")),
        }
    }
    Err((EXIT_FAILED, problems.join("; ")))
}
