//! A budget as the operator writes it in the policy, and as the fleet agrees on it.

use crate::{Parts, BUDGETS_MOST, WHOLE};
use beamgap_config::schema::{Block, Key, Shape};
use beamgap_config::{Document, Place, Problem, Value};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

const COLD_UNITS: u64 = 1_000_000; // fine enough for any number of front ends

/// What a budget bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Of {
    /// Requests that come in: a rate.
    Requests,
    /// Attempts beyond a request's first: a rate, beside each front end's own ration.
    FurtherAttempts,
    /// Requests that are open: a stock.
    Open,
    /// Connections to each engine: a stock, divided alike for all engines.
    Connections,
    /// What a cold engine bears, as the settings say it: divided among the front ends that are really there.
    ColdEngines,
}

/// How much it is.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Amount {
    /// So many a second, and so many at once beyond.
    Rate {
        /// A second.
        per_s: f64,
        /// At once.
        burst: u64,
    },
    /// So many at the same time, each of which is surely over after so long.
    Stock {
        /// At the same time.
        most: u64,
        /// Milliseconds.
        longest: f64,
    },
}

/// A budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Its name.
    pub name: String,
    /// What it bounds.
    pub of: Of,
    /// Of this account; of all where none is named.
    pub account: Option<String>,
    /// Of this class; of all where none is named.
    pub class: Option<String>,
    /// How much.
    pub amount: Amount,
    /// What is set aside of it for front ends that can't ask, from 0 to 1.
    pub floor: f64,
    /// Among so many front ends.
    pub seats: u64,
    /// Weights by zone or member; 1 where none is said.
    pub weights: BTreeMap<String, f64>,
}

impl Spec {
    /// The units that it is divided in: what may come at once, or be out at once.
    pub fn units(&self) -> u64 {
        match self.amount {
            Amount::Rate { burst, .. } => burst,
            Amount::Stock { most, .. } => most,
        }
    }

    /// What one front end is set aside, of the whole.
    pub fn floor_part(&self) -> Parts {
        if self.seats == 0 {
            return 0;
        }
        (self.floor.clamp(0.0, 1.0) * WHOLE as f64 / self.seats as f64) as Parts
    }

    /// What is left to be divided.
    pub fn shared(&self) -> Parts {
        WHOLE - self.floor_part() * self.seats
    }

    /// How long what it bounds may outlive the part that it was admitted on, in milliseconds.
    pub fn outlives(&self) -> f64 {
        match self.amount {
            Amount::Rate { .. } => 0.0,
            Amount::Stock { longest, .. } => longest,
        }
    }

    /// The weight of a member.
    pub fn weight(&self, member: &str, zone: &str) -> f64 {
        self.weights.get(member).or(self.weights.get(zone)).copied().unwrap_or(1.0)
    }

    /// Whether it bounds what comes in of a class and an account.
    pub fn binds(&self, class: &str, account: Option<&str>) -> bool {
        let class_fits = self.class.as_deref().is_none_or(|name| name == class);
        class_fits && self.account.as_deref().is_none_or(|name| Some(name) == account)
    }

    /// It in a line, for a comparison of two policies.
    pub fn told(&self) -> String {
        let what = match self.of {
            Of::Requests => "requests",
            Of::FurtherAttempts => "further attempts",
            Of::Open => "open requests",
            Of::Connections => "connections to each engine",
            Of::ColdEngines => return "what cold engines bear, among those that are there".to_owned(),
        };
        let amount = match self.amount {
            Amount::Rate { per_s, burst } => format!("{per_s} a second, {burst} at once"),
            Amount::Stock { most, longest } => format!("{most} at a time, each {longest} ms at most"),
        };
        let whose = |kind: &str, name: &Option<String>| {
            name.as_ref().map(|name| format!(" of {kind} {name}")).unwrap_or_default()
        };
        let floor = match self.floor > 0.0 {
            true => format!(", {}% set aside among {}", self.floor * 100.0, self.seats),
            false => String::new(),
        };
        let weights: String =
            self.weights.iter().map(|(name, w)| format!(", weight of {name} {w}")).collect();
        let (account, class) = (whose("account", &self.account), whose("class", &self.class));
        format!("{what}{account}{class}: {amount}{floor}{weights}")
    }
}

fn key(name: &'static str, setting: &'static str, shape: Shape) -> Key {
    Key { name, setting, shape, needed: false }
}

/// What may stand in a policy.
pub fn schema() -> Block {
    let count = |least, most| Shape::Count { least, most };
    let weight = Block {
        name: "weight",
        setting: "weights",
        many: true,
        label: Some("name"),
        keys: vec![Key { needed: true, ..key("is", "is", count(1.0, 1000.0)) }],
        blocks: Vec::new(),
    };
    Block {
        name: "budget",
        setting: "budgets",
        many: true,
        label: Some("name"),
        keys: vec![
            Key { needed: true, ..key("limits", "limits", Shape::Text) },
            key("account", "account", Shape::Text),
            key("class", "class", Shape::Text),
            key("rate", "rate", count(1.0, 10_000_000.0)),
            key("burst", "burst", count(1.0, 1_000_000.0)),
            key("most", "most", count(1.0, 1_000_000.0)),
            key("longest", "longest_ms", Shape::Duration),
            key("floor", "floor", Shape::Share),
            key("floor_among", "floor_among", count(1.0, 1000.0)),
        ],
        blocks: vec![weight],
    }
}

/// The budgets of a policy that was read by a schema with [`schema`] in it. All faults are told.
pub fn read(document: &Document) -> Result<Vec<Spec>, Vec<Problem>> {
    let Value::Map(root) = &document.root else { return Ok(Vec::new()) };
    let Some(Value::List(blocks)) = root.get("budgets") else { return Ok(Vec::new()) };
    let mut specs: BTreeMap<String, Spec> = BTreeMap::new();
    let mut problems = Vec::new();
    for (i, block) in blocks.iter().enumerate() {
        let Value::Map(map) = block else { continue };
        let name = text(map, "name").unwrap_or_default();
        let mut wrong = |key: &str, problem: &str, fix: &str| {
            let at = format!("budgets[{i}]{}{key}", if key.is_empty() { "" } else { "." });
            let place = document.place(&at).or(document.place(&format!("budgets[{i}]")));
            problems.push(Problem {
                file: document.file.clone(),
                place: place.unwrap_or(Place { line: 1, column: 1 }),
                key: format!("budget \"{name}\" {key}").trim_end().to_owned(),
                problem: problem.to_owned(),
                fix: fix.to_owned(),
            });
        };
        if name.is_empty() || name.len() > 64 || specs.contains_key(&name) || specs.len() >= BUDGETS_MOST {
            wrong(
                "",
                "is empty, too long, one too many or stands twice",
                "give each budget a name of its own",
            );
            continue;
        }
        match one(&name, map) {
            Ok(spec) => drop(specs.insert(name.clone(), spec)),
            Err((key, problem, fix)) => wrong(key, problem, fix),
        }
    }
    if problems.is_empty() {
        Ok(specs.into_values().collect())
    } else {
        Err(problems)
    }
}

fn text(map: &BTreeMap<String, Value>, key: &str) -> Option<String> {
    match map.get(key) {
        Some(Value::Text(text)) => Some(text.clone()),
        _ => None,
    }
}

fn number(map: &BTreeMap<String, Value>, key: &str) -> Option<f64> {
    match map.get(key) {
        Some(Value::Number(n)) => Some(*n),
        _ => None,
    }
}

type Wrong = (&'static str, &'static str, &'static str);

fn one(name: &str, map: &BTreeMap<String, Value>) -> Result<Spec, Wrong> {
    let of = match text(map, "limits").as_deref() {
        Some("requests") => Of::Requests,
        Some("further_attempts") => Of::FurtherAttempts,
        Some("open") => Of::Open,
        Some("connections") => Of::Connections,
        Some("cold_engines") => Of::ColdEngines,
        _ => {
            let fix = "write requests, further_attempts, open, connections or cold_engines";
            return Err(("limits", "is nothing that a budget limits", fix));
        }
    };
    let (account, class) = (text(map, "account"), text(map, "class"));
    if matches!(of, Of::Connections | Of::ColdEngines) && (account.is_some() || class.is_some()) {
        return Err(("limits", "is of engines, not of an account or a class", "take account and class out"));
    }
    let amount = match of {
        Of::Requests | Of::FurtherAttempts => {
            if map.contains_key("most") || map.contains_key("longest_ms") {
                return Err(("most", "is for what is held at once; this is a rate", "write rate and burst"));
            }
            let Some(per_s) = number(map, "rate") else {
                return Err(("rate", "is missing", "write how many a second, as in `rate = 40`"));
            };
            let burst = number(map, "burst").unwrap_or(per_s).max(1.0) as u64;
            Amount::Rate { per_s, burst }
        }
        Of::ColdEngines => {
            if ["rate", "burst", "most", "longest_ms"].iter().any(|key| map.contains_key(*key)) {
                return Err((
                    "limits",
                    "is all that cold engines bear, as the settings say",
                    "take the figures out",
                ));
            }
            Amount::Stock { most: COLD_UNITS, longest: 0.0 }
        }
        Of::Open | Of::Connections => {
            if map.contains_key("rate") || map.contains_key("burst") {
                return Err(("rate", "is for what comes in; this is held at once", "write most and longest"));
            }
            let Some(most) = number(map, "most") else {
                return Err(("most", "is missing", "write how many at a time, as in `most = 30`"));
            };
            let Some(longest) = number(map, "longest_ms") else {
                let fix = "write the longest time that one is out, the longest deadline as a rule";
                return Err(("longest", "is missing", fix));
            };
            Amount::Stock { most: most as u64, longest }
        }
    };
    let floor = number(map, "floor").unwrap_or(0.0);
    let seats = number(map, "floor_among").unwrap_or(0.0) as u64;
    if floor > 0.0 && seats == 0 {
        return Err(("floor_among", "is missing", "write the most front ends that will be there at once"));
    }
    if floor > 0.5 {
        return Err((
            "floor",
            "is over 50%",
            "what is set aside moves to nobody; leave half or more to move",
        ));
    }
    let weights = match map.get("weights") {
        Some(Value::List(list)) => list
            .iter()
            .filter_map(|block| match block {
                Value::Map(map) => Some((text(map, "name")?, number(map, "is")?)),
                _ => None,
            })
            .collect(),
        _ => BTreeMap::new(),
    };
    let spec = Spec { name: name.to_owned(), of, account, class, amount, floor, seats, weights };
    if floor > 0.0 && crate::units(spec.floor_part(), spec.units()) == 0 {
        let fix = "raise floor, burst or most, or lower floor_among";
        return Err(("floor", "gives each front end less than one", fix));
    }
    Ok(spec)
}
