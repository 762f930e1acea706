//! Parses a policy document into a [`Policy`].

use super::{schema, ClassRule, Policy, FORMAT_VERSION, MAX_TEXT_LENGTH};
use beamgap_config::schema::Block;
use beamgap_config::{Document, Place, Problem, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Position reported for problems that concern the file as a whole or whose position is unknown.
const START_OF_FILE: Place = Place { line: 1, column: 1 };

type Fields = BTreeMap<String, Value>;

/// A policy together with the document that it was parsed from.
#[derive(Clone, Debug)]
pub struct ParsedPolicy {
    /// The parsed policy.
    pub policy: Policy,
    /// The document, which records the position of each key in the text.
    pub document: Document,
}

impl ParsedPolicy {
    /// Position of the block in `list` whose `label` has the value `name`; the start of the file if no block matches.
    pub fn place_of_block(&self, list: &str, label: &str, name: &str) -> Place {
        let wanted = Value::Text(name.to_owned());
        let has_label = |block: &Value| matches!(block, Value::Map(fields) if fields.get(label) == Some(&wanted));
        let index = blocks(&self.document, list).iter().position(has_label);
        index
            .and_then(|index| self.document.place(&format!("{list}[{index}]")))
            .unwrap_or(START_OF_FILE)
    }
}

/// Extracts the format version from the first line that starts with `form`, without parsing the rest of the text.
///
/// A document in a newer format may fail to parse; the extracted version allows an error that names that format.
/// Returns `None` if no such line exists or its value is not an integer.
pub fn claimed_format_version(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .map(str::trim)
        .find(|line| line.starts_with("form"))?;
    let value = line.strip_prefix("form")?.trim_start().strip_prefix('=')?;
    value.split('#').next()?.trim().parse().ok()
}

/// Parses a policy document. `file` is the file name used in error messages.
///
/// # Errors
/// All problems found in the text, ordered by position. Each has a key and a suggested fix.
pub fn parse(file: &str, text: &str) -> Result<ParsedPolicy, Vec<Problem>> {
    parse_with_blocks(file, text, Vec::new())
}

/// Parses a policy document whose schema is extended by `further_blocks`.
///
/// The contents of these blocks are not part of [`Policy`]; callers read them from [`ParsedPolicy::document`].
///
/// # Errors
/// The same errors as [`parse`].
pub fn parse_with_blocks(
    file: &str,
    text: &str,
    further_blocks: Vec<Block>,
) -> Result<ParsedPolicy, Vec<Problem>> {
    check_length(file, text)?;
    check_format_version(file, text)?;
    let mut schema = schema();
    schema.blocks.extend(further_blocks);
    let document = beamgap_config::read(file, text, &schema)?;
    let mut reader = Reader {
        document: &document,
        problems: Vec::new(),
    };
    let policy = reader.policy();
    let mut problems = reader.problems;
    if problems.is_empty() {
        return Ok(ParsedPolicy { policy, document });
    }
    problems.sort_by_key(|problem| problem.place);
    Err(problems)
}

fn check_length(file: &str, text: &str) -> Result<(), Vec<Problem>> {
    if text.len() <= MAX_TEXT_LENGTH {
        return Ok(());
    }
    let problem = format!("has {} bytes", text.len());
    let fix = format!("shorten it to at most {MAX_TEXT_LENGTH} bytes");
    Err(vec![problem_of_file(file, "(file)", problem, fix)])
}

fn check_format_version(file: &str, text: &str) -> Result<(), Vec<Problem>> {
    match claimed_format_version(text) {
        Some(version) if version > FORMAT_VERSION => {
            let problem = format!(
                "is {version}, but this program supports format versions up to {FORMAT_VERSION}"
            );
            let fix = "update this front end's program, or write the policy in an older format"
                .to_owned();
            Err(vec![problem_of_file(file, "form", problem, fix)])
        }
        _ => Ok(()),
    }
}

fn problem_of_file(file: &str, key: &str, problem: String, fix: String) -> Problem {
    Problem {
        file: file.to_owned(),
        place: START_OF_FILE,
        key: key.to_owned(),
        problem,
        fix,
    }
}

/// The blocks of the named list; empty if the document has no such list.
fn blocks<'a>(document: &'a Document, list: &str) -> &'a [Value] {
    let Value::Map(root) = &document.root else {
        return &[];
    };
    match root.get(list) {
        Some(Value::List(blocks)) => blocks,
        _ => &[],
    }
}

fn flag(fields: &Fields, key: &str) -> bool {
    fields.get(key) == Some(&Value::Flag(true))
}

fn number(fields: &Fields, key: &str) -> Option<f64> {
    match fields.get(key) {
        Some(Value::Number(number)) => Some(*number),
        _ => None,
    }
}

struct Reader<'a> {
    document: &'a Document,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn policy(&mut self) -> Policy {
        Policy {
            excluded_engines: self.labels_with_flag("engines", "id", "left_out"),
            forbidden_tasks: self.labels_with_flag("tasks", "name", "forbidden"),
            classes: self.classes(),
            accounts: self.shares("accounts", "share"),
            zones: self.shares("zones", "weight"),
            max_in_flight: self.max_in_flight(),
        }
    }

    fn labels_with_flag(&mut self, list: &str, label: &str, key: &str) -> BTreeSet<String> {
        let blocks = self.blocks_by_label(list, label).into_iter();
        blocks
            .filter(|(_, fields)| flag(fields, key))
            .map(|(name, _)| name)
            .collect()
    }

    fn classes(&mut self) -> BTreeMap<String, ClassRule> {
        let rule = |fields: Fields| ClassRule {
            rejected: flag(&fields, "refused"),
            max_attempts: number(&fields, "attempts").map(|n| n as u32),
            max_rate: number(&fields, "rate"),
            deadline_ms: number(&fields, "deadline_ms"),
        };
        let blocks = self.blocks_by_label("classes", "name").into_iter();
        blocks.map(|(name, fields)| (name, rule(fields))).collect()
    }

    fn shares(&mut self, list: &str, key: &str) -> BTreeMap<String, f64> {
        let blocks = self.blocks_by_label(list, "name").into_iter();
        blocks
            .filter_map(|(name, fields)| Some((name, number(&fields, key)?)))
            .collect()
    }

    fn max_in_flight(&self) -> Option<usize> {
        let Value::Map(root) = &self.document.root else {
            return None;
        };
        match root.get("admission") {
            Some(Value::Map(fields)) => number(fields, "open_most").map(|n| n as usize),
            _ => None,
        }
    }

    /// The blocks of a list, keyed by the value of `label`. Records a problem for each empty or duplicate label, since
    /// a duplicate leaves open which block applies.
    fn blocks_by_label(&mut self, list: &str, label: &str) -> BTreeMap<String, Fields> {
        let mut by_name: BTreeMap<String, Fields> = BTreeMap::new();
        for (index, block) in blocks(self.document, list).iter().enumerate() {
            let Value::Map(fields) = block else { continue };
            let Some(Value::Text(name)) = fields.get(label) else {
                continue;
            };
            if name.is_empty() || by_name.contains_key(name) {
                self.problems
                    .push(self.invalid_label(format!("{list}[{index}]"), name));
            }
            by_name.insert(name.clone(), fields.clone());
        }
        by_name
    }

    fn invalid_label(&self, key: String, name: &str) -> Problem {
        Problem {
            file: self.document.file.clone(),
            place: self.document.place(&key).unwrap_or(START_OF_FILE),
            key,
            problem: format!("has the label '{name}', which is empty or stands twice"),
            fix: "write one block for each label".to_owned(),
        }
    }
}
