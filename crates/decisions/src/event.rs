//! What a gateway hears: of engines, requests and outcomes; and how an engine stands by it.

use crate::{Attempt, ClassId, EngineId, Micros, RequestId, TimerId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Whether an engine takes new work, as the list says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Takes work.
    #[default]
    Serving,
    /// Finishes what it has.
    Draining,
    /// Is no more.
    Removed,
}

/// An engine, as listed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Its address.
    pub engine: EngineId,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its size against the others; no unit.
    pub size_hint: f64,
    /// Its cell.
    pub cell: u64,
    /// When it last started; `None` for long ago.
    pub started: Option<Micros>,
    /// Whether it takes work.
    pub state: EngineState,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list as last had before a restart, maybe old.
    Cached,
    /// The whole list; who is not in it is gone.
    Full,
    /// Changed entries only.
    Changes,
}

/// A request that the gateway has taken.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// How long the client still waits.
    pub time_left: Micros,
    /// Its group of tables.
    pub table_group: u64,
    /// Estimated work, on one thread; `None` if there is no estimate.
    pub work_hint: Option<Micros>,
    /// Estimated memory in megabytes; `None` if there is no estimate.
    pub memory_hint_mb: Option<f64>,
    /// Key of its order, if it has one.
    pub key: Option<Arc<str>>,
    /// Whose request it is.
    pub tenant: Option<Arc<str>>,
    /// Whether the client says that it is a repeat.
    pub repeat: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The engine answered with an error; it may have run.
    Error,
    /// Turned away unseen; it has not run.
    Overloaded,
    /// No answer in time; it may still run.
    TimedOut,
    /// No connection; it has not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Not sent; it has not run.
    NotSent,
}

impl Outcome {
    /// Whether the attempt has certainly not run.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
    /// Whether the work may go on after this outcome.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// What an engine says of its load; some time old and not exact.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries in hand.
    pub in_flight: Option<f64>,
    /// Queries waiting for memory.
    pub queued: Option<f64>,
    /// Share of processor time used.
    pub busy: Option<f64>,
    /// Share of memory granted.
    pub memory_share: Option<f64>,
    /// Share of disks busy.
    pub disk_share: Option<f64>,
    /// Other figures by name.
    pub other: BTreeMap<String, f64>,
}

/// What a served query took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrueCost {
    /// Its work, on one thread.
    pub work: Micros,
    /// The memory that it needed, in megabytes.
    pub memory_mb: f64,
}

/// News of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Share of the work done; rough.
    ShareDone(f64),
    /// It spills; so many megabytes are missing.
    Spilling(f64),
    /// It stands in the engine's line for memory.
    WaitsForMemory,
    /// It stands still behind a holder of its tables.
    WaitsForHolder,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Which request.
    pub request: RequestId,
    /// Which attempt.
    pub attempt: Attempt,
    /// On which engine.
    pub engine: EngineId,
    /// How.
    pub outcome: Outcome,
    /// How long it took.
    pub latency: Micros,
    /// Whether nothing more is owed to the client.
    pub request_answered: bool,
    /// What it took, where told.
    pub cost: Option<TrueCost>,
    /// The engine's load, where told.
    pub report: Option<LoadReport>,
}

/// What a gateway hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The engine list, or changes to it.
    EngineList {
        /// How to read it.
        kind: ListKind,
        /// Its version; it only grows.
        version: u64,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// A list call failed or the subscription broke.
    ListFailed,
    /// A request was taken.
    RequestArrived(Request),
    /// A stream began to flow: the request is bound to this attempt.
    Streaming {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// An attempt is over.
    AttemptEnded(AttemptEnd),
    /// Nobody waits for the request any more.
    ClientGone(RequestId),
    /// A timer is up.
    Timer(TimerId),
    /// A probe's result.
    ProbeEnded {
        /// Which engine.
        engine: EngineId,
        /// How it ended; [`Outcome::Served`] if it passed.
        outcome: Outcome,
        /// How long it took.
        latency: Micros,
        /// The engine's load, where told.
        report: Option<LoadReport>,
    },
    /// A message from another gateway.
    Peer {
        /// Its number.
        from: u32,
        /// What it says.
        data: Vec<u8>,
    },
    /// News of a running attempt.
    AttemptProgress {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: Attempt,
        /// On which engine.
        engine: EngineId,
        /// What.
        progress: Progress,
    },
}

/// How an engine stands in the module's eyes.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: String,
    /// What the list says of it.
    pub state: EngineState,
    /// Whether it is trusted with new work: listed, and not put aside for bad signs.
    pub in_use: bool,
    /// What it can do against the others: cores, less while it is cold or slow.
    pub weight: f64,
    /// The share of its capacity that it surely has, from 0 to 1: below 1 while it warms.
    pub warmth: f64,
}
