//! Runs a voter: opens its disk, runs openraft, and starts elections when the pre-vote permits.

use super::error::VoterError;
use super::proposals::{Proposals, Repetition};
use super::{log_end, Shared};
use crate::connection::{Handshake, PeerRequest, PeerResponse};
use crate::disk::SharedDisk;
use crate::mutex::lock;
use crate::pre_vote::{PreVote, PreVoteAction, HEARTBEAT_INTERVAL_MS, LEADER_TIMEOUT_MS};
use crate::raft::{AppliedState, LogStorage, PeerNetwork, Raft};
use crate::settings::slot_of;
use crate::store::{self, SharedStore, VoterIdentity};
use openraft::{BasicNode, ConfigError, RaftMetrics, ServerState, SnapshotPolicy};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Interval between the ticks of a voter, which check the disk, the leadership and the election timeout.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Delay before a failed disk is opened again, and maximum delay between two checks for an identity.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time limit for openraft to shut down, because the shutdown can hang when the store is broken.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for another voter to respond to a pre-vote request.
const PRE_VOTE_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of pre-vote responses that wait for the next tick. Further responses are dropped.
const MAX_QUEUED_PRE_VOTES: usize = 64;
/// Number of log entries after which openraft takes another snapshot.
const ENTRIES_BETWEEN_SNAPSHOTS: u64 = 500;
/// Number of log entries kept although a snapshot covers them, so that a voter that lags a little needs no snapshot.
const ENTRIES_KEPT_AFTER_SNAPSHOT: u64 = 200;
/// Maximum number of log entries in one AppendEntries request.
const MAX_ENTRIES_PER_APPEND: u64 = 100;
/// Maximum size of a chunk of a snapshot in one InstallSnapshot request, in bytes.
const SNAPSHOT_CHUNK_BYTES: u64 = 256 * 1024;
/// Minimum and maximum of openraft's own election timeout, in milliseconds.
///
/// Elections are started by the pre-vote. In openraft the minimum is the time limit for another voter to vote, which
/// includes an fsync, and the maximum is the time after a heartbeat in which a voter gives its vote to no other.
const RAFT_ELECTION_TIMEOUT_MS: (u64, u64) =
    (LEADER_TIMEOUT_MS as u64 - 1, LEADER_TIMEOUT_MS as u64);

/// Text for a healthy disk in the status that operators see.
const HEALTHY_DISK_TEXT: &str = "good";

/// Another voter's response to a pre-vote request of this voter.
struct PreVoteResponse {
    round: u64,
    granted: bool,
}

/// A running voter, with its openraft instance and its open store.
struct RunningVoter {
    raft: Raft,
    store: SharedStore,
    node_id: u64,
    /// Node ids of the other voters, as of the last tick.
    other_voters: BTreeSet<u64>,
    pre_votes: mpsc::Receiver<PreVoteResponse>,
    pre_vote_sender: mpsc::Sender<PreVoteResponse>,
}

/// Returns the validated configuration of openraft.
fn raft_config(fleet: &str) -> Result<openraft::Config, ConfigError> {
    let config = openraft::Config {
        cluster_name: fleet.to_owned(),
        heartbeat_interval: HEARTBEAT_INTERVAL_MS,
        election_timeout_min: RAFT_ELECTION_TIMEOUT_MS.0,
        election_timeout_max: RAFT_ELECTION_TIMEOUT_MS.1,
        max_payload_entries: MAX_ENTRIES_PER_APPEND,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(ENTRIES_BETWEEN_SNAPSHOTS),
        max_in_snapshot_log_to_keep: ENTRIES_KEPT_AFTER_SNAPSHOT,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        // openraft must not start elections by itself, because the pre-vote decides when to start one.
        enable_elect: false,
        ..openraft::Config::default()
    };
    config.validate()
}

impl Shared {
    /// Runs this voter until the process ends. After each failure, stops openraft and opens the disk again.
    pub(super) async fn run_voter(self: Arc<Shared>, disk: SharedDisk) {
        loop {
            if let Err(error) = self.open_and_run(&disk).await {
                tracing::error!(target: "fleet", %error, "voter stands aside");
                lock(&self.voter).disk = error.to_string();
            }
            self.store_tried.notify_one();
            let now = self.now();
            lock(&self.state_machine).set_leadership(now, false);
            let raft = {
                let mut voter = lock(&self.voter);
                voter.store = None;
                voter.pre_vote = None;
                voter.raft.take()
            };
            if let Some(raft) = raft {
                // A timeout is harmless: a hanging instance can't write, because its store is broken or closed.
                let _ = timeout(SHUTDOWN_TIMEOUT, raft.shutdown()).await;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Opens the disk, waits for an identity, and runs openraft until the disk or openraft fails.
    async fn open_and_run(&self, disk: &SharedDisk) -> Result<(), VoterError> {
        let settings = &self.settings;
        let folder = settings.data_dir.as_ref().ok_or(VoterError::NoDataDir)?;
        let sync = !settings.injected_bugs.unsynced_writes;
        let store = store::open(folder.clone(), disk.clone(), sync).await?;
        self.store_tried.notify_one();
        {
            let mut voter = lock(&self.voter);
            voter.store = Some(store.clone());
            voter.disk = HEALTHY_DISK_TEXT.to_owned();
        }
        let identity = self.wait_for_identity(&store, folder).await?;
        let mut voter = self.start_raft(store, &identity).await?;
        let slot = slot_of(identity.node_id);
        tracing::info!(target: "fleet", slot, node_id = identity.node_id, "voter takes part");
        self.run_ticks(&mut voter).await
    }

    /// Waits until the data folder has an identity, and checks that the identity fits the settings.
    async fn wait_for_identity(
        &self,
        store: &SharedStore,
        folder: &Path,
    ) -> Result<VoterIdentity, VoterError> {
        let identity = loop {
            let identity = store.identity()?;
            if let Some(identity) = identity {
                break identity;
            }
            if !store.is_healthy() {
                return Err(VoterError::DiskFailed);
            }
            // The identity is checked again after the timeout too, in case a notification was missed.
            let _ = timeout(RETRY_DELAY, self.identity_written.notified()).await;
        };
        let is_own_slot = Some(slot_of(identity.node_id)) == self.settings.slot;
        if identity.fleet != self.settings.fleet || !is_own_slot {
            return Err(VoterError::IdentityMismatch {
                folder: folder.to_owned(),
                found: identity,
            });
        }
        Ok(identity)
    }

    /// Starts openraft on the store, under the node id of `identity`.
    async fn start_raft(
        &self,
        store: SharedStore,
        identity: &VoterIdentity,
    ) -> Result<RunningVoter, VoterError> {
        let settings = &self.settings;
        let config = Arc::new(raft_config(&settings.fleet)?);
        lock(&self.voter).cluster_id = Some(identity.cluster_id);
        let mut handshake = Handshake::new(&settings.fleet, &settings.member);
        handshake.cluster_id = Some(identity.cluster_id);
        let network = PeerNetwork {
            handshake,
            traffic: self.traffic.clone(),
            addresses: self.addresses.clone(),
        };
        let applied = AppliedState::open(store.clone(), self.state_machine.clone())?;
        let log = LogStorage(store.clone());
        let raft = Raft::new(identity.node_id, config, network, log, applied).await?;
        {
            let mut voter = lock(&self.voter);
            voter.raft = Some(raft.clone());
            // The commands of an earlier instance may never end, if that instance hangs on a broken disk.
            voter.proposals = Proposals::default();
        }
        let (pre_vote_sender, pre_votes) = mpsc::channel(MAX_QUEUED_PRE_VOTES);
        Ok(RunningVoter {
            raft,
            store,
            node_id: identity.node_id,
            other_voters: BTreeSet::new(),
            pre_votes,
            pre_vote_sender,
        })
    }

    /// Runs the periodic ticks of a voter until its disk or openraft fails.
    async fn run_ticks(&self, voter: &mut RunningVoter) -> Result<(), VoterError> {
        loop {
            let now = self.now();
            let metrics = voter.raft.metrics().borrow().clone();
            metrics.running_state.clone()?;
            if !voter.store.is_healthy() {
                return Err(VoterError::DiskFailed);
            }
            let is_voter = self.update_voters(voter, &metrics, now);
            let is_leader = metrics.state == ServerState::Leader
                && metrics.current_leader == Some(voter.node_id);
            lock(&self.state_machine).set_leadership(now, is_leader);
            let mut action = None;
            if is_leader {
                self.tick_as_leader(&voter.raft, &metrics, now);
            } else if is_voter {
                action = self.with_pre_vote(|pre_vote| pre_vote.tick(now));
            }
            while let Ok(PreVoteResponse { round, granted }) = voter.pre_votes.try_recv() {
                let next =
                    self.with_pre_vote(|pre_vote| pre_vote.pre_vote_received(now, round, granted));
                action = next.or(action);
            }
            if let Some(action) = action.filter(|_| !is_leader) {
                self.execute(action, voter).await;
            }
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Resets the pre-vote state if the set of voters has changed. Returns whether this node is among the voters.
    fn update_voters(
        &self,
        voter: &mut RunningVoter,
        metrics: &RaftMetrics<u64, BasicNode>,
        now: f64,
    ) -> bool {
        let mut other_voters: BTreeSet<u64> =
            metrics.membership_config.membership().voter_ids().collect();
        let is_voter = other_voters.remove(&voter.node_id);
        let mut state = lock(&self.voter);
        if state.pre_vote.is_none() || other_voters != voter.other_voters {
            let seed = self.settings.seed ^ now.to_bits();
            state.pre_vote = Some(PreVote::new(now, other_voters.len(), seed));
            voter.other_voters = other_voters;
        }
        is_voter
    }

    /// Applies `step` to the pre-vote state, if there is one, and returns the resulting action.
    fn with_pre_vote(
        &self,
        step: impl FnOnce(&mut PreVote) -> Option<PreVoteAction>,
    ) -> Option<PreVoteAction> {
        lock(&self.voter).pre_vote.as_mut().and_then(step)
    }

    /// Performs the work of a tick that only the leader does.
    ///
    /// Restarts the election timeout if a majority acknowledged the leader recently, and proposes the commands that the
    /// state machine issues on its tick.
    fn tick_as_leader(&self, raft: &Raft, metrics: &RaftMetrics<u64, BasicNode>, now: f64) {
        let has_quorum = metrics
            .millis_since_quorum_ack
            .is_some_and(|ms| (ms as f64) < LEADER_TIMEOUT_MS);
        if has_quorum {
            self.heartbeat_received(now);
        }
        let commands = lock(&self.state_machine).tick(now);
        let proposals = lock(&self.voter).proposals.clone();
        proposals.propose(raft, commands, Repetition::UntilApplied);
    }

    /// Records a heartbeat in the pre-vote state, which restarts the election timeout.
    pub(super) fn heartbeat_received(&self, now: f64) {
        if let Some(pre_vote) = lock(&self.voter).pre_vote.as_mut() {
            pre_vote.heartbeat_received(now);
        }
    }

    /// Carries out an action of the pre-vote.
    async fn execute(&self, action: PreVoteAction, voter: &RunningVoter) {
        match action {
            PreVoteAction::StartElection => {
                // An error means that openraft has stopped, which the next tick detects.
                let _ = voter.raft.trigger().elect().await;
            }
            PreVoteAction::RequestPreVotes(round) => self.request_pre_votes(round, voter).await,
        }
    }

    /// Requests pre-votes from the other voters. The responses arrive in the queue that the next tick reads.
    async fn request_pre_votes(&self, round: u64, voter: &RunningVoter) {
        let Some(end) = log_end(&voter.store).await else {
            return;
        };
        for other in &voter.other_voters {
            let Some(mut connection) = self.connection(slot_of(*other)) else {
                continue;
            };
            let responses = voter.pre_vote_sender.clone();
            let request = PeerRequest::PreVote {
                term: end.term,
                index: end.index,
            };
            tokio::spawn(async move {
                let response = connection.request(&request, PRE_VOTE_TIMEOUT).await;
                let granted = matches!(response, Ok(PeerResponse::PreVote(true)));
                // The channel is closed if the voter has stopped in the meantime.
                let _ = responses.try_send(PreVoteResponse { round, granted });
            });
        }
    }
}
