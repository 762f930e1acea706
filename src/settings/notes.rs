//! Log notes about the settings that were read: which given paths were ignored, and which defaults replace missing
//! settings.

use std::collections::{BTreeSet, HashMap};

/// Paths that the node reads itself; the decision module has no settings for them.
const READ_BY_NODE: [&str; 6] = [
    "Limits.DialTimeout",
    "Limits.ConnIdle",
    "Limits.StreamsPerConn",
    "Limits.MaxOpen",
    "Limits.MaxRetryAfter",
    "Azs",
];

/// Paths that are ignored without a note, because they are meant for human readers or can be derived from other
/// settings.
const IGNORED_SILENTLY: [&str; 3] = ["Domain.Notes", "Domain.ReportX0", "Domain.ReportX1"];

/// Paths, and a description of the default that applies when the path is missing. `*` stands for the index of a class.
const DEFAULTS: [(&str, &str); 22] = [
    ("Azs", "engines have no zones"),
    ("Balancers", "one front end"),
    ("Classes.*.AimStretch", "the latency objective does not grow with the work"),
    ("Classes.*.LateWorth", "late answers have no value"),
    ("Classes.*.OnTime", "the latency objective is the deadline"),
    ("Classes.*.Repeat", "requests are not idempotent and never run twice"),
    ("Classes.*.Value", "priority weight 1"),
    ("Contract.DrainGrace", "draining engines get no new attempts, effective at once"),
    ("Contract.ExtraRatio", "no retry budget proportional to the requests"),
    ("Contract.Fall", "engines need no slow start"),
    ("Domain.CoresByKind", "8 cores per engine"),
    ("Domain.RamOfKindMb", "16384 MB per engine"),
    ("Domain.TellsCost", "answers carry no actual cost"),
    ("Domain.TellsEvery", "engines report no progress before an attempt ends"),
    ("Domain.ThreadsByClass", "each query runs on one thread"),
    ("Limits.Cancel", "attempts can't be cancelled"),
    ("Limits.ConnIdle", "engines close connections that are idle for 15 s"),
    ("Limits.DialTimeout", "connects time out after 250 ms"),
    ("Limits.MaxOpen", "at most 30000 open requests"),
    ("Limits.SendCap", "no limit on the attempts of a request"),
    ("Limits.StreamsPerConn", "100 attempts per connection"),
    ("Report.How", "no load reports"),
];

/// Note for settings under which load reports arrive with probe results only.
const REPORTS_ON_PROBE: &str =
    "Report.How: load reports arrive with probe results only; own attempts, answers and progress reports fill the gaps";

/// Maximum length of the list in a note, in characters. The list is truncated, because the number of settings in
/// the configuration is not limited and a note is a single log line.
const MAX_LIST_CHARS: usize = 2000;

/// Maximum number of classes whose defaults are included in a note.
const MAX_CLASSES: usize = 64;

/// Returns the notes for the settings in `given`. `looked_up` contains the paths that were looked up while the
/// settings were read.
pub fn notes(given: &HashMap<String, String>, looked_up: &BTreeSet<String>) -> Vec<String> {
    let mut notes = Vec::new();
    let ignored = ignored_paths(given, looked_up);
    if !ignored.is_empty() {
        notes.push(note("settings without use here", &ignored.join(" ")));
    }
    let assumed = assumed_defaults(given);
    if !assumed.is_empty() {
        notes.push(note("settings assumed", &assumed.join("; ")));
    }
    notes
}

/// Returns the given paths that no part of the program reads, sorted by name.
fn ignored_paths<'a>(given: &'a HashMap<String, String>, looked_up: &BTreeSet<String>) -> Vec<&'a str> {
    let is_known = |path: &str| {
        looked_up.contains(path) || READ_BY_NODE.contains(&path) || IGNORED_SILENTLY.contains(&path)
    };
    let mut ignored: Vec<&str> = given.keys().map(String::as_str).filter(|path| !is_known(path)).collect();
    ignored.sort_unstable();
    ignored
}

/// Returns a description of the default for each path that has no value.
fn assumed_defaults(given: &HashMap<String, String>) -> Vec<String> {
    let classes = class_count(given);
    let mut assumed = Vec::new();
    for (pattern, default) in DEFAULTS {
        for path in expand_pattern(pattern, classes) {
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

/// Expands `*` in a path pattern to the index of each class.
fn expand_pattern(pattern: &str, classes: usize) -> Vec<String> {
    if !pattern.contains('*') {
        return vec![pattern.to_owned()];
    }
    (0..classes).map(|class| pattern.replace('*', &class.to_string())).collect()
}

fn has_value(given: &HashMap<String, String>, path: &str) -> bool {
    given.get(path).is_some_and(|text| !text.is_empty() && text != "-")
}

/// Formats a note as a single line. The list is truncated to [`MAX_LIST_CHARS`], and control characters are replaced
/// by `?`.
fn note(head: &str, list: &str) -> String {
    let printable = |c: char| if c.is_control() { '?' } else { c };
    let list: String = list.chars().take(MAX_LIST_CHARS).map(printable).collect();
    format!("{head}: {list}")
}
