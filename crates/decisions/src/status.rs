//! Status of an engine, for users of this crate.

use crate::{EngineId, EngineState};

/// A gateway's current assessment of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStatus {
    /// Id of the engine.
    pub engine: EngineId,
    /// Zone that the engine runs in.
    pub zone: String,
    /// State of the engine according to the engine list.
    pub state: EngineState,
    /// Whether the engine gets new work: it is listed as serving and is not ejected.
    pub in_use: bool,
    /// Capacity relative to other engines: the number of the engine's cores, reduced while the
    /// engine warms up or answers slowly.
    pub weight: f64,
    /// Share of its capacity that the engine has at least, from 0 to 1. The share is below 1 while
    /// the engine warms up.
    pub warmth: f64,
}
