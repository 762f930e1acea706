//! The operator's file in HCL: validation against a schema, and merging into the platform's configuration.
//!
//! Each block of the file becomes a section of the settings, which the reader of that section then validates. A block
//! in the operator's file and the same section in JSON are therefore equivalent.

use super::json::{self, OwnedValue, ValueAsObject};
use super::section::ConfigError;
use beamgap_config::schema::Block;
use beamgap_config::Document;

/// Parses an operator's file and checks it against `schema`. `file` is the name that errors refer to.
///
/// # Errors
/// Returns all violations of the schema as one error: the key and location of the first, and the others in its text.
pub fn read(file: &str, text: &str, schema: &Block) -> Result<Document, ConfigError> {
    beamgap_config::read(file, text, schema).map_err(|problems| {
        let mut lines = problems.iter();
        let Some(first) = lines.next() else { return ConfigError::new("(file)", "could not be parsed") };
        let others: String = lines.map(|problem| format!("\n  {problem}")).collect();
        ConfigError {
            key: first.key.clone(),
            problem: format!("{}; {}{others}", first.problem, first.fix),
            place: Some(format!("{}:{}:{}", first.file, first.place.line, first.place.column)),
        }
    })
}

/// Adds the sections of the operator's file to the platform's configuration.
///
/// # Errors
/// Returns an error if a section is present in both files.
pub fn merge(document: &Document, root: &mut OwnedValue) -> Result<(), ConfigError> {
    let OwnedValue::Object(settings) = root else {
        return Err(ConfigError::new("(file)", "is not a JSON object"));
    };
    let sections = json::read(document.root.json().into_bytes());
    let sections = sections.map_err(|e| ConfigError::new(document.file.clone(), e))?;
    for (name, section) in sections.as_object().into_iter().flatten() {
        if settings.contains_key(name) {
            let problem = "stands in the platform's configuration too; keep it in the operator's file only";
            return Err(ConfigError::new(name.clone(), problem));
        }
        settings.insert(name.clone(), section.clone());
    }
    Ok(())
}

/// Adds the location in the operator's file to an error whose key was read from this file.
pub fn with_location(document: &Document, error: ConfigError) -> ConfigError {
    match document.place(&error.key).filter(|_| error.place.is_none()) {
        Some(at) => {
            ConfigError { place: Some(format!("{}:{}:{}", document.file, at.line, at.column)), ..error }
        }
        None => error,
    }
}
