//! The operator's file in HCL: how it is read by a schema, and how it joins the platform's configuration.
//!
//! Its blocks become sections of the settings, which their readers check for their meaning. So an operator's file and the
//! JSON form of these sections mean the same.

use super::json::{self, OwnedValue, ValueAsObject};
use super::section::ConfigError;
use beamgap_config::schema::Block;
use beamgap_config::Document;

/// Reads an operator's file.
///
/// # Errors
/// All that does not fit the schema: the first as the error, the others in its text.
pub fn read(file: &str, text: &str, schema: &Block) -> Result<Document, ConfigError> {
    beamgap_config::read(file, text, schema).map_err(|problems| {
        let mut lines = problems.iter();
        let Some(first) = lines.next() else { return ConfigError::new("(file)", "can't be read") };
        let more: String = lines.map(|problem| format!("\n  {problem}")).collect();
        ConfigError {
            key: first.key.clone(),
            problem: format!("{}; {}{more}", first.problem, first.fix),
            place: Some(format!("{}:{}:{}", first.file, first.place.line, first.place.column)),
        }
    })
}

/// Adds the operator's sections to the platform's configuration.
///
/// # Errors
/// If a section stands in both.
pub fn merge(document: &Document, root: &mut OwnedValue) -> Result<(), ConfigError> {
    let OwnedValue::Object(of) = root else { return Err(ConfigError::new("(file)", "is not an object")) };
    let sections = json::read(document.root.json().into_bytes());
    let sections = sections.map_err(|e| ConfigError::new(document.file.clone(), e))?;
    for (name, section) in sections.as_object().into_iter().flatten() {
        if of.contains_key(name) {
            let problem = "stands in the platform's configuration too; keep it in the operator's file alone";
            return Err(ConfigError::new(name.clone(), problem));
        }
        of.insert(name.clone(), section.clone());
    }
    Ok(())
}

/// Adds the place in the operator's file to an error about what stands there.
pub fn located(document: &Document, error: ConfigError) -> ConfigError {
    match document.place(&error.key).filter(|_| error.place.is_none()) {
        Some(at) => {
            ConfigError { place: Some(format!("{}:{}:{}", document.file, at.line, at.column)), ..error }
        }
        None => error,
    }
}
