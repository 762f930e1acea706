//! Outcomes that are not recorded in the replicated state yet.

use crate::command::Command;
use crate::held_lease::{HeldLease, RETRY_INTERVAL_MS};
use std::collections::BTreeMap;

/// An outcome, and when it was last sent.
#[derive(Clone, Debug, PartialEq)]
struct QueuedOutcome {
    command: Command,
    sent_at: f64,
}

/// Outcomes that are not recorded yet. Each is sent until its step is no longer open at its lease.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct OutcomeQueue(Vec<QueuedOutcome>);

impl OutcomeQueue {
    /// Adds a command that records an outcome; it is sent with the next poll.
    pub(crate) fn push(&mut self, command: Command) {
        self.0.push(QueuedOutcome {
            command,
            sent_at: f64::NEG_INFINITY,
        });
    }

    /// Whether all outcomes are recorded.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops outcomes that are recorded or whose lease is lost, and gives those that are to be sent
    /// now.
    pub(crate) fn due_commands(
        &mut self,
        now: f64,
        held: &BTreeMap<String, HeldLease>,
    ) -> Vec<Command> {
        self.0.retain(|queued| is_unrecorded(&queued.command, held));
        let mut commands = Vec::new();
        for queued in &mut self.0 {
            if now - queued.sent_at >= RETRY_INTERVAL_MS {
                queued.sent_at = now;
                commands.push(queued.command.clone());
            }
        }
        commands
    }
}

/// Whether the step of this command is still open at a lease that is held.
fn is_unrecorded(command: &Command, held: &BTreeMap<String, HeldLease>) -> bool {
    let Command::RecordOutcome {
        task, token, step, ..
    } = command
    else {
        return false;
    };
    let Some(run) = held.get(task).and_then(|held| held.view.run.as_ref()) else {
        return false;
    };
    run.open_token == Some(*token) && run.next_step == *step
}
