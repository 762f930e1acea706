//! Tests the exact encoding of the messages between members. The encoding must not change while the format version
//! stays the same, because members with different versions of the program exchange these messages.

use beamgap_consensus::connection::{
    Handshake, HandshakeMismatch, LogIndices, PeerRequest, PeerResponse, TrafficTotals, VoterStatus,
};
use beamgap_consensus::store::VoterIdentity;
use serde::Serialize;

fn encoded(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).unwrap()
}

#[test]
fn requests_have_the_encoded_form_of_format_version_1() {
    let identity = VoterIdentity {
        fleet: "f".to_owned(),
        cluster_id: 7,
        node_id: 2,
    };
    let pre_vote = PeerRequest::PreVote { term: 1, index: 2 };
    assert_eq!(encoded(&pre_vote), [3, 1, 2]);
    assert_eq!(encoded(&PeerRequest::StateMachine(vec![9])), [4, 1, 9]);
    assert_eq!(encoded(&PeerRequest::Status), [5]);
    assert_eq!(
        encoded(&PeerRequest::WriteIdentity(identity)),
        [6, 1, b'f', 7, 2]
    );
    assert_eq!(encoded(&PeerRequest::Bootstrap), [7]);
    assert_eq!(encoded(&PeerRequest::Readmit(3)), [8, 3]);
    assert_eq!(encoded(&PeerRequest::Remove(3)), [9, 3]);
}

#[test]
fn responses_have_the_encoded_form_of_format_version_1() {
    let status = VoterStatus {
        member: "m".to_owned(),
        slot: 1,
        node_id: Some(1001),
        role: "r".to_owned(),
        term: 2,
        leader: None,
        disk: "d".to_owned(),
        disk_ok: true,
        log: LogIndices {
            last: 3,
            applied: 4,
        },
        writes: 5,
        voters: vec![6],
        quorum_ms: Some(7),
        traffic: TrafficTotals {
            read: 8,
            written: 9,
        },
    };
    let expected = [
        6, 1, b'm', 1, 1, 0xe9, 0x07, 1, b'r', 2, 0, 1, b'd', 1, 3, 4, 5, 1, 6, 1, 7, 8, 9,
    ];
    assert_eq!(encoded(&PeerResponse::Status(Box::new(status))), expected);
    assert_eq!(encoded(&PeerResponse::PreVote(true)), [3, 1]);
    assert_eq!(encoded(&PeerResponse::StateMachine(vec![9])), [4, 1, 9]);
    assert_eq!(encoded(&PeerResponse::NotLeader(Some(2))), [5, 1, 2]);
    assert_eq!(encoded(&PeerResponse::Done), [7]);
    let rejected = PeerResponse::Rejected("x".to_owned());
    assert_eq!(encoded(&rejected), [8, 1, b'x']);
}

// Guards against members of another fleet, cluster or message format that connect to a voter.
#[test]
fn a_handshake_of_another_fleet_cluster_or_format_is_rejected() {
    let mut handshake = Handshake::new("f", "m");
    let expected = [b'b', b'g', b'c', 1, 1, 1, b'f', 1, b'm', 0];
    assert_eq!(encoded(&handshake), expected);
    assert_eq!(handshake.mismatch("f", Some(1)), None);
    let other_fleet = HandshakeMismatch::Fleet {
        theirs: "f".to_owned(),
        ours: "g".to_owned(),
    };
    assert_eq!(handshake.mismatch("g", None), Some(other_fleet));
    handshake.cluster_id = Some(2);
    let other_cluster = HandshakeMismatch::Cluster("f".to_owned());
    assert_eq!(handshake.mismatch("f", Some(1)), Some(other_cluster));
    handshake.format_version = 2;
    let other_format = HandshakeMismatch::FormatVersion(2);
    assert_eq!(handshake.mismatch("f", Some(2)), Some(other_format));
}
