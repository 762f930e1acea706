//! Notes for the log on settings that were read: the paths that were ignored, and the defaults that are assumed.

use std::collections::{BTreeSet, HashMap};

/// Paths that the node reads itself, beside the decision module's settings.
const READ_BY_NODE: [&str; 6] = [
    "Limits.DialTimeout",
    "Limits.ConnIdle",
    "Limits.StreamsPerConn",
    "Limits.MaxOpen",
    "Limits.MaxRetryAfter",
    "Azs",
];

/// Paths that need no note when they are ignored: they are for people, or follow from others.
const IGNORED_SILENTLY: [&str; 3] = ["Domain.Notes", "Domain.ReportX0", "Domain.ReportX1"];

/// Paths, and what is assumed where one is absent; `*` stands for the number of a class.
const DEFAULTS: [(&str, &str); 22] = [
    ("Azs", "no zones"),
    ("Balancers", "one front end"),
    ("Classes.*.AimStretch", "an aim that does not grow with the work"),
    ("Classes.*.LateWorth", "late answers are worth nothing"),
    ("Classes.*.OnTime", "the aim is the deadline"),
    ("Classes.*.Repeat", "never run twice"),
    ("Classes.*.Value", "each is worth 1"),
    ("Contract.DrainGrace", "nothing new to what drains, at once"),
    ("Contract.ExtraRatio", "no ration of further attempts but its own"),
    ("Contract.Fall", "cold engines bear what warm ones do"),
    ("Domain.CoresByKind", "8 cores an engine"),
    ("Domain.RamOfKindMb", "16384 MB an engine"),
    ("Domain.TellsCost", "answers do not tell their cost"),
    ("Domain.TellsEvery", "no notes: an attempt is silent till its end"),
    ("Domain.ThreadsByClass", "each query runs on one thread"),
    ("Limits.Cancel", "attempts can't be called off"),
    ("Limits.ConnIdle", "engines close what is idle for 15 s"),
    ("Limits.DialTimeout", "250 ms to connect"),
    ("Limits.MaxOpen", "30000 requests open at most"),
    ("Limits.SendCap", "no bound on the attempts of a request"),
    ("Limits.StreamsPerConn", "100 attempts on a connection"),
    ("Report.How", "no load reports"),
];

/// Noted where load reports come with probes only.
const REPORTS_ON_PROBE: &str =
    "Report.How: loads are told only when asked for, so own work, answers and notes tell them";

/// Characters of a note's list at most, so that settings of any size make no longer line.
const MAX_LIST_CHARS: usize = 2000;

/// Classes whose defaults are noted at most.
const MAX_CLASSES: usize = 64;

/// The notes on `given`. `asked` are the paths that were looked up when it was read.
pub fn notes(given: &HashMap<String, String>, asked: &BTreeSet<String>) -> Vec<String> {
    let mut notes = Vec::new();
    let ignored = ignored_paths(given, asked);
    if !ignored.is_empty() {
        notes.push(note("settings without use here", &ignored.join(" ")));
    }
    let assumed = assumed_defaults(given);
    if !assumed.is_empty() {
        notes.push(note("settings assumed", &assumed.join("; ")));
    }
    notes
}

/// The given paths that nothing reads, in order.
fn ignored_paths<'a>(given: &'a HashMap<String, String>, asked: &BTreeSet<String>) -> Vec<&'a str> {
    let is_known =
        |path: &str| asked.contains(path) || READ_BY_NODE.contains(&path) || IGNORED_SILENTLY.contains(&path);
    let mut ignored: Vec<&str> = given.keys().map(String::as_str).filter(|path| !is_known(path)).collect();
    ignored.sort_unstable();
    ignored
}

/// What is assumed for the paths that have no value.
fn assumed_defaults(given: &HashMap<String, String>) -> Vec<String> {
    let classes = class_count(given);
    let mut assumed = Vec::new();
    for (pattern, default) in DEFAULTS {
        for path in paths_of(pattern, classes) {
            if !has_value(given, &path) {
                assumed.push(format!("{path}: {default}"));
            }
        }
    }
    if given.get("Report.How").is_some_and(|how| how == "on_probe") {
        assumed.push(REPORTS_ON_PROBE.to_owned());
    }
    assumed
}

fn class_count(given: &HashMap<String, String>) -> usize {
    let count = given.get("Classes.count").and_then(|count| count.parse::<usize>().ok());
    count.unwrap_or(0).min(MAX_CLASSES)
}

/// The paths that a pattern stands for.
fn paths_of(pattern: &str, classes: usize) -> Vec<String> {
    if !pattern.contains('*') {
        return vec![pattern.to_owned()];
    }
    (0..classes).map(|class| pattern.replace('*', &class.to_string())).collect()
}

fn has_value(given: &HashMap<String, String>, path: &str) -> bool {
    given.get(path).is_some_and(|text| !text.is_empty() && text != "-")
}

/// One line: the list is cut to its greatest length, and control characters are replaced.
fn note(head: &str, list: &str) -> String {
    let printable = |c: char| if c.is_control() { '?' } else { c };
    let list: String = list.chars().take(MAX_LIST_CHARS).map(printable).collect();
    format!("{head}: {list}")
}
