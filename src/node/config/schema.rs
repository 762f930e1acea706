//! Constructors for the keys of the operator file's schema.

use beamgap_config::schema::{Key, Shape};

/// An optional key; `setting` is the key's name in the JSON settings.
pub(super) fn optional_key(name: &'static str, setting: &'static str, shape: Shape) -> Key {
    Key { name, setting, shape, needed: false }
}

/// A required key with the same name in the operator's file and in the JSON settings.
pub(super) fn required_key(name: &'static str, shape: Shape) -> Key {
    Key { name, setting: name, shape, needed: true }
}

/// An integer from `least` to `most`.
pub(super) fn integer(least: f64, most: f64) -> Shape {
    Shape::Count { least, most }
}
