//! The policy as operators write it, and as the fleet agrees on it.

use beamgap_config::schema::{Block, Key, Shape};
use beamgap_config::{Document, Place, Problem, Value};
use std::collections::{BTreeMap, BTreeSet};

/// The form of policies that this program reads. A document of a later form is turned down by whoever is older.
pub const FORM: u64 = 1;

/// Longest document in bytes: it goes through the fleet's log whole.
pub const MAX_TEXT_LENGTH: usize = 64 * 1024;

/// What a class is subject to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassRule {
    /// Its requests are refused, harmlessly.
    pub refused: bool,
    /// Attempts of one request at most.
    pub attempts: Option<u32>,
    /// Requests that each front end admits in a second at most.
    pub rate: Option<f64>,
    /// Time that a request has at most, in milliseconds.
    pub deadline_ms: Option<f64>,
}

/// A fleet's policy. What is absent binds nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Engines that get nothing new, by id.
    pub left_out: BTreeSet<String>,
    /// Rules by class.
    pub classes: BTreeMap<String, ClassRule>,
    /// The most of what a front end is asked that may be admitted of an account, from 0 to 1.
    pub accounts: BTreeMap<String, f64>,
    /// The part of a zone's engines that is used, from 0 to 1.
    pub zones: BTreeMap<String, f64>,
    /// Tasks of the fleet that do not run, by name.
    pub forbidden: BTreeSet<String>,
    /// Requests open at a front end at most.
    pub open_most: Option<usize>,
}

/// A policy with the places of its keys.
#[derive(Clone, Debug)]
pub struct Read {
    /// What it says.
    pub policy: Policy,
    /// Where each key stands.
    pub document: Document,
}

fn key(name: &'static str, setting: &'static str, shape: Shape) -> Key {
    Key { name, setting, shape, needed: false }
}

/// What may stand in a policy.
pub fn schema() -> Block {
    let many = |name, setting, label, keys| Block {
        name,
        setting,
        many: true,
        label: Some(label),
        keys,
        blocks: Vec::new(),
    };
    let count = |least, most| Shape::Count { least, most };
    let class = vec![
        key("refused", "refused", Shape::Flag),
        key("attempts", "attempts", count(1.0, 100.0)),
        key("rate", "rate", count(0.0, 1_000_000.0)),
        key("deadline", "deadline_ms", Shape::Duration),
    ];
    let share = |name| Key { needed: true, ..key(name, name, Shape::Share) };
    let admission = Block {
        name: "admission",
        setting: "admission",
        keys: vec![key("open_most", "open_most", count(1.0, 10_000_000.0))],
        ..Block::default()
    };
    let engine = vec![
        Key { needed: true, ..key("left_out", "left_out", Shape::Flag) },
        key("why", "why", Shape::Text),
    ];
    Block {
        keys: vec![Key { needed: true, ..key("form", "form", count(1.0, 1_000_000.0)) }],
        blocks: vec![
            many("engine", "engines", "id", engine),
            many("class", "classes", "name", class),
            many("account", "accounts", "name", vec![share("share")]),
            many("zone", "zones", "name", vec![share("weight")]),
            many(
                "task",
                "tasks",
                "name",
                vec![Key { needed: true, ..key("forbidden", "forbidden", Shape::Flag) }],
            ),
            admission,
        ],
        ..Block::default()
    }
}

/// The form that a text claims, without reading the rest: a later one can't be read, but named.
pub fn form(text: &str) -> Option<u64> {
    let line = text.lines().map(str::trim).find(|line| line.starts_with("form"))?;
    line.strip_prefix("form")?.trim_start().strip_prefix('=')?.split('#').next()?.trim().parse().ok()
}

/// Reads a policy. All faults are told, each with its place and its fix.
pub fn read(file: &str, text: &str) -> Result<Read, Vec<Problem>> {
    read_with(file, text, Vec::new())
}

/// Reads a policy in which other parts of the program have blocks of their own, which they read from the document.
pub fn read_with(file: &str, text: &str, others: Vec<Block>) -> Result<Read, Vec<Problem>> {
    let fault = |key: &str, problem: String, fix: &str| {
        let (file, place) = (file.to_owned(), Place { line: 1, column: 1 });
        vec![Problem { file, place, key: key.to_owned(), problem, fix: fix.to_owned() }]
    };
    if text.len() > MAX_TEXT_LENGTH {
        return Err(fault("(file)", format!("has {} bytes", text.len()), "at most 65536 are read"));
    }
    if let Some(form) = form(text).filter(|form| *form > FORM) {
        let fix = "update this front end's program, or write the policy in the older form";
        return Err(fault("form", format!("is {form}; this program reads up to {FORM}"), fix));
    }
    let mut schema = schema();
    schema.blocks.extend(others);
    let document = beamgap_config::read(file, text, &schema)?;
    let mut problems = Vec::new();
    let policy = Reader { document: &document, problems: &mut problems }.policy();
    if problems.is_empty() {
        Ok(Read { policy, document })
    } else {
        problems.sort_by_key(|p| p.place);
        Err(problems)
    }
}

struct Reader<'a> {
    document: &'a Document,
    problems: &'a mut Vec<Problem>,
}

impl Reader<'_> {
    /// The blocks of a kind by their label. One that stands twice is a fault: which of the two holds?
    fn labelled(&mut self, list: &str, label: &str) -> BTreeMap<String, BTreeMap<String, Value>> {
        let mut all: BTreeMap<String, BTreeMap<String, Value>> = BTreeMap::new();
        let Value::Map(root) = &self.document.root else { return all };
        let Some(Value::List(blocks)) = root.get(list) else { return all };
        for (i, block) in blocks.iter().enumerate() {
            let Value::Map(map) = block else { continue };
            let Some(Value::Text(name)) = map.get(label) else { continue };
            if name.is_empty() || all.contains_key(name) {
                let key = format!("{list}[{i}]");
                let place = self.document.place(&key).unwrap_or(Place { line: 1, column: 1 });
                let problem = format!("names '{name}', which is empty or stands twice");
                let fix = "keep one block for each name".to_owned();
                self.problems.push(Problem { file: self.document.file.clone(), place, key, problem, fix });
            }
            all.insert(name.clone(), map.clone());
        }
        all
    }

    fn policy(&mut self) -> Policy {
        let flag = |map: &BTreeMap<String, Value>, key| map.get(key) == Some(&Value::Flag(true));
        let number = |map: &BTreeMap<String, Value>, key| match map.get(key) {
            Some(Value::Number(n)) => Some(*n),
            _ => None,
        };
        let engines = self.labelled("engines", "id");
        let tasks = self.labelled("tasks", "name");
        let forbidden =
            tasks.into_iter().filter(|(_, map)| flag(map, "forbidden")).map(|(name, _)| name).collect();
        let classes = self.labelled("classes", "name").into_iter().map(|(name, map)| {
            let rule = ClassRule {
                refused: flag(&map, "refused"),
                attempts: number(&map, "attempts").map(|n| n as u32),
                rate: number(&map, "rate"),
                deadline_ms: number(&map, "deadline_ms"),
            };
            (name, rule)
        });
        let classes = classes.collect();
        let mut shares = |list, key| {
            let blocks = self.labelled(list, "name").into_iter();
            blocks.filter_map(|(name, map)| Some((name, number(&map, key)?))).collect()
        };
        let (accounts, zones) = (shares("accounts", "share"), shares("zones", "weight"));
        let open_most = match &self.document.root {
            Value::Map(root) => match root.get("admission") {
                Some(Value::Map(map)) => number(map, "open_most").map(|n| n as usize),
                _ => None,
            },
            _ => None,
        };
        let left_out = engines.into_iter().filter(|(_, map)| flag(map, "left_out")).map(|(id, _)| id);
        Policy { left_out: left_out.collect(), classes, accounts, zones, forbidden, open_most }
    }
}
