//! Signs that a zone is lost with all its engines.

use crate::{Micros, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// Signs for and against one zone.
#[derive(Default)]
pub struct ZoneHealth {
    /// Engines lost since the last sign of life from the zone.
    lost_engines: BTreeSet<usize>,
    trials: u32,
    next_trial: Micros,
}

impl ZoneHealth {
    /// Something came from one of its engines.
    pub fn engine_alive(&mut self) {
        self.trials = 0;
        self.next_trial = Micros(0);
        self.lost_engines.clear();
    }

    /// An engine took no connection, or missed a report of progress that was due.
    pub fn engine_lost(&mut self, engine: usize) {
        self.lost_engines.insert(engine);
    }

    /// An attempt ended there. Time-outs, resets and cancels may come from an engine that is
    /// silent: no sign.
    pub fn attempt_ended(&mut self, engine: usize, outcome: Outcome) {
        if outcome.may_still_run() || outcome == Outcome::NotSent {
            return;
        }
        if outcome == Outcome::ConnectFailed {
            self.engine_lost(engine);
        } else {
            self.engine_alive();
        }
    }

    /// A trial goes out: the next follows after a pause that doubles from `first` to `longest`.
    pub fn trial_sent(&mut self, now: Micros, first: Micros, longest: Micros) {
        let pause = Micros(first.0 << self.trials.min(8)).min(longest);
        self.next_trial = now.plus(pause);
        self.trials += 1;
    }
}

/// The zones by name.
#[derive(Default)]
pub struct Zones(BTreeMap<String, ZoneHealth>);

impl Zones {
    /// Health of a zone, by its name.
    pub fn zone_mut(&mut self, zone: &str) -> &mut ZoneHealth {
        if !self.0.contains_key(zone) {
            self.0.insert(zone.to_owned(), ZoneHealth::default());
        }
        self.0
            .get_mut(zone)
            .expect("inserted above if it was absent")
    }

    /// How many engines of a zone are lost, with nothing from it since.
    pub fn lost_engines(&self, zone: &str) -> usize {
        self.0
            .get(zone)
            .map_or(0, |health| health.lost_engines.len())
    }

    /// Whether the next trial of a zone is due.
    pub fn trial_due(&self, zone: &str, now: Micros) -> bool {
        self.0
            .get(zone)
            .is_none_or(|health| now >= health.next_trial)
    }
}
