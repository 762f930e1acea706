//! What each member does: it holds leases, renews them all with one question, and hands out a [`Pass`] for each act.
//!
//! All times are of the member's own monotonic clock that counts suspension, in milliseconds.

use crate::leader::{Ask, Reply, Told};
use crate::state::{Command, Outcome, Run};
use crate::{Plant, Token, Who};
use std::collections::BTreeMap;
use std::fmt;

/// Why there is no pass.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum No {
    /// This member does not hold the task.
    NotHeld,
    /// The lease has ended, or too little is left of it.
    RanOut,
    /// It is no longer wanted: paused, forbidden, or over.
    NotWanted,
    /// The step does not stand in the record yet, or is over.
    NotBegun,
}

impl fmt::Display for No {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            No::NotHeld => "is not held here",
            No::RanOut => "has too little left of its lease",
            No::NotWanted => "is paused, forbidden or over",
            No::NotBegun => "has no step begun in the record",
        })
    }
}

/// Leave to act once. It comes from a live lease only, can't be copied, and is used up by the act or by what is told of it.
///
/// ```compile_fail
/// fn twice(pass: beamgap_leases::member::Pass) {
///     let again = pass.clone(); // one leave, one act
/// }
/// ```
///
/// ```compile_fail
/// let pass = beamgap_leases::member::Pass { task: String::new(), token: 1, step: None, until: 1e9 }; // only from a lease
/// ```
///
/// ```compile_fail
/// fn act(holder: &beamgap_leases::member::Holder, pass: beamgap_leases::member::Pass) {
///     let acted = pass.act(0.0).unwrap();
///     let late = pass.act(0.0); // it is used up
/// }
/// ```
#[derive(Debug, PartialEq)]
#[must_use = "a pass that is dropped leaves its step open"]
pub struct Pass {
    task: String,
    token: Token,
    step: Option<u32>,
    until: f64,
}

impl Pass {
    /// The task.
    pub fn task(&self) -> &str {
        &self.task
    }

    /// The step, where the task has steps.
    pub fn step(&self) -> Option<u32> {
        self.step
    }

    /// The look just before the act: the token to act with, or that it is too late. Whoever acts calls this with a fresh
    /// reading of the clock, and hands the token to what is acted on.
    pub fn act(self, now: f64) -> Result<Acted, Missed> {
        if now < self.until {
            Ok(Acted { task: self.task, token: self.token, step: self.step })
        } else {
            Err(Missed(Acted { task: self.task, token: self.token, step: self.step }))
        }
    }
}

/// An act that was allowed, and whose outcome is owed to the record.
#[derive(Debug, PartialEq)]
#[must_use = "its outcome is owed to the record"]
pub struct Acted {
    task: String,
    token: Token,
    step: Option<u32>,
}

impl Acted {
    /// The token to act with.
    pub fn token(&self) -> Token {
        self.token
    }

    /// What is to be agreed on of its outcome.
    pub fn over(self, outcome: Outcome) -> Option<Command> {
        let (task, token) = (self.task, self.token);
        self.step.map(|step| Command::Record { task, token, step, outcome })
    }
}

/// An act that came too late and was not done.
#[derive(Debug, PartialEq)]
pub struct Missed(Acted);

impl Missed {
    /// What is to be agreed on: it never ran.
    pub fn over(self) -> Option<Command> {
        self.0.over(Outcome::NeverRan("too little was left of the lease".to_owned()))
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Held {
    told: Told,
    until: f64,
    /// It was given up: whoever holds it next may act as soon as that is agreed on, so nothing is done under it any more.
    given_up: bool,
    /// The step that a pass was given for, so that there is one for each begun step.
    passed: Option<u32>,
    /// What was asked to be agreed on, and when.
    asked: Option<f64>,
    /// A step that never ran is not begun again before.
    rest: Option<(u32, f64)>,
}

/// A member's part.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    who: Who,
    zone: String,
    drains: bool,
    known: Option<u64>,
    held: BTreeMap<String, Held>,
    /// Outcomes that are owed to the record, and when they were last sent.
    owed: Vec<(Command, f64)>,
    plant: Plant,
}

/// Whether the step stands begun in the record, and no pass was given for it.
fn may_act(plant: Plant, held: &Held, run: &Run) -> bool {
    let begun = run.open == Some(held.told.token) || (plant == Plant::ActFirst && run.open.is_none());
    begun && held.passed != Some(run.next)
}

const AGAIN: f64 = 300.0; // ms; a command may have been lost

impl Holder {
    /// A member that has just started: it holds nothing.
    pub fn new(who: Who, zone: &str, plant: Plant) -> Holder {
        Holder {
            who,
            zone: zone.to_owned(),
            drains: false,
            known: None,
            held: BTreeMap::new(),
            owed: Vec::new(),
            plant,
        }
    }

    /// It is about to end: it gives up what it holds.
    pub fn drain(&mut self) {
        self.drains = true;
    }

    /// What it asks the leader with each of its questions.
    pub fn ask(&self) -> Ask {
        Ask { who: self.who.clone(), zone: self.zone.clone(), drains: self.drains, known: self.known }
    }

    /// The answer to a question that was asked at `asked`.
    pub fn reply(&mut self, asked: f64, reply: Reply) {
        let clocks = reply.clocks;
        if self.known.is_some_and(|known| known > reply.known) {
            return; // An answer to an older question.
        }
        if let Some(list) = reply.list {
            let mut before = std::mem::take(&mut self.held);
            for told in list {
                let old = before.remove(&told.task).filter(|held| held.told.token == told.token);
                // Something has changed since it was asked for: it may be asked for anew.
                let held = match old {
                    Some(old) => Held { told, asked: None, ..old },
                    None => {
                        let until = f64::NEG_INFINITY;
                        Held { told, until, given_up: false, passed: None, asked: None, rest: None }
                    }
                };
                self.held.insert(held.told.task.clone(), held);
            }
            self.known = Some(reply.known);
        } else if self.known != Some(reply.known) {
            return; // It is not of the list that is known here.
        }
        for held in self.held.values_mut() {
            if held.given_up || reply.ending.contains(&held.told.token) {
                continue;
            }
            let length = held.told.length;
            let good = if self.plant == Plant::NoMargin { length } else { clocks.held(length) };
            held.until = held.until.max(asked + good);
        }
    }

    /// Leases that it holds at this time: task, token, and what is left.
    pub fn holds(&self, now: f64) -> impl Iterator<Item = (&Told, f64)> + '_ {
        self.held
            .values()
            .filter(move |held| now < held.until)
            .map(move |held| (&held.told, held.until - now))
    }

    /// An outcome that is owed to the record: it is asked for until it stands there, or the lease is lost.
    pub fn owe(&mut self, outcome: Option<Command>) {
        self.owed.extend(outcome.map(|command| (command, f64::NEG_INFINITY)));
    }

    /// What is to be agreed on next: an outcome, to begin a step, or to give a lease up. `busy` holds new steps back.
    pub fn wants(&mut self, now: f64, busy: bool) -> Vec<Command> {
        let mut commands = Vec::new();
        let held = &self.held;
        self.owed.retain_mut(|(command, at)| {
            let Command::Record { task, token, step, .. } = command else { return false };
            let run = held.get(task).and_then(|held| held.told.run.as_ref());
            let owed = run.is_some_and(|run| run.open == Some(*token) && run.next == *step);
            if owed && now - *at >= AGAIN {
                *at = now;
                commands.push(command.clone());
            }
            owed
        });
        let mut by_rank: Vec<&mut Held> = self.held.values_mut().collect();
        by_rank.sort_by_key(|held| std::cmp::Reverse(held.told.priority));
        for held in by_rank {
            if held.asked.is_some_and(|at| now - at < AGAIN) || (now >= held.until && !held.given_up) {
                continue;
            }
            let (task, token) = (held.told.task.clone(), held.told.token);
            let run = held.told.run.as_ref();
            let acting = run.is_some_and(|run| run.open.is_some());
            let command = match run {
                _ if acting && !held.given_up => None,
                _ if held.given_up || self.drains || !held.told.wanted => {
                    if self.plant != Plant::HoldsOn {
                        (held.given_up, held.until) = (true, f64::NEG_INFINITY);
                    }
                    Some(Command::End { task, token })
                }
                Some(run) if !busy && now + held.told.step < held.until => {
                    let (step, pause) = (run.next, held.told.pause);
                    if pause > 0.0 && held.rest.is_none_or(|(of, _)| of != run.tried) {
                        held.rest = Some((run.tried, now + pause));
                    }
                    let rests = pause > 0.0 && held.rest.is_some_and(|(_, until)| now < until);
                    (!rests).then_some(Command::Begin { task, token, run: run.no, step })
                }
                _ => None,
            };
            if command.is_some() {
                held.asked = Some(now);
                held.passed = None;
            }
            commands.extend(command);
        }
        commands
    }

    /// Leave to act on a task: on the step that stands begun in the record, or, for a task without steps, at any time.
    /// `takes` is how long the act may last.
    pub fn pass(&mut self, task: &str, now: f64, takes: f64) -> Result<Pass, No> {
        let held = self.held.get_mut(task).ok_or(No::NotHeld)?;
        if now + takes >= held.until {
            return Err(No::RanOut);
        }
        let (token, until) = (held.told.token, held.until - takes);
        let Some(run) = &held.told.run else {
            return if held.told.wanted {
                Ok(Pass { task: task.to_owned(), token, step: None, until })
            } else {
                Err(No::NotWanted)
            };
        };
        let next = run.next;
        if !may_act(self.plant, held, run) {
            return Err(No::NotBegun);
        }
        held.passed = Some(next);
        Ok(Pass { task: task.to_owned(), token, step: Some(next), until })
    }

    /// A begun step that is not acted on, as there is no leave: that it never ran is owed to the record.
    pub fn never_ran(&mut self, task: &str, outcome: Outcome) {
        let Some(held) = self.held.get_mut(task) else { return };
        let Some(run) = &held.told.run else { return };
        let (token, step) = (held.told.token, run.next);
        if run.open == Some(token) && held.passed != Some(step) {
            held.passed = Some(step);
            self.owe(Some(Command::Record { task: task.to_owned(), token, step, outcome }));
        }
    }

    /// Whether something is waited for at the council: a step to begin or to be recorded, or a lease to be given up.
    pub fn hurries(&self, now: f64) -> bool {
        let going = |held: &Held| {
            let acting = held.told.run.as_ref().is_some_and(|run| run.open.is_some());
            let rests = held.rest.is_some_and(|(_, until)| now < until);
            now < held.until && !acting && (held.asked.is_some() || (held.told.run.is_some() && !rests))
        };
        !self.owed.is_empty() || self.held.values().any(going)
    }

    /// Steps that stand begun in the record and were not acted on yet: the task, and the longest time of the step.
    pub fn begun(&self) -> Vec<(String, f64)> {
        let ready = |held: &&Held| held.told.run.as_ref().is_some_and(|run| may_act(self.plant, held, run));
        self.held.values().filter(ready).map(|held| (held.told.task.clone(), held.told.step)).collect()
    }

    /// What is to be done for a task that it holds.
    pub fn told(&self, task: &str) -> Option<&Told> {
        self.held.get(task).map(|held| &held.told)
    }
}
