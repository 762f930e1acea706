//! What the fleet has agreed on: tasks, who holds them, what was done. The same everywhere, by the commands' order alone.

use crate::spec::{Spec, Unknown, When};
use crate::{Token, Who, TASKS_MOST};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Steps of a task that are kept in the record.
pub const RECORD_MOST: usize = 128;
const WHY_MOST: usize = 200; // bytes of a reason that are kept

/// What became of a step.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It was done.
    Done,
    /// It did not run, and why.
    NeverRan(String),
    /// It may have run, and why that is not known.
    Unknown(String),
}

/// A step in the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Of which run.
    pub run: u64,
    /// Which step of it, from 0.
    pub step: u32,
    /// Under which token.
    pub token: Token,
    /// By which member.
    pub member: String,
    /// What became of it.
    pub outcome: Outcome,
}

/// A lease that is out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub who: Who,
    /// Its token.
    pub token: Token,
}

/// A run under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Run {
    /// Its number, from 1.
    pub no: u64,
    /// The next step.
    pub next: u32,
    /// Times that it was begun and never ran.
    pub tried: u32,
    /// The token under which it is begun and not over.
    pub open: Option<Token>,
    /// Why the run does not go on by itself.
    pub halted: Option<String>,
}

/// A task and how it stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Task {
    /// What the operator wrote.
    pub spec: Spec,
    /// The lease that is out.
    pub lease: Option<Lease>,
    /// Whether an operator paused it.
    pub paused: bool,
    /// Whether the policy forbids it.
    pub forbidden: bool,
    /// Whether the operator's file names it no more: it stays until its lease has ended.
    pub gone: bool,
    /// The run under way.
    pub run: Option<Run>,
    /// Runs that were begun.
    pub runs: u64,
    /// The day of the last, for a task that runs once a day.
    pub day: u64,
    /// The last steps, oldest first.
    pub record: VecDeque<Step>,
}

impl Task {
    fn new(spec: Spec) -> Task {
        let record = VecDeque::new();
        Task {
            spec,
            lease: None,
            paused: false,
            forbidden: false,
            gone: false,
            run: None,
            runs: 0,
            day: 0,
            record,
        }
    }

    /// Whether it is to have a holder.
    pub fn wanted(&self) -> bool {
        let going = self.run.as_ref().is_some_and(|run| run.halted.is_none());
        !self.paused && !self.forbidden && !self.gone && (self.spec.when == When::Always || going)
    }

    /// Why it does not run, if so.
    pub fn why_not(&self) -> Option<String> {
        let halted = self.run.as_ref().and_then(|run| run.halted.clone());
        match (self.paused, self.forbidden, halted) {
            _ if self.gone => Some("not among the tasks any more".to_owned()),
            (true, ..) => Some("paused by an operator".to_owned()),
            (_, true, _) => Some("forbidden by the policy in force".to_owned()),
            (.., Some(why)) => Some(why),
            _ if self.wanted() && self.lease.is_none() => {
                Some("no member that may hold it is there".to_owned())
            }
            _ => None,
        }
    }

    fn holds(&self, token: Token) -> bool {
        self.lease.as_ref().is_some_and(|lease| lease.token == token)
    }

    /// Notes what became of the step that is open, and what follows from it.
    fn over(&mut self, outcome: Outcome) {
        let Some(run) = self.run.as_mut() else { return };
        let Some(token) = run.open.take() else { return };
        let member = self.lease.as_ref().map(|lease| lease.who.0.clone()).unwrap_or_default();
        let step = Step { run: run.no, step: run.next, token, member, outcome: outcome.clone() };
        let tell = |why: &str| format!("step {} of run {}: {}", step.step, step.run, why);
        match (&outcome, self.spec.unknown) {
            (Outcome::Done, _) => (run.next, run.tried) = (run.next + 1, 0),
            (Outcome::Unknown(_), Unknown::Repeat) => {}
            (Outcome::Unknown(_), Unknown::Skip) => (run.next, run.tried) = (run.next + 1, 0),
            (Outcome::Unknown(why), Unknown::Halt) => {
                // Resumed, it goes on behind this step.
                (run.next, run.tried) = (run.next + 1, 0);
                run.halted = Some(tell(&format!("may have run ({why})")));
            }
            (Outcome::NeverRan(why), _) => {
                run.tried += 1;
                if run.tried >= self.spec.tries {
                    run.tried = 0;
                    run.halted = Some(tell(&format!("never ran in {} tries ({why})", self.spec.tries)));
                }
            }
        }
        if run.next >= self.spec.steps && run.halted.is_none() {
            self.run = None;
        }
        self.record.push_back(step);
        if self.record.len() > RECORD_MOST {
            self.record.pop_front();
        }
    }
}

/// What is agreed on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// These are the tasks from now on. Those that are no more end with their leases.
    Define(Vec<Spec>),
    /// A member holds a task that nobody holds.
    Grant {
        /// The task.
        task: String,
        /// Who.
        who: Who,
    },
    /// A lease is over: given up, or surely ended. A step that is open may have run.
    End {
        /// The task.
        task: String,
        /// Of this lease.
        token: Token,
    },
    /// A run begins, if the one of this number is the next.
    Start {
        /// The task.
        task: String,
        /// The run.
        run: u64,
        /// Which day's run it is, for a task that runs once a day.
        day: u64,
    },
    /// A step is about to be acted on.
    Begin {
        /// The task.
        task: String,
        /// By the holder of this lease.
        token: Token,
        /// Of this run.
        run: u64,
        /// The step.
        step: u32,
    },
    /// What became of it.
    Record {
        /// The task.
        task: String,
        /// By the holder of this lease.
        token: Token,
        /// The step.
        step: u32,
        /// What became of it.
        outcome: Outcome,
    },
    /// An operator pauses a task, or has it go on, also after a halt.
    Pause {
        /// The task.
        task: String,
        /// Whether it pauses.
        paused: bool,
    },
    /// The policy in force forbids these tasks, and no others.
    Forbid(Vec<String>),
}

/// What is agreed on so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The last token that was given.
    pub tokens: Token,
    /// Tasks by name.
    pub tasks: BTreeMap<String, Task>,
    /// Grows with each change that a holder is to hear of.
    pub changes: u64,
}

impl State {
    /// Takes a command in. What does not fit the state any more changes nothing.
    pub fn apply(&mut self, command: &Command) {
        let changed = match command {
            Command::Define(specs) => self.define(specs),
            Command::Forbid(names) => {
                self.tasks.values_mut().for_each(|t| t.forbidden = names.contains(&t.spec.name));
                true
            }
            Command::Grant { task, who } => self.grant(task, who),
            Command::End { task, token } => self.with(task, |t| {
                let holds = t.holds(*token);
                if holds {
                    if t.run.as_ref().is_some_and(|run| run.open.is_some()) {
                        t.over(Outcome::Unknown("its lease ended".to_owned()));
                    }
                    t.lease = None;
                }
                holds
            }),
            Command::Start { task, run, day } => self.with(task, |t| {
                let next = t.run.is_none() && t.runs + 1 == *run && t.spec.when != When::Always;
                if next {
                    (t.runs, t.day) = (*run, t.day.max(*day));
                    t.run = Some(Run { no: *run, ..Run::default() });
                }
                next
            }),
            Command::Begin { task, token, run, step } => self.with(task, |t| {
                let good = t.holds(*token) && t.wanted();
                let now =
                    t.run.as_mut().filter(|r| good && r.no == *run && r.next == *step && r.open.is_none());
                now.map(|run| run.open = Some(*token)).is_some()
            }),
            Command::Record { task, token, step, outcome } => self.with(task, |t| {
                let open = t.run.as_ref().is_some_and(|run| run.next == *step && run.open == Some(*token));
                if open && t.holds(*token) {
                    t.over(short(outcome));
                }
                open
            }),
            Command::Pause { task, paused } => self.with(task, |t| {
                t.paused = *paused;
                if !paused {
                    t.run.iter_mut().for_each(|run| run.halted = None);
                    if t.run.as_ref().is_some_and(|run| run.next >= t.spec.steps) {
                        t.run = None;
                    }
                }
                true
            }),
        };
        if let Command::End { task, .. } = command {
            if self.tasks.get(task).is_some_and(|t| t.gone && t.lease.is_none()) {
                self.tasks.remove(task);
            }
        }
        self.changes += u64::from(changed);
    }

    fn with(&mut self, task: &str, act: impl FnOnce(&mut Task) -> bool) -> bool {
        self.tasks.get_mut(task).is_some_and(act)
    }

    fn define(&mut self, specs: &[Spec]) -> bool {
        let good = |spec: &&Spec| spec.problem().is_none();
        let specs: BTreeMap<&str, &Spec> =
            specs.iter().filter(good).take(TASKS_MOST).map(|spec| (spec.name.as_str(), spec)).collect();
        // Who holds one that is no more may act on until it hears of it: the name is not free before its lease has ended.
        self.tasks.iter_mut().for_each(|(name, task)| task.gone = !specs.contains_key(name.as_str()));
        self.tasks.retain(|_, task| !task.gone || task.lease.is_some());
        for (name, spec) in specs {
            match self.tasks.get_mut(name) {
                // A run under way goes on: its steps are those of its task as it stands by now.
                Some(task) => task.spec = spec.clone(),
                None => {
                    self.tasks.insert(name.to_owned(), Task::new(spec.clone()));
                }
            }
        }
        true
    }

    fn grant(&mut self, task: &str, who: &Who) -> bool {
        let token = self.tokens + 1;
        let given = self.with(task, |t| {
            let free = t.lease.is_none() && t.wanted();
            if free {
                t.lease = Some(Lease { who: who.clone(), token });
            }
            free
        });
        if given {
            self.tokens = token;
        }
        given
    }
}

fn short(outcome: &Outcome) -> Outcome {
    let cut = |why: &String| why.chars().take(WHY_MOST).collect();
    match outcome {
        Outcome::Done => Outcome::Done,
        Outcome::NeverRan(why) => Outcome::NeverRan(cut(why)),
        Outcome::Unknown(why) => Outcome::Unknown(cut(why)),
    }
}
