//! Order and cancellation of timers.

use beamgap::node::timer_queue::{TimerEvent, TimerQueue};

#[test]
fn deadlines_come_in_order_and_can_be_taken_back() {
    let mut timers = TimerQueue::default();
    timers.set(20.0, TimerEvent::Shutdown);
    let canceled = timers.set(5.0, TimerEvent::ResumeAccept);
    timers.set(10.0, TimerEvent::Discovery);
    timers.cancel(canceled);
    assert_eq!((timers.next_deadline(), timers.pop_expired(9.9)), (Some(10.0), None));
    assert_eq!(timers.pop_expired(30.0), Some(TimerEvent::Discovery));
    assert_eq!((timers.pop_expired(30.0), timers.pop_expired(30.0)), (Some(TimerEvent::Shutdown), None));
}
