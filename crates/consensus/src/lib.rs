//! What a fleet agrees on: three or five *deciders* keep one log of commands, all other front ends ask them.
//!
//! It promises that a command which was committed is applied by all in the same order, and outlives any crash of a
//! minority, a full disk, and a failed fsync; and that an answer to a question ([`Machine::answer`]) is given by a decider
//! that a majority confirmed as leader after the question came, on a state with all that was committed before.
//! It does not promise to be there without a majority. It knows no policy and no lease: those are commands and state of a
//! [`Machine`].
//!
//! Consensus is openraft's, the disk redb's. What is own: the links ([`connection`]), the pre-vote ([`pre_vote`]), the marker that
//! keeps a decider without its disk from voting ([`store`]), and standing aside while the disk fails ([`node`]).
//! Start at [`node::Council`].

pub mod connection;
pub mod disk;
mod log_entry;
pub mod node;
pub mod pre_vote;
mod raft;
pub mod store;

pub use node::{Caller, Council};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// The number of a decider in the file, from 1.
pub type Seat = u64;

/// A seat's part of the ids that consensus knows: who comes without its disk gets a new id in its old seat.
pub const SEATS: u64 = 1000;

/// What is agreed on, and what the leader makes of it. Commands and questions are bytes to the council.
pub trait Machine: Send + 'static {
    /// Begins anew, with nothing: what follows is a snapshot or the first command.
    fn blank(&mut self);
    /// Takes a committed command in. The same at all deciders.
    fn apply(&mut self, command: &[u8]);
    /// The whole state.
    fn snapshot(&self) -> Vec<u8>;
    /// The state becomes what a snapshot holds.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String>;
    /// This decider leads from now on, or no more.
    fn role(&mut self, now: f64, leads: bool);
    /// Answers a question; gives the answer and commands to be committed.
    fn answer(&mut self, now: f64, question: &[u8]) -> (Vec<u8>, Vec<Vec<u8>>);
    /// Time passes while this decider leads; gives commands to be committed.
    fn tick(&mut self, now: f64) -> Vec<Vec<u8>>;
}

/// A clock: milliseconds since some moment, which counts the time that the machine was suspended.
pub type Clock = Arc<dyn Fn() -> f64 + Send + Sync>;

/// Faults planted for tests; none otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Plants {
    /// Answers are given without a majority's word.
    pub unconfirmed: bool,
    /// The disk is not waited for.
    pub unsynced: bool,
}

/// How a member takes part.
#[derive(Clone)]
pub struct Settings {
    /// The fleet's name: members of another one are turned away.
    pub fleet: String,
    /// This member's name.
    pub member: String,
    /// The deciders by their seats, the same at all members.
    pub deciders: BTreeMap<Seat, SocketAddr>,
    /// This member's seat, if it is a decider.
    pub seat: Option<Seat>,
    /// A decider's folder.
    pub folder: Option<PathBuf>,
    /// Feeds the draws of elections.
    pub seed: u64,
    /// The clock.
    pub clock: Clock,
    /// For tests.
    pub plants: Plants,
}
