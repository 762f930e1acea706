//! What the leading decider does. All of it is of the moment: a new leader begins with nothing, and safety stands on
//! the log and on the members' own clocks alone.

use super::state::{Command, State};
use super::{Ask, Fault, Grant, Mark, Plant, Reply, Times};
use std::collections::{BTreeMap, BTreeSet};

const BUSY_AGAIN: f64 = 30.0; // ms; between a member's questions while a change is under way
const JOIN_AGAIN: f64 = 20.0; // ms; until its joining is agreed on
const FORGET: f64 = 12.0; // rights; a life not heard of for so long has left

/// A member as the leader last heard of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    /// When.
    pub at: f64,
    /// The version that it has.
    pub version: Option<super::Version>,
    /// What its right was worth when it asked.
    pub holds: Option<Mark>,
    /// Why it admits nothing, if so.
    pub why_not: Option<String>,
    /// Its note for operators.
    pub note: String,
}

/// The leader's part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lead {
    since: Option<f64>,
    /// The change under way, when it was first seen here, and when its decision was.
    change: Option<(String, f64, Option<f64>)>,
    /// What members made of it.
    checked: BTreeMap<(String, u64), Vec<Fault>>,
    /// Who holds a short right for sure, and so no long one.
    short: BTreeSet<(String, u64)>,
    heard: BTreeMap<(String, u64), Heard>,
    /// Commands handed out and not yet seen in the state: not to be handed out again at once.
    joining: BTreeMap<(String, u64), f64>,
    /// Lives whose leaving was asked for: granted nothing more, since it may be agreed on at any moment.
    leaving: BTreeMap<(String, u64), f64>,
    asked: f64,
    plant: Plant,
}

impl Lead {
    /// One that leads nothing, with a fault planted for tests.
    pub fn planted(plant: Plant) -> Lead {
        Lead { plant, ..Lead::default() }
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.since.is_some()
    }

    /// It leads from now on, or no more.
    pub fn role(&mut self, now: f64, leads: bool) {
        if leads != self.leads() {
            *self = Lead { since: leads.then_some(now), plant: self.plant, ..Lead::default() };
        }
    }

    /// Members as last heard of.
    pub fn heard(&self) -> &BTreeMap<(String, u64), Heard> {
        &self.heard
    }

    /// Answers a member. The state must be one that was agreed on after the question came.
    pub fn answer(&mut self, now: f64, state: &State, ask: &Ask) -> (Reply, Vec<Command>) {
        self.follow(now, state);
        let who = (ask.member.clone(), ask.life);
        let round = ask.round;
        // Also one that is not a member yet: it must not be taken for lost between its joining and its next question.
        let heard = Heard {
            at: now,
            version: ask.version,
            holds: ask.holds.clone(),
            why_not: ask.why_not.clone(),
            note: ask.note.clone(),
        };
        if super::state::good_name(&ask.member) && self.heard.len() < 2 * super::state::MEMBERS_MOST {
            self.heard.insert(who.clone(), heard);
        }
        let (Some(times), Some(_)) = (state.times, state.members.get(&who)) else {
            let reply = Reply { round, grant: None, check: None, again: JOIN_AGAIN };
            let waiting = self.joining.get(&who).is_some_and(|at| now - at < 500.0);
            if waiting || !super::state::good_name(&ask.member) || state.times.is_none() {
                return (reply, Vec::new());
            }
            self.joining.insert(who, now);
            let join = Command::Join { member: ask.member.clone(), life: ask.life, form: ask.form };
            return (reply, vec![join]);
        };
        self.joining.remove(&who);
        if self.leaving.contains_key(&who) {
            return (Reply { round, grant: None, check: None, again: JOIN_AGAIN }, Vec::new());
        }
        let pending = state.pending.as_ref();
        if let Some(p) = pending {
            if let Some((_, faults)) = ask.checked.as_ref().filter(|(id, _)| *id == p.id) {
                self.checked.insert(who.clone(), faults.clone());
            }
            // It took a short right, which replaced the long one, before it asked this.
            if ask.holds.as_ref().is_some_and(|mark| *mark == Mark::Short(p.id.clone())) {
                self.short.insert(who.clone());
            }
        }
        let check = pending.filter(|p| !p.decided && !self.checked.contains_key(&who));
        let check = check.map(|p| (p.id.clone(), p.text.clone()));
        let decided = pending.filter(|p| p.decided);
        let mark = decided.map_or(Mark::Long, |p| Mark::Short(p.id.clone()));
        let mut version = state.version();
        let mut text = state.text();
        let mut length = if decided.is_some() { times.short() } else { times.right };
        match (self.plant, pending) {
            (Plant::EarlyActivation, Some(p)) => (version, text) = (version + 1, p.text.as_str()),
            (Plant::NoWait, Some(_)) => length = times.right,
            _ => {}
        }
        let grant = Grant {
            version,
            length,
            mark,
            drift: times.drift,
            text: (ask.version != Some(version)).then(|| text.to_owned()),
        };
        // Who takes up another version is to say so soon: that is what the operator's command waits for.
        let busy = pending.is_some() || ask.version != Some(version);
        let again = if busy { BUSY_AGAIN } else { times.right / 6.0 };
        (Reply { round, grant: Some(grant), check, again }, self.step(now, state))
    }

    /// Time passes: what is to be agreed on next.
    pub fn tick(&mut self, now: f64, state: &State) -> Vec<Command> {
        self.follow(now, state);
        self.step(now, state)
    }

    fn follow(&mut self, now: f64, state: &State) {
        self.leaving.retain(|who, _| state.members.contains_key(who));
        // Lives that asked and never joined are forgotten, so that strangers leave no trace.
        let right = state.times.map_or(0.0, |times| times.right);
        self.heard.retain(|who, heard| state.members.contains_key(who) || now - heard.at <= right);
        match (&state.pending, &mut self.change) {
            (None, _) => {
                if self.change.take().is_some() {
                    self.asked = 0.0;
                }
                self.checked.clear();
                self.short.clear();
            }
            (Some(p), Some((id, _, decided))) if *id == p.id => {
                if p.decided && decided.is_none() {
                    (*decided, self.asked) = (Some(now), 0.0);
                }
            }
            (Some(p), _) => {
                self.change = Some((p.id.clone(), now, p.decided.then_some(now)));
                self.checked.clear();
                self.short.clear();
                self.asked = 0.0;
            }
        }
    }

    fn step(&mut self, now: f64, state: &State) -> Vec<Command> {
        let (Some(since), Some(times)) = (self.since, state.times) else { return Vec::new() };
        let mut commands = Vec::new();
        // A life that was not heard of for many times a right holds none, whoever granted it.
        let gone = FORGET * times.surely_over(times.right);
        if now - since > gone && state.pending.is_none() {
            let lost = |who: &&(String, u64)| self.heard.get(*who).is_none_or(|heard| now - heard.at > gone);
            let lost: Vec<_> = state.members.keys().filter(lost).cloned().collect();
            for (member, life) in lost {
                let who = (member.clone(), life);
                if self.leaving.get(&who).is_none_or(|at| now - at > 500.0) {
                    self.leaving.insert(who, now);
                    commands.push(Command::Leave { member, life });
                }
            }
        }
        // What was asked for may have been lost with a leader's hold: again, but not each time.
        if now - self.asked < 200.0 && self.asked > 0.0 {
            return commands;
        }
        let next = self.next(now, state, times);
        if next.is_some() {
            self.asked = now.max(f64::MIN_POSITIVE);
        }
        commands.extend(next);
        commands
    }

    fn next(&self, now: f64, state: &State, times: Times) -> Option<Command> {
        let (id, seen, decided) = self.change.as_ref()?;
        let id = id.clone();
        match decided {
            None => {
                let faults: Vec<Fault> = self.checked.values().flatten().cloned().collect();
                if !faults.is_empty() {
                    return Some(Command::TurnDown { id, faults });
                }
                let all = state.members.keys().all(|who| self.checked.contains_key(who));
                // Who is down is no veto; one at least must have looked at it.
                let enough = all || now - seen >= times.check;
                (enough && !self.checked.is_empty()).then_some(Command::Decide { id })
            }
            Some(at) => {
                let all = state.members.keys().all(|who| self.short.contains(who));
                let over = now - at >= times.surely_over(times.right);
                (all || over || self.plant == Plant::NoWait).then_some(Command::Activate { id })
            }
        }
    }
}
