//! A voter: opens its disk, takes part in the consensus, and stands for election.

use super::error::VoterError;
use super::{log_end, Shared};
use crate::connection::{Handshake, PeerRequest, PeerResponse};
use crate::disk::SharedDisk;
use crate::mutex::lock;
use crate::pre_vote::{PreVote, PreVoteAction, HEARTBEAT_INTERVAL_MS, LEADER_TIMEOUT_MS};
use crate::raft::{AppliedState, LogStorage, PeerNetwork, Raft};
use crate::settings::slot_of;
use crate::store::{SharedStore, Store, VoterIdentity};
use openraft::{BasicNode, ConfigError, RaftMetrics, ServerState, SnapshotPolicy};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Interval at which a voter looks after its part.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Pause before a disk that failed is opened again, and between looks at an identity.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time for openraft to shut down. It may hang on a store that is broken.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for another voter to respond to a pre-vote request.
const PRE_VOTE_TIMEOUT: Duration = Duration::from_millis(200);
/// Pre-votes that were received and not looked at yet, at most.
const MAX_QUEUED_PRE_VOTES: usize = 64;
/// Log entries between snapshots.
const SNAPSHOT_INTERVAL: u64 = 500;
/// Log entries kept behind a snapshot, for voters that lag a little.
const ENTRIES_KEPT: u64 = 200;
/// Entries in one append request.
const MAX_ENTRIES_PER_APPEND: u64 = 100;
/// Size of a part of a snapshot that is sent, in bytes.
const SNAPSHOT_CHUNK_BYTES: u64 = 256 * 1024;
/// openraft's own election timeouts, in milliseconds. They bound its waits; elections are started by the pre-vote.
const RAFT_ELECTION_TIMEOUT_MS: (u64, u64) = (300, 500);

/// The state of a healthy disk, in words.
const DISK_GOOD: &str = "good";

/// A voter's response to a pre-vote request.
struct PreVoteResponse {
    round: u64,
    granted: bool,
}

/// A voter that takes part.
struct RunningVoter {
    raft: Raft,
    store: SharedStore,
    node_id: u64,
    /// Node ids of the other voters, as last seen.
    others: BTreeSet<u64>,
    pre_votes: mpsc::Receiver<PreVoteResponse>,
    pre_vote_sender: mpsc::Sender<PreVoteResponse>,
}

fn raft_config(fleet: &str) -> Result<openraft::Config, ConfigError> {
    let config = openraft::Config {
        cluster_name: fleet.to_owned(),
        heartbeat_interval: HEARTBEAT_INTERVAL_MS,
        election_timeout_min: RAFT_ELECTION_TIMEOUT_MS.0,
        election_timeout_max: RAFT_ELECTION_TIMEOUT_MS.1,
        max_payload_entries: MAX_ENTRIES_PER_APPEND,
        snapshot_policy: SnapshotPolicy::LogsSinceLast(SNAPSHOT_INTERVAL),
        max_in_snapshot_log_to_keep: ENTRIES_KEPT,
        snapshot_max_chunk_size: SNAPSHOT_CHUNK_BYTES,
        // Elections are started by the pre-vote.
        enable_elect: false,
        ..openraft::Config::default()
    };
    config.validate()
}

impl Shared {
    /// Takes part as a voter, for ever: whenever the disk fails, stands aside and opens it again.
    pub(super) async fn run_voter(self: Arc<Shared>, disk: SharedDisk) {
        loop {
            if let Err(error) = self.open_and_take_part(&disk).await {
                tracing::error!(target: "fleet", %error, "voter stands aside");
                lock(&self.voter).disk = error.to_string();
            }
            let now = self.now();
            lock(&self.state_machine).set_leadership(now, false);
            let raft = {
                let mut voter = lock(&self.voter);
                voter.store = None;
                voter.pre_vote = None;
                voter.raft.take()
            };
            if let Some(raft) = raft {
                // One that hangs in its shutdown holds nothing that counts: its store is broken or closed.
                let _ = timeout(SHUTDOWN_TIMEOUT, raft.shutdown()).await;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Opens the disk, waits for an identity, and takes part until the disk fails.
    async fn open_and_take_part(&self, disk: &SharedDisk) -> Result<(), VoterError> {
        let settings = &self.settings;
        let folder = settings.data_dir.as_ref().ok_or(VoterError::NoDataDir)?;
        let sync = !settings.injected_bugs.unsynced_writes;
        let store = Arc::new(Mutex::new(Store::open(folder, disk, sync)?));
        {
            let mut voter = lock(&self.voter);
            voter.store = Some(store.clone());
            voter.disk = DISK_GOOD.to_owned();
        }
        let identity = self.wait_for_identity(&store, folder).await?;
        let mut voter = self.start_raft(store, &identity).await?;
        let slot = slot_of(identity.node_id);
        tracing::info!(target: "fleet", slot, node_id = identity.node_id, "voter takes part");
        self.take_part(&mut voter).await
    }

    async fn wait_for_identity(
        &self,
        store: &SharedStore,
        folder: &Path,
    ) -> Result<VoterIdentity, VoterError> {
        let identity = loop {
            let identity = lock(store).identity()?;
            if let Some(identity) = identity {
                break identity;
            }
            if !lock(store).is_healthy() {
                return Err(VoterError::DiskFailed);
            }
            // Looked for again also without a notification.
            let _ = timeout(RETRY_DELAY, self.identity_written.notified()).await;
        };
        let is_own_slot = Some(slot_of(identity.node_id)) == self.settings.slot;
        if identity.fleet != self.settings.fleet || !is_own_slot {
            return Err(VoterError::OtherIdentity {
                folder: folder.to_owned(),
                found: identity,
            });
        }
        Ok(identity)
    }

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
        lock(&self.voter).raft = Some(raft.clone());
        let (pre_vote_sender, pre_votes) = mpsc::channel(MAX_QUEUED_PRE_VOTES);
        Ok(RunningVoter {
            raft,
            store,
            node_id: identity.node_id,
            others: BTreeSet::new(),
            pre_votes,
            pre_vote_sender,
        })
    }

    /// Looks after the voter's part until its disk fails.
    async fn take_part(&self, voter: &mut RunningVoter) -> Result<(), VoterError> {
        loop {
            let now = self.now();
            let metrics = voter.raft.metrics().borrow().clone();
            metrics.running_state.clone()?;
            if !lock(&voter.store).is_healthy() {
                return Err(VoterError::DiskFailed);
            }
            let is_voter = self.update_voters(voter, &metrics, now);
            let is_leader = metrics.state == ServerState::Leader
                && metrics.current_leader == Some(voter.node_id);
            lock(&self.state_machine).set_leadership(now, is_leader);
            let mut action = None;
            if is_leader {
                self.lead(&voter.raft, &metrics, now);
            } else if is_voter {
                action = self.with_pre_vote(|pre_vote| pre_vote.tick(now));
            }
            while let Ok(PreVoteResponse { round, granted }) = voter.pre_votes.try_recv() {
                let next =
                    self.with_pre_vote(|pre_vote| pre_vote.pre_vote_received(now, round, granted));
                action = next.or(action);
            }
            if let Some(action) = action.filter(|_| !is_leader) {
                self.perform(action, voter).await;
            }
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Starts the pre-vote anew when the voters have changed. Returns whether this one has a vote.
    fn update_voters(
        &self,
        voter: &mut RunningVoter,
        metrics: &RaftMetrics<u64, BasicNode>,
        now: f64,
    ) -> bool {
        let mut others: BTreeSet<u64> =
            metrics.membership_config.membership().voter_ids().collect();
        let is_voter = others.remove(&voter.node_id);
        let mut state = lock(&self.voter);
        if state.pre_vote.is_none() || others != voter.others {
            let seed = self.settings.seed ^ now.to_bits();
            state.pre_vote = Some(PreVote::new(now, others.len(), seed));
            voter.others = others;
        }
        is_voter
    }

    fn with_pre_vote(
        &self,
        step: impl FnOnce(&mut PreVote) -> Option<PreVoteAction>,
    ) -> Option<PreVoteAction> {
        lock(&self.voter).pre_vote.as_mut().and_then(step)
    }

    /// The leader's part of a tick.
    fn lead(&self, raft: &Raft, metrics: &RaftMetrics<u64, BasicNode>, now: f64) {
        let has_quorum = metrics
            .millis_since_quorum_ack
            .is_some_and(|ms| (ms as f64) < LEADER_TIMEOUT_MS);
        if has_quorum {
            self.heartbeat_received(now);
        }
        let commands = lock(&self.state_machine).tick(now);
        self.spawn_commits(raft, commands);
    }

    pub(super) fn heartbeat_received(&self, now: f64) {
        if let Some(pre_vote) = lock(&self.voter).pre_vote.as_mut() {
            pre_vote.heartbeat_received(now);
        }
    }

    async fn perform(&self, action: PreVoteAction, voter: &RunningVoter) {
        match action {
            PreVoteAction::StartElection => {
                // If openraft has ended, the next tick sees that.
                let _ = voter.raft.trigger().elect().await;
            }
            PreVoteAction::RequestPreVotes(round) => self.request_pre_votes(round, voter).await,
        }
    }

    async fn request_pre_votes(&self, round: u64, voter: &RunningVoter) {
        let Some(end) = log_end(&voter.store).await else {
            return;
        };
        for other in &voter.others {
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
                // A closed channel means that the voter has stood aside.
                let _ = responses.try_send(PreVoteResponse { round, granted });
            });
        }
    }
}
