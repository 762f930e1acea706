//! `beamgap fleet`: the voters of a fleet, and its status.

mod status;

use super::{Asker, End, NO, UNKNOWN};
use crate::cli::{Ask, Fleet, Seat};
use beamgap_consensus::connection::{PeerRequest, PeerResponse};
use beamgap_consensus::VoterSlot;
use std::time::Duration;

pub use status::status;

/// Time for a bootstrap: all voters write their identities and elect a leader.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for a change of voters, a voter's catching up included.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a subcommand.
///
/// # Errors
/// What the command could not do, with its exit code.
pub fn run(fleet: Fleet) -> Result<(), End> {
    match fleet {
        Fleet::Status(ask) => status(&ask),
        Fleet::Found(ask) => bootstrap(&ask),
        Fleet::Readmit(seat) => change_voter(&seat, &PeerRequest::Readmit(seat.seat), "is back in its seat"),
        Fleet::Remove(seat) => change_voter(&seat, &PeerRequest::Remove(seat.seat), "decides no more"),
    }
}

fn bootstrap(ask: &Ask) -> Result<(), End> {
    let mut asker = Asker::new(&ask.operator)?;
    let first = asker.fleet.voters.keys().next().copied();
    let first: VoterSlot = first.ok_or((NO, "no decider".to_owned()))?;
    let request = asker.client.request_voter(first, &PeerRequest::Bootstrap, BOOTSTRAP_TIMEOUT);
    match asker.runtime.block_on(request) {
        Ok(PeerResponse::Done) => {
            println!("fleet {} is founded", asker.fleet.name);
            Ok(())
        }
        Ok(PeerResponse::Rejected(reason)) => Err((NO, reason)),
        Ok(_) => Err((UNKNOWN, "another answer".to_owned())),
        Err(error) => {
            let advice = "it may be founded, `beamgap fleet status` tells";
            Err((UNKNOWN, format!("decider {first}: {error}; {advice}")))
        }
    }
}

/// Has the leader readmit or remove a voter: asks all other voters in turn.
fn change_voter(seat: &Seat, request: &PeerRequest, done: &str) -> Result<(), End> {
    let mut asker = Asker::new(&seat.ask.operator)?;
    let slots: Vec<VoterSlot> = asker.fleet.voters.keys().copied().collect();
    let mut problems = Vec::new();
    for other in slots.into_iter().filter(|slot| *slot != seat.seat) {
        let response = asker.client.request_voter(other, request, MEMBERSHIP_TIMEOUT);
        match asker.runtime.block_on(response) {
            Ok(PeerResponse::Done) => {
                println!("decider {} {done}", seat.seat);
                return Ok(());
            }
            Ok(PeerResponse::Rejected(reason)) => problems.push(format!("decider {other}: {reason}")),
            Ok(_) => problems.push(format!("decider {other} answered another question")),
            Err(error) => problems.push(format!("decider {other}: {error}")),
        }
    }
    Err((NO, problems.join("; ")))
}
