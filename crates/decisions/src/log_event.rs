//! Events for the operators' log.

use crate::{EngineId, Micros};
use std::fmt;

/// Why an engine was ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionReason {
    /// It answered with errors what another engine served.
    AnswersWithErrors,
    /// It takes no connections.
    ConnectionsFail,
    /// Its connections break.
    ConnectionsBreak,
    /// It is silent with work in flight.
    SilentWithWork,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EjectionReason::AnswersWithErrors => "answers with errors",
            EjectionReason::ConnectionsFail => "connections fail",
            EjectionReason::ConnectionsBreak => "connections break",
            EjectionReason::SilentWithWork => "silent with work out",
        })
    }
}

/// Something that operators should find in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// Outlier ejection has put an engine out of use; one event a second at most.
    EngineEjected {
        /// The engine.
        engine: EngineId,
        /// For how long.
        rest: Micros,
        /// Why.
        reason: EjectionReason,
    },
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::EngineEjected {
                engine,
                rest,
                reason,
            } => {
                let rest_ms = rest.0 / 1000;
                write!(f, "eject {} for {rest_ms} ms: {reason}", engine.0)
            }
        }
    }
}
