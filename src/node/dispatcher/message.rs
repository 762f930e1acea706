//! What the core orders of fronts and backends, and what it hears of them.

use super::*;

/// Names an attempt of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptRef {
    /// The request's slot.
    pub request: SlotKey,
    /// Which attempt.
    pub attempt: Attempt,
}

/// An attempt as a backend is handed it.
#[derive(Clone, Debug)]
pub struct AttemptStart {
    /// Which attempt.
    pub attempt: AttemptRef,
    /// Which front the request came by: the engines of its kind are to run it.
    pub front: Front,
    /// The request's name.
    pub name: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// The engine.
    pub engine: EngineId,
    /// How long it may take, in milliseconds.
    pub max_ms: f64,
    /// Memory granted in megabytes; 0: the engine chooses.
    pub memory_mb: u64,
    /// Priority from 0 to 3.
    pub priority: u8,
    /// What to run.
    pub payload: Rc<Payload>,
}

/// What the core wants done.
#[derive(Clone, Debug)]
pub enum DispatcherCommand {
    /// Answer a client.
    Answer(ClientHandle, FinalResponse),
    /// Begin an attempt.
    Start(AttemptStart),
    /// Give an attempt up; if it is still owed an end, that is told when it is sure that the engine knows.
    GiveUp(AttemptRef, bool),
    /// Take an attempt back if it has not begun; one that has goes on.
    Withdraw(AttemptRef),
    /// Change an attempt's priority.
    Hurry(AttemptRef, u8),
    /// Give an engine's idle connections back.
    CloseIdle(EngineId),
}

/// The end of an attempt, as a backend tells it.
#[derive(Clone, Debug)]
pub struct FinishedAttempt {
    /// Which attempt.
    pub attempt: AttemptRef,
    /// What the end proves.
    pub outcome: Outcome,
    /// The answer for the client, where the box gave one: a result, or its own error.
    pub answer: Option<FinalResponse>,
    /// What it took, where told.
    pub cost: Option<TrueCost>,
    /// The engine's load, where told.
    pub report: Option<LoadReport>,
    /// Whether its engine has said that it is over, where the outcome alone leaves that open.
    pub confirmed: bool,
}

impl FinishedAttempt {
    /// An attempt that was called off, and its engine has read so.
    pub fn confirmed(attempt: AttemptRef) -> FinishedAttempt {
        FinishedAttempt { confirmed: true, ..FinishedAttempt::bare(attempt, Outcome::Cancelled) }
    }

    /// An end that tells nothing more than its outcome.
    pub fn bare(attempt: AttemptRef, outcome: Outcome) -> FinishedAttempt {
        FinishedAttempt { attempt, outcome, answer: None, cost: None, report: None, confirmed: false }
    }
}

/// What fronts, backends and the bulletin tell the core.
#[derive(Clone, Debug)]
pub enum DispatcherEvent {
    /// A request came whole.
    Asked(ClientRequest),
    /// A client gave its request up, or is gone.
    Gone(ClientHandle),
    /// An attempt ended.
    Ended(FinishedAttempt),
    /// News of a running attempt.
    Noted(AttemptRef, Progress),
    /// The list of engines, or changes to it.
    Members(ListKind, u64, Vec<EngineEntry>),
}
