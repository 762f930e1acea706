//! The command `beamgap fleet status`: prints the voters, members and budgets as text or JSON.
//!
//! The output uses other terms than the code: a voter is printed as a `decider`, its slot as a `seat`, an incarnation
//! as a `life`, and an admission lease as a `right`. Scripts of operators read these words, so they must not change.

use crate::cli::FleetArgs;
use crate::commands::{CommandError, FleetClient, EXIT_UNKNOWN};
use beamgap::fleet::message::{FleetRequest, FleetResponse, FleetStatus, MemberSummary};
use beamgap_budgets::message::BudgetStatus;
use beamgap_consensus::connection::{PeerRequest, PeerResponse, VoterStatus};
use beamgap_consensus::VoterSlot;
use beamgap_policy::rollout::LeaseKind;
use serde_json::{json, Value};
use std::time::Duration;

/// Timeout of a request to one voter, and of a request to a leader that has just responded.
const VOTER_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of the first request to the leader, which includes the time to find the leader.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// The status of one voter, or why the voter did not send its status.
struct VoterReport {
    slot: VoterSlot,
    status: Result<Box<VoterStatus>, String>,
}

/// Prints the fleet's status.
///
/// # Errors
/// If no leader with a majority of the voters responds. The status of the voters is printed nevertheless.
pub fn status(args: &FleetArgs) -> Result<(), CommandError> {
    let mut client = FleetClient::new(&args.operator)?;
    let voters = voter_reports(&mut client);
    let fleet = match client.request(&FleetRequest::Status, LEADER_TIMEOUT) {
        Ok(FleetResponse::Status(status)) => Ok(status),
        Ok(_) => Err("unexpected response".to_owned()),
        Err(reason) => Err(reason),
    };
    let budgets = if fleet.is_ok() { budget_statuses(&mut client) } else { Vec::new() };
    let name = &client.fleet.name;
    if args.json {
        let mut report = to_json(name, &voters, fleet.as_deref().ok());
        report["budgets"] = budgets.iter().map(budget_json).collect();
        println!("{report}");
    } else {
        print!("{}", to_text(name, &voters, fleet.as_deref().ok()));
        for budget in &budgets {
            print!("{}", budget_text(budget));
        }
    }
    match fleet {
        Ok(_) => Ok(()),
        Err(reason) => Err((EXIT_UNKNOWN, no_leader(&voters, &reason))),
    }
}

fn no_leader(voters: &[VoterReport], reason: &str) -> String {
    let total = voters.len();
    let responding = voters.iter().filter(|voter| voter.status.is_ok()).count();
    let majority = total / 2 + 1;
    format!(
        "no leader with a majority ({reason}); {responding} of {total} deciders respond, {majority} are needed"
    )
}

fn voter_reports(client: &mut FleetClient) -> Vec<VoterReport> {
    let slots: Vec<VoterSlot> = client.fleet.voters.keys().copied().collect();
    let mut reports = Vec::new();
    for slot in slots {
        let request = client.leader_client.request_voter(slot, &PeerRequest::Status, VOTER_TIMEOUT);
        let status = match client.runtime.block_on(request) {
            Ok(PeerResponse::Status(status)) => Ok(status),
            Ok(_) => Err("another answer".to_owned()),
            Err(error) => Err(error.to_string()),
        };
        reports.push(VoterReport { slot, status });
    }
    reports
}

fn budget_statuses(client: &mut FleetClient) -> Vec<BudgetStatus> {
    match client.request(&FleetRequest::Budgets, VOTER_TIMEOUT) {
        Ok(FleetResponse::Budgets(budgets)) => budgets,
        // The budgets are optional in the output: a leader with an older version of the program does not know this
        // request.
        _ => Vec::new(),
    }
}

fn to_json(fleet: &str, voters: &[VoterReport], status: Option<&FleetStatus>) -> Value {
    let voters: Vec<Value> = voters.iter().map(voter_json).collect();
    let mut report = json!({"fleet": fleet, "deciders": voters});
    if let Some(status) = status {
        let pending = status.pending.as_ref();
        let pending = pending.map(|p| json!({"change": p.id, "by": p.by, "decided": p.committed}));
        report["version"] = json!(status.version);
        report["pending"] = json!(pending);
        report["members"] = status.members.iter().map(member_json).collect();
    }
    report
}

fn voter_json(voter: &VoterReport) -> Value {
    let slot = voter.slot;
    match &voter.status {
        Ok(v) => json!({"seat": slot, "member": v.member, "role": v.role, "term": v.term,
            "leader": v.leader, "disk": v.disk, "disk_ok": v.disk_ok, "log": v.log.last,
            "applied": v.log.applied, "fsyncs": v.writes, "voters": v.voters,
            "bytes_read": v.traffic.read, "bytes_written": v.traffic.written}),
        Err(reason) => json!({"seat": slot, "unreachable": reason}),
    }
}

fn member_json(member: &MemberSummary) -> Value {
    let lease = member.lease.as_ref().map(|lease| match lease {
        LeaseKind::Long => "long",
        LeaseKind::Short(_) => "short",
    });
    json!({"member": member.name, "life": format!("{:x}", member.incarnation), "version": member.version,
        "right": lease, "heard_ms": member.polled_ms_ago, "why_not": member.blocked_reason,
        "note": member.note})
}

fn budget_json(budget: &BudgetStatus) -> Value {
    let parts = budget.members.iter().map(|held| {
        let incarnation = format!("{:x}", held.member.incarnation);
        json!({"member": held.member.name, "life": incarnation, "part": held.share, "wants": held.demand})
    });
    json!({"budget": budget.name, "is": budget.description, "unknown": budget.unknown,
        "parts": parts.collect::<Vec<_>>()})
}

fn to_text(fleet: &str, voters: &[VoterReport], status: Option<&FleetStatus>) -> String {
    let mut text = format!("fleet {fleet}\n");
    for voter in voters {
        text += &voter_text(voter);
    }
    let Some(status) = status else { return text };
    text += &format!("policy version {}\n", status.version);
    if let Some(pending) = &status.pending {
        let state = if pending.committed { "is decided" } else { "is being checked" };
        text += &format!("change {} by {} {state}\n", pending.id, pending.by);
    }
    for member in &status.members {
        text += &member_text(member);
    }
    text
}

fn voter_text(voter: &VoterReport) -> String {
    let slot = voter.slot;
    match &voter.status {
        Ok(v) => format!(
            "decider {slot}  {:<12} {:<9} term {} log {} applied {} disk {}\n",
            v.member, v.role, v.term, v.log.last, v.log.applied, v.disk
        ),
        Err(reason) => format!("decider {slot}  unreachable: {reason}\n"),
    }
}

fn member_text(member: &MemberSummary) -> String {
    let version = member.version.map_or("-".to_owned(), |version| version.to_string());
    let lease = match &member.lease {
        Some(LeaseKind::Long) => "holds a right",
        Some(LeaseKind::Short(_)) => "holds a short right",
        None => "holds no right",
    };
    let polled = match member.polled_ms_ago {
        Some(ms) => format!("heard {ms:.0} ms ago"),
        None => "not heard of".to_owned(),
    };
    let blocked = match &member.blocked_reason {
        Some(reason) => format!("; admits nothing: {reason}"),
        None => String::new(),
    };
    let (name, note) = (&member.name, &member.note);
    format!("member {name:<12} version {version} {lease}, {polled}, {note}{blocked}\n")
}

fn budget_text(budget: &BudgetStatus) -> String {
    let mut text = format!("budget {}: {}\n", budget.name, budget.description);
    for held in &budget.members {
        let name = &held.member.name;
        let incarnation = held.member.incarnation;
        let share = held.share * 100.0;
        let demand = held.demand * 100.0;
        text += &format!("  {name:<12} life {incarnation:x}  has {share:.1}%, wants {demand:.1}%\n");
    }
    if budget.unknown > 0.0 {
        let unknown = budget.unknown * 100.0;
        text += &format!("  {unknown:.1}% may be held by lives not heard of since this leader leads\n");
    }
    text
}
