//! A promise that was broken, as the judges tell it.

use crate::history::Event;
use std::fmt;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// Its number.
    pub promise: u8,
    /// What broke it.
    pub text: String,
    /// The events that show it, no more.
    pub excerpt: Vec<Event>,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "promise {} is broken: {}", self.promise, self.text)?;
        let first = self.excerpt.first().map_or(0.0, |e| e.at);
        for event in &self.excerpt {
            write!(f, "\n  {:10.3} ms  {:?}", event.at - first, event.what)?;
        }
        Ok(())
    }
}

pub(crate) fn broken<T>(promise: u8, text: String, excerpt: &[&Event]) -> Result<T, Break> {
    Err(Break { promise, text, excerpt: excerpt.iter().map(|e| (*e).clone()).collect() })
}
