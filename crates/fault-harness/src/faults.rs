//! Faults: drawn from a seed, or written down, one a line.

use crate::relay::Way;
use beamgap_fakes::draw::Draw;
use std::fmt;

/// Something that is done to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A member is killed outright.
    Kill(usize),
    /// A member that was killed starts again, with its disk.
    Start(usize),
    /// A member stands still.
    Stop(usize),
    /// And wakes.
    Wake(usize),
    /// A member's disk is full.
    Fill(usize),
    /// There is room again.
    Room(usize),
    /// All links from a member to others, and from others to it.
    Links(usize, Way, Way),
    /// The links between a decider and the other deciders, both ways; those that only ask still reach all.
    Deciders(usize, Way),
    /// All links as they should be.
    Mend(usize),
    /// Each fsync of a decider fails.
    Unsynced(usize),
    /// It works again.
    Synced(usize),
    /// All members are killed at the same moment.
    Outage,
    /// All that do not run start again, with their disks.
    Power,
    /// An operator proposes the policy of this number.
    Propose(usize),
    /// An operator goes back.
    Rollback,
    /// Whoever leads is killed outright; [`Fault::Power`] starts it again.
    LeaderDies,
    /// A member's client asks so often from now on, in milliseconds between two requests, for one account or both (0).
    Demand(usize, u64, u64),
}

/// A fault and when it comes, in milliseconds from the start of traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: u64,
    /// What.
    pub fault: Fault,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms {:?}", self.at, self.fault)
    }
}

/// Draws a plan for so many members, of which the first three decide, over so many milliseconds. Each fault is taken
/// back by its end.
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
    // One trouble at a time for each member; several members may be in trouble at once.
    for _ in 0..2 + draw.below(5) {
        let who = draw.below(members as u64) as usize;
        let at = draw.below(span - 1200);
        let end = (at + 150 + draw.waits(1200.0) as u64).min(span);
        if steps.iter().any(|s| touches(&s.fault, who) && s.at + 1500 > at && s.at < end) {
            continue;
        }
        let (begin, over) = match draw.below(10) {
            9 if who < 3 => (Fault::Unsynced(who), Fault::Synced(who)),
            0 | 1 => (Fault::Kill(who), Fault::Start(who)),
            2 | 3 => (Fault::Stop(who), Fault::Wake(who)),
            4 if who < 3 => (Fault::Fill(who), Fault::Room(who)),
            4 => (Fault::Stop(who), Fault::Wake(who)),
            5 => (Fault::Links(who, Way::Silent, Way::Silent), Fault::Mend(who)),
            6 => (Fault::Links(who, Way::Silent, Way::Open), Fault::Mend(who)),
            7 => (Fault::Links(who, Way::Open, Way::Silent), Fault::Mend(who)),
            _ => {
                let way = [Way::Reset, Way::Half, Way::Slow(40)][draw.below(3) as usize];
                (Fault::Links(who, way, Way::Open), Fault::Mend(who))
            }
        };
        steps.push(Step { at, fault: begin });
        steps.push(Step { at: end, fault: over });
    }
    match draw.below(5) {
        // A leader that its followers still reach, for longer than a right lasts, with a change beside it.
        0 => {
            let who = draw.below(3) as usize;
            let at = 200 + draw.below(400);
            steps.retain(|step| !touches(&step.fault, who));
            steps.push(Step { at, fault: Fault::Deciders(who, Way::Silent) });
            steps
                .push(Step { at: at + 600 + draw.below(600), fault: Fault::Propose(draw.below(5) as usize) });
            steps.push(Step { at: span, fault: Fault::Mend(who) });
        }
        // The power fails in the house, and what was not synced is gone.
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

/// A plan as [`plan`] draws it, in which demand moves between members.
pub fn plan_shared(seed: u64, members: usize, span: u64) -> Vec<Step> {
    let mut steps = plan(seed, members, span);
    let mut draw = Draw::new(seed ^ 0x5eed_5eed);
    for turn in 0..span / 500 {
        let who = draw.below(members as u64) as usize;
        let every = [2, 2, 8, 200][draw.below(4) as usize];
        steps.push(Step { at: turn * 500 + 100, fault: Fault::Demand(who, every, draw.below(3)) });
    }
    // Parts move just as their leader dies.
    for at in [1250, 3250] {
        if draw.below(2) == 0 {
            steps.push(Step { at, fault: Fault::LeaderDies });
            steps.push(Step { at: at + 800, fault: Fault::Power });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

fn is_change(fault: &Fault) -> bool {
    matches!(fault, Fault::Propose(_) | Fault::Rollback)
}

fn touches(fault: &Fault, who: usize) -> bool {
    match fault {
        Fault::Kill(m) | Fault::Start(m) | Fault::Stop(m) | Fault::Wake(m) => *m == who,
        Fault::Fill(m) | Fault::Room(m) | Fault::Links(m, ..) | Fault::Mend(m) => *m == who,
        Fault::Deciders(m, _) | Fault::Unsynced(m) | Fault::Synced(m) => *m == who,
        Fault::Propose(_)
        | Fault::Rollback
        | Fault::Outage
        | Fault::Power
        | Fault::LeaderDies
        | Fault::Demand(..) => false,
    }
}
