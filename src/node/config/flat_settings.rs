//! The platform's settings as a flat map from path to text, which is the form that the simulator's protocol uses.

use crate::node::json::{OwnedValue, StaticNode, ValueAsArray, ValueAsObject};
use crate::node::section::{invalid, ReadResult};
use std::collections::HashMap;

/// Settings by path, such as `Limits.MaxOpen`. All values are text.
pub(super) struct FlatSettings(pub HashMap<String, String>);

impl FlatSettings {
    /// Flattens nested JSON. A list of objects becomes an entry `count` with its length, and paths into the list
    /// contain the index of the object. A list of scalars becomes one comma-separated text.
    pub fn flatten(nested: &OwnedValue) -> FlatSettings {
        let mut settings = HashMap::new();
        flatten(nested, "", &mut settings);
        FlatSettings(settings)
    }

    /// Reads a number of at least 0, or returns `default` if the path is absent or its text is empty.
    pub fn number(&self, path: &str, default: f64) -> ReadResult<f64> {
        match self.0.get(path).filter(|text| !text.is_empty()) {
            None => Ok(default),
            Some(text) => match text.parse::<f64>() {
                Ok(value) if value.is_finite() && value >= 0.0 => Ok(value),
                _ => invalid(&format!("settings.{path}"), format!("is '{text}', not a number of at least 0")),
            },
        }
    }

    /// Reads a comma-separated list of names; empty if the path is absent.
    pub fn names(&self, path: &str) -> Vec<String> {
        let list = self.0.get(path).map(String::as_str).unwrap_or_default();
        list.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect()
    }
}

/// Adds `value` and everything below it to `settings`, with `path` as the prefix of all paths.
fn flatten(value: &OwnedValue, path: &str, settings: &mut HashMap<String, String>) {
    let at = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    if let Some(object) = value.as_object() {
        for (name, value) in object.iter() {
            flatten(value, &at(name), settings);
        }
    } else if let Some(list) = value.as_array() {
        if list.iter().any(|item| item.as_object().is_some()) {
            settings.insert(at("count"), list.len().to_string());
            for (i, item) in list.iter().enumerate() {
                flatten(item, &at(&i.to_string()), settings);
            }
        } else {
            let texts: Vec<String> = list.iter().map(scalar_text).collect();
            settings.insert(path.to_owned(), texts.join(","));
        }
    } else {
        settings.insert(path.to_owned(), scalar_text(value));
    }
}

/// Formats a scalar as text; null and anything that is not a scalar become the empty text.
fn scalar_text(value: &OwnedValue) -> String {
    match value {
        OwnedValue::String(text) => text.clone(),
        OwnedValue::Static(StaticNode::Null) => String::new(),
        OwnedValue::Static(node) => node.to_string(),
        _ => String::new(),
    }
}
