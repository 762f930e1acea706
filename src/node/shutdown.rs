//! State machine of a graceful shutdown. Its phases are accepting connections, serving the open connections, closing
//! idle connections, and ended. It does no I/O and reads no clock: the caller passes in the time and counts, and
//! carries out the returned step. All times are in milliseconds of the node's clock.
//!
//! After SIGTERM, the platform's clients open new connections for another 0.2 to 0.4 s, and send requests on open
//! connections for 0.2 s after that. The platform sends SIGKILL no earlier than 0.7 s after the longest deadline of a
//! client, where deadlines of more than 3 s count as 3 s.

/// Time after the signal during which clients open new connections, in milliseconds. Includes a safety margin.
const ACCEPT_WINDOW_MS: f64 = 600.0;
/// Time without a new connection after which the listeners close, once the accept window is over, in milliseconds.
const ACCEPT_IDLE_MS: f64 = 100.0;
/// Time after the signal during which clients send requests on open connections, in milliseconds. Includes a safety
/// margin.
const REQUEST_WINDOW_MS: f64 = 800.0;
/// Longest part of a client's deadline for which the platform delays SIGKILL, in milliseconds.
const MAX_KILL_DELAY_MS: f64 = 3000.0;
/// Least time from the longest deadline of a client to SIGKILL, in milliseconds.
const KILL_GRACE_MS: f64 = 700.0;
/// Time before SIGKILL at which all responses must be sent, so that clients can read them, in milliseconds.
const RESPONSE_MARGIN_MS: f64 = 200.0;
/// Interval between two steps of the state machine, in milliseconds.
const STEP_INTERVAL_MS: f64 = 50.0;
/// Time from the response deadline to the end of the shutdown, in milliseconds. The shutdown ends then even if
/// clients have not read their responses.
const END_MARGIN_MS: f64 = 100.0;

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The node accepts new connections and new requests.
    Accepting,
    /// The listeners are closed; the node accepts new requests on open connections.
    Serving,
    /// The node rejects new requests, closes idle connections and finishes the requests in flight.
    Closing,
    /// No request is open and every client connection is closed, or the time for the shutdown is over.
    Ended,
}

/// What the node has to do now, and when the state machine has to be advanced again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownStep {
    /// Close the listeners now.
    pub close_listeners: bool,
    /// Reject new requests, and close the client connections without open requests.
    pub close_idle_clients: bool,
    /// Time of the next step, in milliseconds; `None` once the shutdown has ended.
    pub next: Option<f64>,
}

/// A graceful shutdown in progress.
#[derive(Clone, Debug)]
pub struct GracefulShutdown {
    signalled_at: f64,
    kill_at: f64,
    last_accept: f64,
    phase: Phase,
}

impl GracefulShutdown {
    /// Starts a shutdown at the time of the signal. `max_deadline_ms` is the longest deadline of a client.
    pub fn new(now: f64, max_deadline_ms: f64) -> GracefulShutdown {
        let kill_at = now + max_deadline_ms.min(MAX_KILL_DELAY_MS) + KILL_GRACE_MS;
        GracefulShutdown { signalled_at: now, kill_at, last_accept: now, phase: Phase::Accepting }
    }

    /// Current phase of the shutdown.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Time by which every open request gets a response, since the process may be killed soon after.
    pub fn response_deadline(&self) -> f64 {
        (self.kill_at - RESPONSE_MARGIN_MS).max(self.signalled_at + REQUEST_WINDOW_MS)
    }

    /// Records that the node has accepted a new connection.
    pub fn accepted(&mut self, now: f64) {
        self.last_accept = now;
    }

    /// Advances the phase and returns what the node has to do now. `open_requests` is the number of open requests,
    /// and `connections` is the number of client connections that are not closed yet.
    pub fn advance(&mut self, now: f64, open_requests: usize, connections: usize) -> ShutdownStep {
        let end = self.response_deadline() + END_MARGIN_MS;
        let mut step = ShutdownStep {
            close_listeners: false,
            close_idle_clients: false,
            next: Some(next_step_at(now, end)),
        };
        if self.phase == Phase::Accepting && self.accepting_is_over(now) {
            self.phase = Phase::Serving;
            step.close_listeners = true;
        }
        if self.phase == Phase::Serving && now - self.signalled_at >= REQUEST_WINDOW_MS {
            self.phase = Phase::Closing;
        }
        step.close_idle_clients = self.phase == Phase::Closing;
        let is_done = open_requests == 0 && connections == 0;
        if self.phase == Phase::Closing && (is_done || now >= end) {
            self.phase = Phase::Ended;
            step.next = None;
        }
        step
    }

    /// Whether the listeners are to be closed: the accept window is over, and clients open no more connections.
    fn accepting_is_over(&self, now: f64) -> bool {
        let since_signal = now - self.signalled_at;
        let is_quiet = now - self.last_accept >= ACCEPT_IDLE_MS;
        since_signal >= ACCEPT_WINDOW_MS && (is_quiet || since_signal >= REQUEST_WINDOW_MS)
    }
}

/// Time of the next step: one step interval after `now`, but no later than the end of the shutdown at `end`.
fn next_step_at(now: f64, end: f64) -> f64 {
    let next = now + STEP_INTERVAL_MS;
    if now < end {
        next.min(end)
    } else {
        next
    }
}
