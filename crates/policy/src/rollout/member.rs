//! What each front end does: it holds the right to admit under a version, renews it, and stops when it has run out.
//!
//! All times are of this machine's monotonic clock that counts suspension, in milliseconds.

use super::{Ask, Fault, Grant, Mark, Plant, Reply, Version};

const PATIENCE: f64 = 400.0; // ms; a question without an answer is asked again, of another decider perhaps
const RENEW: f64 = 1.0 / 3.0; // of a right's length, after which it is renewed

/// A right that is held.
#[derive(Clone, Debug, PartialEq)]
pub struct Right {
    /// Under this version.
    pub version: Version,
    /// It is over at this time.
    pub until: f64,
    /// What it is worth.
    pub mark: Mark,
}

/// What the front end is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Admit under this policy from now on.
    Use(Version, String),
    /// Check this change, and tell what came of it by [`Hold::checked`].
    Check(String, String),
}

/// A front end's part.
#[derive(Clone, Debug, PartialEq)]
pub struct Hold {
    member: String,
    life: u64,
    form: u64,
    round: u64,
    /// The question that is out, and when it was asked.
    out: Option<f64>,
    due: f64,
    version: Option<Version>,
    right: Option<Right>,
    /// A grant whose policy is being made ready: it counts once that is in use.
    coming: Option<(Right, String)>,
    checked: Option<(String, Vec<Fault>)>,
    /// Faults of the policy in force, if it can't be used here.
    unusable: Option<String>,
    plant: Plant,
}

impl Hold {
    /// A front end that has just started: it holds nothing.
    pub fn new(member: &str, life: u64, form: u64, plant: Plant) -> Hold {
        Hold {
            member: member.to_owned(),
            life,
            form,
            round: 0,
            out: None,
            due: 0.0,
            version: None,
            right: None,
            coming: None,
            checked: None,
            unusable: None,
            plant,
        }
    }

    /// The version under which a request may be admitted at this time, read from the clock for this request.
    pub fn admits(&self, now: f64) -> Option<Version> {
        let right = self.right.as_ref()?;
        let holds = now < right.until || self.plant == Plant::NoCatchUp;
        (holds && self.unusable.is_none()).then_some(right.version)
    }

    /// The member's name.
    pub fn member(&self) -> &str {
        &self.member
    }

    /// The right as it is, for operators.
    pub fn right(&self) -> Option<&Right> {
        self.right.as_ref()
    }

    /// Why nothing is admitted now, if so.
    pub fn why_not(&self, now: f64) -> Option<String> {
        if let Some(faults) = &self.unusable {
            return Some(format!("can't use the policy in force: {faults}"));
        }
        match &self.right {
            None => Some("holds no right yet: no decider has answered since the start".to_owned()),
            Some(right) if now >= right.until => {
                let ms = now - right.until;
                Some(format!("its right ran out {ms:.0} ms ago: it reaches no confirmed leader"))
            }
            Some(_) => None,
        }
    }

    /// When the next question is due.
    pub fn due(&self) -> f64 {
        match self.out {
            Some(asked) => asked + PATIENCE,
            None => self.due,
        }
    }

    /// The question, if one is due.
    pub fn ask(&mut self, now: f64, note: &str) -> Option<Ask> {
        if now < self.due() {
            return None;
        }
        (self.out, self.round) = (Some(now), self.round + 1);
        Some(Ask {
            member: self.member.clone(),
            life: self.life,
            form: self.form,
            round: self.round,
            version: self.version,
            holds: self.right.as_ref().map(|right| right.mark.clone()),
            checked: self.checked.clone(),
            why_not: self.why_not(now),
            note: note.to_owned(),
        })
    }

    /// The next question is wanted at this time already.
    pub fn hasten(&mut self, at: f64) {
        if self.out.is_none() {
            self.due = self.due.min(at);
        }
    }

    /// There was no answer, or one that helps nobody: ask again soon.
    pub fn no_answer(&mut self, now: f64, round: u64) {
        if round == self.round && self.out.take().is_some() {
            self.due = now + 50.0;
        }
    }

    /// An answer came. One to an earlier question tells nothing: what was granted after it counts.
    pub fn reply(&mut self, now: f64, reply: Reply) -> Vec<Act> {
        if reply.round != self.round {
            return Vec::new();
        }
        let Some(asked) = self.out.take() else { return Vec::new() };
        self.due = now + reply.again;
        let mut acts = Vec::new();
        if let Some(Grant { version, length, mark, drift, text }) = reply.grant {
            // By a clock that is slow within the drift, so much less passes than in truth.
            let length = length * (1.0 - drift);
            self.due = self.due.min(asked + length * RENEW);
            let right = Right { version, until: asked + length, mark };
            match text {
                Some(text) if self.version != Some(version) => {
                    // Under the old version no more: a new one is in force.
                    if self.plant != Plant::NoCatchUp {
                        self.right = None;
                    }
                    acts.push(Act::Use(version, text.clone()));
                    self.coming = Some((right, text));
                }
                _ if self.version == Some(version) => self.right = Some(right),
                _ => self.due = now,
            }
        }
        if let Some((id, text)) =
            reply.check.filter(|(id, _)| self.checked.as_ref().is_none_or(|(c, _)| c != id))
        {
            acts.push(Act::Check(id, text));
        }
        acts
    }

    /// The policy of a grant is in use, or can't be used here.
    pub fn used(&mut self, version: Version, outcome: Result<(), String>) {
        let Some((right, _)) = self.coming.take_if(|(right, _)| right.version == version) else { return };
        (self.version, self.right, self.unusable) = (Some(version), Some(right), outcome.err());
    }

    /// What came of a check.
    pub fn checked(&mut self, now: f64, id: &str, faults: Vec<Fault>) {
        self.checked = Some((id.to_owned(), faults));
        if self.out.is_none() {
            self.due = now; // The others wait for it.
        }
    }
}
