//! Handles requests to the state machine after a majority of voters has confirmed this voter as leader.
//!
//! All requests that are waiting share one confirmation. This makes responses linearizable; see Ongaro, "Consensus:
//! Bridging Theory and Practice" (2014), section 6.4, on linearizable reads with a read index.

use super::proposals::Repetition;
use super::{Shared, WaitingRequest};
use crate::connection::PeerResponse;
use crate::mutex::lock;
use crate::raft::Raft;
use crate::settings::slot_of;
use crate::VoterSlot;
use openraft::ServerState;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Time limit for a majority of voters to confirm this voter as leader.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);

/// The error of a voter that is not the leader, or that no majority confirmed as leader in time.
struct NotLeader {
    /// The slot of the voter that is the leader according to this voter, if it knows one.
    other: Option<VoterSlot>,
}

impl Shared {
    /// Handles requests to the state machine in batches, until the process ends.
    pub(super) async fn handle_waiting_requests(
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
                        let _ = request.respond.send(response); // The receiver is dropped if its connection closed.
                    }
                }
            }
        }
    }

    fn handle_batch(&self, raft: &Raft, batch: Vec<WaitingRequest>) {
        let proposals = lock(&self.voter).proposals.clone();
        for request in batch {
            let now = self.now();
            let handled = lock(&self.state_machine).handle_request(now, &request.body);
            let repetition = if handled.sender_repeats {
                Repetition::UntilApplied
            } else {
                Repetition::Once
            };
            proposals.propose(raft, handled.commands, repetition);
            let response = PeerResponse::StateMachine(handled.response);
            let _ = request.respond.send(response); // The receiver is dropped if its connection closed.
        }
    }

    /// Waits until a majority confirms this voter as leader and all entries committed before the call are applied.
    ///
    /// With the injected bug `unconfirmed_leader`, a leader returns at once.
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
}
