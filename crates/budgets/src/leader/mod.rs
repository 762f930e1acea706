//! What the leading decider does: hears what each member holds and wants, and moves parts among them.
//!
//! A member's question names the last answer that it has taken in, so that the leader knows what it holds from a few bytes,
//! however many budgets there are. Where that does not tell it, as after a change of leaders, the member is asked to state
//! all that it holds.

use crate::allocation::{divide, Want};
use crate::ledger::Pool;
pub use crate::message::{Ask, Epoch, Holding, Reply, Standing};
use crate::spec::{Amount, Spec};
use crate::{parts, Parts, Plant, Times, Who, WHOLE};
use std::collections::{BTreeMap, BTreeSet};

const AGAIN: f64 = 40.0; // ms until a member whose part is on the move is to ask again
const DEAL: f64 = 120.0; // ms; a division is not made anew more often
const ROOM: f64 = 1.15; // of what a member wants: a little more comes before it has asked for it
const REMEMBERED: f64 = 10.0; // rights for which the fleet's list keeps a life that is not heard of; it keeps it for 12

#[derive(Clone, Debug, Default, PartialEq)]
struct Member {
    round: u64,
    at: f64,
    zone: String,
    drains: bool,
    /// The epoch in which it has stated all.
    epoch: Option<Epoch>,
    /// The questions whose answers it holds by, and was sent last.
    applied: u64,
    answered: u64,
}

#[derive(Clone, Debug, PartialEq)]
struct Division {
    spec: Spec,
    shares: Pool,
    /// Seats of what is set aside.
    floors: Pool,
    /// Whether lives that state what they hold say all that is out: not where the budget has changed its form.
    settles: bool,
    wants: BTreeMap<Who, f64>,
    targets: BTreeMap<Who, Parts>,
    dirty: bool,
    dealt: f64,
}

/// The leader's part; all of it is forgotten when another leads.
#[derive(Clone, Debug, PartialEq)]
pub struct Lead {
    seed: u64,
    terms: u64,
    since: Option<f64>,
    epoch: Epoch,
    times: Times,
    version: Option<u64>,
    members: BTreeMap<Who, Member>,
    divisions: BTreeMap<String, Division>,
    passed: f64,
    plant: Plant,
}

/// Whether two forms of a budget count alike, so that parts of one are parts of the other.
fn alike(a: &Spec, b: &Spec) -> bool {
    let kind = |s: &Spec| (s.of, matches!(s.amount, Amount::Rate { .. }), s.account.clone(), s.class.clone());
    let outlives = a.outlives() <= b.outlives();
    kind(a) == kind(b) && outlives && (a.floor_part(), a.seats) == (b.floor_part(), b.seats)
}

impl Lead {
    /// One that leads nothing yet. Its seed is unlike that of any other decider's life.
    pub fn new(seed: u64, times: Times, plant: Plant) -> Lead {
        Lead {
            seed,
            terms: 0,
            since: None,
            epoch: (seed, 0),
            times,
            version: None,
            members: BTreeMap::new(),
            divisions: BTreeMap::new(),
            passed: f64::NEG_INFINITY,
            plant,
        }
    }

    /// It leads from now on, or no more.
    pub fn role(&mut self, now: f64, leads: bool) {
        if leads != self.since.is_some() {
            let terms = self.terms + 1;
            let epoch = (self.seed ^ terms.wrapping_mul(0x9e37_79b9_7f4a_7c15), 0);
            let since = leads.then_some(now);
            *self = Lead { since, terms, epoch, ..Lead::new(self.seed, self.times, self.plant) };
        }
    }

    /// The figures of the fleet that it leads.
    pub fn timed(&mut self, times: Times) {
        self.times = times;
    }

    fn over(&self, spec: &Spec, length: f64) -> f64 {
        let outlives = if self.plant == Plant::DeadIsOver { 0.0 } else { spec.outlives() };
        self.times.surely_over(length) + outlives * (1.0 + self.times.drift)
    }

    /// The budgets of the version in force.
    fn define(&mut self, now: f64, version: u64, specs: &[Spec]) {
        if self.version == Some(version) {
            return;
        }
        // What is there when it begins to lead was given by leaders before that.
        let from = if self.version.is_none() { self.since.unwrap_or(now) } else { now };
        let mut before = std::mem::take(&mut self.divisions);
        let mut fresh = false;
        for spec in specs {
            let old = before.remove(&spec.name);
            let changed = old.as_ref().is_some_and(|old| !alike(&old.spec, spec));
            let division = match old.filter(|_| !changed) {
                Some(old) => Division { spec: spec.clone(), dirty: true, ..old },
                None => {
                    fresh = true;
                    let wait = |length| match self.plant {
                        Plant::NoWait => f64::NEG_INFINITY,
                        _ => from + self.over(spec, length),
                    };
                    // What was given under another form may be held as long as what was set aside.
                    let share =
                        if changed { self.times.share.max(self.times.floor) } else { self.times.share };
                    Division {
                        spec: spec.clone(),
                        shares: Pool::new(spec.shared(), wait(share)),
                        floors: Pool::new(spec.seats, wait(self.times.floor)),
                        settles: !changed && spec.outlives() < REMEMBERED * self.times.floor,
                        wants: BTreeMap::new(),
                        targets: BTreeMap::new(),
                        dirty: true,
                        dealt: f64::NEG_INFINITY,
                    }
                }
            };
            self.divisions.insert(spec.name.clone(), division);
        }
        if fresh && self.version.is_some() {
            self.epoch.1 += 1;
        }
        self.version = Some(version);
    }

    /// Time passes: what has surely ended is free.
    pub fn tick(&mut self, now: f64, version: u64, specs: &[Spec], lives: &BTreeMap<Who, u64>) {
        if self.since.is_none() || (now - self.passed < 20.0 && self.version == Some(version)) {
            return;
        }
        self.define(now, version, specs);
        self.pass(now, lives);
    }

    fn pass(&mut self, now: f64, lives: &BTreeMap<Who, u64>) {
        self.passed = now;
        let stated = |who: &Who| self.members.get(who).is_some_and(|m| m.epoch == Some(self.epoch));
        let all = lives.keys().all(stated);
        for division in self.divisions.values_mut() {
            let free = (division.shares.free(), division.floors.free());
            division.shares.pass(now, all && division.settles);
            division.floors.pass(now, all && division.settles);
            division.dirty |= free != (division.shares.free(), division.floors.free());
        }
        let (late, length) = (self.times.surely_over(self.times.floor) * REMEMBERED, self.times.share);
        self.members.retain(|who, m| lives.contains_key(who) || now - m.at < late);
        let fell_silent = self.members.values().any(|m| now - m.at >= length && now - m.at < length + 60.0);
        self.divisions.values_mut().for_each(|d| d.dirty |= fell_silent);
    }

    /// Answers a member. The lives and the budgets must be those agreed on after the question came.
    pub fn answer(
        &mut self,
        now: f64,
        version: u64,
        specs: &[Spec],
        lives: &BTreeMap<Who, u64>,
        ask: &Ask,
    ) -> Reply {
        self.define(now, version, specs);
        if self.since.is_none() || !lives.contains_key(&ask.who) {
            return Reply::default();
        }
        let epoch = self.epoch;
        let member = self.members.entry(ask.who.clone()).or_default();
        let silent = Reply { epoch, round: ask.round, ..Reply::default() };
        if ask.round <= member.round {
            // It came late or twice: its answer counts nothing for whoever asked, and tells nothing here.
            return silent;
        }
        (member.round, member.at, member.drains) = (ask.round, now, ask.drains);
        member.zone.clone_from(&ask.zone);
        enum Heard {
            All(BTreeMap<String, (Parts, bool)>),
            Taken,
            Missed,
        }
        let heard = match (&ask.full, ask.known) {
            // Who admits under another version counts by another form perhaps.
            _ if ask.version != version => return silent,
            (Some((of, list)), _) if *of == epoch => {
                Heard::All(list.iter().map(|(name, part, floor)| (name.clone(), (*part, *floor))).collect())
            }
            (None, Some((of, round))) if of == epoch && member.epoch == Some(epoch) => {
                // Where it was silent so long that what it held has ended, it holds nothing: it has to say so.
                if !self.divisions.values().all(|d| d.shares.knows(&ask.who)) {
                    member.epoch = None;
                    return silent;
                }
                if round == member.answered {
                    Heard::Taken
                } else if round == member.applied {
                    Heard::Missed
                } else {
                    return silent;
                }
            }
            _ => return silent,
        };
        match heard {
            Heard::All(_) => (member.epoch, member.applied) = (Some(epoch), 0),
            Heard::Taken => member.applied = member.answered,
            Heard::Missed => {}
        }
        member.answered = ask.round;
        let who = &ask.who;
        let wants: BTreeMap<&str, (f64, u64)> =
            ask.wants.iter().map(|(name, demand, used)| (name.as_str(), (*demand, *used))).collect();
        let whole = matches!(heard, Heard::All(_));
        let overs: Vec<(f64, f64)> = self
            .divisions
            .values()
            .map(|d| (self.over(&d.spec, self.times.share), self.over(&d.spec, self.times.floor)))
            .collect();
        for (division, (share, floor)) in self.divisions.values_mut().zip(overs) {
            let (share, floor) = (now + share, now + floor);
            match &heard {
                Heard::All(list) => {
                    let (part, seat) = list.get(&division.spec.name).copied().unwrap_or_default();
                    division.shares.state(who, part, share);
                    division.floors.state(who, u64::from(seat), floor);
                }
                Heard::Taken => {
                    division.shares.accept(who, share);
                    division.floors.accept(who, floor);
                }
                Heard::Missed => {
                    division.shares.keep(who, share);
                    division.floors.keep(who, floor);
                }
            }
            let want = wants.get(division.spec.name.as_str()).copied();
            if let Some((demand, used)) = want.or(whole.then_some((0.0, 0))) {
                let most = 4.0 * division.spec.units() as f64;
                let demand = if demand.is_finite() { demand.clamp(0.0, most) } else { 0.0 };
                division.dirty |= division.wants.insert(who.clone(), demand) != Some(demand);
                division.shares.uses(who, parts(used, division.spec.units()));
            }
            division.dirty |= whole;
        }
        self.pass(now, lives);
        self.deal(now, who);
        let mut reply = Reply { renewed: true, whole, times: Some(self.times), ..silent };
        reply.place = self.place(now, who);
        let drains = ask.drains;
        for (name, division) in &mut self.divisions {
            let target = if drains { 0 } else { division.targets.get(who).copied().unwrap_or(0) };
            let (before, seat) = (division.shares.given(who), division.floors.given(who));
            let given = division.shares.give(who, target);
            let sits = division.floors.give(who, u64::from(division.spec.floor > 0.0 && !drains));
            if self.plant == Plant::GivenTwice {
                division.shares.believe(who);
            }
            if whole || (given, sits) != (before, seat) {
                reply.list.push((name.clone(), given, sits > 0));
            }
            if given != target || given < before {
                reply.again = Some(AGAIN);
            }
        }
        reply
    }

    /// Makes divisions anew where something has changed.
    fn deal(&mut self, now: f64, asker: &Who) {
        let length = self.times.share;
        for division in self.divisions.values_mut() {
            let known = division.targets.contains_key(asker);
            if !division.dirty || (known && now - division.dealt < DEAL) {
                continue;
            }
            (division.dirty, division.dealt) = (false, now);
            let there: Vec<(&Who, &Member)> = self
                .members
                .iter()
                .filter(|(_, m)| m.epoch == Some(self.epoch) && !m.drains && now - m.at < length)
                .collect();
            let spec = &division.spec;
            let want = |(who, member): &(&Who, &Member)| {
                let demand = division.wants.get(*who).copied().unwrap_or(0.0);
                let demand = if demand > 0.0 { demand * ROOM + 0.5 } else { 0.0 };
                Want { demand, weight: spec.weight(&who.0, &member.zone) }
            };
            let wants: Vec<Want> = there.iter().map(want).collect();
            // In whole units, so that what a member gets is worth something.
            let all = spec.units();
            let shared = (u128::from(spec.shared()) * u128::from(all) / u128::from(WHOLE)) as u64;
            let units = divide(&wants, shared);
            division.targets =
                there.iter().zip(units).map(|((who, _), n)| ((*who).clone(), parts(n, all))).collect();
            let held: BTreeSet<&Who> = there.iter().map(|(who, _)| *who).collect();
            division.wants.retain(|who, _| held.contains(who) || self.members.contains_key(who));
        }
    }

    /// Which of the front ends that are there a member is, and how many these are.
    fn place(&self, now: f64, who: &Who) -> (u64, u64) {
        let there = |m: &Member| !m.drains && now - m.at < self.times.share;
        let all: Vec<&Who> = self.members.iter().filter(|(_, m)| there(m)).map(|(who, _)| who).collect();
        let before = all.iter().filter(|other| **other < who).count();
        (before as u64, all.len() as u64)
    }

    /// How all budgets stand.
    pub fn standings(&self) -> Vec<Standing> {
        let of = |d: &Division| {
            let part = |parts: Parts| parts as f64 / WHOLE as f64;
            let units = d.spec.units().max(1) as f64;
            let floor = |who: &Who| d.floors.most(who) * d.spec.floor_part();
            Standing {
                name: d.spec.name.clone(),
                told: d.spec.told(),
                unknown: part(d.shares.unknown()),
                parts: d
                    .shares
                    .held()
                    .map(|(who, given)| {
                        let wants = d.wants.get(who).copied().unwrap_or(0.0) / units;
                        (who.clone(), part(given + floor(who)), wants)
                    })
                    .collect(),
            }
        };
        self.divisions.values().map(of).collect()
    }
}
