//! Semantic comparison of two policies: order, whitespace, comments and explicitly written defaults are ignored.

use crate::document::{ClassRule, Policy};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One difference between two policies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Difference {
    /// The block that differs, for example `class "report"`.
    pub about: String,
    /// The key that differs within the block; empty if the difference concerns the block as a whole.
    pub key: String,
    /// The old value, as text for operators.
    pub before: String,
    /// The new value, as text for operators.
    pub after: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gap = if self.key.is_empty() { "" } else { " " };
        write!(
            f,
            "{}{gap}{}: {} -> {}",
            self.about, self.key, self.before, self.after
        )
    }
}

/// Returns all differences between two policies, sorted by block and key.
pub fn diff(before: &Policy, after: &Policy) -> Vec<Difference> {
    let mut differences = Differences {
        before,
        after,
        found: Vec::new(),
    };
    differences.compare_engines();
    differences.compare_tasks();
    differences.compare_classes();
    differences.compare_shares("account", "share", |policy| &policy.accounts);
    differences.compare_shares("zone", "weight", |policy| &policy.zones);
    differences.compare_admission();
    differences.found.sort();
    differences.found
}

struct Differences<'a> {
    before: &'a Policy,
    after: &'a Policy,
    found: Vec<Difference>,
}

impl Differences<'_> {
    fn compare_engines(&mut self) {
        let state = |excluded: bool| if excluded { "left out" } else { "in use" };
        for id in union(
            self.before.excluded_engines.iter(),
            self.after.excluded_engines.iter(),
        ) {
            let before = state(self.before.excluded_engines.contains(id));
            let after = state(self.after.excluded_engines.contains(id));
            self.add(format!("engine \"{id}\""), "", before, after);
        }
    }

    fn compare_tasks(&mut self) {
        for name in union(
            self.before.forbidden_tasks.iter(),
            self.after.forbidden_tasks.iter(),
        ) {
            let before = yes_or_no(self.before.forbidden_tasks.contains(name));
            let after = yes_or_no(self.after.forbidden_tasks.contains(name));
            self.add(format!("task \"{name}\""), "forbidden", before, after);
        }
    }

    fn compare_classes(&mut self) {
        let unrestricted = ClassRule::default();
        for name in union(self.before.classes.keys(), self.after.classes.keys()) {
            let before = self.before.classes.get(name).unwrap_or(&unrestricted);
            let after = self.after.classes.get(name).unwrap_or(&unrestricted);
            let about = format!("class \"{name}\"");
            self.add(
                about.clone(),
                "refused",
                yes_or_no(before.rejected),
                yes_or_no(after.rejected),
            );
            let attempts = |rule: &ClassRule| limit(rule.max_attempts.map(f64::from), "");
            self.add(
                about.clone(),
                "attempts",
                &attempts(before),
                &attempts(after),
            );
            let rate = |rule: &ClassRule| limit(rule.max_rate, " a second");
            self.add(about.clone(), "rate", &rate(before), &rate(after));
            let deadline = |rule: &ClassRule| limit(rule.deadline_ms, " ms");
            self.add(about, "deadline", &deadline(before), &deadline(after));
        }
    }

    fn compare_shares(
        &mut self,
        kind: &str,
        key: &str,
        shares: impl Fn(&Policy) -> &BTreeMap<String, f64>,
    ) {
        let (before, after) = (shares(self.before), shares(self.after));
        for name in union(before.keys(), after.keys()) {
            self.add(
                format!("{kind} \"{name}\""),
                key,
                &percent(before.get(name)),
                &percent(after.get(name)),
            );
        }
    }

    fn compare_admission(&mut self) {
        let max_in_flight = |policy: &Policy| limit(policy.max_in_flight.map(|n| n as f64), "");
        let (before, after) = (max_in_flight(self.before), max_in_flight(self.after));
        self.add("admission".to_owned(), "open_most", &before, &after);
    }

    fn add(&mut self, about: String, key: &str, before: &str, after: &str) {
        if before != after {
            self.found.push(Difference {
                about,
                key: key.to_owned(),
                before: before.to_owned(),
                after: after.to_owned(),
            });
        }
    }
}

fn yes_or_no(flag: bool) -> &'static str {
    if flag {
        "yes"
    } else {
        "no"
    }
}

/// Formats a share as a percentage with up to three decimal places. An absent share means 100%.
fn percent(share: Option<&f64>) -> String {
    let share = share.copied().unwrap_or(1.0) * 100.0;
    format!("{}%", (share * 1000.0).round() / 1000.0)
}

fn limit(value: Option<f64>, unit: &str) -> String {
    value.map_or("unbounded".to_owned(), |value| format!("{value}{unit}"))
}

fn union<'a>(
    a: impl Iterator<Item = &'a String>,
    b: impl Iterator<Item = &'a String>,
) -> BTreeSet<&'a String> {
    a.chain(b).collect()
}
