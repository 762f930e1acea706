//! The pre-vote, which decides when a voter starts an election.
//!
//! A voter that receives no heartbeats first asks the other voters whether they have a leader.
//! It starts an election only if a majority of voters, itself included, has none.
//! A voter that returns from a network partition therefore does not depose a working leader.
//! This is the PreVote extension of Raft; see Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 9.6.
//!
//! The module does no I/O: the caller passes in events and times, and carries out the returned actions.
//! All times are in milliseconds.

/// Minimum election timeout, in milliseconds: the time without a heartbeat after which a voter requests pre-votes.
const MIN_ELECTION_TIMEOUT_MS: f64 = 700.0;
/// Maximum random addition to the election timeout, in milliseconds. It makes simultaneous candidates unlikely.
const ELECTION_TIMEOUT_SPREAD_MS: f64 = 600.0;
/// Minimum time between two rounds of pre-votes, in milliseconds, in which the other voters can respond.
const PRE_VOTE_ROUND_MS: f64 = 250.0;

/// Interval between the heartbeats of a leader, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 120;
/// Time in milliseconds after a heartbeat during which a voter assumes that the leader works and grants no pre-vote.
pub const LEADER_TIMEOUT_MS: f64 = MIN_ELECTION_TIMEOUT_MS;

/// An action that the caller must carry out for the voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreVoteAction {
    /// Request pre-votes from all other voters. The value is the number of the round.
    RequestPreVotes(u64),
    /// Start an election for the next term.
    StartElection,
}

/// The pre-vote state of one voter.
#[derive(Clone, Debug)]
pub struct PreVote {
    other_voters: usize,
    random_state: u64,
    last_heartbeat: f64,
    /// Time in milliseconds at which the election timeout expires.
    next_round_at: f64,
    /// Number of the latest round of pre-votes, from 1.
    round: u64,
    /// Number of pre-votes that other voters granted in the latest round.
    grant_count: usize,
}

impl PreVote {
    /// Creates the state of a voter that has `other_voters` peers. `seed` determines the random election timeouts.
    pub fn new(now: f64, other_voters: usize, seed: u64) -> PreVote {
        let mut pre_vote = PreVote {
            other_voters,
            random_state: seed,
            last_heartbeat: now - LEADER_TIMEOUT_MS,
            next_round_at: 0.0,
            round: 0,
            grant_count: 0,
        };
        pre_vote.restart_timeout(now);
        pre_vote
    }

    /// Restarts the election timeout with a new random length.
    fn restart_timeout(&mut self, now: f64) {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let fraction = (self.random_state >> 33) as f64 / (1u64 << 31) as f64;
        self.next_round_at = now + MIN_ELECTION_TIMEOUT_MS + ELECTION_TIMEOUT_SPREAD_MS * fraction;
    }

    /// Records that the leader sent a heartbeat or, at the leader, that a majority acknowledged its leadership.
    pub fn heartbeat_received(&mut self, now: f64) {
        self.last_heartbeat = now;
        self.grant_count = 0;
        self.restart_timeout(now);
    }

    /// Returns whether the last heartbeat is less than [`LEADER_TIMEOUT_MS`] ago.
    pub fn has_leader(&self, now: f64) -> bool {
        now - self.last_heartbeat < LEADER_TIMEOUT_MS
    }

    /// Starts a new round of pre-votes if the election timeout has expired. Must be called periodically.
    ///
    /// A voter without peers starts an election at once, since it is a majority by itself.
    pub fn tick(&mut self, now: f64) -> Option<PreVoteAction> {
        if now < self.next_round_at {
            return None;
        }
        self.round += 1;
        self.grant_count = 0;
        self.restart_timeout(now);
        self.next_round_at = self.next_round_at.max(now + PRE_VOTE_ROUND_MS);
        if self.other_voters == 0 {
            Some(PreVoteAction::StartElection)
        } else {
            Some(PreVoteAction::RequestPreVotes(self.round))
        }
    }

    /// Processes another voter's response to the pre-vote request of `round`.
    ///
    /// Returns [`PreVoteAction::StartElection`] once per round, when a majority of voters has granted the pre-vote.
    /// Ignores responses of earlier rounds, and all responses while this voter has a leader.
    pub fn pre_vote_received(
        &mut self,
        now: f64,
        round: u64,
        granted: bool,
    ) -> Option<PreVoteAction> {
        if round != self.round || !granted || self.has_leader(now) {
            return None;
        }
        self.grant_count += 1;
        // Together with this voter itself, `needed` grants are a majority of all voters.
        let needed = self.other_voters.div_ceil(2);
        (self.grant_count == needed).then_some(PreVoteAction::StartElection)
    }
}
