//! Proposes commands to openraft, and keeps count of those that wait for their commit.
//!
//! The state machine issues a command again on each tick until the command is applied, and members repeat their
//! requests. If each repetition were appended, a slow disk would fall further behind with every tick, until the leader
//! has no time left for heartbeats. A repetition is therefore skipped while an equal command waits for its commit.

use crate::log_entry::Command;
use crate::mutex::lock;
use crate::raft::Raft;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};

/// Maximum number of commands that wait for their commit. Beyond it, commands that will be repeated are skipped.
const MAX_WAITING_COMMANDS: usize = 1024;

/// Whether the issuer of a command repeats the command until it has taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Repetition {
    /// The command is issued until it has taken effect.
    UntilApplied,
    /// The command is issued once.
    Once,
}

/// The commands that one instance of openraft has been given and that wait for their commit.
#[derive(Clone, Debug, Default)]
pub(super) struct Proposals {
    /// How often each command waits.
    waiting: Arc<Mutex<HashMap<Vec<u8>, usize>>>,
}

impl Proposals {
    /// Proposes commands without waiting for their commit.
    ///
    /// A command can be lost if the leader fails before the commit. There is no retry here.
    pub fn propose(&self, raft: &Raft, commands: Vec<Vec<u8>>, repetition: Repetition) {
        for command in commands {
            if !self.begin(&command, repetition) {
                continue;
            }
            let raft = raft.clone();
            let proposals = self.clone();
            tokio::spawn(async move {
                // An error means that this voter is no longer the leader, or that openraft has stopped.
                let _ = raft.client_write(Command(command.clone())).await;
                proposals.end(&command);
            });
        }
    }

    /// Counts a command as waiting. Returns `false` if the command is to be skipped.
    fn begin(&self, command: &[u8], repetition: Repetition) -> bool {
        let mut waiting = lock(&self.waiting);
        let is_skipped = waiting.contains_key(command) || waiting.len() >= MAX_WAITING_COMMANDS;
        if is_skipped && repetition == Repetition::UntilApplied {
            return false;
        }
        *waiting.entry(command.to_vec()).or_default() += 1;
        true
    }

    /// Ends the wait of a command.
    fn end(&self, command: &[u8]) {
        let mut waiting = lock(&self.waiting);
        if let Some(count) = waiting.get_mut(command) {
            *count -= 1;
            if *count == 0 {
                waiting.remove(command);
            }
        }
    }
}
