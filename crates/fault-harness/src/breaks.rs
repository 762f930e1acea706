//! The violation type that every history checker returns.

use crate::history::Event;
use std::fmt;

/// A violation: a documented promise of the fleet that a recorded history contradicts.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    /// The promise's number in the document that the checker names in its module documentation.
    pub promise: u8,
    /// A one-line description of the violation.
    pub text: String,
    /// The smallest set of events that proves the violation.
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

/// Returns a violation with copies of the given events as its excerpt.
pub(crate) fn broken<T>(promise: u8, text: String, excerpt: &[&Event]) -> Result<T, Break> {
    Err(Break { promise, text, excerpt: excerpt.iter().map(|e| (*e).clone()).collect() })
}
