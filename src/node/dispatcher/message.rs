//! Commands of the request dispatcher to fronts and backends, and the events that they report to it.

use super::*;

/// Identifies an attempt of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptRef {
    /// Key of the request in the table of open requests.
    pub request: SlotKey,
    /// Number of the attempt within the request.
    pub attempt: Attempt,
}

/// All that a backend needs to start an attempt.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// Identifies the attempt.
    pub attempt: AttemptRef,
    /// Front that received the request; it selects the backend.
    pub front: Front,
    /// Unique name of the request.
    pub name: Arc<str>,
    /// Class of the request.
    pub class: ClassId,
    /// Engine that is to run the attempt.
    pub engine: EngineId,
    /// Timeout of the attempt, in milliseconds.
    pub max_ms: f64,
    /// Memory granted to the attempt, in megabytes; 0 lets the engine choose.
    pub memory_mb: u64,
    /// Priority from 0 to 3, the highest.
    pub priority: u8,
    /// Statement to run, with its parameters.
    pub payload: Rc<Payload>,
}

/// A command of the request dispatcher to a front or a backend.
#[derive(Clone, Debug)]
pub enum DispatcherCommand {
    /// Send a client the final response to its request.
    Respond(ClientHandle, FinalResponse),
    /// Start an attempt.
    Start(AttemptStart),
    /// Cancel an attempt. If the flag is set, the backend reports the attempt's end once the engine has confirmed
    /// the cancel; otherwise it reports nothing.
    Cancel(AttemptRef, bool),
    /// Cancel an attempt of which no byte has been sent to the engine; any other attempt continues.
    CancelIfUnsent(AttemptRef),
    /// Change the priority of an attempt.
    SetPriority(AttemptRef, u8),
    /// Close the idle connections to an engine.
    CloseIdle(EngineId),
}

/// The end of an attempt, as reported by a backend.
#[derive(Clone, Debug)]
pub struct FinishedAttempt {
    /// Identifies the attempt.
    pub attempt: AttemptRef,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Response for the client, if the engine gave one: a result, or the engine's own error.
    pub response: Option<FinalResponse>,
    /// Work and memory that the attempt took, if the engine reported them.
    pub cost: Option<TrueCost>,
    /// Load report of the engine, if one came with the end.
    pub report: Option<LoadReport>,
    /// Whether the engine has confirmed that a cancelled, timed-out or reset attempt no longer runs.
    pub confirmed: bool,
}

impl FinishedAttempt {
    /// The end of a cancelled attempt whose engine has confirmed that it read the cancel.
    pub fn confirmed(attempt: AttemptRef) -> FinishedAttempt {
        FinishedAttempt { confirmed: true, ..FinishedAttempt::bare(attempt, Outcome::Cancelled) }
    }

    /// The end of an attempt of which nothing but the outcome is known.
    pub fn bare(attempt: AttemptRef, outcome: Outcome) -> FinishedAttempt {
        FinishedAttempt { attempt, outcome, response: None, cost: None, report: None, confirmed: false }
    }
}

/// An event that a front, a backend or service discovery reports to the request dispatcher.
#[derive(Clone, Debug)]
pub enum DispatcherEvent {
    /// A front has read a complete request.
    RequestReceived(ClientRequest),
    /// A client has cancelled its request or closed its connection.
    ClientGone(ClientHandle),
    /// An attempt has ended.
    AttemptEnded(FinishedAttempt),
    /// An attempt in flight has reported progress.
    AttemptProgress(AttemptRef, Progress),
    /// The engine list with its version, or changes to the list.
    EngineList(ListKind, u64, Vec<EngineEntry>),
}
