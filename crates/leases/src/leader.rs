//! What the leading decider does: renews leases by groups, ends what was not renewed, grants, and starts runs.
//!
//! Who gets a lease: of the members heard of lately that fit and do not drain, those that have been there for [`CALM`] go
//! first, then who holds the fewest, then by lot of task and member. Leases move only when they end.

use crate::spec::When;
use crate::state::{Command, Run, State, Task};
use crate::{Clocks, Plant, Token, Who};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member that has been heard of for less than this gets a lease only where no other fits, in milliseconds.
pub const CALM: f64 = 5000.0;
const LATELY: f64 = 1700.0; // ms; two questions that did not come
const GATHER: f64 = 1000.0; // ms in which a new leader hears of all members, before it grants
const UNTOLD: f64 = 1000.0; // ms; a lease of which nobody was told may end at any time
const AGAIN: f64 = 300.0; // ms; what was asked to be agreed on may have been lost
const HELD_MOST: usize = 1024; // leases told in one answer

/// What a member tells with each question to the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Its name, and which life of it.
    pub who: Who,
    /// Its zone.
    pub zone: String,
    /// Whether it is about to end: it takes nothing more.
    pub drains: bool,
    /// The state's count of changes that its list is of.
    pub known: Option<u64>,
}

/// A lease as its holder is told of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The task.
    pub task: String,
    /// The lease's token.
    pub token: Token,
    /// Its length, in milliseconds.
    pub length: f64,
    /// Longest time of a step.
    pub step: f64,
    /// Goes first if higher.
    pub priority: u8,
    /// What is to be done.
    pub work: String,
    /// Whether it is still wanted: if not, it is given up.
    pub wanted: bool,
    /// Whether the target refuses older tokens.
    pub fenced: bool,
    /// The run under way.
    pub run: Option<Run>,
    /// Pause before the next step, in milliseconds, after one that never ran.
    pub pause: f64,
}

/// What it is answered: all leases that it holds are renewed at once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The state's count of changes.
    pub known: u64,
    /// The bounds on clocks.
    pub clocks: Clocks,
    /// The leases that it holds; none told if it knows them as they are.
    pub list: Option<Vec<Told>>,
    /// Those of them that are renewed no more, by token.
    pub ending: Vec<Token>,
}

#[derive(Clone, Debug, PartialEq)]
struct Heard {
    since: f64,
    at: f64,
    zone: String,
    drains: bool,
}

/// The leader's part; all of it is forgotten when another leads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lead {
    since: Option<f64>,
    heard: BTreeMap<Who, Heard>,
    /// When each lease was last renewed, or first seen; and whether its holder may know of it.
    renewed: BTreeMap<Token, (f64, bool)>,
    /// Whether a majority has confirmed it: from then on all that leaders before it had agreed on is applied.
    confirmed: bool,
    /// Leases whose end was asked for, and when: renewed no more, since it may be agreed on at any moment.
    ending: BTreeMap<Token, f64>,
    /// What was last asked for a task, as it stood then: its lease and its runs; and when.
    asked: BTreeMap<String, (Option<Token>, u64, f64)>,
    /// When runs began, as far as this leader knows.
    began: BTreeMap<String, f64>,
    clocks: Clocks,
    plant: Plant,
}

fn lot(task: &str, who: &Who) -> u64 {
    let bytes = task.bytes().chain([0]).chain(who.0.bytes());
    let hash =
        bytes.fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

impl Lead {
    /// One that leads nothing yet.
    pub fn new(clocks: Clocks, plant: Plant) -> Lead {
        Lead { clocks, plant, ..Lead::default() }
    }

    /// It leads from now on, or no more.
    pub fn role(&mut self, now: f64, leads: bool) {
        if leads != self.since.is_some() {
            *self = Lead { since: leads.then_some(now), ..Lead::new(self.clocks, self.plant) };
        }
    }

    /// How long since a lease was renewed, in milliseconds.
    pub fn renewed_ago(&self, now: f64, token: Token) -> Option<f64> {
        self.renewed.get(&token).map(|(at, _)| now - at)
    }

    /// A lease is renewed no more: it ends, and the task moves.
    pub fn release(&mut self, now: f64, token: Token) {
        self.ending.insert(token, now);
    }

    /// Answers a member, after a majority has confirmed this leader. All leases that it holds are renewed.
    pub fn answer(&mut self, now: f64, state: &State, ask: &Ask) -> Reply {
        self.see(now, state);
        self.confirmed = true;
        let fresh = Heard { since: now, at: now, zone: ask.zone.clone(), drains: ask.drains };
        let heard = self.heard.entry(ask.who.clone()).or_insert(fresh);
        (heard.at, heard.drains) = (now, ask.drains);
        heard.zone.clone_from(&ask.zone);
        let own = |t: &&Task| t.lease.as_ref().is_some_and(|lease| lease.who == ask.who);
        let mut list = Vec::new();
        let mut ending = Vec::new();
        for task in state.tasks.values().filter(own).take(HELD_MOST) {
            let Some(lease) = &task.lease else { continue };
            if self.ending.contains_key(&lease.token) {
                ending.push(lease.token);
                continue;
            }
            self.renewed.insert(lease.token, (now, true));
            let tried = task.run.as_ref().map_or(0, |run| run.tried);
            let pause =
                if tried > 0 { task.spec.backoff * f64::from(1u32 << (tried - 1).min(10)) } else { 0.0 };
            list.push(Told {
                task: task.spec.name.clone(),
                token: lease.token,
                length: task.spec.lease,
                step: task.spec.step,
                priority: task.spec.priority,
                work: task.spec.work.clone(),
                wanted: task.wanted(),
                fenced: task.spec.fenced,
                run: task.run.clone(),
                pause,
            });
        }
        let list = (ask.known != Some(state.changes)).then_some(list);
        Reply { known: state.changes, clocks: self.clocks, list, ending }
    }

    /// Time passes: what is to be agreed on. `minute` is that of the wall clock since 1970, where it is known; it says when
    /// daily runs are due and nothing else.
    pub fn tick(&mut self, now: f64, minute: Option<u64>, state: &State) -> Vec<Command> {
        let Some(since) = self.since else { return Vec::new() };
        self.see(now, state);
        let out =
            |token: &Token| state.tasks.values().any(|t| t.lease.as_ref().is_some_and(|l| l.token == *token));
        self.renewed.retain(|token, _| out(token));
        self.ending.retain(|token, _| out(token));
        self.heard.retain(|_, heard| now - heard.at < 60_000.0);
        self.asked.retain(|task, _| state.tasks.contains_key(task));
        self.began.retain(|task, _| state.tasks.contains_key(task));
        let mut held: BTreeMap<Who, usize> = BTreeMap::new();
        for task in state.tasks.values() {
            if let Some(lease) = &task.lease {
                *held.entry(lease.who.clone()).or_default() += 1;
            }
        }
        let mut commands = Vec::new();
        for task in state.tasks.values() {
            let stands = (task.lease.as_ref().map(|lease| lease.token), task.runs);
            let asked = self.asked.get(&task.spec.name);
            if asked.is_some_and(|(lease, runs, at)| (*lease, *runs) == stands && now - at < AGAIN) {
                continue;
            }
            let next = match &task.lease {
                Some(lease) => self.over(now, task, lease.token),
                None if task.wanted() && now - since >= GATHER => self.grant(now, task, &mut held),
                None if task.wanted() => None,
                None => self.start(now, minute, task),
            };
            if next.is_some() {
                self.asked.insert(task.spec.name.clone(), (stands.0, stands.1, now));
            }
            commands.extend(next);
        }
        commands
    }

    /// Takes leases in that it sees for the first time. What a leader before this one may have renewed, it renewed before this
    /// one led; what is granted under this one, nobody knows before it is told here.
    fn see(&mut self, now: f64, state: &State) {
        let known = !self.confirmed;
        for lease in state.tasks.values().filter_map(|task| task.lease.as_ref()) {
            let from = if known && self.plant == Plant::NoWait { f64::NEG_INFINITY } else { now };
            self.renewed.entry(lease.token).or_insert((from, known));
        }
    }

    /// Ends a lease that surely is over by its holder's clock.
    fn over(&mut self, now: f64, task: &Task, token: Token) -> Option<Command> {
        let length = task.spec.lease;
        let bare = self.plant == Plant::NoMargin;
        let (from, told) = self.renewed.get(&token).copied()?;
        let wait = match told {
            true if bare => length,
            true => self.clocks.surely_over(length),
            false => UNTOLD,
        };
        if now - from <= wait {
            return None;
        }
        self.ending.insert(token, now);
        Some(Command::End { task: task.spec.name.clone(), token })
    }

    fn grant(&mut self, now: f64, task: &Task, held: &mut BTreeMap<Who, usize>) -> Option<Command> {
        let name = &task.spec.name;
        let fits = |(who, heard): &(&Who, &Heard)| {
            now - heard.at < LATELY && !heard.drains && task.spec.fits(&who.0, &heard.zone)
        };
        let rank = |(who, heard): &(&Who, &Heard)| {
            let restless = now - heard.since < CALM;
            (restless, held.get(*who).copied().unwrap_or(0), lot(name, who))
        };
        let who = self.heard.iter().filter(fits).min_by_key(rank)?.0.clone();
        *held.entry(who.clone()).or_default() += 1;
        Some(Command::Grant { task: name.clone(), who })
    }

    /// A run that is due. A leader that is new to a task's last run counts from its own beginning.
    fn start(&mut self, now: f64, minute: Option<u64>, task: &Task) -> Option<Command> {
        if task.run.is_some() || task.paused || task.forbidden || task.gone {
            return None;
        }
        let began = *self.began.entry(task.spec.name.clone()).or_insert(now);
        let mut day = 0;
        let due = match &task.spec.when {
            When::Every(ms) => now - began >= *ms,
            When::At { minute: at, window } => {
                let past = minute.and_then(|minute| minute.checked_sub(u64::from(*at)));
                day = past.map_or(0, |past| past / 1440);
                past.is_some_and(|past| past % 1440 < u64::from(*window)) && day > task.day
            }
            When::Always | When::Asked => false,
        };
        if !due {
            return None;
        }
        self.began.insert(task.spec.name.clone(), now);
        Some(Command::Start { task: task.spec.name.clone(), run: task.runs + 1, day })
    }
}
