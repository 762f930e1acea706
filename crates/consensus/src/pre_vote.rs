//! The pre-vote: when a voter stands for election.
//!
//! A voter that hears no leader first asks the others whether they hear one, and stands only if a majority does not.
//! So a voter that was partitioned and comes back does not depose a leader. This is the PreVote extension of Ongaro,
//! "Consensus: Bridging Theory and Practice" (2014), section 9.6. Pure: events in, actions out. Times are in
//! milliseconds.

/// Shortest time without a heartbeat after which a voter asks for pre-votes.
const MIN_ELECTION_TIMEOUT_MS: f64 = 700.0;
/// Random addition to the election timeout, so that two voters rarely stand at once.
const ELECTION_TIMEOUT_SPREAD_MS: f64 = 600.0;
/// Time for the other voters to respond.
const PRE_VOTE_ROUND_MS: f64 = 250.0;

/// Interval of a leader's heartbeats.
pub const HEARTBEAT_INTERVAL_MS: u64 = 120;
/// A voter that received a heartbeat within this time has a leader, and grants no pre-vote.
pub const LEADER_TIMEOUT_MS: f64 = MIN_ELECTION_TIMEOUT_MS;

/// What a voter is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PreVoteAction {
    /// Request pre-votes of all other voters in this round.
    RequestPreVotes(u64),
    /// Start an election.
    StartElection,
}

/// One voter's pre-vote.
#[derive(Clone, Debug)]
pub struct PreVote {
    other_voters: usize,
    random_state: u64,
    last_heartbeat: f64,
    next_round_at: f64,
    round: u64,
    granted: usize,
}

impl PreVote {
    /// A voter among `other_voters` others; `seed` feeds its timeouts.
    pub fn new(now: f64, other_voters: usize, seed: u64) -> PreVote {
        let mut pre_vote = PreVote {
            other_voters,
            random_state: seed,
            last_heartbeat: now - LEADER_TIMEOUT_MS,
            next_round_at: 0.0,
            round: 0,
            granted: 0,
        };
        pre_vote.restart_timeout(now);
        pre_vote
    }

    /// Draws the next election timeout.
    fn restart_timeout(&mut self, now: f64) {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let fraction = (self.random_state >> 33) as f64 / (1u64 << 31) as f64;
        self.next_round_at = now + MIN_ELECTION_TIMEOUT_MS + ELECTION_TIMEOUT_SPREAD_MS * fraction;
    }

    /// A heartbeat came from a leader, or this voter leads and a majority follows it.
    pub fn heartbeat_received(&mut self, now: f64) {
        self.last_heartbeat = now;
        self.granted = 0;
        self.restart_timeout(now);
    }

    /// Whether a heartbeat came within [`LEADER_TIMEOUT_MS`].
    pub fn has_leader(&self, now: f64) -> bool {
        now - self.last_heartbeat < LEADER_TIMEOUT_MS
    }

    /// Called periodically.
    pub fn tick(&mut self, now: f64) -> Option<PreVoteAction> {
        if now < self.next_round_at {
            return None;
        }
        self.round += 1;
        self.granted = 0;
        self.restart_timeout(now);
        self.next_round_at = self.next_round_at.max(now + PRE_VOTE_ROUND_MS);
        if self.other_voters == 0 {
            Some(PreVoteAction::StartElection)
        } else {
            Some(PreVoteAction::RequestPreVotes(self.round))
        }
    }

    /// Another voter responded in a round. Starts the election once, when a majority has granted it.
    pub fn pre_vote_received(
        &mut self,
        now: f64,
        round: u64,
        granted: bool,
    ) -> Option<PreVoteAction> {
        if round != self.round || !granted || self.has_leader(now) {
            return None;
        }
        self.granted += 1;
        // Together with its own vote these are a majority of all voters.
        let needed = self.other_voters.div_ceil(2);
        (self.granted == needed).then_some(PreVoteAction::StartElection)
    }
}
