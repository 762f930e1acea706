//! Checks whether a front end can apply a policy: it must know every class, account and zone that the policy names.

use crate::document::{self, ParsedPolicy};
use beamgap_config::{Place, Problem};

/// Names configured at a front end, which a policy may refer to.
///
/// Engine ids are not checked, because engines join and leave the pool while a policy is active.
#[derive(Clone, Debug, Default)]
pub struct KnownNames {
    /// Names of the request classes configured at the front end.
    pub classes: Vec<String>,
    /// Names of the accounts configured at the front end.
    pub accounts: Vec<String>,
    /// Names of the engine zones configured at the front end.
    pub zones: Vec<String>,
}

/// Parses a policy and validates it against the names that a front end knows.
///
/// # Errors
/// All problems found, each with its position, its key and a suggested fix. Names are checked only if parsing succeeds.
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

/// Returns the reasons why a front end with these known names can't apply the policy; empty if it can.
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
    problems.extend(all_zones_excluded(parsed, known));
    problems
}

fn all_zones_excluded(parsed: &ParsedPolicy, known: &KnownNames) -> Option<Problem> {
    let weight = |zone: &String| parsed.policy.zones.get(zone).copied().unwrap_or(1.0);
    if known.zones.is_empty() || known.zones.iter().any(|zone| weight(zone) != 0.0) {
        return None;
    }
    Some(Problem {
        file: parsed.document.file.clone(),
        place: Place { line: 1, column: 1 },
        key: "zone".to_owned(),
        problem: "weights are 0% for every zone of this front end".to_owned(),
        fix: "leave one zone above 0%, or set `refused` for the classes instead".to_owned(),
    })
}

/// Returns a problem if `name` is not among the `known` names, and `None` if it is.
///
/// The suggested fix is the most similar known name, or the list of known names if none is similar. `kind` says what
/// the name refers to, for example `class`.
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
    let fix = match most_similar(name, known) {
        Some(candidate) => format!("did you mean `{candidate}`?"),
        None => format!("known here: {}", known.join(", ")),
    };
    Some(Problem {
        file: file.to_owned(),
        place,
        key: format!("{kind} \"{name}\""),
        problem: format!("is not a known {kind} at this front end"),
        fix,
    })
}

/// The known name with the smallest edit distance from `name`. Returns `None` if that distance is too large for a typo,
/// that is, greater than 1 plus a third of the known name's length in bytes.
fn most_similar<'a>(name: &str, known: &'a [String]) -> Option<&'a String> {
    let by_distance = known
        .iter()
        .map(|candidate| (edit_distance(candidate, name), candidate));
    let (distance, candidate) = by_distance.min()?;
    (distance <= 1 + candidate.len() / 3).then_some(candidate)
}

/// The Levenshtein distance between two strings, in characters.
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
