//! The judge of acts: what the targets saw, against the promises of `docs/leases.md`, by their numbers. Pure.

use crate::breaks::{broken, Break};
use crate::history::{Event, What};
use std::collections::{BTreeMap, BTreeSet};

/// What the judge goes by.
#[derive(Clone, Debug, Default)]
pub struct TaskLaw {
    /// Steps that the record tells as unknown: task, run, step. They may have run or not.
    pub unknown: BTreeSet<(String, u64, u64)>,
    /// Steps that the record tells as done.
    pub done: BTreeSet<(String, u64, u64)>,
    /// Tasks that may be repeated.
    pub repeatable: BTreeSet<String>,
}

/// What was seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Acts {
    /// Steps that ran.
    pub ran: usize,
    /// Acts that the target refused for their token.
    pub stale: usize,
    /// Tokens that acted.
    pub tokens: usize,
    /// The longest time between two acts of a task, in milliseconds.
    pub gap: f64,
}

/// Judges a history; events in order of time.
pub fn judge_acts(events: &[Event], law: &TaskLaw) -> Result<Acts, Break> {
    let mut acts = Acts::default();
    // By task: acts that have begun and not ended, the highest token that acted, and the last act's end.
    let mut open: BTreeMap<&str, Vec<(&Event, u64)>> = BTreeMap::new();
    let mut highest: BTreeMap<&str, (&Event, u64)> = BTreeMap::new();
    let mut last: BTreeMap<&str, f64> = BTreeMap::new();
    let mut ran: BTreeMap<(String, u64, u64), &Event> = BTreeMap::new();
    let mut tokens = BTreeSet::new();
    for event in events {
        match &event.what {
            What::Began { task, run, step, token } => {
                let now = open.entry(task).or_default();
                if let Some((other, _)) = now.iter().find(|(_, other)| other != token) {
                    return broken(1, format!("two holders act on {task} at once"), &[other, event]);
                }
                now.push((event, *token));
                match highest.get(task.as_str()) {
                    Some((before, most)) if token < most => {
                        let text = format!("token {token} acts on {task} after {most}");
                        return broken(1, text, &[before, event]);
                    }
                    _ => {
                        highest.insert(task, (event, *token));
                    }
                }
                let key = (task.clone(), *run, *step);
                if let Some(before) = ran.get(&key).filter(|_| !law.repeatable.contains(task)) {
                    return broken(
                        4,
                        format!("step {step} of run {run} of {task} ran twice"),
                        &[before, event],
                    );
                }
                // What comes before it is done, or known to be unknown.
                if let Some(before) = step.checked_sub(1) {
                    let before = (task.clone(), *run, before);
                    if !ran.contains_key(&before) && !law.unknown.contains(&before) {
                        let text = format!(
                            "step {step} of run {run} of {task} ran, and the one before it never did"
                        );
                        return broken(4, text, &[event]);
                    }
                }
                ran.insert(key, event);
                tokens.insert(*token);
                acts.ran += 1;
                if let Some(before) = last.get(task.as_str()) {
                    acts.gap = acts.gap.max(event.at - before);
                }
            }
            What::Ended { task, token, .. } => {
                let now = open.entry(task).or_default();
                now.retain(|(_, other)| other != token);
                last.insert(task, event.at);
            }
            What::Stale { .. } => acts.stale += 1,
            _ => {}
        }
    }
    if let Some((task, run, step)) = law.done.iter().find(|key| !ran.contains_key(*key)) {
        return broken(4, format!("step {step} of run {run} of {task} is told as done and never ran"), &[]);
    }
    acts.tokens = tokens.len();
    Ok(acts)
}
