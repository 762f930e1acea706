//! Two policies compared by what they mean: order, spacing, comments and absent defaults make no difference.

use crate::document::{ClassRule, Policy};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    /// What it is about, such as `class "report"`.
    pub about: String,
    /// The key there; empty where the whole is meant.
    pub key: String,
    /// What it was.
    pub before: String,
    /// What it is to be.
    pub after: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gap = if self.key.is_empty() { "" } else { " " };
        write!(f, "{}{gap}{}: {} -> {}", self.about, self.key, self.before, self.after)
    }
}

/// All differences, in order of what they are about.
pub fn diff(before: &Policy, after: &Policy) -> Vec<Change> {
    let mut all = Vec::new();
    let mut put = |about: String, key: &str, a: String, b: String| {
        if a != b {
            all.push(Change { about, key: key.to_owned(), before: a, after: b });
        }
    };
    for id in union(before.left_out.iter(), after.left_out.iter()) {
        let word = |p: &Policy| if p.left_out.contains(id) { "left out" } else { "in use" }.to_owned();
        put(format!("engine \"{id}\""), "", word(before), word(after));
    }
    for name in union(before.forbidden.iter(), after.forbidden.iter()) {
        let word = |p: &Policy| if p.forbidden.contains(name) { "yes" } else { "no" }.to_owned();
        put(format!("task \"{name}\""), "forbidden", word(before), word(after));
    }
    for name in union(before.classes.keys(), after.classes.keys()) {
        let none = ClassRule::default();
        let a = before.classes.get(name).unwrap_or(&none);
        let b = after.classes.get(name).unwrap_or(&none);
        let about = || format!("class \"{name}\"");
        let word = |r: &ClassRule| if r.refused { "yes" } else { "no" }.to_owned();
        put(about(), "refused", word(a), word(b));
        put(about(), "attempts", bound(a.attempts.map(f64::from), ""), bound(b.attempts.map(f64::from), ""));
        put(about(), "rate", bound(a.rate, " a second"), bound(b.rate, " a second"));
        put(about(), "deadline", bound(a.deadline_ms, " ms"), bound(b.deadline_ms, " ms"));
    }
    shares(&before.accounts, &after.accounts, "account", "share", &mut put);
    shares(&before.zones, &after.zones, "zone", "weight", &mut put);
    let open = |p: &Policy| bound(p.open_most.map(|n| n as f64), "");
    put("admission".to_owned(), "open_most", open(before), open(after));
    all.sort();
    all
}

fn shares(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    what: &str,
    key: &str,
    put: &mut impl FnMut(String, &str, String, String),
) {
    for name in union(before.keys(), after.keys()) {
        let share = |map: &BTreeMap<String, f64>| {
            let share = map.get(name).copied().unwrap_or(1.0) * 100.0;
            format!("{}%", (share * 1000.0).round() / 1000.0)
        };
        put(format!("{what} \"{name}\""), key, share(before), share(after));
    }
}

fn bound(value: Option<f64>, unit: &str) -> String {
    value.map_or("unbounded".to_owned(), |value| format!("{value}{unit}"))
}

fn union<'a>(
    a: impl Iterator<Item = &'a String>,
    b: impl Iterator<Item = &'a String>,
) -> BTreeSet<&'a String> {
    a.chain(b).collect()
}
