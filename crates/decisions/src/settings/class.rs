//! Settings of a request class: latency objective, priority weight, retry safety, ordering and the
//! engines it may use.

use crate::Micros;

/// Safety margin before the end of the time in which engines drop repeats; a repeat in this margin may arrive too late.
const KEYED_WINDOW_MARGIN: Micros = Micros::from_millis(200);

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Idempotent: the request may run any number of times.
    Safe,
    /// Idempotent by key: for a limited time, the engines of one group detect and drop a repeated
    /// request.
    Keyed {
        /// The engines that drop repeats of the request.
        group: RepeatGroup,
        /// How long engines drop repeats, counted from the send of the first attempt that may have
        /// run.
        window: Micros,
    },
    /// Not idempotent: the request may be retried or rejected only if it has certainly not run.
    Unsafe,
}

impl Repeat {
    /// Whether a client may safely be told to try again although an attempt may have run. True if every engine can serve
    /// or drop a repeat. `until_retry` is the time from the send of the first attempt that may have run to the earliest
    /// retry of the client.
    pub fn may_be_rejected(self, until_retry: Micros) -> bool {
        match self {
            Repeat::Safe => true,
            Repeat::Keyed { group, .. } => {
                group == RepeatGroup::All && self.window_is_open(until_retry)
            }
            Repeat::Unsafe => false,
        }
    }

    /// Whether engines still drop a repeat that is sent `since_first_send` after the first attempt that may have run.
    /// False for classes that are not idempotent by key.
    pub fn window_is_open(self, since_first_send: Micros) -> bool {
        match self {
            Repeat::Keyed { window, .. } => since_first_send.plus(KEYED_WINDOW_MARGIN) < window,
            Repeat::Safe | Repeat::Unsafe => false,
        }
    }
}

/// Which engines drop repeats of a request that is idempotent by key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// Every engine.
    All,
    /// Engines in the zone of the first attempt that may have run.
    Zone,
    /// Engines in the cell of the first attempt that may have run.
    Cell,
}

/// Settings of one request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Name of the class; used in logs only.
    pub name: String,
    /// Latency objective: an answer within this time, extended by `objective_stretch`, is in time.
    pub latency_objective: Micros,
    /// Extends the latency objective for heavy queries: the objective grows by this factor times
    /// the query's actual work divided by its number of threads.
    pub objective_stretch: f64,
    /// How long a client waits for an answer before it leaves.
    pub deadline: Micros,
    /// Value of an answer in time, relative to other classes. Under overload, requests with little
    /// work per unit of weight are admitted first.
    pub priority_weight: f64,
    /// Value of a late answer, as a fraction of the value of an answer in time.
    pub late_weight: f64,
    /// Whether a request may run more than once.
    pub repeat: Repeat,
    /// Whether requests with the same ordering key run one at a time, in order of arrival.
    pub in_order: bool,
    /// Kinds of machine that the class may run on; `None` for all.
    pub kinds: Option<Vec<String>>,
    /// Zones that the class may run in; `None` for all.
    pub zones: Option<Vec<String>>,
    /// Number of threads that one query runs on.
    pub threads: f64,
    /// Whether a query locks its table group on the engine while it runs.
    pub locks_tables: bool,
    /// Whether a query waits on an engine while another query there holds a lock on its table
    /// group.
    pub waits_for_table_lock: bool,
}

impl ClassSettings {
    /// An idempotent class with one thread per query, the given latency objective and deadline, and
    /// no restriction on engines or order.
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
            locks_tables: false,
            waits_for_table_lock: false,
        }
    }
}
