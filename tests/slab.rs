//! Tables of numbered slots.

use beamgap::node::slab::Slots;

#[test]
fn an_old_key_finds_nothing_in_a_slot_used_again() {
    let mut slots = Slots::default();
    let old = slots.insert("a");
    assert_eq!(slots.remove(old), Some("a"));
    let new = slots.insert("b");
    assert_eq!((old.slot, slots.get(old)), (new.slot, None));
    assert_eq!(slots.remove(old), None);
    assert_eq!((slots.get(new), slots.len()), (Some(&"b"), 1));
}
