//! Checks that front end processes release their descriptors and memory after the traffic has ended.

use super::front_end::FrontEnd;
use crate::{lock, now};
use std::sync::Mutex;
use std::time::Duration;

/// File descriptors that a process may have open after the traffic beyond those of an idle process.
const MAX_EXCESS_DESCRIPTORS: usize = 8;
/// Memory in KiB that a process may use after the traffic beyond that of an idle process.
const MAX_EXCESS_MEMORY_KIB: u64 = 8 * 1024;
/// Time limit for the descriptor count to return to its idle level after the traffic, in milliseconds.
const REST_TIMEOUT_MS: f64 = 8000.0;

/// Resource use of a process: its number of open file descriptors and its memory in KiB.
#[derive(Clone, Copy, Debug, Default)]
pub struct Footprint {
    descriptors: usize,
    memory_kib: u64,
}

/// Measures the current resource use of a front end's process.
pub fn footprint(front_end: &Mutex<FrontEnd>) -> Footprint {
    let mut front_end = lock(front_end);
    let process = front_end.process();
    let folder = process.id().map(|id| format!("/proc/{id}/fd"));
    let descriptors = folder.and_then(|folder| std::fs::read_dir(folder).ok()).map_or(0, Iterator::count);
    Footprint { descriptors, memory_kib: process.used().map_or(0, |(_, memory_kib)| memory_kib) }
}

/// Adds a violation to `broken` for each front end whose process has exited, or whose resource use after the
/// traffic exceeds that of an idle process (`at_rest`) by more than the allowed excess.
pub fn check_rest(front_ends: &[Mutex<FrontEnd>], at_rest: Footprint, broken: &mut Vec<String>) {
    let deadline = now() + REST_TIMEOUT_MS;
    for (index, front_end) in front_ends.iter().enumerate() {
        if !lock(front_end).process().runs() {
            broken.push(format!("n{index}: has ended unasked"));
            continue;
        }
        let is_at_rest =
            |current: Footprint| current.descriptors <= at_rest.descriptors + MAX_EXCESS_DESCRIPTORS;
        while !is_at_rest(footprint(front_end)) && now() < deadline {
            std::thread::sleep(Duration::from_millis(20));
        }
        let current = footprint(front_end);
        if !is_at_rest(current) || current.memory_kib > at_rest.memory_kib + MAX_EXCESS_MEMORY_KIB {
            broken.push(format!("n{index}: holds {current:?} after the traffic, {at_rest:?} at rest"));
        }
    }
}
