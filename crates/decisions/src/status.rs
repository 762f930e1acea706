//! What outsiders see of an engine.

use crate::{EngineId, EngineState};

/// How the module rates an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: String,
    /// Its state by the engine list.
    pub state: EngineState,
    /// Whether it gets new work: listed, serving and not ejected.
    pub in_use: bool,
    /// Capacity against the others: cores, less while it warms up or is slow.
    pub weight: f64,
    /// Share of its capacity that it surely has, from 0 to 1: below 1 while it warms up.
    pub warmth: f64,
}
