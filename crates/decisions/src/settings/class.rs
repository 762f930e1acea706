//! Classes of requests: latency objective, worth, repeats, order and placement.

use crate::Micros;

/// Whether a request of a class may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Idempotent: it may run any number of times.
    Safe,
    /// Idempotent by key: the engines of a group drop repeats for a while.
    Keyed {
        /// The engines that drop repeats.
        group: RepeatGroup,
        /// For how long from the send of the first attempt that may have run.
        window: Micros,
    },
    /// Not idempotent: it may be sent again, or rejected, only if it has certainly not run.
    Unsafe,
}

impl Repeat {
    /// Whether a rejection is harmless though an attempt may have run: every engine serves or drops
    /// a repeat.
    pub fn may_be_refused(self) -> bool {
        matches!(
            self,
            Repeat::Safe
                | Repeat::Keyed {
                    group: RepeatGroup::All,
                    ..
                }
        )
    }
}

/// Which engines drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// Every engine.
    All,
    /// Those in the zone of the first attempt that may have run.
    Zone,
    /// Those in its cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Its name, for logs only.
    pub name: String,
    /// Latency objective: an answer within this and `objective_stretch` is in time.
    pub latency_objective: Micros,
    /// The objective grows by this times the true work over the threads.
    pub objective_stretch: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of an answer in time, against other classes.
    pub priority_weight: f64,
    /// Share of the worth that a late answer has.
    pub late_weight: f64,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Whether requests with one key run in the order of arrival.
    pub in_order: bool,
    /// Machine kinds open to the class; `None` for all.
    pub kinds: Option<Vec<String>>,
    /// Zones open to the class; `None` for all.
    pub zones: Option<Vec<String>>,
    /// Threads that one query runs on.
    pub threads: f64,
    /// Whether it holds its table group on its engine while it runs.
    pub holds_tables: bool,
    /// Whether it waits on an engine while such a holder of its table group runs there.
    pub waits_for_holder: bool,
}

impl ClassSettings {
    /// An idempotent class on one thread with no bound of place or order; latency objective and
    /// deadline as given.
    pub fn plain(name: &str, latency_objective: Micros, deadline: Micros) -> ClassSettings {
        ClassSettings {
            name: name.to_owned(),
            latency_objective,
            objective_stretch: 0.0,
            deadline,
            priority_weight: 1.0,
            late_weight: 0.0,
            repeat: Repeat::Safe,
            in_order: false,
            kinds: None,
            zones: None,
            threads: 1.0,
            holds_tables: false,
            waits_for_holder: false,
        }
    }
}
