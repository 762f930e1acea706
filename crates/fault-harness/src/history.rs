//! The recorded history of a run: events that members, clients, engines, targets and the harness report.

use crate::lock;
use std::sync::{Arc, Mutex};

/// One recorded event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time of the event by the machine's monotonic clock, in milliseconds.
    pub at: f64,
    /// Kind and details of the event.
    pub what: What,
}

/// The kind of an event, with its details.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A member admitted a request under a policy version.
    Admit {
        /// Name of the member.
        member: String,
        /// Id of the request.
        id: String,
        /// Index of the request class.
        class: usize,
        /// Number of the policy version.
        version: u64,
        /// Name of the account that sent the request.
        account: String,
    },
    /// A member refused a request at admission.
    Refuse {
        /// Name of the member.
        member: String,
        /// Id of the request.
        id: String,
        /// Reason for the refusal, as one word.
        why: String,
    },
    /// A member activated a policy version.
    Use {
        /// Name of the member.
        member: String,
        /// Number of the policy version.
        version: u64,
        /// Hash of the policy text that the member uses.
        hash: String,
    },
    /// An attempt of a request arrived at an engine.
    Came {
        /// Id of the engine.
        engine: String,
        /// Id of the request.
        id: String,
    },
    /// An engine finished executing an attempt of a request.
    Left {
        /// Id of the engine.
        engine: String,
        /// Id of the request.
        id: String,
    },
    /// A member permitted a retry of a request.
    Further {
        /// Name of the member.
        member: String,
        /// Id of the request.
        id: String,
    },
    /// A client sent a request.
    Sent {
        /// Name of the member that received the request.
        member: String,
        /// Id of the request.
        id: String,
        /// Index of the request class.
        class: usize,
    },
    /// A client received the answer to its request.
    Answered {
        /// Id of the request.
        id: String,
        /// `served`, or the error code as text.
        answer: String,
    },
    /// An operator's command that changes the policy ended.
    Command {
        /// Id of the policy change, empty if the command printed none.
        change: String,
        /// Exit code of the command: 0 if the change is active, 1 if it was rejected, 3 if its outcome is not known yet.
        code: i32,
        /// Number of the new policy version, if the command reported it as active.
        version: Option<u64>,
    },
    /// A member checked that its lease on a task is still valid and is about to execute a step.
    Look {
        /// Name of the member.
        member: String,
        /// Name of the task.
        task: String,
        /// Fencing token of the lease.
        token: u64,
    },
    /// A target began to execute a step of a task.
    Began {
        /// Name of the task.
        task: String,
        /// Number of the task's run.
        run: u64,
        /// Index of the step within the run.
        step: u64,
        /// Fencing token that the request to the target carried.
        token: u64,
    },
    /// A target finished the execution of a step of a task.
    Ended {
        /// Name of the task.
        task: String,
        /// Number of the task's run.
        run: u64,
        /// Index of the step within the run.
        step: u64,
        /// Fencing token that the request to the target carried.
        token: u64,
    },
    /// A target refused a step with a stale fencing token, because it had seen a newer token of the task before.
    Stale {
        /// Name of the task.
        task: String,
        /// Number of the task's run.
        run: u64,
        /// Index of the step within the run.
        step: u64,
        /// Fencing token that the request to the target carried.
        token: u64,
    },
    /// A fault was injected or ended, or the harness could not write a file; the text describes the event.
    Fault(String),
}

/// A history to which several threads append; clones share the events.
#[derive(Clone, Debug, Default)]
pub struct History(Arc<Mutex<Vec<Event>>>);

impl History {
    /// Appends an event with the given time in milliseconds.
    pub fn note(&self, at: f64, what: What) {
        lock(&self.0).push(Event { at, what });
    }

    /// Returns a copy of all events, sorted by time.
    pub fn all(&self) -> Vec<Event> {
        let mut all = lock(&self.0).clone();
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        all
    }

    /// Parses a line of a member's standard error and appends the event that the line describes.
    /// Returns false if the line is not a valid `history` line.
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
