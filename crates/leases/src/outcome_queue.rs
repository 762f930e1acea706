//! Queue of step outcomes that are not recorded in the replicated state yet.

use crate::command::Command;
use crate::held_lease::{HeldLease, RETRY_INTERVAL_MS};
use std::collections::BTreeMap;

/// A command that records an outcome, and the time at which it was last sent, in milliseconds on
/// the member's clock.
#[derive(Clone, Debug, PartialEq)]
struct QueuedOutcome {
    command: Command,
    sent_at: f64,
}

/// Outcomes that the replicated state does not contain yet. Each outcome is sent again at intervals
/// until its step is no longer open or its lease is lost.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct OutcomeQueue(Vec<QueuedOutcome>);

impl OutcomeQueue {
    /// Queues a command that records an outcome, to be sent with the next poll.
    pub(crate) fn push(&mut self, command: Command) {
        self.0.push(QueuedOutcome {
            command,
            sent_at: f64::NEG_INFINITY,
        });
    }

    /// Whether no outcome is waiting to be recorded.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops outcomes that are recorded or whose lease is lost, and returns the commands that are
    /// due to be sent now.
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

/// Whether the step that this command closes is still open under a lease in `held`.
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
