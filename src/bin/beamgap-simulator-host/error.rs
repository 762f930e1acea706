//! Errors that stop the program before the end of its input. Each error message is a single line with the number of
//! the input line, the text that was found in that line, and the text that was expected.

use beamgap::settings::{excerpt, ParseError};
use beamgap::SettingsError;
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// An error that stops the program. `line` is the number of the input line, counted from 1.
#[derive(Debug, Error)]
pub enum HostError {
    /// Standard input could not be read.
    #[error("line {line}: {source}")]
    Read { line: u64, source: io::Error },
    /// The input ends while a batch is open.
    #[error("line {line}: found end of input, expected eof_batch")]
    EndInsideBatch { line: u64 },
    /// The last line of the input has no line ending, so it may be incomplete.
    #[error("line {line}: found end of input, expected end of line")]
    EndInsideLine { line: u64 },
    /// The line is not valid UTF-8.
    #[error("line {line}: found bytes, expected UTF-8")]
    NotUtf8 { line: u64, source: Utf8Error },
    /// The line is not a valid message.
    #[error("line {line}: {source}")]
    Malformed { line: u64, source: LineError },
    /// The reply could not be written to standard output.
    #[error("line {line}: reply not written: {source}")]
    Write { line: u64, source: io::Error },
}

/// Why an input line is invalid.
#[derive(Debug, Error)]
pub enum LineError {
    /// A field of the line, or a setting in a `start` line, does not have the expected format.
    #[error(transparent)]
    Field(#[from] ParseError),
    /// The message is not allowed at this point of the input.
    #[error("found '{}', expected {expected}", excerpt(line))]
    UnexpectedLine { line: String, expected: &'static str },
    /// The message names the number of an instance that is not running.
    #[error("found '{}', expected the number of a running instance", excerpt(line))]
    UnknownInstance { line: String },
    /// The message names the number of an engine list that was not sent before.
    #[error("found '{}', expected the number of a list", excerpt(line))]
    UnknownList { line: String },
    /// The request names a class that the settings of the instance don't define.
    #[error("found '{}', expected a class in the settings", excerpt(class))]
    UnknownClass { class: String },
    /// The gateway rejected the settings of the `start` line.
    #[error("found '{}', expected consistent settings", excerpt(&source.to_string()))]
    Settings { source: SettingsError },
}
