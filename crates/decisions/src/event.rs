//! Events that the host program reports to a gateway: engine list updates, requests, and the
//! progress and end of attempts.

use crate::{Attempt, ClassId, EngineId, Micros, RequestId, TimerId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Whether an engine accepts new work, according to the engine list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    /// The engine accepts new work.
    #[default]
    Serving,
    /// The engine finishes the work that it has and accepts no new work.
    Draining,
    /// The engine is no longer part of the pool.
    Removed,
}

/// An engine's entry in the engine list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Id of the engine: its address.
    pub engine: EngineId,
    /// Zone that the engine runs in.
    pub zone: String,
    /// Name of the machine kind that the engine runs on, as in
    /// [`KindSettings`](crate::KindSettings).
    pub kind: String,
    /// Size of the engine relative to other engines; it has no unit.
    pub size_hint: f64,
    /// Cell that the engine belongs to. A class can restrict repeats to the engines of one cell,
    /// see [`RepeatGroup::Cell`](crate::RepeatGroup::Cell).
    pub cell: u64,
    /// When the engine process last started; `None` if that was long ago.
    pub started: Option<Micros>,
    /// Whether the engine accepts new work.
    pub state: EngineState,
}

/// How an update of the engine list relates to the engines that are already known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list as saved before the gateway restarted. It may be out of date.
    Cached,
    /// The complete current list. Engines that are missing from it are removed.
    Full,
    /// Only the entries that have changed.
    Changes,
}

/// A client request as the gateway receives it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// How long the client will wait for an answer, counted from the request's arrival.
    pub time_left: Micros,
    /// Group of tables that the query reads or loads.
    pub table_group: u64,
    /// Estimated work, as run time on a single thread; `None` without an estimate.
    pub work_hint: Option<Micros>,
    /// Estimated memory in megabytes; `None` without an estimate.
    pub memory_hint_mb: Option<f64>,
    /// Ordering key. Requests of an ordered class that share a key run in order of arrival.
    pub key: Option<Arc<str>>,
    /// Name of the tenant that the request belongs to, if any.
    pub tenant: Option<Arc<str>>,
    /// Whether the client marked the request as a repeat of an earlier one.
    pub repeat: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine served the request.
    Served,
    /// The engine answered with an error; the query may have run.
    Error,
    /// The engine rejected the request before running it; the query has not run.
    Overloaded,
    /// No answer arrived in time; the query may still be running.
    TimedOut,
    /// No connection to the engine could be opened; the query has not run.
    ConnectFailed,
    /// The connection broke; the query may have run and may still be running.
    Reset,
    /// The attempt was cancelled; the query may have run and may still be running.
    Cancelled,
    /// The request was never sent to the engine; the query has not run.
    NotSent,
}

impl Outcome {
    /// Returns whether the query has certainly not run.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent
        )
    }

    /// Returns whether the query may still be running on the engine.
    pub fn may_still_run(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        )
    }
}

/// Load that an engine reports about itself. Reports are delayed and approximate; a field that the
/// engine does not report is `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of queries on the engine, running or queued.
    pub in_flight: Option<f64>,
    /// Number of queries queued for memory on the engine.
    pub queued: Option<f64>,
    /// Share of processor time in use, from 0 to 1.
    pub busy: Option<f64>,
    /// Share of the engine's memory that is granted to queries, from 0 to 1.
    pub memory_share: Option<f64>,
    /// Share of disk time in use, from 0 to 1.
    pub disk_share: Option<f64>,
    /// Further reported figures, by name.
    pub other: BTreeMap<String, f64>,
}

/// Actual cost of a served query, as reported by the engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrueCost {
    /// Work, as run time on a single thread.
    pub work: Micros,
    /// Memory that the query needed, in megabytes.
    pub memory_mb: f64,
}

/// Progress reported for an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Approximate share of the query's work that is done, from 0 to 1.
    ShareDone(f64),
    /// The query spills to disk because it lacks this many megabytes of memory.
    Spilling(f64),
    /// The query is queued for memory on the engine.
    WaitsForMemory,
    /// The query waits for another query that has its tables locked.
    WaitsForTableLock,
}

/// The end of an attempt, with what was measured about the attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request.
    pub attempt: Attempt,
    /// The engine that the attempt was sent to.
    pub engine: EngineId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the send of the attempt to its end.
    pub latency: Micros,
    /// Whether the client has its answer or has disconnected, so that the request needs no further
    /// attempt.
    pub request_answered: bool,
    /// Actual cost of the query, if the engine reported it.
    pub cost: Option<TrueCost>,
    /// Load report that arrived together with the end of the attempt, if any.
    pub report: Option<LoadReport>,
}

/// An event that the host program reports to a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The engine list, or a change to it, has arrived.
    EngineList {
        /// Whether the entries are a complete list or only changes.
        kind: ListKind,
        /// Version of the list. Versions never decrease.
        version: u64,
        /// The engines in this update.
        entries: Vec<EngineEntry>,
    },
    /// The engine list could not be fetched, or the subscription to it failed.
    ListFailed,
    /// A request has arrived from a client.
    RequestArrived(Request),
    /// An answer has begun to stream to the client, so no other attempt may serve the request.
    Streaming {
        /// The request being answered.
        request: RequestId,
        /// The attempt that provides the answer.
        attempt: Attempt,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client no longer waits for the request, for example because it disconnected.
    ClientGone(RequestId),
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    Timer(TimerId),
    /// A health check (probe) of an engine has ended.
    ProbeEnded {
        /// The engine that was probed.
        engine: EngineId,
        /// Result of the probe; [`Outcome::Served`] if the engine passed.
        outcome: Outcome,
        /// Duration of the probe.
        latency: Micros,
        /// Load report that arrived together with the probe result, if any.
        report: Option<LoadReport>,
    },
    /// A message from another gateway has arrived.
    Peer {
        /// Number of the sending gateway.
        from: u32,
        /// Content of the message.
        data: Vec<u8>,
    },
    /// An attempt in flight has reported progress.
    AttemptProgress {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: Attempt,
        /// The engine that the attempt was sent to.
        engine: EngineId,
        /// The reported progress.
        progress: Progress,
    },
}
