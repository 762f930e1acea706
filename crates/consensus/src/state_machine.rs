//! The interface of the replicated state machine.

use std::error::Error;
use thiserror::Error;

/// The error of a state machine that can't decode a snapshot.
#[derive(Debug, Error)]
#[error("unsupported snapshot format: update this program")]
pub struct RestoreError(#[source] Box<dyn Error + Send + Sync>);

impl RestoreError {
    /// Wraps the error that the snapshot's decoder returned.
    pub fn new(source: impl Into<Box<dyn Error + Send + Sync>>) -> RestoreError {
        RestoreError(source.into())
    }
}

/// The result of a request to the state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HandledRequest {
    /// The serialized response, which is sent to the member that made the request.
    pub response: Vec<u8>,
    /// Commands that the leader appends to the log. The response is sent without waiting for their commit.
    pub commands: Vec<Vec<u8>>,
    /// Whether the sender repeats the request until its commands have taken effect. The leader then skips a command
    /// while an equal one waits for its commit.
    pub sender_repeats: bool,
}

/// A replicated state machine: applies committed commands at every voter, and handles requests at the leader.
///
/// Commands, requests and responses are opaque bytes to this crate.
/// `now` is the time in milliseconds of [`Settings::clock`](crate::Settings::clock).
pub trait StateMachine: Send + 'static {
    /// Resets to the initial state. Called when a voter opens its store; a snapshot or the first command follows.
    fn reset(&mut self);
    /// Applies a committed command. Must be deterministic, so that all voters reach the same state.
    fn apply(&mut self, command: &[u8]);
    /// Serializes the whole state for a later [`restore`](StateMachine::restore).
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the whole state by the state in a snapshot.
    ///
    /// # Errors
    /// If the snapshot can't be decoded. The state is left unchanged in this case.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError>;
    /// Tells the state machine whether this voter is the leader. Called on every tick, not only on a change.
    fn set_leadership(&mut self, now: f64, is_leader: bool);
    /// Handles a request at the leader, after a majority of voters has confirmed its leadership.
    fn handle_request(&mut self, now: f64, request: &[u8]) -> HandledRequest;
    /// Called periodically at the leader. Returns commands that the leader appends to the log.
    ///
    /// A command must be returned again on each call until it is applied. The leader skips it while an equal one waits
    /// for its commit.
    fn tick(&mut self, now: f64) -> Vec<Vec<u8>>;
}
