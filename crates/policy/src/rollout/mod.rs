//! How a change takes hold everywhere or nowhere.
//!
//! Three pure parts, with events in and actions out; program, model and tests on a set clock run the same code:
//!
//! - [`state`]: what the fleet has agreed on. Commands come in the order of the council's log, the same everywhere.
//! - [`leader`]: what the leading decider does: answers members, has them check, decides, activates.
//! - [`member`]: what each front end does: holds the right to admit under a version, renews it, stops when it has run out.
//!
//! **Rights.** A front end admits only while it holds a right under the version in force. It asks the leader at a moment
//! `t0` of its own clock, and the right ends at `t0` plus a length. The leader answers only after a majority has confirmed
//! it as leader *after* the question came, with the state as agreed on by then. So whatever the answer says was true
//! at some moment after `t0`, whoever is leader by the time that it arrives; no clock but the member's own counts.
//!
//! **Switch.** `Propose` (members check) → `Decide` → `Activate`. From `Decide` on, rights under the old version are *short*
//! (less than `switch_bound`); a short right replaces the long one that its holder had. `Activate` is proposed when every
//! member has confirmed that it holds a short right, or when every long one must have run out. From `Activate` on, rights are
//! under the new version. A right under the old one was asked for before `Activate`, and is short: so it ends within
//! `switch_bound` of the first admission under the new.

pub mod leader;
pub mod member;
pub mod state;

use serde::{Deserialize, Serialize};

/// A version of the policy; 0 is the empty one that a fleet is founded with.
pub type Version = u64;

/// The fleet's figures of time, the same for all. In milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// From the first admission under a new version to the last under the old one, at most.
    pub switch_bound: f64,
    /// How long a right lasts while no change is under way.
    pub right: f64,
    /// How long members have to check a change.
    pub check: f64,
    /// By what part clocks may run apart.
    pub drift: f64,
}

impl Default for Times {
    fn default() -> Times {
        Times { switch_bound: 1000.0, right: 5000.0, check: 2000.0, drift: 0.05 }
    }
}

impl Times {
    /// A short right, as granted: its holder takes the drift off, so that it ends in time by any clock.
    pub fn short(&self) -> f64 {
        0.8 * self.switch_bound
    }

    /// After this on any clock within the drift, a right of this length granted before has run out on every other.
    pub fn surely_over(&self, length: f64) -> f64 {
        length * (1.0 + self.drift) / (1.0 - self.drift)
    }
}

/// What a member's right is worth: long, or short because this change is decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Mark {
    /// No change was decided and not yet active.
    Long,
    /// The change of this id was.
    Short(String),
}

/// A fault that a member found in a proposed policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fault {
    /// Which member.
    pub member: String,
    /// File, line, key, what is wrong and what to do, in one line.
    pub text: String,
}

/// What a member asks the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Its name in the fleet.
    pub member: String,
    /// Which life of it: new at each start.
    pub life: u64,
    /// The latest form of policies that it can read.
    pub form: u64,
    /// Grows with each question of this life: answers to earlier ones count no more.
    pub round: u64,
    /// The version that it has.
    pub version: Option<Version>,
    /// What its right is worth, if it holds one.
    pub holds: Option<Mark>,
    /// What it made of a proposed change: its id, and the faults.
    pub checked: Option<(String, Vec<Fault>)>,
    /// For the operators: a line on why it does not admit, if so.
    pub why_not: Option<String>,
    /// For the operators: what its disk does, its role, its counts.
    pub note: String,
}

/// What the leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The round that this answers.
    pub round: u64,
    /// The right, if one is granted.
    pub grant: Option<Grant>,
    /// A change to be checked: its id and its text.
    pub check: Option<(String, String)>,
    /// Ask again after so many milliseconds at the latest.
    pub again: f64,
}

/// A right to admit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Under this version.
    pub version: Version,
    /// For so long from when it was asked for, in milliseconds of true time.
    pub length: f64,
    /// What it is worth.
    pub mark: Mark,
    /// By what part clocks may run apart.
    pub drift: f64,
    /// The policy, if the member does not have this version.
    pub text: Option<String>,
}

/// A fault planted on purpose, to see that the tests find it. Never set outside of tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Plant {
    /// None.
    #[default]
    None,
    /// The new version is granted as soon as it is proposed.
    EarlyActivation,
    /// A leader answers without having been confirmed.
    UnconfirmedLeader,
    /// A decider answers before its disk has what it answers for.
    VoteBeforeSync,
    /// A member that comes back admits under the version it had.
    NoCatchUp,
    /// Long rights are not waited for.
    NoWait,
    /// The look at the clock is taken from the loop's turn, not at the admission.
    StaleClock,
}
