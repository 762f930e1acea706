//! Events for the operators' log.

use crate::{EngineId, Micros};
use std::fmt;

/// Reason for which outlier ejection took an engine out of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// The engine answered requests with errors that another engine then served.
    AnswersWithErrors,
    /// Connections to the engine cannot be opened.
    ConnectionsFail,
    /// Connections to the engine break before their requests are answered.
    ConnectionsBreak,
    /// The engine sends neither answers nor progress reports while attempts are in flight on it.
    NoProgress,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EjectionReason::AnswersWithErrors => "answers with errors",
            EjectionReason::ConnectionsFail => "connections fail",
            EjectionReason::ConnectionsBreak => "connections break",
            EjectionReason::NoProgress => "silent with work out",
        })
    }
}

/// An event that operators should find in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// Outlier ejection has taken an engine out of use. Each gateway logs such an event at most
    /// once a second.
    EngineEjected {
        /// The ejected engine.
        engine: EngineId,
        /// How long the engine stays ejected.
        duration: Micros,
        /// Why the engine was ejected.
        reason: EjectionReason,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EngineEjected {
                engine,
                duration,
                reason,
            } => {
                let duration_ms = duration.0 / 1000;
                write!(f, "eject {} for {duration_ms} ms: {reason}", engine.0)
            }
        }
    }
}
