//! Events: the engine list, requests, and how attempts go and end.

use crate::{Attempt, ClassId, EngineId, Micros, RequestId, TimerId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Whether an engine accepts new work, by the engine list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// Accepts work.
    #[default]
    Serving,
    /// Finishes what it has and accepts nothing new.
    Draining,
    /// No longer in the pool.
    Removed,
}

/// An engine as the engine list has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Address of the engine.
    pub engine: EngineId,
    /// Zone that it runs in.
    pub zone: String,
    /// Kind of machine that it runs on.
    pub kind: String,
    /// Size against the other engines; no unit.
    pub size_hint: f64,
    /// Cell that it belongs to.
    pub cell: u64,
    /// When it last started; `None` for long ago.
    pub started: Option<Micros>,
    /// Whether it accepts work.
    pub state: EngineState,
}

/// What a list of engines holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list as it was before a restart of the gateway; it may be old.
    Cached,
    /// The whole list; engines that are not in it are removed.
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
    /// The group of tables that it reads or loads.
    pub table_group: u64,
    /// Estimated work on one thread; `None` without an estimate.
    pub work_hint: Option<Micros>,
    /// Estimated memory in megabytes; `None` without an estimate.
    pub memory_hint_mb: Option<f64>,
    /// Ordering key: requests of an ordered class with one key run in the order of arrival.
    pub key: Option<Arc<str>>,
    /// The tenant that it belongs to.
    pub tenant: Option<Arc<str>>,
    /// Whether the client says that it repeats an earlier request.
    pub repeat: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine served it.
    Served,
    /// The engine answered with an error; it may have run.
    Error,
    /// The engine rejected it unseen; it has not run.
    Overloaded,
    /// No answer in time; it may still run.
    TimedOut,
    /// No connection; it has not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent; it has not run.
    NotSent,
}

impl Outcome {
    /// Whether the attempt has certainly not run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }

    /// Whether the engine may still be at work on it.
    pub fn may_still_run(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        )
    }
}

/// Load that an engine reports of itself; some time old and not exact.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Queries that it has, running or queued.
    pub in_flight: Option<f64>,
    /// Queries queued for memory.
    pub queued: Option<f64>,
    /// Share of processor time in use, from 0 to 1.
    pub busy: Option<f64>,
    /// Share of memory granted, from 0 to 1.
    pub memory_share: Option<f64>,
    /// Share of disk time in use, from 0 to 1.
    pub disk_share: Option<f64>,
    /// Other figures by name.
    pub other: BTreeMap<String, f64>,
}

/// What a served query took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrueCost {
    /// Work on one thread.
    pub work: Micros,
    /// Memory that it needed, in megabytes.
    pub memory_mb: f64,
}

/// Progress of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Share of the work done, from 0 to 1; rough.
    ShareDone(f64),
    /// It spills to disk for lack of so many megabytes.
    Spilling(f64),
    /// It is queued for memory at the engine.
    WaitsForMemory,
    /// It waits for another query that holds its tables.
    WaitsForHolder,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts.
    pub attempt: Attempt,
    /// The engine that it was sent to.
    pub engine: EngineId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its send to its end.
    pub latency: Micros,
    /// Whether the client has its answer, or is gone.
    pub request_answered: bool,
    /// What it took, where the engine reports it.
    pub cost: Option<TrueCost>,
    /// The engine's load, where it came with the end.
    pub report: Option<LoadReport>,
}

/// An event that a gateway takes.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The engine list, or changes to it.
    EngineList {
        /// What the list holds.
        kind: ListKind,
        /// Its version; it only grows.
        version: u64,
        /// The engines.
        entries: Vec<EngineEntry>,
    },
    /// The list could not be fetched, or the subscription broke.
    ListFailed,
    /// A request has arrived.
    RequestArrived(Request),
    /// An answer has begun to stream to the client: the request is bound to this attempt.
    Streaming {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client no longer waits for the request.
    ClientGone(RequestId),
    /// A timer has fired.
    Timer(TimerId),
    /// A health check has ended.
    ProbeEnded {
        /// The engine.
        engine: EngineId,
        /// How it ended; [`Outcome::Served`] if it passed.
        outcome: Outcome,
        /// How long it took.
        latency: Micros,
        /// The engine's load, where it came with the result.
        report: Option<LoadReport>,
    },
    /// A message from another gateway.
    Peer {
        /// The number of that gateway.
        from: u32,
        /// Its message.
        data: Vec<u8>,
    },
    /// An attempt in flight has reported progress.
    AttemptProgress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// The engine.
        engine: EngineId,
        /// What was reported.
        progress: Progress,
    },
}
