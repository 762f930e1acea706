//! What a member and the leader say to each other.

use crate::{Parts, Times, Who};
use serde::{Deserialize, Serialize};

/// A leadership, and how often in it all was to be stated anew.
pub type Epoch = (u64, u64);

/// A budget, the part of it that is held, and whether what is set aside is held.
pub type Holding = (String, Parts, bool);

/// What a member tells with each question to the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Its name, and which life of it.
    pub who: Who,
    /// Grows with each question of this life.
    pub round: u64,
    /// The version of the policy that it admits under.
    pub version: u64,
    /// Its zone.
    pub zone: String,
    /// Whether it is about to end: it wants nothing more.
    pub drains: bool,
    /// The last answer that it has taken in: whose, and to which question.
    pub known: Option<(Epoch, u64)>,
    /// All that it holds, if it was asked to state that.
    pub full: Option<(Epoch, Vec<Holding>)>,
    /// What it wants and has out, in units, of those budgets where that has changed.
    pub wants: Vec<(String, f64, u64)>,
}

/// What it is answered.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Whose answer it is.
    pub epoch: Epoch,
    /// To which question.
    pub round: u64,
    /// Whether all that it holds is renewed from when it asked. If not, it is to state all that it holds.
    pub renewed: bool,
    /// Whether the list is all that it holds; if not, what it does not name stays as it is.
    pub whole: bool,
    /// What it holds from now on.
    pub list: Vec<Holding>,
    /// The figures of time.
    pub times: Option<Times>,
    /// Which of the front ends that are there it is, from 0 by their names, and how many these are.
    pub place: (u64, u64),
    /// Ask again after so many milliseconds: something is on the move.
    pub again: Option<f64>,
}

/// How a budget stands, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Its name.
    pub name: String,
    /// What it is, in a line.
    pub told: String,
    /// Part of the whole that may be held by lives that were not heard of.
    pub unknown: f64,
    /// By member: its part of the whole, and what it wants of it.
    pub parts: Vec<(Who, f64, f64)>,
}
