//! Tests when a voter requests pre-votes and when it starts an election.

use beamgap_consensus::pre_vote::{PreVote, PreVoteAction};

// Guards against a voter that returns from a partition and deposes a working leader by starting an election.
#[test]
fn a_voter_that_comes_back_deposes_nobody_and_a_majority_without_a_leader_elects_one() {
    let mut partitioned = PreVote::new(0.0, 2, 1);
    let Some(PreVoteAction::RequestPreVotes(round)) = partitioned.tick(5000.0) else {
        panic!("no pre-vote request after the election timeout")
    };
    assert_eq!(partitioned.pre_vote_received(5010.0, round, false), None);
    assert_eq!(
        partitioned.pre_vote_received(5010.0, round, false),
        None,
        "a refusal must not start an election"
    );
    let Some(PreVoteAction::RequestPreVotes(next)) = partitioned.tick(9000.0) else {
        panic!("no pre-vote request in the next round")
    };
    assert_eq!(
        partitioned.pre_vote_received(9001.0, round, true),
        None,
        "a grant of an earlier round must not count"
    );
    assert_eq!(
        partitioned.pre_vote_received(9001.0, next, true),
        Some(PreVoteAction::StartElection),
        "one grant and the voter itself are two of three voters"
    );
    assert_eq!(
        partitioned.pre_vote_received(9001.0, next, true),
        None,
        "an election must start only once per round"
    );
    partitioned.heartbeat_received(9100.0);
    assert!(partitioned.has_leader(9700.0) && !partitioned.has_leader(9801.0));
    assert_eq!(partitioned.tick(9600.0), None);
}

// Guards against a wrong majority: of five voters two others must grant a pre-vote, and a single voter needs no grant.
#[test]
fn of_five_voters_two_others_must_grant_and_a_single_voter_stands_at_once() {
    let mut voter = PreVote::new(0.0, 4, 1);
    let Some(PreVoteAction::RequestPreVotes(round)) = voter.tick(2000.0) else {
        panic!("no pre-vote request after the election timeout")
    };
    assert_eq!(voter.pre_vote_received(2001.0, round, true), None);
    assert_eq!(
        voter.pre_vote_received(2001.0, round, true),
        Some(PreVoteAction::StartElection)
    );
    assert_eq!(
        PreVote::new(0.0, 0, 1).tick(2000.0),
        Some(PreVoteAction::StartElection)
    );
}
