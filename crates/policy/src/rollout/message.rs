//! Messages between members and the leader.
//!
//! The postcard encoding is positional, so the order of fields and variants is part of the wire format.

use super::Version;
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};

/// Whether a lease is long or short. Leases are short while a change is committed but not yet active.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseKind {
    /// Granted while no committed change was awaiting activation.
    Long,
    /// Granted while the change with this id was committed and awaiting activation.
    Short(String),
}

/// A reason for which a member or the replicated state machine rejects a proposed policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ValidationError {
    /// Name of the member that reports the error.
    pub member: String,
    /// File, line, key, problem and suggested fix in a single line.
    pub message: String,
}

/// A member's result of validating a proposed policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ValidationReport {
    /// Id of the validated change.
    pub change_id: String,
    /// Errors that prevent the member from applying the policy; empty if the policy is valid for this member.
    pub errors: Vec<ValidationError>,
}

/// A proposed change that the leader asks a member to validate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProposedChange {
    /// Id of the change.
    pub id: String,
    /// Text of the proposed policy.
    pub policy_text: String,
}

/// A member's poll, by which it renews its lease and reports its status to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The polling member.
    pub member: MemberId,
    /// Newest policy format version that the member supports.
    pub format_version: u64,
    /// Sequence number, increasing with each poll of this incarnation. The member ignores responses to earlier polls.
    pub sequence: u64,
    /// Version of the policy that the member has activated, if any.
    pub version: Option<Version>,
    /// Kind of the member's latest lease, which may have expired; `None` if it has no lease.
    pub lease_kind: Option<LeaseKind>,
    /// The member's latest validation report.
    pub validation: Option<ValidationReport>,
    /// Why the member currently admits no requests, as text for operators; `None` if it admits requests.
    pub blocked_reason: Option<String>,
    /// The member's request counters, as text for operators.
    pub note: String,
}

/// The leader's response to a [`PollRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PollResponse {
    /// Sequence number of the poll that this response answers.
    pub sequence: u64,
    /// The granted lease, if any.
    pub grant: Option<LeaseGrant>,
    /// A proposed change that the member should validate, if any.
    pub validate: Option<ProposedChange>,
    /// Maximum time until the member's next poll, in milliseconds.
    pub poll_again_after_ms: f64,
}

/// The leader's grant of a lease to admit requests under one policy version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The policy version for which the lease is valid.
    pub version: Version,
    /// Length of the lease in milliseconds of real time, counted from when the member sent the poll.
    pub length_ms: f64,
    /// Whether the lease is long or short.
    pub kind: LeaseKind,
    /// Maximum clock drift as a fraction, by which the member shortens the lease.
    pub max_drift: f64,
    /// Text of the policy; `None` if the member has already activated this version.
    pub policy_text: Option<String>,
}
