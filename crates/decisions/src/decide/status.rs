//! Read-only status of the engines and of the gateway.

use super::Gateway;
use crate::state::engine::{Engine, Health};
use crate::{EngineState, EngineStatus};

fn is_in_use(engine: &Engine) -> bool {
    engine.listed && !matches!(engine.health.health, Health::Ejected(_))
}

impl Gateway {
    /// Status of all engines that are listed or draining, sorted by id.
    pub fn engine_statuses(&self) -> Vec<EngineStatus> {
        let is_shown =
            |engine: &&Engine| engine.listed || engine.entry.state == EngineState::Draining;
        let shown = self.engines.iter().filter(is_shown);
        let mut statuses: Vec<EngineStatus> =
            shown.map(|engine| self.engine_status(engine)).collect();
        statuses.sort_by(|a, b| a.engine.cmp(&b.engine));
        statuses
    }

    fn engine_status(&self, engine: &Engine) -> EngineStatus {
        let warmth = self.warmth(engine);
        EngineStatus {
            engine: engine.entry.engine.clone(),
            zone: engine.entry.zone.clone(),
            state: engine.entry.state,
            in_use: is_in_use(engine),
            weight: engine.cores * warmth / engine.stretch.blended.max(1.0),
            warmth,
        }
    }

    /// Number of engines that the gateway tracks: those in the engine list, and removed ones to
    /// which a tracked request was sent.
    pub fn tracked_engines(&self) -> usize {
        self.engines.len()
    }

    /// Number of requests that the gateway tracks: those without an answer and those with an
    /// attempt in flight.
    pub fn tracked_requests(&self) -> usize {
        self.requests.len()
    }

    /// Share of the requested work that is admitted at present, from 0 to 1; 0 if no engine is in
    /// use.
    pub fn admitted_share(&self) -> f64 {
        if self.engines.iter().any(is_in_use) {
            self.admission.admitted_share
        } else {
            0.0
        }
    }
}
