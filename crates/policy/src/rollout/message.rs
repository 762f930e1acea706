//! What members and the leader send to each other.
//!
//! The encoded form is positional (postcard): the order of fields and variants is part of the wire format.

use super::Version;
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};

/// How long a lease is good for: while a change is committed but not yet active, leases are short.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseKind {
    /// No change was committed and not yet active.
    Long,
    /// The change of this id was.
    Short(String),
}

/// A reason why a member, or the fleet, can't use a proposed policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ValidationError {
    /// Name of the member that reports it.
    pub member: String,
    /// File, line, key, what is wrong and what to do, in one line.
    pub message: String,
}

/// What a member found in a proposed policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ValidationReport {
    /// The change that was validated.
    pub change_id: String,
    /// What is wrong with it; empty if the member can use it.
    pub errors: Vec<ValidationError>,
}

/// A change that a member is to validate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposedChange {
    /// Its id.
    pub id: String,
    /// The policy's text.
    pub policy_text: String,
}

/// What a member sends to the leader to renew its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Who polls.
    pub member: MemberId,
    /// The latest format version of policies that it can read.
    pub format_version: u64,
    /// Grows with each poll of this incarnation: responses to earlier ones are ignored.
    pub sequence: u64,
    /// The version that it has.
    pub version: Option<Version>,
    /// The kind of its lease, if it has had one.
    pub lease_kind: Option<LeaseKind>,
    /// What it found in a proposed change.
    pub validation: Option<ValidationReport>,
    /// For operators: why it does not admit requests, if so.
    pub blocked_reason: Option<String>,
    /// For operators: its counters.
    pub note: String,
}

/// What the leader answers to a [`PollRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The sequence number of the poll that this answers.
    pub sequence: u64,
    /// The lease, if one is granted.
    pub grant: Option<LeaseGrant>,
    /// A change to be validated.
    pub validate: Option<ProposedChange>,
    /// The next poll is wanted after so many milliseconds at the latest.
    pub poll_again_after_ms: f64,
}

/// A lease to admit requests under one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The version.
    pub version: Version,
    /// How long it lasts from when it was asked for, in milliseconds of real time.
    pub length_ms: f64,
    /// Its kind.
    pub kind: LeaseKind,
    /// By what fraction clocks may run apart from real time.
    pub max_drift: f64,
    /// The policy, if the member does not have this version.
    pub policy_text: Option<String>,
}
