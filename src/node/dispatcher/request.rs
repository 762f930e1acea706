//! A request as a front passes it to the request dispatcher, and the final response to it.

use super::*;

/// The front that serves a client: the client protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Front {
    /// JSON-RPC 2.0, the platform's own protocol.
    JsonRpc,
    /// The MySQL client/server protocol.
    Mysql,
}

/// Identifies a request by its client connection, so that its response reaches the right client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClientHandle {
    /// Front that owns the connection.
    pub front: Front,
    /// Slot of the connection within that front.
    pub conn: SlotKey,
    /// Id of the request on the connection.
    pub id: u64,
}

/// Parameters bound to a prepared statement. Only the MySQL front and the MySQL backend read them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BoundParameters {
    /// Number of parameters.
    pub count: usize,
    /// Types of the parameters, in the encoding of the client.
    pub types: Vec<u8>,
    /// Null bitmap, in the encoding of the client.
    pub nulls: Vec<u8>,
    /// Values of the parameters, in the encoding of the client.
    pub values: Vec<u8>,
    /// Long values that the client sent before the execution, by the number of the parameter.
    pub long: Vec<(u16, Vec<u8>)>,
}

/// The statement to run. The request dispatcher forwards it without reading it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Payload {
    /// Text of the statement.
    pub statement: Vec<u8>,
    /// Parameters bound to a prepared statement.
    pub bound: Option<BoundParameters>,
    /// Default schema for unqualified names, if the client has selected one.
    pub schema: Option<String>,
    /// Whether the statement may change the session of the connection on which a MySQL server runs it.
    pub may_change_session: bool,
}

impl Payload {
    /// Size of the statement and its parameters, in bytes.
    pub fn size(&self) -> usize {
        let bound = self.bound.as_ref().map_or(0, |b| {
            let long_values: usize = b.long.iter().map(|(_, value)| value.len()).sum();
            b.types.len() + b.nulls.len() + b.values.len() + long_values
        });
        self.statement.len() + bound
    }
}

/// A request as a front passes it to the request dispatcher.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Client and connection that the response goes to.
    pub client: ClientHandle,
    /// Unique name of the request.
    pub name: Arc<str>,
    /// Class of the request.
    pub class: ClassId,
    /// Estimated time at which the client sent the request, in milliseconds.
    pub sent_at: f64,
    /// How long the client waits for the response from `sent_at` on, in milliseconds.
    pub budget_ms: f64,
    /// Longest part of `budget_ms`, in milliseconds, that may have passed in the client's queue before `sent_at`.
    pub waited_at_client: f64,
    /// Group of tables that the request reads or loads.
    pub table_group: u64,
    /// Estimated work in milliseconds.
    pub work_ms: Option<f64>,
    /// Estimated memory in megabytes.
    pub memory_mb: Option<f64>,
    /// Tenant that the request belongs to, if the client names one.
    pub tenant: Option<Arc<str>>,
    /// Ordering key, in an ordered class: requests with the same key run one at a time in the order of arrival.
    pub ordering_key: Option<Arc<str>>,
    /// Statement to run, with its parameters.
    pub payload: Rc<Payload>,
    /// Limits from the fleet's policy, and units of the fleet's budgets that the request holds; `None` without a
    /// fleet.
    pub admitted: Option<Admitted>,
}

impl ClientRequest {
    /// Deadline of the request, in milliseconds: the end of the client's budget, or sooner if a part of the budget
    /// may have passed before the request was sent. `late_response_grace` is the time after the end of the budget
    /// for which a response is still valid, in milliseconds.
    pub fn deadline(&self, late_response_grace: f64) -> f64 {
        let by_budget = self.sent_at + self.budget_ms;
        by_budget.min(by_budget - self.waited_at_client + late_response_grace)
    }
}

/// The final response to a request; each request gets one.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The complete, unmodified result, in an encoding that the backend and the front of the client protocol share.
    Served(Vec<u8>),
    /// The request was rejected and has not run, so that a retry is safe.
    Rejected {
        /// Delay after which the client may retry, in milliseconds.
        backoff_ms: f64,
    },
    /// The request failed and may have run.
    Failed,
    /// The client's budget ended before the request had a result; the request may have run.
    TimedOut,
    /// The engine answered with an error of its own, in the encoding of the client protocol.
    Error(Vec<u8>),
}

impl FinalResponse {
    /// The kind of the response in one word, for the log.
    pub(super) fn word(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected { .. } => "refused",
            FinalResponse::Failed => "failed",
            FinalResponse::TimedOut => "late",
            FinalResponse::Error(_) => "error",
        }
    }
}
