//! A graceful shutdown as a state machine: accepting, then serving what is connected, then closing what is idle, then
//! ended. Pure: times and counts in, what to do out.
//!
//! The platform's windows: after SIGTERM new connections come for 0.2 to 0.4 s, and requests on open ones for 0.2 s
//! more. SIGKILL comes no earlier than the longest deadline (3 s where it is longer) and 0.7 s after SIGTERM.

const ACCEPT_MS: f64 = 600.0; // after the signal, in which new connections come, with slack
const QUIET_MS: f64 = 100.0; // without a new connection, after that, until the listeners are closed
const REQUESTS_MS: f64 = 800.0; // after the signal, in which requests come on what is open, with slack
const DEADLINE_MOST_MS: f64 = 3000.0; // of the longest deadline that counts for the kill
const KILL_MS: f64 = 700.0; // after that, until the kill
const RESPONSE_MARGIN_MS: f64 = 200.0; // before the kill: what is owed then is answered, so that the client reads it
const STEP_MS: f64 = 50.0; // between steps
const END_MARGIN_MS: f64 = 100.0; // after the response deadline it ends, whoever has not read what was written

/// How far a shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// New connections still come, and are taken.
    Accepting,
    /// No more new ones; requests still come on what is open.
    Serving,
    /// What is quiet is closed; what is owed is finished.
    Closing,
    /// Nothing is owed, and every client's connection is closed.
    Ended,
}

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownStep {
    /// Close the listeners now.
    pub close_listeners: bool,
    /// Refuse new requests, and close the connections on which nothing is owed.
    pub close_idle_clients: bool,
    /// When to look next; none once it has ended.
    pub next: Option<f64>,
}

/// A shutdown that has begun.
#[derive(Clone, Debug)]
pub struct GracefulShutdown {
    signalled: f64,
    kill: f64,
    newest: f64,
    phase: Phase,
}

impl GracefulShutdown {
    /// The signal has come. `longest_ms` is the longest time that any client may wait, in milliseconds.
    pub fn new(now: f64, longest_ms: f64) -> GracefulShutdown {
        let kill = now + longest_ms.min(DEADLINE_MOST_MS) + KILL_MS;
        GracefulShutdown { signalled: now, kill, newest: now, phase: Phase::Accepting }
    }

    /// How far it has come.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When all that is still owed is answered: what runs on then would be killed with its client waiting.
    pub fn response_deadline(&self) -> f64 {
        (self.kill - RESPONSE_MARGIN_MS).max(self.signalled + REQUESTS_MS)
    }

    /// A new connection was taken.
    pub fn accepted(&mut self, now: f64) {
        self.newest = now;
    }

    /// Takes it further: requests that are open, and client connections that are not closed yet.
    pub fn advance(&mut self, now: f64, open: usize, connections: usize) -> ShutdownStep {
        let since = now - self.signalled;
        let last = self.response_deadline() + END_MARGIN_MS;
        let next = if now < last { (now + STEP_MS).min(last) } else { now + STEP_MS };
        let mut step = ShutdownStep { close_listeners: false, close_idle_clients: false, next: Some(next) };
        let quiet = now - self.newest >= QUIET_MS;
        if self.phase == Phase::Accepting && since >= ACCEPT_MS && (quiet || since >= REQUESTS_MS) {
            (self.phase, step.close_listeners) = (Phase::Serving, true);
        }
        if self.phase == Phase::Serving && since >= REQUESTS_MS {
            self.phase = Phase::Closing;
        }
        step.close_idle_clients = self.phase == Phase::Closing;
        let is_done = open == 0 && connections == 0;
        if self.phase == Phase::Closing && (is_done || now >= last) {
            (self.phase, step.next) = (Phase::Ended, None);
        }
        step
    }
}
