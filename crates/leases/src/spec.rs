//! A task as the operator writes it.

use crate::{NAME_MOST, STEPS_MOST};
use serde::{Deserialize, Serialize};

/// When a task is to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum When {
    /// It has a holder all the time, and no steps.
    Always,
    /// When an operator says so.
    Asked,
    /// So many milliseconds after the last run began.
    Every(f64),
    /// Once a day, from this minute of the day (UTC) and within so many minutes of it.
    At {
        /// Minutes since midnight.
        minute: u32,
        /// How long after it a run may still begin, in minutes.
        window: u32,
    },
}

/// What becomes of a run when a step may have run or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unknown {
    /// The step is begun again: the task may be repeated.
    Repeat,
    /// The run halts until an operator resumes it, behind that step.
    Halt,
    /// The run goes on behind that step.
    Skip,
}

/// A task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Its name.
    pub name: String,
    /// When it runs.
    pub when: When,
    /// Zones whose members may hold it; all if empty.
    pub zones: Vec<String>,
    /// Members who may hold it; all if empty.
    pub members: Vec<String>,
    /// Length of its lease, in milliseconds.
    pub lease: f64,
    /// Steps of a run.
    pub steps: u32,
    /// Longest time of a step, in milliseconds: the lease must have as much left when it begins.
    pub step: f64,
    /// What becomes of a step that may have run.
    pub unknown: Unknown,
    /// Times that a step which never ran is begun at most.
    pub tries: u32,
    /// Pause before it is begun again, in milliseconds; twice as long each time.
    pub backoff: f64,
    /// Higher ones go first where a member holds several.
    pub priority: u8,
    /// Whether its target refuses older tokens. If not, two may act where a process stands still.
    pub fenced: bool,
    /// What the member is to do: for the program to read.
    pub work: String,
}

impl Spec {
    /// A task with the usual figures.
    pub fn new(name: &str, when: When, work: &str) -> Spec {
        Spec {
            name: name.to_owned(),
            when,
            zones: Vec::new(),
            members: Vec::new(),
            lease: 5000.0,
            steps: 1,
            step: 1000.0,
            unknown: Unknown::Halt,
            tries: 3,
            backoff: 1000.0,
            priority: 0,
            fenced: true,
            work: work.to_owned(),
        }
    }

    /// What is wrong with it: the key, and the problem with its fix.
    pub fn problem(&self) -> Option<(&'static str, String)> {
        let letters = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
        if self.name.is_empty() || self.name.len() > NAME_MOST || !self.name.chars().all(letters) {
            return Some(("name", format!("is not 1 to {NAME_MOST} letters, digits, dots and dashes")));
        }
        if !(1000.0..=600_000.0).contains(&self.lease) {
            return Some(("lease", format!("is {} ms; write 1 s to 10 min", self.lease)));
        }
        if self.when != When::Always && !(1..=STEPS_MOST).contains(&self.steps) {
            return Some(("steps", format!("is {}; write 1 to {STEPS_MOST}", self.steps)));
        }
        // A holder renews each third of the lease; a step must fit into what is surely left.
        if self.when != When::Always && !(1.0..=self.lease * 0.5).contains(&self.step) {
            return Some((
                "step",
                format!("is {} ms, over half the lease; split the step or lengthen the lease", self.step),
            ));
        }
        if !(1..=100).contains(&self.tries) || !(0.0..=3_600_000.0).contains(&self.backoff) {
            return Some(("tries", "is not 1 to 100, or backoff not 0 to 1 h".to_owned()));
        }
        match self.when {
            When::Every(ms) if !(1000.0..=31.0 * 86_400_000.0).contains(&ms) => {
                Some(("every", format!("is {ms} ms; write 1 s to 31 days")))
            }
            When::At { minute, window } if minute >= 1440 || !(1..=1440).contains(&window) => {
                Some(("at", "is no time of the day, or window not 1 min to 24 h".to_owned()))
            }
            _ => None,
        }
    }

    /// Whether a member of this name and zone may hold it.
    pub fn fits(&self, member: &str, zone: &str) -> bool {
        let among = |list: &[String], name: &str| list.is_empty() || list.iter().any(|n| n == name);
        among(&self.members, member) && among(&self.zones, zone)
    }
}
