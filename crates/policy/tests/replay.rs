//! Compares seeded simulations of the rollout with their recordings, step by step.
//!
//! The tests guard against unintended changes of the protocol, of admission and of the encoded messages and state. The
//! recordings in `tests/recordings` are regenerated with `examples/record_replay.rs` only when the simulation in
//! `tests/common` changes.

mod common;

use common::{recording_path, run, SEEDS, STEPS};

#[test]
fn every_seed_gives_the_output_that_was_recorded() {
    for seed in SEEDS {
        let recorded = std::fs::read_to_string(recording_path(seed)).expect("a recording");
        assert_eq!(
            recorded.lines().count(),
            STEPS,
            "seed {seed}: number of lines in the recording"
        );
        let (lines, _) = run(seed);
        let differing = recorded
            .lines()
            .zip(&lines)
            .position(|(old, new)| old != new);
        assert_eq!(
            differing.map(|step| step + 1),
            None,
            "seed {seed}: first step whose output differs"
        );
    }
}

#[test]
fn the_recorded_runs_reach_every_outcome() {
    let mut total = common::world::Counts::default();
    for seed in SEEDS {
        let (_, world) = run(seed);
        println!(
            "seed {seed}: version {}, changes activated {}",
            world.counts.last_version, world.counts.activated_changes
        );
        total.activated_changes += world.counts.activated_changes;
        total.rejected_changes += world.counts.rejected_changes;
        total.withdrawn_changes += world.counts.withdrawn_changes;
        total.leaderships += world.counts.leaderships;
        total.restarts += world.counts.restarts;
        total.removals += world.counts.removals;
        total.failed_activations += world.counts.failed_activations;
        total.admitted_requests += world.counts.admitted_requests;
        total.rejected_requests += world.counts.rejected_requests;
        total.last_version = total.last_version.max(world.counts.last_version);
    }
    println!(
        "changes activated {}, rejected {}, withdrawn {}; leaderships {}, restarts {}, removals {}, \
         failed activations {}; requests admitted {}, rejected {}; versions {}",
        total.activated_changes,
        total.rejected_changes,
        total.withdrawn_changes,
        total.leaderships,
        total.restarts,
        total.removals,
        total.failed_activations,
        total.admitted_requests,
        total.rejected_requests,
        total.last_version
    );
    assert!(
        total.activated_changes >= 100
            && total.rejected_changes >= 100
            && total.withdrawn_changes >= 20
    );
    assert!(
        total.leaderships >= 50
            && total.restarts >= 20
            && total.removals >= 10
            && total.failed_activations >= 10
    );
    assert!(
        total.last_version > 32,
        "more versions were activated than are stored"
    );
    assert!(total.admitted_requests >= 1000 && total.rejected_requests >= 1000);
}
