//! How far given settings fit this program: what it has no use for, and what it assumes where a figure is absent.

use std::collections::{BTreeSet, HashMap};

/// What the node itself reads beside the module's settings.
const NODE: [&str; 6] = [
    "Limits.DialTimeout",
    "Limits.ConnIdle",
    "Limits.StreamsPerConn",
    "Limits.MaxOpen",
    "Limits.MaxRetryAfter",
    "Azs",
];

/// What is told to people, or follows from what is read.
const PASSED_OVER: [&str; 3] = ["Domain.Notes", "Domain.ReportX0", "Domain.ReportX1"];

/// A figure by its path, and what holds where it is absent.
const ASSUMED: [(&str, &str); 22] = [
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

const TOLD_MOST: usize = 2000; // bytes of a line: settings of any size make no longer one

/// The lines for the log. `asked` are the paths that were looked up when `given` was read.
pub fn fit(given: &HashMap<String, String>, asked: &BTreeSet<String>) -> Vec<String> {
    let known = |path: &str| asked.contains(path) || NODE.contains(&path) || PASSED_OVER.contains(&path);
    let unused: BTreeSet<&str> = given.keys().map(String::as_str).filter(|path| !known(path)).collect();
    let classes = given.get("Classes.count").and_then(|n| n.parse::<usize>().ok()).unwrap_or(0).min(64);
    let says = |path: &str| given.get(path).is_some_and(|text| !text.is_empty() && text != "-");
    let mut assumed = Vec::new();
    for (path, what) in ASSUMED {
        if path.contains('*') {
            let at = |i: usize| path.replace('*', &i.to_string());
            assumed.extend((0..classes).map(at).filter(|at| !says(at)).map(|at| format!("{at}: {what}")));
        } else if !says(path) {
            assumed.push(format!("{path}: {what}"));
        }
    }
    if given.get("Report.How").is_some_and(|how| how == "on_probe") {
        assumed.push(
            "Report.How: loads are told only when asked for, so own work, answers and notes tell them".into(),
        );
    }
    let line = |head: &str, parts: Vec<String>, between: &str| {
        let plain = |c: char| if c.is_control() { '?' } else { c };
        let text: String = parts.join(between).chars().take(TOLD_MOST).map(plain).collect();
        Some(format!("{head}: {text}")).filter(|_| !parts.is_empty())
    };
    let unused = line("settings without use here", unused.into_iter().map(str::to_owned).collect(), " ");
    unused.into_iter().chain(line("settings assumed", assumed, "; ")).collect()
}
