//! Reads budgets from a policy document.
//!
//! This module alone maps the keys of a `budget` block, as operators write them, to the fields of [`BudgetSpec`].
//!
//! | key | field |
//! | --- | --- |
//! | `limits` | [`BudgetSpec::resource`] |
//! | `account`, `class` | [`BudgetSpec::account`], [`BudgetSpec::class`] |
//! | `rate`, `burst` | [`Amount::Rate`] |
//! | `most`, `longest` | [`Amount::Concurrency`] |
//! | `floor`, `floor_among` | [`BudgetSpec::floor`], [`BudgetSpec::max_members`] |
//! | `weight` | [`BudgetSpec::weights`] |

use crate::error::BudgetError;
use crate::spec::{Amount, BudgetSpec, Resource};
use crate::MAX_BUDGETS;
use beamgap_config::schema::{Block, Key, Shape};
use beamgap_config::{Document, Place, Problem, Value};
use std::collections::BTreeMap;

/// Number of units that the load on warming engines is divided into. With a million units, rounding to whole units does
/// not matter for any realistic number of front ends.
const WARMING_UNITS: u64 = 1_000_000;
/// Largest fraction of a budget that floors may reserve. Floors are not
/// reallocated, so at least half of the budget remains to be allocated by demand.
const MAX_FLOOR: f64 = 0.5;
/// Maximum length of the name of a budget, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// The keys and values of one `budget` or `weight` block.
type Keys = BTreeMap<String, Value>;

/// Returns the schema of `budget` blocks in a policy document.
pub fn schema() -> Block {
    let count = |least, most| Shape::Count { least, most };
    let weight = Block {
        name: "weight",
        setting: "weights",
        many: true,
        label: Some("name"),
        keys: vec![required("is", "is", count(1.0, 1000.0))],
        blocks: Vec::new(),
    };
    Block {
        name: "budget",
        setting: "budgets",
        many: true,
        label: Some("name"),
        keys: vec![
            required("limits", "limits", Shape::Text),
            optional("account", "account", Shape::Text),
            optional("class", "class", Shape::Text),
            optional("rate", "rate", count(1.0, 10_000_000.0)),
            optional("burst", "burst", count(1.0, 1_000_000.0)),
            optional("most", "most", count(1.0, 1_000_000.0)),
            optional("longest", "longest_ms", Shape::Duration),
            optional("floor", "floor", Shape::Share),
            optional("floor_among", "floor_among", count(1.0, 1000.0)),
        ],
        blocks: vec![weight],
    }
}

fn optional(name: &'static str, setting: &'static str, shape: Shape) -> Key {
    Key {
        name,
        setting,
        shape,
        needed: false,
    }
}

fn required(name: &'static str, setting: &'static str, shape: Shape) -> Key {
    Key {
        needed: true,
        ..optional(name, setting, shape)
    }
}

/// Reads the budgets of a policy document that was parsed with a schema that
/// contains [`schema`]. The budgets are returned in the order of their names.
///
/// # Errors
///
/// Returns the first problem of each invalid block, with its line and column, the key and advice on how to correct it.
pub fn read(document: &Document) -> Result<Vec<BudgetSpec>, Vec<Problem>> {
    let Value::Map(root) = &document.root else {
        return Ok(Vec::new());
    };
    let Some(Value::List(blocks)) = root.get("budgets") else {
        return Ok(Vec::new());
    };
    let mut specs: BTreeMap<String, BudgetSpec> = BTreeMap::new();
    let mut problems = Vec::new();
    for (index, block) in blocks.iter().enumerate() {
        let Value::Map(keys) = block else {
            continue;
        };
        let name = text(keys, "name").unwrap_or_default();
        match read_named(&name, keys, &specs) {
            Ok(spec) => {
                specs.insert(name, spec);
            }
            Err(error) => problems.push(problem(document, index, &name, error)),
        }
    }
    if problems.is_empty() {
        Ok(specs.into_values().collect())
    } else {
        Err(problems)
    }
}

/// Adds to an error the line and column of the key, or of the block if the key is missing.
fn problem(document: &Document, index: usize, name: &str, error: BudgetError) -> Problem {
    let key = error.key();
    let block_path = format!("budgets[{index}]");
    let key_path = if key.is_empty() {
        block_path.clone()
    } else {
        format!("{block_path}.{key}")
    };
    let place = document.place(&key_path).or(document.place(&block_path));
    Problem {
        file: document.file.clone(),
        place: place.unwrap_or(Place { line: 1, column: 1 }),
        key: format!("budget \"{name}\" {key}").trim_end().to_owned(),
        problem: error.to_string(),
        fix: error.fix().to_owned(),
    }
}

fn read_named(
    name: &str,
    keys: &Keys,
    earlier: &BTreeMap<String, BudgetSpec>,
) -> Result<BudgetSpec, BudgetError> {
    let is_valid = !name.is_empty() && name.len() <= MAX_NAME_LENGTH;
    if !is_valid || earlier.contains_key(name) || earlier.len() >= MAX_BUDGETS {
        return Err(BudgetError::Name);
    }
    let spec = read_spec(name, keys)?;
    check_floor(&spec)?;
    Ok(spec)
}

fn read_spec(name: &str, keys: &Keys) -> Result<BudgetSpec, BudgetError> {
    let resource = read_resource(keys)?;
    let account = text(keys, "account");
    let class = text(keys, "class");
    let is_of_engines = matches!(resource, Resource::Connections | Resource::WarmingEngines);
    if is_of_engines && (account.is_some() || class.is_some()) {
        return Err(BudgetError::HasNoAccountOrClass);
    }
    Ok(BudgetSpec {
        name: name.to_owned(),
        resource,
        account,
        class,
        amount: read_amount(resource, keys)?,
        floor: number(keys, "floor").unwrap_or(0.0),
        max_members: number(keys, "floor_among").unwrap_or(0.0) as u64,
        weights: read_weights(keys),
    })
}

fn read_resource(keys: &Keys) -> Result<Resource, BudgetError> {
    match text(keys, "limits").as_deref() {
        Some("requests") => Ok(Resource::Requests),
        Some("further_attempts") => Ok(Resource::Retries),
        Some("open") => Ok(Resource::OpenRequests),
        Some("connections") => Ok(Resource::Connections),
        Some("cold_engines") => Ok(Resource::WarmingEngines),
        _ => Err(BudgetError::UnknownResource),
    }
}

fn read_amount(resource: Resource, keys: &Keys) -> Result<Amount, BudgetError> {
    match resource {
        Resource::Requests | Resource::Retries => read_rate(keys),
        Resource::OpenRequests | Resource::Connections => read_concurrency(keys),
        Resource::WarmingEngines => {
            if has_any(keys, &["rate", "burst", "most", "longest_ms"]) {
                return Err(BudgetError::AmountIsFixed);
            }
            Ok(Amount::Concurrency {
                max: WARMING_UNITS,
                max_duration_ms: 0.0,
            })
        }
    }
}

fn read_rate(keys: &Keys) -> Result<Amount, BudgetError> {
    if has_any(keys, &["most", "longest_ms"]) {
        return Err(BudgetError::ConcurrencyKeyInRate);
    }
    let per_second = number(keys, "rate").ok_or(BudgetError::MissingRate)?;
    let burst = number(keys, "burst").unwrap_or(per_second).max(1.0) as u64;
    Ok(Amount::Rate { per_second, burst })
}

fn read_concurrency(keys: &Keys) -> Result<Amount, BudgetError> {
    if has_any(keys, &["rate", "burst"]) {
        return Err(BudgetError::RateKeyInConcurrency);
    }
    let max = number(keys, "most").ok_or(BudgetError::MissingMost)?;
    let max_duration_ms = number(keys, "longest_ms").ok_or(BudgetError::MissingLongest)?;
    Ok(Amount::Concurrency {
        max: max as u64,
        max_duration_ms,
    })
}

fn read_weights(keys: &Keys) -> BTreeMap<String, f64> {
    let Some(Value::List(blocks)) = keys.get("weights") else {
        return BTreeMap::new();
    };
    let weight = |block: &Value| match block {
        Value::Map(keys) => Some((text(keys, "name")?, number(keys, "is")?)),
        _ => None,
    };
    blocks.iter().filter_map(weight).collect()
}

fn check_floor(spec: &BudgetSpec) -> Result<(), BudgetError> {
    if spec.floor <= 0.0 {
        return Ok(());
    }
    if spec.max_members == 0 {
        return Err(BudgetError::MissingFloorAmong);
    }
    if spec.floor > MAX_FLOOR {
        return Err(BudgetError::FloorTooLarge);
    }
    if spec.floor_share().to_units(spec.total_units()) == 0 {
        return Err(BudgetError::FloorTooSmall);
    }
    Ok(())
}

fn has_any(keys: &Keys, names: &[&str]) -> bool {
    names.iter().any(|name| keys.contains_key(*name))
}

fn text(keys: &Keys, key: &str) -> Option<String> {
    match keys.get(key) {
        Some(Value::Text(text)) => Some(text.clone()),
        _ => None,
    }
}

fn number(keys: &Keys, key: &str) -> Option<f64> {
    match keys.get(key) {
        Some(Value::Number(number)) => Some(*number),
        _ => None,
    }
}
