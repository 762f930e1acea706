//! Detection of zones that have probably failed with all their engines.

use crate::{Micros, Outcome};
use std::collections::{BTreeMap, BTreeSet};

/// Health of one zone.
#[derive(Default)]
pub struct ZoneHealth {
    /// Indices of the engines that were lost (failed to connect, or missed a progress report) since
    /// any engine of the zone last responded.
    lost_engines: BTreeSet<usize>,
    trials_sent: u32,
    next_trial_at: Micros,
}

impl ZoneHealth {
    /// Records that an engine of the zone has responded, and resets all signs of a zone failure.
    pub fn engine_alive(&mut self) {
        self.trials_sent = 0;
        self.next_trial_at = Micros(0);
        self.lost_engines.clear();
    }

    /// Records that an engine could not be connected to, or missed a progress report that was due.
    pub fn engine_lost(&mut self, engine: usize) {
        self.lost_engines.insert(engine);
    }

    /// Updates the zone with the end of an attempt. Time-outs, resets, cancellations and unsent
    /// attempts are ignored, because they do not show whether the engine still responds.
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

    /// Records a trial request to a failed zone. The next trial is due after a delay that doubles
    /// from `first` up to `longest`.
    pub fn trial_sent(&mut self, now: Micros, first: Micros, longest: Micros) {
        let delay = Micros(first.0 << self.trials_sent.min(8)).min(longest);
        self.next_trial_at = now.plus(delay);
        self.trials_sent += 1;
    }
}

/// Health of all zones, by zone name.
#[derive(Default)]
pub struct Zones(BTreeMap<String, ZoneHealth>);

impl Zones {
    /// Returns the health of a zone, and creates an entry for a new zone.
    pub fn zone_mut(&mut self, zone: &str) -> &mut ZoneHealth {
        if !self.0.contains_key(zone) {
            self.0.insert(zone.to_owned(), ZoneHealth::default());
        }
        self.0
            .get_mut(zone)
            .expect("zone was inserted above if it was missing")
    }

    /// Returns how many engines of a zone were lost since any engine of the zone last responded.
    pub fn lost_engines(&self, zone: &str) -> usize {
        self.0
            .get(zone)
            .map_or(0, |health| health.lost_engines.len())
    }

    /// Returns whether another trial request may be sent to a zone.
    pub fn trial_due(&self, zone: &str, now: Micros) -> bool {
        self.0
            .get(zone)
            .is_none_or(|health| now >= health.next_trial_at)
    }
}
