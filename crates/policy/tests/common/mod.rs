//! A seeded simulation of the leader, the members and the replicated state, which outputs one hash per step.
//!
//! The hashed output is encoded with postcard and fixed tags, so it does not depend on the names of types and fields.
//! The simulation has its own random number generator and clock, so a seed always produces the same run.

pub mod encoding;
pub mod random;
pub mod world;

use std::path::PathBuf;
use world::World;

/// Number of steps in each recorded run.
pub const STEPS: usize = 3000;
/// Random seeds of the recorded runs.
pub const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

/// Path of the recording for a seed, which has one line per step.
pub fn recording_path(seed: u64) -> PathBuf {
    let file = format!("policy-seed-{seed}.txt");
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join("recordings")
        .join(file)
}

/// Runs the simulation for a seed. Returns the output, one line per step, and the final state of the simulation.
pub fn run(seed: u64) -> (Vec<String>, World) {
    let mut world = World::new(seed);
    let lines = (0..STEPS).map(|_| world.step()).collect();
    (lines, world)
}
