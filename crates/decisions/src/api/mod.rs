//! The interface of the module: what it is told at the start ([`Settings`]), what it hears ([`Event`]), what it answers
//! ([`Action`]).
//!
//! Times are [`Micros`]; memory is in megabytes; work is processor time on one thread at the usual speed.

mod heard;
mod settings;

pub use heard::*;
pub use settings::*;
use std::sync::Arc;

/// A point in time or a length of time, in microseconds. Points count from a start that means nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// So many milliseconds.
    pub const fn from_millis(ms: u64) -> Micros {
        Micros(ms.saturating_mul(1000))
    }
    /// The length in milliseconds, with fractions.
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    /// The later of two points plus a length, without overflow.
    pub fn plus(self, more: Micros) -> Micros {
        Micros(self.0.saturating_add(more.0))
    }
    /// The time since `earlier`, zero if that is not earlier.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

/// Names a request; never used twice. Its text means nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);

/// Names an engine by its address, the same at every gateway; a restarted process keeps it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineId(pub Arc<str>);

/// The number of an attempt of one request, from 0 in the order of its [`Action::Send`](crate::Action::Send)s.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u32);

/// Names a timer; comes back as given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Place of a class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// What a gateway decides. Actions take effect in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Hand the request to an engine.
    Send {
        /// Which request.
        request: RequestId,
        /// To which engine.
        engine: EngineId,
        /// Give the attempt up after this long; `None`: as long as the client waits.
        give_up_after: Option<Micros>,
    },
    /// End the request unserved; trying again is harmless.
    Refuse {
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
    Terms {
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
    Tell {
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
