//! Actions: what the module has the program around it do.

use crate::{Attempt, EngineId, LogEvent, Micros, RequestId, TimerId};

/// An action that a gateway decides. Actions take effect in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an engine, as its next attempt.
    Forward {
        /// The request.
        request: RequestId,
        /// The engine.
        engine: EngineId,
        /// Time out the attempt after this long; `None`: as long as the client waits.
        give_up_after: Option<Micros>,
    },
    /// End the request unserved; it is harmless for the client to try again.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should try again, where such advice is given.
        retry_after: Option<Micros>,
    },
    /// End the request with an error; it may have run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt; its end is still to be reported.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Set the terms of the request's next attempts, and at once the priority of those in flight.
    SetTerms {
        /// The request.
        request: RequestId,
        /// Memory granted to each further attempt, in megabytes; 0: the engine chooses.
        memory_mb: u64,
        /// Priority from 0 to 3, the highest.
        priority: u8,
    },
    /// Close idle connections to an engine.
    CloseIdle(EngineId),
    /// Send a message to another gateway, or to all.
    SendToPeer {
        /// The number of that gateway; `None` for all.
        to: Option<u32>,
        /// The message, 256 bytes at most.
        data: Vec<u8>,
    },
    /// Deliver [`Event::Timer`](crate::Event::Timer) after this long.
    SetTimer {
        /// How long from now.
        after: Micros,
        /// Id of the timer.
        timer: TimerId,
    },
    /// Subscribe to the engine list, or end the subscription.
    Subscribe(bool),
    /// Fetch the whole engine list once.
    FetchList,
    /// Write an event to the operators' log.
    Log(LogEvent),
}
