//! The faults that a test can inject, and plans of faults that are derived from a seed.

use crate::relay::Way;
use beamgap_fakes::draw::Draw;
use std::fmt;

/// A fault, the end of a fault, or an operator's or client's action. A member is given by its index, counted from 0.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills a member with SIGKILL.
    Kill(usize),
    /// Restarts a killed member with the data folder that the member had before.
    Start(usize),
    /// Suspends a member's process with SIGSTOP.
    Stop(usize),
    /// Resumes a suspended member with SIGCONT.
    Wake(usize),
    /// Simulates a full disk: every write of a member to a file fails.
    Fill(usize),
    /// Ends the full disk of a member: its writes succeed again.
    Room(usize),
    /// Sets the state of all links of a member: first for bytes from the member, then for bytes to the member.
    Links(usize, Way, Way),
    /// Sets the state of the links between one voter and the other voters, in both directions.
    /// Links from members that are not voters are unaffected, so such members still reach every voter.
    Deciders(usize, Way),
    /// Restores all links of a member to normal operation.
    Mend(usize),
    /// Makes every fsync of a voter fail.
    Unsynced(usize),
    /// Ends the fsync failures of a voter.
    Synced(usize),
    /// Simulates a power failure: kills all members at the same moment.
    Outage,
    /// Restarts every member that does not run, with the data folder that the member had before.
    Power,
    /// Runs an operator's command that proposes the policy with this index in `world::POLICIES`.
    Propose(usize),
    /// Runs an operator's command that rolls the policy back to the previous version.
    Rollback,
    /// Kills the current Raft leader with SIGKILL; [`Fault::Power`] restarts that member.
    LeaderDies,
    /// Changes the load of a member's client; the second field is the interval between two requests in milliseconds.
    /// The third field selects the account: 0 alternates between both accounts, 1 is the first account, 2 the second.
    Demand(usize, u64, u64),
}

/// A fault with the time at which the plan injects it.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Time of the fault, in milliseconds from the start of the plan.
    pub at: u64,
    /// The fault to inject.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms {:?}", self.at, self.fault)
    }
}

/// Derives a plan of faults from a seed for a fleet of `members` members, of which the first three are voters.
/// `span` is the length of the plan in milliseconds. Unless it has a power failure, a plan ends every fault that it begins.
pub fn plan(seed: u64, members: usize, span: u64) -> Vec<Step> {
    let mut draw = Draw::new(seed);
    let mut steps = Vec::new();
    let changes = 2 + draw.below(3);
    for i in 0..changes {
        let at = 200 + draw.below(span - 1500);
        let fault = if i > 0 && draw.below(4) == 0 {
            Fault::Rollback
        } else {
            Fault::Propose(draw.below(5) as usize)
        };
        steps.push(Step { at, fault });
    }
    // Each member has at most one fault at a time; several members may have faults at the same time.
    for _ in 0..2 + draw.below(5) {
        let member = draw.below(members as u64) as usize;
        let at = draw.below(span - 1200);
        let end = (at + 150 + draw.waits(1200.0) as u64).min(span);
        if steps.iter().any(|s| affects(&s.fault, member) && s.at + 1500 > at && s.at < end) {
            continue;
        }
        let (begin, over) = match draw.below(10) {
            9 if member < 3 => (Fault::Unsynced(member), Fault::Synced(member)),
            0 | 1 => (Fault::Kill(member), Fault::Start(member)),
            2 | 3 => (Fault::Stop(member), Fault::Wake(member)),
            4 if member < 3 => (Fault::Fill(member), Fault::Room(member)),
            4 => (Fault::Stop(member), Fault::Wake(member)),
            5 => (Fault::Links(member, Way::Silent, Way::Silent), Fault::Mend(member)),
            6 => (Fault::Links(member, Way::Silent, Way::Open), Fault::Mend(member)),
            7 => (Fault::Links(member, Way::Open, Way::Silent), Fault::Mend(member)),
            _ => {
                let way = [Way::Reset, Way::Half, Way::Slow(40)][draw.below(3) as usize];
                (Fault::Links(member, way, Way::Open), Fault::Mend(member))
            }
        };
        steps.push(Step { at, fault: begin });
        steps.push(Step { at: end, fault: over });
    }
    match draw.below(5) {
        // Isolates one voter, possibly the leader, from the other voters for longer than an admission lease lasts.
        // Members that are not voters still reach the isolated voter, and an operator proposes a policy change meanwhile.
        0 => {
            let member = draw.below(3) as usize;
            let at = 200 + draw.below(400);
            steps.retain(|step| !affects(&step.fault, member));
            steps.push(Step { at, fault: Fault::Deciders(member, Way::Silent) });
            steps
                .push(Step { at: at + 600 + draw.below(600), fault: Fault::Propose(draw.below(5) as usize) });
            steps.push(Step { at: span, fault: Fault::Mend(member) });
        }
        // A power failure of all members: writes that were not synced are lost.
        1 => {
            let at = 1000 + draw.below(span - 2000);
            steps.retain(|s| !matches!(s.fault, Fault::Start(_)) && (s.at < at || is_change(&s.fault)));
            steps.push(Step { at, fault: Fault::Outage });
            steps.push(Step { at: at + 100, fault: Fault::Power });
        }
        _ => {}
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Derives the same plan as [`plan`] and adds changes of the clients' load.
/// The changes make the demand for budgets move between members.
pub fn plan_shared(seed: u64, members: usize, span: u64) -> Vec<Step> {
    let mut steps = plan(seed, members, span);
    let mut draw = Draw::new(seed ^ 0x5eed_5eed);
    for turn in 0..span / 500 {
        let member = draw.below(members as u64) as usize;
        let every = [2, 2, 8, 200][draw.below(4) as usize];
        steps.push(Step { at: turn * 500 + 100, fault: Fault::Demand(member, every, draw.below(3)) });
    }
    // Kills the leader shortly after a change of load, so that shares of a budget move during the leader change.
    for at in [1250, 3250] {
        if draw.below(2) == 0 {
            steps.push(Step { at, fault: Fault::LeaderDies });
            steps.push(Step { at: at + 800, fault: Fault::Power });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Whether the fault is an operator's policy change.
fn is_change(fault: &Fault) -> bool {
    matches!(fault, Fault::Propose(_) | Fault::Rollback)
}

/// Whether the fault begins or ends a fault of this one member.
fn affects(fault: &Fault, member: usize) -> bool {
    match fault {
        Fault::Kill(m) | Fault::Start(m) | Fault::Stop(m) | Fault::Wake(m) => *m == member,
        Fault::Fill(m) | Fault::Room(m) | Fault::Links(m, ..) | Fault::Mend(m) => *m == member,
        Fault::Deciders(m, _) | Fault::Unsynced(m) | Fault::Synced(m) => *m == member,
        Fault::Propose(_)
        | Fault::Rollback
        | Fault::Outage
        | Fault::Power
        | Fault::LeaderDies
        | Fault::Demand(..) => false,
    }
}
