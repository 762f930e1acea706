//! Whether a front end can use a policy: what it says against what the front end knows.

use crate::document::{self, Read};
use beamgap_config::{Place, Problem};

/// What a front end knows that a policy may name.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Its classes.
    pub classes: Vec<String>,
    /// Its accounts.
    pub accounts: Vec<String>,
    /// Its zones.
    pub zones: Vec<String>,
}

/// Reads a policy and checks that it can be used here.
pub fn usable(file: &str, text: &str, known: &Known) -> Result<Read, Vec<Problem>> {
    let read = document::read(file, text)?;
    let problems = faults(&read, known);
    if problems.is_empty() {
        Ok(read)
    } else {
        Err(problems)
    }
}

/// A name that is not known here: what is wrong, and the known one that is near to it.
pub fn unknown(file: &str, place: Place, what: &str, name: &str, names: &[String]) -> Option<Problem> {
    if names.iter().any(|known| known == name) {
        return None;
    }
    let near = names.iter().map(|known| (distance(known, name), known)).min();
    let fix = match near.filter(|(far, known)| *far <= 1 + known.len() / 3) {
        Some((_, known)) => format!("did you mean `{known}`?"),
        None => format!("known here: {}", names.join(", ")),
    };
    let (file, key) = (file.to_owned(), format!("{what} \"{name}\""));
    Some(Problem { file, place, key, problem: format!("is no {what} of this front end"), fix })
}

/// Why a policy can't be used here. Engines are not checked: they come and go while a policy stands.
pub fn faults(read: &Read, known: &Known) -> Vec<Problem> {
    let file = &read.document.file;
    let mut problems = Vec::new();
    let mut unknown = |list: &str, label: &str, what: &str, name: &str, names: &[String]| {
        problems.extend(unknown(file, place(read, list, label, name), what, name, names));
    };
    read.policy.classes.keys().for_each(|n| unknown("classes", "name", "class", n, &known.classes));
    read.policy.accounts.keys().for_each(|n| unknown("accounts", "name", "account", n, &known.accounts));
    read.policy.zones.keys().for_each(|n| unknown("zones", "name", "zone", n, &known.zones));
    let zones: Vec<_> =
        known.zones.iter().map(|z| read.policy.zones.get(z).copied().unwrap_or(1.0)).collect();
    if !zones.is_empty() && zones.iter().all(|weight| *weight == 0.0) {
        problems.push(Problem {
            file: file.clone(),
            place: Place { line: 1, column: 1 },
            key: "zone".to_owned(),
            problem: "weights are 0% for every zone of this front end".to_owned(),
            fix: "leave one zone above 0%, or refuse the classes instead".to_owned(),
        });
    }
    problems
}

fn place(read: &Read, list: &str, label: &str, name: &str) -> Place {
    use beamgap_config::Value;
    let none = Place { line: 1, column: 1 };
    let Value::Map(root) = &read.document.root else { return none };
    let Some(Value::List(blocks)) = root.get(list) else { return none };
    let named =
        |block: &Value| matches!(block, Value::Map(m) if m.get(label) == Some(&Value::Text(name.to_owned())));
    let at = blocks.iter().position(named).and_then(|i| read.document.place(&format!("{list}[{i}]")));
    at.unwrap_or(none)
}

/// Edits from one name to another.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut before = i;
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let least = (before + usize::from(x != *y)).min(row[j] + 1).min(row[j + 1] + 1);
            before = std::mem::replace(&mut row[j + 1], least);
        }
    }
    row[b.len()]
}
