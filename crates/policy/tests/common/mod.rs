//! A seeded closed loop of leader, members and agreed state on a set clock, and its output as one hash a step.
//!
//! The output is encoded with postcard and fixed tags, so that no name of the program is part of it. The random
//! numbers come from a generator of its own: the same seed always gives the same run.

pub mod encoding;
pub mod random;
pub mod world;

use std::path::PathBuf;
use world::World;

/// Steps of each recorded run.
pub const STEPS: usize = 3000;
/// Seeds of the recorded runs.
pub const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

/// The file with the recorded lines of a seed.
pub fn recording_path(seed: u64) -> PathBuf {
    let file = format!("policy-seed-{seed}.txt");
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join("recordings")
        .join(file)
}

/// Runs the world of a seed: one line a step.
pub fn run(seed: u64) -> (Vec<String>, World) {
    let mut world = World::new(seed);
    let lines = (0..STEPS).map(|_| world.step()).collect();
    (lines, world)
}
