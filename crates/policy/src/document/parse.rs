//! Reads a policy document into a [`Policy`].

use super::{schema, ClassRule, Policy, FORMAT_VERSION, MAX_TEXT_LENGTH};
use beamgap_config::schema::Block;
use beamgap_config::{Document, Place, Problem, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Where a problem is reported that belongs to no line.
const START_OF_FILE: Place = Place { line: 1, column: 1 };

type Fields = BTreeMap<String, Value>;

/// A policy with the places of its keys.
#[derive(Clone, Debug)]
pub struct ParsedPolicy {
    /// What it says.
    pub policy: Policy,
    /// Where each key stands.
    pub document: Document,
}

impl ParsedPolicy {
    /// Where the block with this label stands in a list of blocks; the start of the file if there is none.
    pub fn place_of_block(&self, list: &str, label: &str, name: &str) -> Place {
        let named = Value::Text(name.to_owned());
        let is_meant = |block: &Value| matches!(block, Value::Map(fields) if fields.get(label) == Some(&named));
        let index = blocks(&self.document, list).iter().position(is_meant);
        index
            .and_then(|index| self.document.place(&format!("{list}[{index}]")))
            .unwrap_or(START_OF_FILE)
    }
}

/// The format version that a text claims, without reading the rest: a later one can't be read, but named.
pub fn claimed_format_version(text: &str) -> Option<u64> {
    let line = text
        .lines()
        .map(str::trim)
        .find(|line| line.starts_with("form"))?;
    let value = line.strip_prefix("form")?.trim_start().strip_prefix('=')?;
    value.split('#').next()?.trim().parse().ok()
}

/// Parses a policy.
///
/// # Errors
/// All problems of the text in the order of their places, each with its key and its fix.
pub fn parse(file: &str, text: &str) -> Result<ParsedPolicy, Vec<Problem>> {
    parse_with_blocks(file, text, Vec::new())
}

/// Parses a policy that holds further blocks, which other parts of the program read from the document.
///
/// # Errors
/// As [`parse`].
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
    let fix = format!("at most {MAX_TEXT_LENGTH} are read");
    Err(vec![problem_of_file(file, "(file)", problem, fix)])
}

fn check_format_version(file: &str, text: &str) -> Result<(), Vec<Problem>> {
    match claimed_format_version(text) {
        Some(version) if version > FORMAT_VERSION => {
            let problem = format!("is {version}; this program reads up to {FORMAT_VERSION}");
            let fix =
                "update this front end's program, or write the policy in the older form".to_owned();
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

/// The blocks of a list, empty where there are none.
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
            excluded_engines: self.flagged("engines", "id", "left_out"),
            forbidden_tasks: self.flagged("tasks", "name", "forbidden"),
            classes: self.classes(),
            accounts: self.shares("accounts", "share"),
            zones: self.shares("zones", "weight"),
            max_in_flight: self.max_in_flight(),
        }
    }

    fn flagged(&mut self, list: &str, label: &str, key: &str) -> BTreeSet<String> {
        let blocks = self.labelled(list, label).into_iter();
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
        let blocks = self.labelled("classes", "name").into_iter();
        blocks.map(|(name, fields)| (name, rule(fields))).collect()
    }

    fn shares(&mut self, list: &str, key: &str) -> BTreeMap<String, f64> {
        let blocks = self.labelled(list, "name").into_iter();
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

    /// The blocks of a list by their label. A label that stands twice is a problem: either block could be meant.
    fn labelled(&mut self, list: &str, label: &str) -> BTreeMap<String, Fields> {
        let mut by_name: BTreeMap<String, Fields> = BTreeMap::new();
        for (index, block) in blocks(self.document, list).iter().enumerate() {
            let Value::Map(fields) = block else { continue };
            let Some(Value::Text(name)) = fields.get(label) else {
                continue;
            };
            if name.is_empty() || by_name.contains_key(name) {
                self.problems
                    .push(self.bad_label(format!("{list}[{index}]"), name));
            }
            by_name.insert(name.clone(), fields.clone());
        }
        by_name
    }

    fn bad_label(&self, key: String, name: &str) -> Problem {
        Problem {
            file: self.document.file.clone(),
            place: self.document.place(&key).unwrap_or(START_OF_FILE),
            key,
            problem: format!("names '{name}', which is empty or stands twice"),
            fix: "keep one block for each name".to_owned(),
        }
    }
}
