//! The judge: looks at what was written down, never at what a program thinks of itself. Pure.
//!
//! The promises are those of `docs/policy.md`, by their numbers.

use crate::breaks::{broken, Break};
use crate::history::{Event, What};
use std::collections::{BTreeMap, BTreeSet};

/// What a version says, as the fleet has it in the end.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Version {
    /// The hash of its text.
    pub hash: String,
    /// Classes that it refuses, by number.
    pub refused: BTreeSet<usize>,
    /// Attempts of a request of any class at most.
    pub attempts: Option<usize>,
    /// Engines that it leaves out.
    pub left_out: BTreeSet<String>,
    /// Whether it has budgets.
    pub budgets: bool,
}

/// What the judge goes by.
#[derive(Clone, Debug, Default)]
pub struct Law {
    /// The fleet's bound on a switch, in milliseconds.
    pub switch_bound: f64,
    /// The versions that came into force, and no others.
    pub versions: BTreeMap<u64, Version>,
    /// The class that never runs twice.
    pub load: usize,
}

/// What was seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Requests admitted.
    pub admitted: usize,
    /// Requests turned away at the gate.
    pub refused: usize,
    /// Requests that clients sent, and of those the served.
    pub sent: usize,
    /// Served.
    pub served: usize,
    /// The widest overlap of two versions, in milliseconds.
    pub overlap: f64,
    /// The longest time in which nothing was admitted anywhere, from the first to the last admission.
    pub gap: f64,
    /// What the fleet's tasks came to.
    pub operations: crate::operations::OperationSummary,
    /// What came of the fleet's budgets, where the world has some.
    pub shared: Vec<crate::budget_checker::BudgetUsage>,
}

/// Judges a history; events in order of time.
pub fn judge(events: &[Event], law: &Law) -> Result<Summary, Break> {
    texts(events, law)?;
    let overlap = switches(events, law)?;
    requests(events, law)?;
    acknowledged(events)?;
    let mut summary = Summary { overlap, ..Summary::default() };
    let mut last = None;
    for event in events {
        match &event.what {
            What::Admit { .. } => {
                summary.admitted += 1;
                summary.gap = summary.gap.max(last.map_or(0.0, |at| event.at - at));
                last = Some(event.at);
            }
            What::Refuse { .. } => summary.refused += 1,
            What::Sent { .. } => summary.sent += 1,
            What::Answered { answer, .. } if answer == "served" => summary.served += 1,
            _ => {}
        }
    }
    Ok(summary)
}

/// Promise 1: one text for each version, that of the fleet's history; nothing under a version that never was.
fn texts(events: &[Event], law: &Law) -> Result<(), Break> {
    let mut used: BTreeMap<u64, &Event> = BTreeMap::new();
    for event in events {
        match &event.what {
            What::Use { version, hash, .. } => {
                let known = law.versions.get(version);
                if known.is_none_or(|known| known.hash != *hash) {
                    let text = format!("version {version} was used with a text that never was in force");
                    return broken(1, text, &[event]);
                }
                let first = used.entry(*version).or_insert(event);
                if let What::Use { hash: other, .. } = &first.what {
                    if other != hash {
                        return broken(1, format!("two texts of version {version}"), &[first, event]);
                    }
                }
            }
            What::Admit { version, .. } if !law.versions.contains_key(version) => {
                return broken(
                    1,
                    format!("admitted under version {version}, which never was in force"),
                    &[event],
                );
            }
            _ => {}
        }
    }
    Ok(())
}

/// Promise 2: the widest time from the first admission under a version to the last under an earlier one.
fn switches(events: &[Event], law: &Law) -> Result<f64, Break> {
    let admits = events.iter().filter_map(|e| match &e.what {
        What::Admit { version, .. } => Some((e, *version)),
        _ => None,
    });
    // The first admission under a version at least so high, for the highest so far.
    let mut highest: Option<(&Event, u64)> = None;
    let mut firsts: Vec<(&Event, u64)> = Vec::new();
    let mut widest = 0.0f64;
    for (event, version) in admits {
        if highest.is_none_or(|(_, most)| version > most) {
            highest = Some((event, version));
            firsts.push((event, version));
            continue;
        }
        if let Some((first, newer)) = firsts.iter().find(|(_, v)| *v > version) {
            let late = event.at - first.at;
            widest = widest.max(late);
            if late > law.switch_bound {
                let text = format!(
                    "admitted under version {version} {late:.0} ms after the first under {newer}; {} ms are allowed",
                    law.switch_bound
                );
                return broken(2, text, &[first, event]);
            }
        }
    }
    Ok(widest)
}

/// Promises 3 and 6: each request once, under one version, with what that says; one answer; a load once.
fn requests(events: &[Event], law: &Law) -> Result<(), Break> {
    let mut admits: BTreeMap<&str, (&Event, u64, usize)> = BTreeMap::new();
    let mut came: BTreeMap<&str, Vec<&Event>> = BTreeMap::new();
    let mut answers: BTreeMap<&str, &Event> = BTreeMap::new();
    for event in events {
        match &event.what {
            What::Admit { id, version, class, .. } => {
                if let Some((first, ..)) = admits.insert(id, (event, *version, *class)) {
                    return broken(3, format!("request {id} was admitted twice"), &[first, event]);
                }
                let says = law.versions.get(version);
                if says.is_some_and(|says| says.refused.contains(class)) {
                    let text = format!(
                        "a request of class {class} was admitted under version {version}, which refuses it"
                    );
                    return broken(3, text, &[event]);
                }
            }
            What::Came { engine, id } => {
                let before = came.entry(id).or_default();
                before.push(event);
                let Some((admit, version, class)) = admits.get(id.as_str()) else {
                    return broken(
                        4,
                        format!("request {id} came to an engine and was never admitted"),
                        &[event],
                    );
                };
                let says = law.versions.get(version);
                if says.is_some_and(|says| says.left_out.contains(engine)) {
                    let text =
                        format!("request {id} came to {engine}, which its version {version} leaves out");
                    return broken(3, text, &[admit, event]);
                }
                let most = says.and_then(|says| says.attempts).unwrap_or(usize::MAX);
                let most = if *class == law.load { most.min(1) } else { most };
                if before.len() > most {
                    let text = format!("request {id} came {} times, {most} are allowed", before.len());
                    return broken(3, text, before);
                }
            }
            What::Answered { id, .. } => {
                if let Some(first) = answers.insert(id, event) {
                    return broken(3, format!("request {id} was answered twice"), &[first, event]);
                }
            }
            _ => {}
        }
    }
    Ok(())
}

/// Promise 5: after an operator was told that a version is in force, nothing is admitted under an earlier one.
fn acknowledged(events: &[Event]) -> Result<(), Break> {
    let mut told: Option<(&Event, u64)> = None;
    for event in events {
        match &event.what {
            What::Command { code: 0, version: Some(version), .. }
                if told.is_none_or(|(_, before)| *version > before) =>
            {
                told = Some((event, *version));
            }
            What::Admit { version, .. } => {
                if let Some((said, acknowledged)) = told.filter(|(_, v)| version < v) {
                    let text = format!(
                        "admitted under version {version} after {acknowledged} was said to be in force"
                    );
                    return broken(5, text, &[said, event]);
                }
            }
            _ => {}
        }
    }
    Ok(())
}
