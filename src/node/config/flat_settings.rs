//! The platform's settings as flat pairs of path and text, as the simulator's wire has them.

use crate::node::json::{OwnedValue, StaticNode, ValueAsArray, ValueAsObject};
use crate::node::section::{wrong, ReadResult};
use std::collections::HashMap;

/// Pairs of path and text.
pub(super) struct Pairs(pub HashMap<String, String>);

impl Pairs {
    /// Flattens nested JSON. A list of objects becomes its count and an index in each path, another list one text with
    /// commas.
    pub fn flatten(nested: &OwnedValue) -> Pairs {
        let mut pairs = HashMap::new();
        flatten(nested, "", &mut pairs);
        Pairs(pairs)
    }

    /// A number from 0, or the default if it is absent.
    pub fn number(&self, path: &str, default: f64) -> ReadResult<f64> {
        match self.0.get(path).filter(|text| !text.is_empty()) {
            None => Ok(default),
            Some(text) => match text.parse::<f64>() {
                Ok(value) if value.is_finite() && value >= 0.0 => Ok(value),
                _ => wrong(&format!("settings.{path}"), format!("is '{text}', not a number from 0")),
            },
        }
    }

    /// The names of a list.
    pub fn names(&self, path: &str) -> Vec<String> {
        let list = self.0.get(path).map(String::as_str).unwrap_or_default();
        list.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect()
    }
}

fn flatten(value: &OwnedValue, path: &str, pairs: &mut HashMap<String, String>) {
    let at = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    if let Some(object) = value.as_object() {
        for (name, value) in object.iter() {
            flatten(value, &at(name), pairs);
        }
    } else if let Some(list) = value.as_array() {
        if list.iter().any(|item| item.as_object().is_some()) {
            pairs.insert(at("count"), list.len().to_string());
            for (i, item) in list.iter().enumerate() {
                flatten(item, &at(&i.to_string()), pairs);
            }
        } else {
            let texts: Vec<String> = list.iter().map(scalar_text).collect();
            pairs.insert(path.to_owned(), texts.join(","));
        }
    } else {
        pairs.insert(path.to_owned(), scalar_text(value));
    }
}

fn scalar_text(value: &OwnedValue) -> String {
    match value {
        OwnedValue::String(text) => text.clone(),
        OwnedValue::Static(StaticNode::Null) => String::new(),
        OwnedValue::Static(node) => node.to_string(),
        _ => String::new(),
    }
}
