//! What happened, as those to whom it happened wrote it down.

use crate::lock;
use std::sync::{Arc, Mutex};

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When, by the machine's monotonic clock, in milliseconds.
    pub at: f64,
    /// What.
    pub what: What,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A member admitted a request under a version.
    Admit {
        /// Which member.
        member: String,
        /// Which request.
        id: String,
        /// Its class.
        class: usize,
        /// The version.
        version: u64,
        /// Its account.
        account: String,
    },
    /// A member turned a request away.
    Refuse {
        /// Which member.
        member: String,
        /// Which request.
        id: String,
        /// Why, in a word.
        why: String,
    },
    /// A member took a policy into use.
    Use {
        /// Which member.
        member: String,
        /// The version.
        version: u64,
        /// The hash of its text.
        hash: String,
    },
    /// An attempt came to an engine.
    Came {
        /// Which engine.
        engine: String,
        /// Of which request.
        id: String,
    },
    /// An engine was through with an attempt.
    Left {
        /// Which engine.
        engine: String,
        /// Of which request.
        id: String,
    },
    /// A member has a further attempt of a request go out.
    Further {
        /// Which member.
        member: String,
        /// Which request.
        id: String,
    },
    /// A client sent a request.
    Sent {
        /// To which member.
        member: String,
        /// Which request.
        id: String,
        /// Its class.
        class: usize,
    },
    /// A client got an answer: `served`, or the code of an error.
    Answered {
        /// Which request.
        id: String,
        /// What it heard.
        answer: String,
    },
    /// An operator's command ended.
    Command {
        /// The change.
        change: String,
        /// The exit code: 0 done, 1 turned down, 3 not known yet.
        code: i32,
        /// The version, where it is in force.
        version: Option<u64>,
    },
    /// A member looked at its clock and is about to act on a step of a task.
    Look {
        /// Which member.
        member: String,
        /// Which task.
        task: String,
        /// Under which token.
        token: u64,
    },
    /// A target began a step.
    Began {
        /// Of which task.
        task: String,
        /// Of which run.
        run: u64,
        /// Which step.
        step: u64,
        /// With which token.
        token: u64,
    },
    /// A target ended a step.
    Ended {
        /// Of which task.
        task: String,
        /// Of which run.
        run: u64,
        /// Which step.
        step: u64,
        /// With which token.
        token: u64,
    },
    /// A target refused a step, as it had seen a newer token.
    Stale {
        /// Of which task.
        task: String,
        /// Of which run.
        run: u64,
        /// Which step.
        step: u64,
        /// With which token.
        token: u64,
    },
    /// A fault was put in or taken away.
    Fault(String),
}

/// A history that many write.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Event>>>);

impl History {
    /// Writes down what happened at a time.
    pub fn note(&self, at: f64, what: What) {
        lock(&self.0).push(Event { at, what });
    }

    /// All that happened, in order of time.
    pub fn all(&self) -> Vec<Event> {
        let mut all = lock(&self.0).clone();
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        all
    }

    /// Takes in a line that a member wrote; whether it was one of its history.
    pub fn line(&self, member: &str, line: &str) -> bool {
        let Some(line) = line.strip_prefix("history ") else { return false };
        let mut words = line.split(' ');
        let kind = words.next().unwrap_or_default();
        let fields: Vec<(&str, &str)> = words.filter_map(|word| word.split_once('=')).collect();
        let field = |name: &str| fields.iter().find(|(n, _)| *n == name).map_or("", |(_, value)| *value);
        let Ok(at) = field("t").parse::<f64>() else { return false };
        let member = member.to_owned();
        let class = field("class").parse().unwrap_or(usize::MAX);
        let version = field("v").parse().unwrap_or(u64::MAX);
        let id = field("id").to_owned();
        let what = match kind {
            "admit" => What::Admit { member, id, class, version, account: field("account").to_owned() },
            "refuse" => What::Refuse { member, id, why: field("why").to_owned() },
            "further" => What::Further { member, id },
            "look" => {
                let token = field("token").parse().unwrap_or(0);
                What::Look { member, task: field("task").to_owned(), token }
            }
            "use" => What::Use { member, version, hash: field("hash").to_owned() },
            _ => return false,
        };
        self.note(at, what);
        true
    }
}
