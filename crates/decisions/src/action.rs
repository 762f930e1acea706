//! What the module answers: actions for the program around it.

use crate::{Attempt, EngineId, Micros, RequestId, TimerId};

/// What a gateway decides. Actions take effect in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Hand the request to an engine.
    Forward {
        /// Which request.
        request: RequestId,
        /// To which engine.
        engine: EngineId,
        /// Give the attempt up after this long; `None`: as long as the client waits.
        give_up_after: Option<Micros>,
    },
    /// End the request unserved; trying again is harmless.
    Reject {
        /// Which request.
        request: RequestId,
        /// When to come back, where such advice is given.
        retry_after: Option<Micros>,
    },
    /// End the request with an error that promises nothing.
    Fail {
        /// Which request.
        request: RequestId,
    },
    /// Call an attempt off; its outcome still comes.
    Cancel {
        /// Which request.
        request: RequestId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// Set the terms of the request's next attempts, and at once the priority of those out.
    SetTerms {
        /// Which request.
        request: RequestId,
        /// Memory for each further attempt in megabytes; 0: the engine chooses.
        memory_mb: u64,
        /// Priority from 0 to 3.
        priority: u8,
    },
    /// Give idle connections back.
    CloseIdle(EngineId),
    /// Send a message to another gateway, or to all.
    SendToPeer {
        /// Whom; `None` for all.
        to: Option<u32>,
        /// What, 256 bytes at most.
        data: Vec<u8>,
    },
    /// Come back with [`Event::Timer`](crate::Event::Timer) after this long.
    SetTimer {
        /// How long from now.
        after: Micros,
        /// Its name.
        timer: TimerId,
    },
    /// Open (or close) a standing subscription to the engine list.
    Subscribe(bool),
    /// Ask once for the whole engine list.
    FetchList,
    /// A line for the operators.
    Log(String),
}
