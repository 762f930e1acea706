//! The schema of a configuration file: the allowed blocks, their keys, and the type of each value.

/// The type of a value.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// A string.
    Text,
    /// An IP address with a port.
    Address,
    /// A boolean.
    Flag,
    /// A whole number within inclusive bounds.
    Count {
        /// The smallest allowed value.
        least: f64,
        /// The largest allowed value.
        most: f64,
    },
    /// A duration with a unit; the setting is in milliseconds.
    Duration,
    /// A size with a unit; the setting is in MiB (2^20 bytes).
    Size,
    /// A percentage; the setting is a fraction from 0 to 1.
    Share,
}

impl Shape {
    /// Whether the value requires a unit, so that a number without a unit is an error.
    pub fn has_unit(&self) -> bool {
        matches!(self, Shape::Duration | Shape::Size | Shape::Share)
    }

    /// The suggested correction for a number without a unit.
    pub fn with_unit(&self, number: f64) -> String {
        match self {
            Shape::Duration => format!("\"{number} ms\" or \"{number} s\""),
            Shape::Size => format!("\"{number} MiB\""),
            Shape::Share if number <= 1.0 => format!("\"{}%\"", number * 100.0),
            _ => format!("\"{number}%\""),
        }
    }

    /// A description of the type for error messages.
    pub fn describe(&self) -> String {
        match self {
            Shape::Text => "a text".to_owned(),
            Shape::Address => "an address with a port".to_owned(),
            Shape::Flag => "true or false".to_owned(),
            Shape::Count { least, most } => format!("a whole number from {least} to {most}"),
            Shape::Duration => "a time with its unit".to_owned(),
            Shape::Size => "a size with its unit".to_owned(),
            Shape::Share => "a share in per cent".to_owned(),
        }
    }

    /// An example of a valid value.
    pub fn example(&self) -> String {
        match self {
            Shape::Text => "\"text\"".to_owned(),
            Shape::Address => "\"127.0.0.1:3306\"".to_owned(),
            Shape::Flag => "true".to_owned(),
            Shape::Count { least, .. } => least.to_string(),
            Shape::Duration => "\"500 ms\"".to_owned(),
            Shape::Size => "\"64 MiB\"".to_owned(),
            Shape::Share => "\"50%\"".to_owned(),
        }
    }
}

/// A key that a block may contain.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// The name of the key in the file.
    pub name: &'static str,
    /// The name of the key's setting in the program.
    pub setting: &'static str,
    /// The type of the value.
    pub shape: Shape,
    /// Whether the key is required.
    pub needed: bool,
}

/// A kind of block that a file may contain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Block {
    /// The name of the block in the file.
    pub name: &'static str,
    /// The name of the block's setting in the program.
    pub setting: &'static str,
    /// Whether the block may occur more than once; the setting is then a list.
    pub many: bool,
    /// The name of the setting that the block's label sets, if the block has a label.
    pub label: Option<&'static str>,
    /// The keys allowed in the block.
    pub keys: Vec<Key>,
    /// The blocks allowed inside the block.
    pub blocks: Vec<Block>,
}
