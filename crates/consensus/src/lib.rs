//! The replicated log of a fleet, built on openraft (Raft consensus) and redb (embedded database).
//!
//! Three or five members are *voters*: they replicate one log of commands with Raft.
//! All other members send their requests to the leader of the voters.
//!
//! # Guarantees
//!
//! - All voters apply the committed commands in the same order.
//! - A committed command survives the crash of any minority of voters, a full disk and a failed fsync.
//! - A response to a request ([`StateMachine::handle_request`]) is linearizable. After the request arrived, a majority
//!   confirmed the responding voter as leader, and its state includes every command that was committed before.
//!
//! # Limits
//!
//! - No command is committed and no request is handled without a majority of voters.
//! - The crate does not interpret commands: policies and leases are part of the caller's [`StateMachine`].
//!
//! # Modules
//!
//! - [`node`]: runs a member as a client of the leader and, if configured, as a voter. Start at [`ConsensusNode`].
//! - [`pre_vote`]: decides when a voter starts an election.
//! - [`store`]: stores the vote, log, snapshot and identity of a voter on its [`disk`].
//! - [`connection`]: transports requests and responses between members over TCP.
//!
//! ```
//! use beamgap_consensus::{HandledRequest, RestoreError, StateMachine};
//!
//! /// A state machine that counts the committed commands.
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
//!         HandledRequest { response: vec![self.0], commands: vec![request.to_vec()], sender_repeats: false }
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
