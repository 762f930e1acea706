//! Messages between a member and the leader.
//!
//! They are serialized positionally: the order of fields is part of the protocol.

use crate::{BudgetTimings, Share};
use beamgap_fleet_types::MemberId;
use serde::{Deserialize, Serialize};

/// Identifies what a leader knows: statements and responses count only within one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Differs for each leadership.
    pub leadership: u64,
    /// How often in this leadership all members were to state their holdings anew.
    pub restatement: u64,
}

/// What a member holds of one budget.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// The budget's name.
    pub budget: String,
    /// The share that is held.
    pub share: Share,
    /// Whether the floor is held, too.
    pub holds_floor: bool,
}

/// Names a response that a member has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AppliedResponse {
    /// The epoch of the response.
    pub epoch: Epoch,
    /// The request that it answered.
    pub sequence: u64,
}

/// All that a member holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FullStatement {
    /// The epoch that it is stated for.
    pub epoch: Epoch,
    /// All holdings; a budget that is missing is not held.
    pub holdings: Vec<Holding>,
}

/// What a member could use of one budget, and what it has in use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The budget's name.
    pub budget: String,
    /// What it could use now, in units.
    pub demand: f64,
    /// What it has in use, in units; 0 for a rate.
    pub in_use: u64,
}

/// A member's request to the leader: what it holds and what it could use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Who asks.
    pub member: MemberId,
    /// Grows with each request of this incarnation.
    pub sequence: u64,
    /// The version of the policy that it admits under.
    pub version: u64,
    /// Its zone.
    pub zone: String,
    /// Whether it is draining: it wants nothing more.
    pub draining: bool,
    /// The last response that it has applied.
    pub applied: Option<AppliedResponse>,
    /// All that it holds, if it was asked to state that.
    pub full_statement: Option<FullStatement>,
    /// Demand of those budgets where it has changed.
    pub demands: Vec<DemandReport>,
}

/// The position of a member among those that are present, ordered by [`MemberId`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Position {
    /// From 0.
    pub index: u64,
    /// How many members are present.
    pub members: u64,
}

/// The leader's response.
///
/// The default stands for "not the leader, or the member is not known".
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PollResponse {
    /// The leader's epoch.
    pub epoch: Epoch,
    /// The request that it answers.
    pub sequence: u64,
    /// Whether all that the member holds is renewed from when it asked. If not, it has to state all that it holds.
    pub renewed: bool,
    /// Whether `holdings` is all that it holds; if not, budgets that are missing stay as they are.
    pub complete: bool,
    /// What it holds from now on.
    pub holdings: Vec<Holding>,
    /// The fleet's timings.
    pub timings: Option<BudgetTimings>,
    /// The member's position among those that are present.
    pub position: Position,
    /// Poll again after so many milliseconds, as shares are being moved.
    pub poll_again_after_ms: Option<f64>,
}

/// How a budget is divided, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Its name.
    pub name: String,
    /// What it limits, in a line.
    pub description: String,
    /// Fraction of the budget that may be held by incarnations that have stated nothing to this leader.
    pub unknown: f64,
    /// The members that hold something.
    pub members: Vec<MemberShare>,
}

/// What one member has of a budget, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberShare {
    /// The member.
    pub member: MemberId,
    /// Fraction of the budget that it may use.
    pub share: f64,
    /// Fraction of the budget that it could use.
    pub demand: f64,
}
