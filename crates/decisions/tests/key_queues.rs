//! The memory of the key queues does not grow with the number of keys that were used.

use beamgap_decisions::{KeyQueues, Micros};
use std::sync::Arc;

#[test]
fn a_million_keys_leave_nothing_behind() {
    let mut keys = KeyQueues::default();
    for n in 0..1_000_000u64 {
        let key = Arc::from(format!("k{n}"));
        let now = Micros::from_millis(n);
        assert_eq!(keys.join(&key, n), 1);
        keys.leave(&key, n);
        keys.rest(&key, now.plus(Micros::from_millis(400)));
        if n % 25 == 0 {
            keys.expire(now);
        }
    }
    keys.expire(Micros::from_millis(1_000_400));
    assert!(keys.is_empty());
    assert!(
        keys.capacity() < 4096,
        "the hash tables have grown with the number of keys"
    );
}
