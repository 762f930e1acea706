//! What the module holds of each engine and of its own room, for those outside who balance by it.

use super::*;

impl Gateway {
    /// All engines that are not gone, in the order of their ids.
    pub fn standings(&self) -> Vec<Standing> {
        let listed = self.engines.iter().filter(|e| e.listed || e.member.state == MemberState::Draining);
        let mut standings: Vec<Standing> = listed
            .map(|e| Standing {
                engine: e.member.engine.clone(),
                zone: e.member.zone.clone(),
                state: e.member.state,
                takes: e.listed && !matches!(e.health, Health::Ejected(_)),
                weight: e.cores * self.warmth(e) / e.stretch.max(1.0),
                warmth: self.warmth(e),
            })
            .collect();
        standings.sort_by(|a, b| a.engine.cmp(&b.engine));
        standings
    }

    /// Engines in mind: those listed, and those gone to which work in mind was sent.
    pub fn engines_held(&self) -> usize {
        self.engines.len()
    }

    /// The share of the work asked for that is admitted now, from 0 to 1; 0 where no engine takes any.
    pub fn admitted_share(&self) -> f64 {
        if self.engines.iter().any(|e| e.listed && !matches!(e.health, Health::Ejected(_))) {
            self.admitted
        } else {
            0.0
        }
    }
}
