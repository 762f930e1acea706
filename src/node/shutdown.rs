//! A graceful shutdown as a state machine: accepting, then serving what is connected, then closing what is idle, then
//! ended. Pure: times and counts in, what to do out. All times are in milliseconds of the node's clock.
//!
//! The platform sends SIGTERM, opens new connections for 0.2 to 0.4 s more, and sends requests on open ones for another
//! 0.2 s. SIGKILL comes no earlier than 0.7 s after the longest deadline of a client, of which at most 3 s count.

/// Time after the signal in which new connections come, with slack.
const ACCEPT_WINDOW_MS: f64 = 600.0;
/// Time without a new connection after which the listeners are closed, once the window is over.
const ACCEPT_IDLE_MS: f64 = 100.0;
/// Time after the signal in which requests come on open connections, with slack.
const REQUEST_WINDOW_MS: f64 = 800.0;
/// Longest part of a client's deadline that delays the kill.
const MAX_KILL_DELAY_MS: f64 = 3000.0;
/// Time between the longest deadline and the kill.
const KILL_GRACE_MS: f64 = 700.0;
/// Time before the kill at which all owed answers are given, so that clients can read them.
const RESPONSE_MARGIN_MS: f64 = 200.0;
/// Interval between steps.
const STEP_INTERVAL_MS: f64 = 50.0;
/// Time after the response deadline at which the shutdown ends, even if clients have not read their answers.
const END_MARGIN_MS: f64 = 100.0;

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// New connections still come, and are accepted.
    Accepting,
    /// The listeners are closed; requests still come on open connections.
    Serving,
    /// Idle connections are closed; requests in flight are finished.
    Closing,
    /// No answer is owed, and every client's connection is closed.
    Ended,
}

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownStep {
    /// Close the listeners now.
    pub close_listeners: bool,
    /// Reject new requests, and close the connections on which no answer is owed.
    pub close_idle_clients: bool,
    /// When the next step is due; `None` once the shutdown has ended.
    pub next: Option<f64>,
}

/// A shutdown that has begun.
#[derive(Clone, Debug)]
pub struct GracefulShutdown {
    signalled_at: f64,
    kill_at: f64,
    last_accept: f64,
    phase: Phase,
}

impl GracefulShutdown {
    /// The signal has come. `longest_ms` is the longest time that any client may wait.
    pub fn new(now: f64, longest_ms: f64) -> GracefulShutdown {
        let kill_at = now + longest_ms.min(MAX_KILL_DELAY_MS) + KILL_GRACE_MS;
        GracefulShutdown { signalled_at: now, kill_at, last_accept: now, phase: Phase::Accepting }
    }

    /// How far it has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When everything that is still owed is answered, since the process may be killed soon after.
    pub fn response_deadline(&self) -> f64 {
        (self.kill_at - RESPONSE_MARGIN_MS).max(self.signalled_at + REQUEST_WINDOW_MS)
    }

    /// A new connection was accepted.
    pub fn accepted(&mut self, now: f64) {
        self.last_accept = now;
    }

    /// Advances the phase. `open_requests` are in flight, and `connections` of clients are not closed yet.
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

    fn accepting_is_over(&self, now: f64) -> bool {
        let since_signal = now - self.signalled_at;
        let is_quiet = now - self.last_accept >= ACCEPT_IDLE_MS;
        since_signal >= ACCEPT_WINDOW_MS && (is_quiet || since_signal >= REQUEST_WINDOW_MS)
    }
}

fn next_step_at(now: f64, end: f64) -> f64 {
    let next = now + STEP_INTERVAL_MS;
    if now < end {
        next.min(end)
    } else {
        next
    }
}
