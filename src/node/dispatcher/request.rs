//! A request as a front hands it over, and its one final answer.

use super::*;

/// Which front a client came by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Front {
    /// The platform's.
    JsonRpc,
    /// The MySQL wire.
    Mysql,
}

/// Who asked: a request's place on a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientHandle {
    /// By which front.
    pub front: Front,
    /// On which connection.
    pub conn: SlotKey,
    /// Under which number there.
    pub id: u64,
}

/// Parameters bound to a prepared statement; only fronts and backends of the kind that uses them look inside.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bound {
    /// How many parameters.
    pub count: usize,
    /// Their types, as the client gave them.
    pub types: Vec<u8>,
    /// The null bits, as the client gave them.
    pub nulls: Vec<u8>,
    /// The values.
    pub values: Vec<u8>,
    /// Long values that came ahead, by their parameter.
    pub long: Vec<(u16, Vec<u8>)>,
}

/// What is to be run. The core passes it on unread.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload {
    /// The statement.
    pub statement: Vec<u8>,
    /// For a prepared statement, what is bound to it.
    pub bound: Option<Bound>,
    /// The schema that unqualified names mean, if one was chosen.
    pub schema: Option<String>,
}

impl Payload {
    /// The bytes that it holds.
    pub fn size(&self) -> usize {
        let bound = self.bound.as_ref().map_or(0, |b| {
            let long: usize = b.long.iter().map(|(_, value)| value.len()).sum();
            b.types.len() + b.nulls.len() + b.values.len() + long
        });
        self.statement.len() + bound
    }
}

/// A request as a front hands it over.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Whose answer it is.
    pub asker: ClientHandle,
    /// Its name, new with every request.
    pub name: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// When the client sent it, as far as can be told.
    pub sent: f64,
    /// How long the client waits from then, in milliseconds.
    pub budget: f64,
    /// Of that time, the longest part that may have passed already while it waited at its client, in milliseconds.
    pub waited_at_client: f64,
    /// Its group of tables.
    pub tables: u64,
    /// Estimated work in milliseconds.
    pub work_ms: Option<f64>,
    /// Estimated memory in megabytes.
    pub memory_mb: Option<f64>,
    /// The tenant.
    pub tenant: Option<Arc<str>>,
    /// In a class that keeps order, the key: what has it in common runs one after the other, as it was taken.
    pub order: Option<Arc<str>>,
    /// What to run.
    pub payload: Rc<Payload>,
    /// What it lives under, where a fleet has a policy.
    pub admitted: Option<Admitted>,
}

impl ClientRequest {
    /// When its final answer is due: as the client's time is over by its budget, or sooner where a part of the budget
    /// may have passed before it was sent. `late_answer_grace` is how long after its time an answer still counts.
    pub fn due(&self, late_answer_grace: f64) -> f64 {
        let by_budget = self.sent + self.budget;
        by_budget.min(by_budget - self.waited_at_client + late_answer_grace)
    }
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The result, whole and unchanged, in the form that backend and front share.
    Served(Vec<u8>),
    /// Not run; trying again is harmless after so many milliseconds.
    Refused {
        /// When to come back.
        backoff_ms: f64,
    },
    /// Failed; it may have run.
    Failed,
    /// Failed, as the time that the client gave has passed.
    TimedOut,
    /// The box ran it and answered with an error of its own, which the client understands.
    Error(Vec<u8>),
}

impl FinalResponse {
    /// Its kind in one word, for the log.
    pub(super) fn word(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Refused { .. } => "refused",
            FinalResponse::Failed => "failed",
            FinalResponse::TimedOut => "late",
            FinalResponse::Error(_) => "error",
        }
    }
}
