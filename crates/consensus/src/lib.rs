//! The replicated log of a fleet.
//!
//! Three or five *voters* keep one log of commands; all other members send their requests to the leader among them.
//!
//! # What it promises
//!
//! - A committed command is applied by all voters in the same order. It survives a crash of any minority, a full disk
//!   and a failed fsync.
//! - A response to a request ([`StateMachine::handle_request`]) is linearizable: it comes from a voter that a majority
//!   confirmed as leader after the request arrived, on a state that holds all that was committed before.
//!
//! # What it does not promise
//!
//! It is not available without a majority of voters. It knows no policy and no lease: those are commands and state of
//! a [`StateMachine`].
//!
//! # Where to start
//!
//! Consensus is openraft's, the database redb's. This crate adds:
//!
//! - [`node`]: a member's part, and what a voter does while its disk fails. Start at [`ConsensusNode`].
//! - [`pre_vote`]: when a voter stands for election.
//! - [`store`]: vote, log, snapshot and identity of a voter on its [`disk`].
//! - [`connection`]: requests and responses between members.
//!
//! ```
//! use beamgap_consensus::{HandledRequest, RestoreError, StateMachine};
//!
//! /// Counts the commands that were committed.
//! #[derive(Default)]
//! struct Counter(u8);
//!
//! impl StateMachine for Counter {
//!     fn reset(&mut self) {
//!         self.0 = 0;
//!     }
//!     fn apply(&mut self, _command: &[u8]) {
//!         self.0 += 1;
//!     }
//!     fn snapshot(&self) -> Vec<u8> {
//!         vec![self.0]
//!     }
//!     fn restore(&mut self, snapshot: &[u8]) -> Result<(), RestoreError> {
//!         self.0 = *snapshot.first().ok_or(RestoreError::new("empty snapshot"))?;
//!         Ok(())
//!     }
//!     fn set_leadership(&mut self, _now: f64, _is_leader: bool) {}
//!     fn handle_request(&mut self, _now: f64, request: &[u8]) -> HandledRequest {
//!         HandledRequest { response: vec![self.0], commands: vec![request.to_vec()] }
//!     }
//!     fn tick(&mut self, _now: f64) -> Vec<Vec<u8>> {
//!         Vec::new()
//!     }
//! }
//!
//! let mut leader = Counter::default();
//! let handled = leader.handle_request(0.0, b"increment");
//! handled.commands.iter().for_each(|command| leader.apply(command));
//! let mut follower = Counter::default();
//! follower.restore(&leader.snapshot()).unwrap();
//! assert_eq!(follower.snapshot(), [1]);
//! ```

#![deny(missing_docs)]

pub mod connection;
pub mod disk;
mod log_entry;
mod mutex;
pub mod node;
pub mod pre_vote;
mod raft;
mod settings;
mod state_machine;
pub mod store;

pub use node::{ConsensusNode, LeaderClient};
pub use settings::{Clock, InjectedBugs, Settings, VoterSlot, SLOT_STRIDE};
pub use state_machine::{HandledRequest, RestoreError, StateMachine};
