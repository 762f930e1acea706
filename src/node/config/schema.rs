//! Shorthands for the keys of a schema.

use beamgap_config::schema::{Key, Shape};

/// A key that may be absent. `setting` is its name in the settings.
pub(super) fn key(name: &'static str, setting: &'static str, shape: Shape) -> Key {
    Key { name, setting, shape, needed: false }
}

/// A key that must stand there.
pub(super) fn needed(name: &'static str, shape: Shape) -> Key {
    Key { name, setting: name, shape, needed: true }
}

/// A whole number within bounds.
pub(super) fn count(least: f64, most: f64) -> Shape {
    Shape::Count { least, most }
}
