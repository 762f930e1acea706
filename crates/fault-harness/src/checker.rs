//! History checker for policies: compares the recorded events with the numbered promises of `docs/policy.md`.
//!
//! All functions are pure. The checker does not use the status that a program reports about itself.

use crate::breaks::{broken, Break};
use crate::history::{Event, What};
use std::collections::{BTreeMap, BTreeSet};

/// The content of a policy version, as the fleet reports the version at the end of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Version {
    /// Hash of the policy text.
    pub hash: String,
    /// Indices of the request classes that the policy refuses.
    pub refused: BTreeSet<usize>,
    /// Maximum number of attempts of a request of any class; `None` sets no maximum.
    pub attempts: Option<usize>,
    /// Ids of the engines that the policy excludes from routing.
    pub left_out: BTreeSet<String>,
    /// Whether the policy contains budgets.
    pub budgets: bool,
}

/// The rules that the checker applies to a history.
#[derive(Clone, Debug, Default)]
pub struct Law {
    /// Maximum time in which admissions under two policy versions may overlap, in milliseconds.
    pub switch_bound: f64,
    /// All policy versions that became active, by number, and no others.
    pub versions: BTreeMap<u64, Version>,
    /// Index of the load class, whose requests have side effects and may arrive at an engine only once.
    pub load: usize,
}

/// Counts and measured times of a history without violations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Number of requests that members admitted.
    pub admitted: usize,
    /// Number of requests that members refused at admission.
    pub refused: usize,
    /// Number of requests that clients sent.
    pub sent: usize,
    /// Number of requests that clients saw answered with success.
    pub served: usize,
    /// Longest time in which admissions under two policy versions overlapped, in milliseconds.
    pub overlap: f64,
    /// Longest time between two consecutive admissions in the whole fleet, in milliseconds.
    pub gap: f64,
    /// Summary of the operations of the fleet's tasks; filled in by the caller.
    pub operations: crate::operations::OperationSummary,
    /// Usage of each of the fleet's budgets, empty for a run without budgets; filled in by the caller.
    pub shared: Vec<crate::budget_checker::BudgetUsage>,
}

/// Checks a history against the rules. The events must be sorted by time.
///
/// # Errors
///
/// The first violation of a promise, with the events that prove it.
pub fn judge(events: &[Event], law: &Law) -> Result<Summary, Break> {
    check_policy_texts(events, law)?;
    let overlap = check_switch_overlap(events, law)?;
    check_requests(events, law)?;
    check_acknowledged_versions(events)?;
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

/// Checks promise 1: every member uses a policy version with the text that the fleet recorded for that version.
/// No request may be admitted under a policy version that never became active.
fn check_policy_texts(events: &[Event], law: &Law) -> Result<(), Break> {
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

/// Checks promise 2: admissions under an old policy version end within the switch bound after the first under a newer one.
/// Returns the longest overlap of two versions in milliseconds.
fn check_switch_overlap(events: &[Event], law: &Law) -> Result<f64, Break> {
    let admits = events.iter().filter_map(|e| match &e.what {
        What::Admit { version, .. } => Some((e, *version)),
        _ => None,
    });
    // The highest version seen so far, with the first admission under that version.
    let mut highest: Option<(&Event, u64)> = None;
    // For each version that was the highest when it first occurred: its first admission, in order of time.
    let mut firsts: Vec<(&Event, u64)> = Vec::new();
    let mut longest_overlap = 0.0f64;
    for (event, version) in admits {
        if highest.is_none_or(|(_, most)| version > most) {
            highest = Some((event, version));
            firsts.push((event, version));
            continue;
        }
        if let Some((first, newer)) = firsts.iter().find(|(_, v)| *v > version) {
            let late = event.at - first.at;
            longest_overlap = longest_overlap.max(late);
            if late > law.switch_bound {
                let text = format!(
                    "admitted under version {version} {late:.0} ms after the first under {newer}; {} ms are allowed",
                    law.switch_bound
                );
                return broken(2, text, &[first, event]);
            }
        }
    }
    Ok(longest_overlap)
}

/// Checks promises 3, 4 and 6: a request is admitted once and answered once, and its attempts follow its policy version.
/// A request of the load class must arrive at an engine at most once, and engines must receive only admitted requests.
fn check_requests(events: &[Event], law: &Law) -> Result<(), Break> {
    let mut admits: BTreeMap<&str, (&Event, u64, usize)> = BTreeMap::new();
    let mut arrivals: BTreeMap<&str, Vec<&Event>> = BTreeMap::new();
    let mut answers: BTreeMap<&str, &Event> = BTreeMap::new();
    for event in events {
        match &event.what {
            What::Admit { id, version, class, .. } => {
                if let Some((first, ..)) = admits.insert(id, (event, *version, *class)) {
                    return broken(3, format!("request {id} was admitted twice"), &[first, event]);
                }
                let rules = law.versions.get(version);
                if rules.is_some_and(|rules| rules.refused.contains(class)) {
                    let text = format!(
                        "a request of class {class} was admitted under version {version}, which refuses it"
                    );
                    return broken(3, text, &[event]);
                }
            }
            What::Came { engine, id } => {
                let attempts = arrivals.entry(id).or_default();
                attempts.push(event);
                let Some((admit, version, class)) = admits.get(id.as_str()) else {
                    return broken(
                        4,
                        format!("request {id} came to an engine and was never admitted"),
                        &[event],
                    );
                };
                let rules = law.versions.get(version);
                if rules.is_some_and(|rules| rules.left_out.contains(engine)) {
                    let text =
                        format!("request {id} came to {engine}, which its version {version} leaves out");
                    return broken(3, text, &[admit, event]);
                }
                let max_attempts = rules.and_then(|rules| rules.attempts).unwrap_or(usize::MAX);
                let max_attempts = if *class == law.load { max_attempts.min(1) } else { max_attempts };
                if attempts.len() > max_attempts {
                    let text =
                        format!("request {id} came {} times, {max_attempts} are allowed", attempts.len());
                    return broken(3, text, attempts);
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

/// Checks promise 5: no admission under an old version after an operator's command reported a newer version as active.
fn check_acknowledged_versions(events: &[Event]) -> Result<(), Break> {
    let mut newest_reported: Option<(&Event, u64)> = None;
    for event in events {
        match &event.what {
            What::Command { code: 0, version: Some(version), .. }
                if newest_reported.is_none_or(|(_, before)| *version > before) =>
            {
                newest_reported = Some((event, *version));
            }
            What::Admit { version, .. } => {
                if let Some((command, acknowledged)) = newest_reported.filter(|(_, v)| version < v) {
                    let text = format!(
                        "admitted under version {version} after {acknowledged} was said to be in force"
                    );
                    return broken(5, text, &[command, event]);
                }
            }
            _ => {}
        }
    }
    Ok(())
}
