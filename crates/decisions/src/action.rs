//! Actions that a gateway asks the host program to carry out.

use crate::{Attempt, EngineId, LogEvent, Micros, RequestId, TimerId};

/// An action that a gateway asks the host program to carry out. The order in which actions are
/// returned is the order in which they must be carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an engine, as the request's next attempt.
    Forward {
        /// The request to send.
        request: RequestId,
        /// The engine to send it to.
        engine: EngineId,
        /// Time limit for the attempt, counted from its send. `None` sets no limit, so that only
        /// the deadline of the request applies.
        give_up_after: Option<Micros>,
    },
    /// End a request without serving it. The client may safely send it again.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// Delay after which the client is advised to retry; `None` gives no advice.
        retry_after: Option<Micros>,
    },
    /// End a request with an error. One of its attempts may have run, so sending the request again
    /// might repeat its work.
    Fail {
        /// The request to end.
        request: RequestId,
    },
    /// Cancel an attempt. The host program must still report the end of the attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: Attempt,
    },
    /// Set the memory grant and the priority of a request. The priority applies to later attempts
    /// and at once to those in flight, the memory grant to later attempts only.
    SetTerms {
        /// The request that the memory grant and the priority apply to.
        request: RequestId,
        /// Memory granted to each later attempt, in megabytes; 0 leaves the amount to the engine.
        memory_mb: u64,
        /// Priority from 0 (lowest) to 3 (highest).
        priority: u8,
    },
    /// Close the idle connections to an engine.
    CloseIdle(EngineId),
    /// Send a message to one other gateway, or to all of them.
    SendToPeer {
        /// Number of the receiving gateway; `None` sends to all gateways.
        to: Option<u32>,
        /// Content of the message, at most 256 bytes.
        data: Vec<u8>,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) after a delay.
    SetTimer {
        /// Delay until the timer fires, counted from now.
        after: Micros,
        /// Timer id that the event must carry.
        timer: TimerId,
    },
    /// Subscribe to changes of the engine list (`true`), or end the subscription (`false`).
    Subscribe(bool),
    /// Fetch the complete engine list once.
    FetchList,
    /// Write an event to the operators' log.
    Log(LogEvent),
}
