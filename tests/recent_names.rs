//! The record of recent request names, which detects duplicate requests: names expire after a fixed time, and their
//! number is bounded.

use beamgap::node::dispatcher::recent_names::{RecentNames, MAX_NAMES};
use beamgap::Settings;
use std::sync::Arc;

#[test]
fn a_name_is_kept_for_the_span_and_a_flood_of_names_is_bounded() {
    let mut names = RecentNames::new(&Settings::default());
    let name = |n: usize| Arc::from(format!("{n:016x}"));
    assert!(names.insert(0.0, &name(1)) && !names.insert(9_999.0, &name(1)));
    assert!(names.insert(10_001.0, &name(1)), "the name has not expired after 10 s");
    (10..200_000).for_each(|n| assert!(names.insert(10_002.0, &name(n))));
    assert!(names.len() <= MAX_NAMES);
    assert!(!names.insert(10_003.0, &name(199_999)) && names.insert(10_003.0, &name(10)));
}
