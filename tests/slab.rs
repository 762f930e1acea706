//! Tables of numbered slots.

use beamgap::node::slab::Slab;

#[test]
fn an_old_key_finds_nothing_in_a_slot_used_again() {
    let mut slab = Slab::default();
    let old = slab.insert("a");
    assert_eq!(slab.remove(old), Some("a"));
    let new = slab.insert("b");
    assert_eq!((old.slot, slab.get(old)), (new.slot, None));
    assert_eq!(slab.remove(old), None);
    assert_eq!((slab.get(new), slab.len()), (Some(&"b"), 1));
}
