//! A policy's text with all that stands in it: what `crates/policy` reads, and the blocks of the parts that the program
//! joins to it.

use beamgap_budgets::reader;
use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_config::{Place, Problem};
use beamgap_policy::check::{self, Known};
use beamgap_policy::diff::{self, Change};
use beamgap_policy::document::{self, Read};
use std::collections::BTreeMap;

/// A policy and what goes with it.
#[derive(Clone, Debug)]
pub struct Whole {
    /// The policy, with the places of all keys.
    pub read: Read,
    /// The fleet's budgets, by name.
    pub budgets: Vec<BudgetSpec>,
}

/// What a front end knows that a policy may name.
#[derive(Clone, Debug, Default)]
pub struct Here {
    /// Names.
    pub names: Known,
    /// The longest deadline of a class, in milliseconds, in the order of the classes' names.
    pub deadlines: Vec<f64>,
}

/// Reads a text. All faults are told.
pub fn read(file: &str, text: &str) -> Result<Whole, Vec<Problem>> {
    let read = document::read_with(file, text, vec![reader::schema()])?;
    let budgets = reader::read(&read.document)?;
    Ok(Whole { read, budgets })
}

/// Reads a text and checks that it can be used by a front end.
pub fn usable(file: &str, text: &str, here: &Here) -> Result<Whole, Vec<Problem>> {
    let whole = read(file, text)?;
    let mut problems = check::faults(&whole.read, &here.names);
    for budget in &whole.budgets {
        let place = place(&whole.read, &budget.name);
        let names = [
            ("class", &budget.class, &here.names.classes),
            ("account", &budget.account, &here.names.accounts),
        ];
        for (what, name, known) in names {
            problems.extend(name.iter().filter_map(|name| check::unknown(file, place, what, name, known)));
        }
        problems.extend(too_short(file, place, budget, here));
    }
    if problems.is_empty() {
        Ok(whole)
    } else {
        problems.sort_by_key(|p| p.place);
        Err(problems)
    }
}

/// What is held at once must be told to last as long as it may: what a dead front end has out counts for so long.
fn too_short(file: &str, place: Place, budget: &BudgetSpec, here: &Here) -> Option<Problem> {
    let Amount::Concurrency { max_duration_ms: longest, .. } = budget.amount else { return None };
    if budget.resource != Resource::OpenRequests {
        return None;
    }
    let classes = here.names.classes.iter().zip(&here.deadlines);
    let bound = classes.filter(|(name, _)| budget.class.as_ref().is_none_or(|class| class == *name));
    let needed = bound.map(|(_, deadline)| *deadline).fold(0.0, f64::max);
    (longest < needed).then(|| Problem {
        file: file.to_owned(),
        place,
        key: format!("budget \"{}\" longest", budget.name),
        problem: format!("is {longest} ms, and a request here may be out for {needed} ms"),
        fix: format!("write at least \"{needed} ms\""),
    })
}

fn place(read: &Read, name: &str) -> Place {
    use beamgap_config::Value;
    let none = Place { line: 1, column: 1 };
    let Value::Map(root) = &read.document.root else { return none };
    let Some(Value::List(blocks)) = root.get("budgets") else { return none };
    let named = |block: &Value| matches!(block, Value::Map(m) if m.get("name") == Some(&Value::Text(name.to_owned())));
    let at = blocks.iter().position(named);
    at.and_then(|i| read.document.place(&format!("budgets[{i}]"))).unwrap_or(none)
}

/// Two policies compared by what they mean.
pub fn compare(before: &Whole, after: &Whole) -> Vec<Change> {
    let mut changes = diff::diff(&before.read.policy, &after.read.policy);
    let told = |whole: &Whole| -> BTreeMap<String, String> {
        whole.budgets.iter().map(|b| (b.name.clone(), b.description())).collect()
    };
    let (before, after) = (told(before), told(after));
    for name in before.keys().chain(after.keys().filter(|name| !before.contains_key(*name))) {
        let word = |of: &BTreeMap<String, String>| of.get(name).cloned().unwrap_or("none".to_owned());
        let (a, b) = (word(&before), word(&after));
        if a != b {
            changes.push(Change {
                about: format!("budget \"{name}\""),
                key: String::new(),
                before: a,
                after: b,
            });
        }
    }
    changes.sort();
    changes
}
