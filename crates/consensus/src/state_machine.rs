//! The interface of the replicated state machine.

use std::error::Error;
use thiserror::Error;

/// A snapshot that this program can't read.
#[derive(Debug, Error)]
#[error("a snapshot of another form: update this program")]
pub struct RestoreError(#[source] Box<dyn Error + Send + Sync>);

impl RestoreError {
    /// Wraps what the decoder reported.
    pub fn new(source: impl Into<Box<dyn Error + Send + Sync>>) -> RestoreError {
        RestoreError(source.into())
    }
}

/// What came of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandledRequest {
    /// The response to whoever sent the request.
    pub response: Vec<u8>,
    /// Commands to be committed. The response does not wait for them.
    pub commands: Vec<Vec<u8>>,
}

/// A replicated state machine, and what its leader does. Commands and requests are opaque bytes to the consensus.
///
/// `now` is in milliseconds of [`Settings::clock`](crate::Settings::clock).
pub trait StateMachine: Send + 'static {
    /// Returns to the initial state. A snapshot or the first command follows.
    fn reset(&mut self);
    /// Applies a committed command. Must have the same effect at all voters.
    fn apply(&mut self, command: &[u8]);
    /// The whole state, for [`restore`](StateMachine::restore).
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by that of a snapshot.
    ///
    /// # Errors
    /// If the snapshot can't be read. The state is then as it was.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
    /// Reports whether this voter is the leader. Called repeatedly, not only on a change.
    fn set_leadership(&mut self, now: f64, is_leader: bool);
    /// Handles a request, as a leader that a majority has confirmed.
    fn handle_request(&mut self, now: f64, request: &[u8]) -> HandledRequest;
    /// Called periodically at the leader. Returns commands to be committed.
    fn tick(&mut self, now: f64) -> Vec<Vec<u8>>;
}
