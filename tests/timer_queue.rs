//! The order of deadlines.

use beamgap::node::timer_queue::{TimerEvent, TimerQueue};

#[test]
fn deadlines_come_in_order_and_can_be_taken_back() {
    let mut timers = TimerQueue::default();
    timers.set(20.0, TimerEvent::Shutdown);
    let gone = timers.set(5.0, TimerEvent::AcceptAgain);
    timers.set(10.0, TimerEvent::Bulletin);
    timers.clear(gone);
    assert_eq!((timers.first(), timers.pop(9.9)), (Some(10.0), None));
    assert_eq!(timers.pop(30.0), Some(TimerEvent::Bulletin));
    assert_eq!((timers.pop(30.0), timers.pop(30.0)), (Some(TimerEvent::Shutdown), None));
}
