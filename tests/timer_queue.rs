//! The order of deadlines.

use beamgap::node::timer_queue::{Deadlines, Wake};

#[test]
fn deadlines_come_in_order_and_can_be_taken_back() {
    let mut deadlines = Deadlines::default();
    deadlines.set(20.0, Wake::Shutdown);
    let gone = deadlines.set(5.0, Wake::AcceptAgain);
    deadlines.set(10.0, Wake::Bulletin);
    deadlines.clear(gone);
    assert_eq!((deadlines.first(), deadlines.pop(9.9)), (Some(10.0), None));
    assert_eq!(deadlines.pop(30.0), Some(Wake::Bulletin));
    assert_eq!((deadlines.pop(30.0), deadlines.pop(30.0)), (Some(Wake::Shutdown), None));
}
