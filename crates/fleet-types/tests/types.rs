//! Guards the serialized form and the ordering of member ids, which stored data depends on, the
//! bounds on lease expiry under clock drift, and the validation of names.

use beamgap_fleet_types::{clock, is_valid_name, MemberId, MAX_NAME_LENGTH};

#[test]
fn a_member_id_is_stored_as_the_pair_of_name_and_incarnation() {
    let id = MemberId::new("front-3", 0xfeed_beef);
    let stored = postcard::to_stdvec(&id).expect("serializes");
    let pair = postcard::to_stdvec(&("front-3".to_owned(), 0xfeed_beef_u64)).expect("serializes");
    assert_eq!(stored, pair);
    let read: MemberId = postcard::from_bytes(&pair).expect("an earlier version's data is read");
    assert_eq!(read, id);
}

#[test]
fn member_ids_are_ordered_as_the_pairs_were() {
    let pairs = [("b", 1_u64), ("a", 9), ("a", 2), ("ab", 1)];
    let mut ids: Vec<MemberId> = pairs
        .iter()
        .map(|(name, n)| MemberId::new(*name, *n))
        .collect();
    let mut sorted_pairs = pairs;
    sorted_pairs.sort_unstable();
    ids.sort_unstable();
    let expected: Vec<MemberId> = sorted_pairs
        .iter()
        .map(|(name, n)| MemberId::new(*name, *n))
        .collect();
    assert_eq!(ids, expected);
}

#[test]
fn a_lease_expires_everywhere_only_after_its_holder_stopped_using_it() {
    let (length_ms, drift) = (1000.0, 0.05);
    let slowest_holder = clock::usable_for(length_ms, drift) / (1.0 - drift);
    let fastest_observer = clock::expired_everywhere_after(length_ms, drift) / (1.0 + drift);
    assert!(slowest_holder <= fastest_observer);
}

#[test]
fn names_are_accepted_up_to_their_bound_and_only_of_plain_characters() {
    assert!(is_valid_name("front-3.room_a:7"));
    assert!(is_valid_name(&"n".repeat(MAX_NAME_LENGTH)));
    assert!(!is_valid_name(&"n".repeat(MAX_NAME_LENGTH + 1)));
    for name in ["", "two words", "höll", "a/b"] {
        assert!(!is_valid_name(name), "{name}");
    }
}
