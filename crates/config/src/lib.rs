//! Parses an operator's configuration file: HCL with the blocks, keys and units defined by a [schema].
//!
//! The parser reports all errors of a file at once, each with its line, its key and a suggested correction. The result
//! consists of [`Value`]s under the names of the program's settings, with the position of each key in the file, so that
//! later semantic checks can report the line too.
//!
//! The entry point is [`read`]. The value types are defined in [`schema`], the units in [`units`].

pub mod schema;
pub mod units;

use hcl_edit::expr::Expression;
use hcl_edit::structure::{Block, Body, Structure};
use hcl_edit::Span;
use schema::{Block as BlockSchema, Key, Shape};
use std::collections::BTreeMap;
use std::fmt;

/// A value of a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A string.
    Text(String),
    /// A number, in the unit that the setting's name indicates.
    Number(f64),
    /// A boolean.
    Flag(bool),
    /// A list of blocks or values.
    List(Vec<Value>),
    /// Values by name.
    Map(BTreeMap<String, Value>),
}

impl Value {
    /// Returns the value as JSON.
    pub fn json(&self) -> String {
        self.to_json_value().to_string()
    }

    fn to_json_value(&self) -> serde_json::Value {
        match self {
            Value::Text(text) => text.as_str().into(),
            // Whole numbers are written as JSON integers, as a reader may distinguish integers from floats.
            Value::Number(number) if number.fract() == 0.0 && number.abs() < 1e15 => (*number as i64).into(),
            Value::Number(number) => (*number).into(),
            Value::Flag(flag) => (*flag).into(),
            Value::List(list) => list.iter().map(Value::to_json_value).collect(),
            Value::Map(map) => map.iter().map(|(key, value)| (key.clone(), value.to_json_value())).collect(),
        }
    }
}

/// A position in the file: line and column, both starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line number.
    pub line: usize,
    /// The column, counted in characters.
    pub column: usize,
}

/// An error in the file, with its position and a suggested correction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The name of the file.
    pub file: String,
    /// The position in the file.
    pub place: Place,
    /// The path of the key.
    pub key: String,
    /// The description of the error.
    pub problem: String,
    /// The suggested correction.
    pub fix: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem { file, place: Place { line, column }, key, problem, fix } = self;
        write!(f, "{file}:{line}:{column}: {key} {problem}; {fix}")
    }
}

impl std::error::Error for Problem {}

/// A file that was parsed without errors.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// The name of the file.
    pub file: String,
    /// All settings in the file.
    pub root: Value,
    /// The position of each key, by its path in the program's settings, such as `mysql.accounts[0].tenant`.
    pub places: BTreeMap<String, Place>,
}

impl Document {
    /// The position of a key, or of the innermost enclosing block if the key is absent.
    pub fn place(&self, path: &str) -> Option<Place> {
        let mut path = path;
        loop {
            if let Some(place) = self.places.get(path) {
                return Some(*place);
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }
}

/// The maximum size of a file, in bytes.
pub const FILE_MOST: usize = 1 << 20;
/// The maximum nesting depth of brackets in a file, which bounds the recursion of the HCL parser.
const DEPTH_MOST: usize = 32;

/// Parses the text of a file according to a schema. Returns all errors, sorted by position.
pub fn read(file: &str, text: &str, schema: &BlockSchema) -> Result<Document, Vec<Problem>> {
    let mut reader = Reader { file, text, places: BTreeMap::new(), problems: Vec::new() };
    // The HCL parser recurses once per nesting level, so deep nesting could overflow the stack.
    let deep = depth(text);
    if text.len() > FILE_MOST || deep > DEPTH_MOST {
        let problem = if deep > DEPTH_MOST { "is nested too deep" } else { "is too long" };
        let fix = format!("at most {DEPTH_MOST} levels and {FILE_MOST} bytes are read");
        reader.fault(0, "(file)", problem, fix);
        return Err(reader.problems);
    }
    let body: Body = match text.parse() {
        Ok(body) => body,
        Err(e) => {
            let e: hcl_edit::parser::Error = e;
            let place = Place { line: e.location().line(), column: e.location().column() };
            let (file, key) = (file.to_owned(), "(file)".to_owned());
            let problem = format!("is not HCL: {}", e.message().replace('\n', " "));
            let twice = e.message().contains("redefined");
            let fix = if twice {
                "keep one of the two"
            } else {
                "write `key = value` or `block \"label\" { ... }`"
            };
            let fix = fix.to_owned();
            return Err(vec![Problem { file, place, key, problem, fix }]);
        }
    };
    let root = reader.body(&body, schema, "", 0);
    if reader.problems.is_empty() {
        Ok(Document { file: file.to_owned(), root: Value::Map(root), places: reader.places })
    } else {
        reader.problems.sort_by_key(|p| p.place);
        Err(reader.problems)
    }
}

fn depth(text: &str) -> usize {
    let (mut depth, mut most) = (0usize, 0);
    for byte in text.bytes() {
        match byte {
            b'{' | b'[' | b'(' => depth += 1,
            b'}' | b']' | b')' => depth = depth.saturating_sub(1),
            _ => {}
        }
        most = most.max(depth);
    }
    most
}

struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    places: BTreeMap<String, Place>,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn place(&self, at: usize) -> Place {
        let before = self.text.get(..at).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().unwrap_or_default().chars().count() + 1;
        Place { line, column }
    }

    fn fault(&mut self, at: usize, key: &str, problem: impl Into<String>, fix: impl Into<String>) {
        let (file, place) = (self.file.to_owned(), self.place(at));
        self.problems.push(Problem {
            file,
            place,
            key: key.to_owned(),
            problem: problem.into(),
            fix: fix.into(),
        });
    }

    fn body(&mut self, body: &Body, schema: &BlockSchema, path: &str, at: usize) -> BTreeMap<String, Value> {
        let mut map = BTreeMap::new();
        let mut lists: BTreeMap<&str, Vec<Value>> = BTreeMap::new();
        for structure in body {
            match structure {
                Structure::Attribute(attribute) => {
                    let name = attribute.key.as_str();
                    let at = attribute.key.span().map_or(0, |span| span.start);
                    let key = join(path, name);
                    match schema.keys.iter().find(|k| k.name == name) {
                        None => self.unknown(at, &key, name, schema),
                        Some(known) => {
                            if let Some(value) = self.value(&attribute.value, known, &key, at) {
                                self.places.insert(join(path, known.setting), self.place(at));
                                map.insert(known.setting.to_owned(), value);
                            }
                        }
                    }
                }
                Structure::Block(block) => {
                    let name = block.ident.as_str();
                    let at = block.ident.span().map_or(0, |span| span.start);
                    let Some(known) = schema.blocks.iter().find(|b| b.name == name) else {
                        self.unknown(at, &join(path, name), name, schema);
                        continue;
                    };
                    let place = self.place(at);
                    if known.many {
                        let list = lists.entry(known.setting).or_default();
                        let inside = format!("{}[{}]", join(path, known.setting), list.len());
                        self.places.insert(inside.clone(), place);
                        let value = self.block(block, known, &inside, at);
                        lists.entry(known.setting).or_default().push(Value::Map(value));
                    } else {
                        let inside = join(path, known.setting);
                        if map.contains_key(known.setting) {
                            self.fault(at, &inside, "stands twice", "put both into one block");
                            continue;
                        }
                        self.places.insert(inside.clone(), place);
                        let value = self.block(block, known, &inside, at);
                        map.insert(known.setting.to_owned(), Value::Map(value));
                    }
                }
            }
        }
        map.extend(lists.into_iter().map(|(name, list)| (name.to_owned(), Value::List(list))));
        for known in schema.keys.iter().filter(|k| k.needed && !map.contains_key(k.setting)) {
            let key = join(path, known.name);
            // A required key with an invalid value has already been reported and is not reported as missing.
            if !self.problems.iter().any(|p| p.key == key) {
                self.fault(
                    at,
                    &key,
                    "is missing",
                    format!("add `{} = {}`", known.name, known.shape.example()),
                );
            }
        }
        map
    }

    fn block(
        &mut self,
        block: &Block,
        known: &BlockSchema,
        path: &str,
        at: usize,
    ) -> BTreeMap<String, Value> {
        let mut map = self.body(&block.body, known, path, at);
        let labels: Vec<&str> = block.labels.iter().map(|label| label.as_str()).collect();
        match (known.label, labels.as_slice()) {
            (None, []) => {}
            (Some(setting), [label]) => {
                self.places.insert(join(path, setting), self.place(at));
                map.insert(setting.to_owned(), Value::Text((*label).to_owned()));
            }
            (None, _) => self.fault(at, path, "has a label", format!("write `{} {{`", known.name)),
            (Some(_), _) => {
                self.fault(at, path, "needs one label", format!("write `{} \"name\" {{`", known.name));
            }
        }
        map
    }

    fn unknown(&mut self, at: usize, key: &str, name: &str, schema: &BlockSchema) {
        let names = schema.keys.iter().map(|k| k.name).chain(schema.blocks.iter().map(|b| b.name));
        let near = names.clone().map(|known| (strsim::damerau_levenshtein(known, name), known)).min();
        let fix = match near.filter(|(far, known)| *far <= 1 + known.len() / 3) {
            Some((_, known)) => format!("did you mean `{known}`?"),
            None => format!("known here: {}", names.collect::<Vec<_>>().join(", ")),
        };
        self.fault(at, key, "is not known", fix);
    }

    fn value(&mut self, given: &Expression, known: &Key, key: &str, at: usize) -> Option<Value> {
        let plain = match given {
            Expression::String(text) => Plain::Text(text.as_str()),
            Expression::Number(number) => Plain::Number(number.as_f64().unwrap_or(f64::NAN)),
            Expression::Bool(flag) => Plain::Flag(*flag.value()),
            _ => Plain::Other,
        };
        let at = given.span().map_or(at, |span| span.start);
        let read = match (&known.shape, &plain) {
            (Shape::Text, Plain::Text(text)) => Ok(Value::Text((*text).to_owned())),
            (Shape::Address, Plain::Text(text)) if text.parse::<std::net::SocketAddr>().is_ok() => {
                Ok(Value::Text((*text).to_owned()))
            }
            (Shape::Flag, Plain::Flag(flag)) => Ok(Value::Flag(*flag)),
            (Shape::Count { least, most }, Plain::Number(n))
                if n.fract() == 0.0 && (*least..=*most).contains(n) =>
            {
                Ok(Value::Number(*n))
            }
            (Shape::Duration, Plain::Text(text)) => units::duration_ms(text).map(Value::Number),
            (Shape::Size, Plain::Text(text)) => units::size_mb(text).map(Value::Number),
            (Shape::Share, Plain::Text(text)) => units::share(text).map(Value::Number),
            (shape, Plain::Number(n)) if shape.has_unit() => Err(units::Wrong {
                problem: format!("is {n} without a unit"),
                fix: format!("write {}", shape.with_unit(*n)),
            }),
            (shape, _) => Err(units::Wrong {
                problem: format!("is {}, not {}", plain.describe(), shape.describe()),
                fix: format!("write for example `{} = {}`", known.name, shape.example()),
            }),
        };
        match read {
            Ok(value) => Some(value),
            Err(units::Wrong { problem, fix }) => {
                self.fault(at, key, problem, fix);
                None
            }
        }
    }
}

enum Plain<'a> {
    Text(&'a str),
    Number(f64),
    Flag(bool),
    Other,
}

impl Plain<'_> {
    fn describe(&self) -> String {
        match self {
            Plain::Text(text) => format!("\"{}\"", text.chars().take(60).collect::<String>()),
            Plain::Number(number) => number.to_string(),
            Plain::Flag(flag) => flag.to_string(),
            Plain::Other => "an expression".to_owned(),
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}
