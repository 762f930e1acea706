//! Why the program ends before its input does. Each message is one line: the number of the input line, what was
//! found there and what was expected.

use beamgap::settings::{excerpt, ParseError};
use beamgap::SettingsError;
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// The program cannot go on; `line` counts the lines of the input from 1.
#[derive(Debug, Error)]
pub enum HostError {
    /// Standard input cannot be read.
    #[error("line {line}: {source}")]
    Read { line: u64, source: io::Error },
    /// The input ends while a batch is open.
    #[error("line {line}: found end of input, expected eof_batch")]
    EndInsideBatch { line: u64 },
    /// The input ends before the end of its last line.
    #[error("line {line}: found end of input, expected end of line")]
    EndInsideLine { line: u64 },
    /// The line is not text.
    #[error("line {line}: found bytes, expected UTF-8")]
    NotUtf8 { line: u64, source: Utf8Error },
    /// The line cannot be used.
    #[error("line {line}: {source}")]
    Malformed { line: u64, source: LineError },
    /// Standard output cannot be written.
    #[error("line {line}: reply not written: {source}")]
    Write { line: u64, source: io::Error },
}

/// A line cannot be used.
#[derive(Debug, Error)]
pub enum LineError {
    /// A field, or a setting of a start line, is not of the expected form.
    #[error(transparent)]
    Field(#[from] ParseError),
    /// The message cannot come at this point of the input.
    #[error("found '{}', expected {expected}", excerpt(line))]
    OutOfPlace { line: String, expected: &'static str },
    /// No instance runs under the number that the message names.
    #[error("found '{}', expected an instance that was started", excerpt(line))]
    UnknownInstance { line: String },
    /// No list was sent under the number that the message names.
    #[error("found '{}', expected the number of a list", excerpt(line))]
    UnknownList { line: String },
    /// The instance's settings have no such class.
    #[error("found '{}', expected a class of the settings", excerpt(class))]
    UnknownClass { class: String },
    /// The gateway rejects its settings.
    #[error("found '{}', expected settings that make sense", excerpt(&source.to_string()))]
    Settings { source: SettingsError },
}
