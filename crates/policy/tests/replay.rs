//! Leader, members and agreed state of a policy give the output that was recorded of them, step by step.
//!
//! The recording in `tests/recordings` stays as it is; `examples/record_replay.rs` writes one where the world itself
//! (`tests/common/world.rs`) is changed.

mod common;

use common::{recording_path, run, SEEDS, STEPS};

#[test]
fn every_seed_gives_the_output_that_was_recorded() {
    for seed in SEEDS {
        let recorded = std::fs::read_to_string(recording_path(seed)).expect("a recording");
        assert_eq!(
            recorded.lines().count(),
            STEPS,
            "seed {seed}: lines of the recording"
        );
        let (lines, _) = run(seed);
        let differing = recorded
            .lines()
            .zip(&lines)
            .position(|(old, new)| old != new);
        assert_eq!(
            differing.map(|step| step + 1),
            None,
            "seed {seed}: the first step that differs"
        );
    }
}

#[test]
fn the_recorded_runs_reach_every_outcome() {
    let mut total = common::world::Counts::default();
    for seed in SEEDS {
        let (_, world) = run(seed);
        println!(
            "seed {seed}: version {}, active {}",
            world.counts.last_version, world.counts.active
        );
        total.active += world.counts.active;
        total.rejected += world.counts.rejected;
        total.withdrawn += world.counts.withdrawn;
        total.leaderships += world.counts.leaderships;
        total.restarts += world.counts.restarts;
        total.removals += world.counts.removals;
        total.unusable += world.counts.unusable;
        total.admitted += world.counts.admitted;
        total.refused += world.counts.refused;
        total.last_version = total.last_version.max(world.counts.last_version);
    }
    println!(
        "active {}, rejected {}, withdrawn {}, leaderships {}, restarts {}, removals {}, unusable {}, admitted {}, refused {}, versions {}",
        total.active,
        total.rejected,
        total.withdrawn,
        total.leaderships,
        total.restarts,
        total.removals,
        total.unusable,
        total.admitted,
        total.refused,
        total.last_version
    );
    assert!(total.active >= 100 && total.rejected >= 100 && total.withdrawn >= 20);
    assert!(
        total.leaderships >= 50
            && total.restarts >= 20
            && total.removals >= 10
            && total.unusable >= 10
    );
    assert!(total.last_version > 32, "old versions are dropped");
    assert!(total.admitted >= 1000 && total.refused >= 1000);
}
