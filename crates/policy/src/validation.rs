//! Whether a front end can use a policy: each name in it must be one that the front end knows.

use crate::document::{self, ParsedPolicy};
use beamgap_config::{Place, Problem};

/// Names that a policy may use at a front end. Engines are not among them: they come and go while a policy stands.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Its classes.
    pub classes: Vec<String>,
    /// Its accounts.
    pub accounts: Vec<String>,
    /// Its zones.
    pub zones: Vec<String>,
}

/// Parses a policy and validates it against the names that a front end knows.
///
/// # Errors
/// All problems, each with its place, key and fix.
pub fn parse_and_validate(
    file: &str,
    text: &str,
    known: &KnownNames,
) -> Result<ParsedPolicy, Vec<Problem>> {
    let parsed = document::parse(file, text)?;
    let problems = validate(&parsed, known);
    if problems.is_empty() {
        Ok(parsed)
    } else {
        Err(problems)
    }
}

/// Why a front end with these names can't use a policy; empty if it can.
pub fn validate(parsed: &ParsedPolicy, known: &KnownNames) -> Vec<Problem> {
    let file = &parsed.document.file;
    let policy = &parsed.policy;
    let mut problems = Vec::new();
    for name in policy.classes.keys() {
        let place = parsed.place_of_block("classes", "name", name);
        problems.extend(unknown_name(file, place, "class", name, &known.classes));
    }
    for name in policy.accounts.keys() {
        let place = parsed.place_of_block("accounts", "name", name);
        problems.extend(unknown_name(file, place, "account", name, &known.accounts));
    }
    for name in policy.zones.keys() {
        let place = parsed.place_of_block("zones", "name", name);
        problems.extend(unknown_name(file, place, "zone", name, &known.zones));
    }
    problems.extend(no_zone_left(parsed, known));
    problems
}

fn no_zone_left(parsed: &ParsedPolicy, known: &KnownNames) -> Option<Problem> {
    let weight = |zone: &String| parsed.policy.zones.get(zone).copied().unwrap_or(1.0);
    if known.zones.is_empty() || known.zones.iter().any(|zone| weight(zone) != 0.0) {
        return None;
    }
    Some(Problem {
        file: parsed.document.file.clone(),
        place: Place { line: 1, column: 1 },
        key: "zone".to_owned(),
        problem: "weights are 0% for every zone of this front end".to_owned(),
        fix: "leave one zone above 0%, or refuse the classes instead".to_owned(),
    })
}

/// The problem of a name that is not known here, with the known name that is most like it; none if it is known.
/// `kind` tells what the name stands for, such as `class`.
pub fn unknown_name(
    file: &str,
    place: Place,
    kind: &str,
    name: &str,
    known: &[String],
) -> Option<Problem> {
    if known.iter().any(|candidate| candidate == name) {
        return None;
    }
    let fix = match nearest(name, known) {
        Some(candidate) => format!("did you mean `{candidate}`?"),
        None => format!("known here: {}", known.join(", ")),
    };
    Some(Problem {
        file: file.to_owned(),
        place,
        key: format!("{kind} \"{name}\""),
        problem: format!("is no {kind} of this front end"),
        fix,
    })
}

/// The known name with the fewest edits, unless it takes too many for a typing error.
fn nearest<'a>(name: &str, known: &'a [String]) -> Option<&'a String> {
    let by_distance = known
        .iter()
        .map(|candidate| (edit_distance(candidate, name), candidate));
    let (distance, candidate) = by_distance.min()?;
    (distance <= 1 + candidate.len() / 3).then_some(candidate)
}

/// Levenshtein distance in characters.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, char_of_a) in a.chars().enumerate() {
        let mut diagonal = i;
        row[0] = i + 1;
        for (j, char_of_b) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(char_of_a != *char_of_b);
            let distance = substitution.min(row[j] + 1).min(row[j + 1] + 1);
            diagonal = row[j + 1];
            row[j + 1] = distance;
        }
    }
    row[b.len()]
}
