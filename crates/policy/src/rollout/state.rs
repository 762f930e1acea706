//! What the fleet has agreed on: members, the version in force, the change under way, what became of earlier ones.
//!
//! Commands come in the order of the log, and give the same state everywhere. A command that does not fit the state
//! changes nothing: it was overtaken.

use super::{Fault, Times, Version};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Members at most.
pub const MEMBERS_MOST: usize = 1000;
/// Changes whose outcome is kept; beyond, the oldest are forgotten.
pub const HISTORY_MOST: usize = 256;
/// Versions whose text is kept, to go back to.
pub const VERSIONS_MOST: usize = 32;
/// Letters of a name or an id at most.
pub const NAME_MOST: usize = 64;
/// Faults kept of a change that was turned down.
pub const FAULTS_MOST: usize = 50;

/// A command to the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The fleet's figures, once.
    Found(Times),
    /// A life of a member may be granted rights from now on.
    Join {
        /// Its name.
        member: String,
        /// Its life.
        life: u64,
        /// The latest form of policies that it reads.
        form: u64,
    },
    /// A life of a member holds no right any more.
    Leave {
        /// Its name.
        member: String,
        /// Its life.
        life: u64,
    },
    /// A change is asked for.
    Propose(Change),
    /// Members can't use it.
    TurnDown {
        /// Which change.
        id: String,
        /// Why.
        faults: Vec<Fault>,
    },
    /// Whoever asked for it, or another operator, takes it back. Too late once it is decided.
    TakeBack {
        /// Which change.
        id: String,
    },
    /// It will be in force.
    Decide {
        /// Which change.
        id: String,
    },
    /// It is in force.
    Activate {
        /// Which change.
        id: String,
    },
}

/// A change as an operator asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Its id: a change sent twice under one id is one change.
    pub id: String,
    /// Who asks.
    pub by: String,
    /// The policy's text; none: back to the version before the one in force.
    pub text: Option<String>,
    /// The version that it was made from; if that is not in force any more, the change is turned down.
    pub base: Option<Version>,
}

/// How far a change is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Members check it.
    Checking,
    /// It will be in force as this version.
    Decided(Version),
    /// It came into force as this version.
    InForce(Version),
    /// It was never in force, and never will be.
    TurnedDown(Vec<Fault>),
    /// Likewise: an operator took it back.
    TakenBack,
}

impl Outcome {
    /// Whether nothing will change it any more.
    pub fn is_final(&self) -> bool {
        !matches!(self, Outcome::Checking | Outcome::Decided(_))
    }
}

/// A change and what became of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// Who asked.
    pub by: String,
    /// What became of it.
    pub outcome: Outcome,
}

/// A change under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pending {
    /// Its id.
    pub id: String,
    /// Who asked.
    pub by: String,
    /// The policy's text.
    pub text: String,
    /// Whether it is decided.
    pub decided: bool,
}

/// What the fleet has agreed on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The fleet's figures; none before it is founded.
    pub times: Option<Times>,
    /// Members by name and life, with the form that they read.
    pub members: BTreeMap<(String, u64), u64>,
    /// Versions whose text is kept, the last being in force.
    pub versions: VecDeque<(Version, String)>,
    /// The change under way.
    pub pending: Option<Pending>,
    /// What became of changes, oldest first.
    pub history: VecDeque<Record>,
}

impl State {
    /// The version in force.
    pub fn version(&self) -> Version {
        self.versions.back().map_or(0, |(version, _)| *version)
    }

    /// The text in force.
    pub fn text(&self) -> &str {
        self.versions.back().map_or(EMPTY, |(_, text)| text)
    }

    /// What became of a change, if it is known.
    pub fn outcome(&self, id: &str) -> Option<Outcome> {
        if let Some(pending) = self.pending.as_ref().filter(|p| p.id == id) {
            let decided = Outcome::Decided(self.version() + 1);
            return Some(if pending.decided { decided } else { Outcome::Checking });
        }
        self.history.iter().rev().find(|r| r.id == id).map(|r| r.outcome.clone())
    }

    /// Takes a command in.
    pub fn apply(&mut self, command: &Command) {
        match command {
            Command::Found(times) => {
                if self.times.is_none() {
                    self.times = Some(*times);
                }
            }
            Command::Join { member, life, form } => {
                if self.members.len() < MEMBERS_MOST && good_name(member) {
                    self.members.insert((member.clone(), *life), *form);
                }
            }
            Command::Leave { member, life } => {
                self.members.remove(&(member.clone(), *life));
            }
            Command::Propose(change) => self.propose(change),
            Command::TurnDown { id, faults } => {
                let faults = faults.iter().take(FAULTS_MOST).cloned().collect();
                self.end(id, false, |_| Outcome::TurnedDown(faults));
            }
            Command::TakeBack { id } => self.end(id, false, |_| Outcome::TakenBack),
            Command::Decide { id } => {
                let pending = self.pending.as_mut().filter(|p| p.id == *id);
                pending.into_iter().for_each(|p| p.decided = true);
            }
            Command::Activate { id } => {
                let decided = self.pending.as_ref().filter(|p| p.id == *id && p.decided);
                let Some(text) = decided.map(|p| p.text.clone()) else { return };
                let version = self.version() + 1;
                self.end(id, true, |_| Outcome::InForce(version));
                self.versions.push_back((version, text));
                while self.versions.len() > VERSIONS_MOST {
                    self.versions.pop_front();
                }
            }
        }
    }

    fn propose(&mut self, change: &Change) {
        if !good_name(&change.id) || self.outcome(&change.id).is_some() {
            return;
        }
        let before = self.versions.len().checked_sub(2).and_then(|i| self.versions.get(i));
        let text = match (&change.text, before) {
            (Some(text), _) if text.len() > crate::document::TEXT_MOST => {
                Err("the policy is too long".to_owned())
            }
            (Some(text), _) => Ok(text.clone()),
            (None, Some((_, text))) => Ok(text.clone()),
            (None, None) if self.versions.len() == 1 && self.version() == 1 => Ok(EMPTY.to_owned()),
            (None, None) => Err("there is no version before the one in force".to_owned()),
        };
        let stale = change.base.is_some_and(|base| base != self.version());
        let under_way = self.pending.as_ref();
        let why = match (&text, under_way) {
            (_, Some(p)) => {
                Some(format!("the change {} by {} is under way; ask again when it is over", p.id, p.by))
            }
            _ if stale => Some(format!(
                "it was made from another version than {}, which is in force; look at that and propose anew",
                self.version()
            )),
            (Err(why), _) => Some(why.clone()),
            _ => None,
        };
        let (id, by) = (change.id.clone(), change.by.chars().take(NAME_MOST).collect::<String>());
        match (why, text) {
            (None, Ok(text)) => self.pending = Some(Pending { id, by, text, decided: false }),
            (why, _) => {
                let text = why.unwrap_or_default();
                let faults = vec![Fault { member: "council".to_owned(), text }];
                self.remember(Record { id, by, outcome: Outcome::TurnedDown(faults) });
            }
        }
    }

    fn end(&mut self, id: &str, decided: bool, outcome: impl FnOnce(&Pending) -> Outcome) {
        let fits = |p: &&Pending| p.id == id && p.decided == decided;
        if self.pending.as_ref().filter(fits).is_none() {
            return;
        }
        if let Some(p) = self.pending.take() {
            let outcome = outcome(&p);
            self.remember(Record { id: p.id, by: p.by, outcome });
        }
    }

    fn remember(&mut self, record: Record) {
        self.history.push_back(record);
        while self.history.len() > HISTORY_MOST {
            self.history.pop_front();
        }
    }
}

/// The policy of a fleet that has just been founded.
pub const EMPTY: &str = "form = 1\n";

/// Whether a name or an id can be one: letters, digits, dots and dashes, not too many.
pub fn good_name(name: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    !name.is_empty() && name.len() <= NAME_MOST && name.chars().all(fits)
}
