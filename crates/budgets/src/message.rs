//! Messages between a member and the leader.
//!
//! Messages are serialized by position, without field names: the order of the fields is part of the protocol.

use crate::{BudgetTimings, Share};
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};

/// Identifies a period of one leadership. Statements of holdings
/// and responses are valid only in the epoch that they name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// A number that differs between any two leaderships in the fleet.
    pub leadership: u64,
    /// How many times during this leadership the leader has required all members to state their holdings again.
    pub restatement: u64,
}

/// The part of one budget that a member holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// The budget's name.
    pub budget: String,
    /// The member's share, not counting its floor.
    pub share: Share,
    /// Whether the member holds its floor in addition to the share.
    pub holds_floor: bool,
}

/// Identifies a response that a member has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AppliedResponse {
    /// The leader's epoch that the response names.
    pub epoch: Epoch,
    /// The sequence number of the request that the response answered.
    pub sequence: u64,
}

/// A statement of all holdings of a member.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FullStatement {
    /// The leader's epoch for which the holdings are stated.
    pub epoch: Epoch,
    /// All holdings. The member holds nothing of a budget that is missing here.
    pub holdings: Vec<Holding>,
}

/// A member's demand for one budget, and the number of units it has in use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The budget's name.
    pub budget: String,
    /// Units that the member could use now.
    pub demand: f64,
    /// Units that the member has in use; 0 for a rate.
    pub in_use: u64,
}

/// A member's poll of the leader, with the member's holdings and demands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PollRequest {
    /// The member that sends the request.
    pub member: MemberId,
    /// Sequence number; increases with each request of this incarnation.
    pub sequence: u64,
    /// The policy version under which the member admits requests.
    pub version: u64,
    /// The member's zone.
    pub zone: String,
    /// Whether the member is draining. A draining member releases its shares and receives no new ones.
    pub draining: bool,
    /// The last response that the member has applied.
    pub applied: Option<AppliedResponse>,
    /// All holdings of the member, if the leader has requested a full statement.
    pub full_statement: Option<FullStatement>,
    /// Demand reports for those budgets whose demand or units in use have changed since the last report.
    pub demands: Vec<DemandReport>,
}

/// The position of a member in the list of present members, sorted by [`MemberId`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Position {
    /// Zero-based index of the member.
    pub index: u64,
    /// Number of members that are present.
    pub members: u64,
}

/// The response to a member's poll.
///
/// The default value means that the receiver of the poll is not
/// the leader, or that the member is not known to the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The leader's epoch when it sent the response.
    pub epoch: Epoch,
    /// The sequence number of the request that the response answers.
    pub sequence: u64,
    /// Whether all holdings of the member are renewed, counted from when it sent the poll. If `false`, the member has
    /// to send a full statement of its holdings with the next poll.
    pub renewed: bool,
    /// Whether `holdings` lists all budgets. If `false`, the holdings of budgets that are not listed are unchanged.
    pub complete: bool,
    /// The holdings that replace the member's previous ones.
    pub holdings: Vec<Holding>,
    /// The fleet's timings; `None` in a response that renews nothing.
    pub timings: Option<BudgetTimings>,
    /// The member's position among the members that are present.
    pub position: Position,
    /// Delay before the next poll, in milliseconds, while shares are being moved; `None` for the usual poll interval.
    pub poll_again_after_ms: Option<f64>,
}

/// The division of one budget among the members, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Name of the budget.
    pub name: String,
    /// One-line description of the budget.
    pub description: String,
    /// Fraction of the budget that incarnations may hold without having stated their holdings to this leader.
    pub unknown: f64,
    /// The members that the leader has an entry for.
    pub members: Vec<MemberShare>,
}

/// One member's part of a budget, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberShare {
    /// Name and incarnation of the member.
    pub member: MemberId,
    /// Fraction of the budget that the member was granted, including its floor.
    pub share: f64,
    /// The member's reported demand as a fraction of the budget; may exceed 1.
    pub demand: f64,
}
