//! Requests to the state machine. One confirmation by a majority serves all that wait; see Ongaro's thesis, section
//! 6.4, on linearizable reads.

use super::{Shared, WaitingRequest};
use crate::connection::PeerResponse;
use crate::log_entry::Command;
use crate::mutex::lock;
use crate::raft::Raft;
use crate::settings::slot_of;
use crate::VoterSlot;
use openraft::ServerState;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Time for a majority to confirm the leader.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for a command to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// This voter is not confirmed as leader.
struct NotLeader {
    /// The slot of the voter that may be.
    other: Option<VoterSlot>,
}

impl Shared {
    /// Handles requests to the state machine in batches, for ever.
    pub(super) async fn handle_confirmed(
        self: Arc<Shared>,
        mut waiting: mpsc::Receiver<WaitingRequest>,
    ) {
        while let Some(first) = waiting.recv().await {
            let mut batch = vec![first];
            while let Ok(request) = waiting.try_recv() {
                batch.push(request);
            }
            match self.confirm_leadership().await {
                Ok(raft) => self.handle_batch(&raft, batch),
                Err(not_leader) => {
                    for request in batch {
                        let response = PeerResponse::NotLeader(not_leader.other);
                        let _ = request.respond.send(response); // The sender may be gone.
                    }
                }
            }
        }
    }

    fn handle_batch(&self, raft: &Raft, batch: Vec<WaitingRequest>) {
        for request in batch {
            let now = self.now();
            let handled = lock(&self.state_machine).handle_request(now, &request.body);
            self.spawn_commits(raft, handled.commands);
            let response = PeerResponse::StateMachine(handled.response);
            let _ = request.respond.send(response); // The sender may be gone.
        }
    }

    /// Confirms that this voter leads, and has applied all that was committed before the call.
    async fn confirm_leadership(&self) -> Result<Raft, NotLeader> {
        let raft = self.raft().ok_or(NotLeader { other: None })?;
        let (state, own_id, leader) = {
            let metrics = raft.metrics();
            let metrics = metrics.borrow();
            (metrics.state, metrics.id, metrics.current_leader)
        };
        if state != ServerState::Leader {
            let other = leader.filter(|leader| *leader != own_id);
            return Err(NotLeader {
                other: other.map(slot_of),
            });
        }
        if self.settings.injected_bugs.unconfirmed_leader {
            return Ok(raft);
        }
        match timeout(CONFIRMATION_TIMEOUT, raft.ensure_linearizable()).await {
            Ok(Ok(_)) => Ok(raft),
            _ => Err(NotLeader { other: None }),
        }
    }

    /// Has commands committed, without waiting for them. A command that is lost with its leader is submitted again by
    /// whoever needs it.
    pub(super) fn spawn_commits(&self, raft: &Raft, commands: Vec<Vec<u8>>) {
        for command in commands {
            let raft = raft.clone();
            tokio::spawn(async move {
                let write = raft.client_write(Command(command));
                let _ = timeout(COMMIT_TIMEOUT, write).await;
            });
        }
    }
}
