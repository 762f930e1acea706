//! Replays seeded simulations and compares the outputs of the state machines with recordings, step
//! by step. Guards against unintended changes of behavior or of serialized forms.
//!
//! The first line of a recording is the digest of the results of [`ClockBounds`]. Each further line
//! is the digest of one step: all commands, responses, permits and denials of the step, and the
//! replicated state after it. To write new recordings, run `cargo test -p beamgap-leases --test
//! replay -- --ignored`.

mod common;

use beamgap_leases::{ClockBounds, InjectedBug};
use common::encoding::Output;
use common::world::{Coverage, World};
use std::fs;
use std::path::PathBuf;

/// A simulation whose digests are recorded in a file.
struct Scenario {
    name: &'static str,
    seed: u64,
    steps: usize,
    injected_bug: InjectedBug,
}

const SCENARIOS: [Scenario; 7] = [
    Scenario {
        name: "seed-1",
        seed: 1,
        steps: 3500,
        injected_bug: InjectedBug::None,
    },
    Scenario {
        name: "seed-2",
        seed: 2,
        steps: 3500,
        injected_bug: InjectedBug::None,
    },
    Scenario {
        name: "seed-3",
        seed: 3,
        steps: 3500,
        injected_bug: InjectedBug::None,
    },
    Scenario {
        name: "bug-1",
        seed: 4,
        steps: 600,
        injected_bug: InjectedBug::NoMargin,
    },
    Scenario {
        name: "bug-2",
        seed: 5,
        steps: 600,
        injected_bug: InjectedBug::NoWait,
    },
    Scenario {
        name: "bug-3",
        seed: 6,
        steps: 600,
        injected_bug: InjectedBug::ActFirst,
    },
    Scenario {
        name: "bug-4",
        seed: 7,
        steps: 600,
        injected_bug: InjectedBug::HoldsOn,
    },
];

impl Scenario {
    /// Path of the recording.
    fn path(&self) -> PathBuf {
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recordings");
        folder.join(format!("{}.txt", self.name))
    }

    /// Runs the simulation and returns the lines of its recording and its event counts.
    fn play(&self) -> (Vec<String>, Coverage) {
        let mut world = World::new(self.seed, self.injected_bug);
        let mut lines = vec![clock_digest()];
        lines.extend((0..self.steps).map(|_| world.step()));
        (lines, world.coverage)
    }
}

/// Returns the digest of the lease times that several [`ClockBounds`] result in.
fn clock_digest() -> String {
    let mut output = Output::default();
    for (max_drift, safety_margin) in [(0.05, 0.05), (0.0, 0.0), (0.07, 0.013), (0.6, 0.5)] {
        let clocks = ClockBounds {
            max_drift,
            safety_margin,
        };
        for length in [1000.0, 4999.9, 5000.0, 600_000.0] {
            output.value(
                b'd',
                &(
                    clocks.usable_for(length),
                    clocks.expired_everywhere_after(length),
                ),
            );
        }
    }
    output.digest()
}

#[test]
fn the_state_machines_put_out_what_was_recorded() {
    for scenario in &SCENARIOS {
        let recording =
            fs::read_to_string(scenario.path()).expect("the recording is in the repository");
        let recorded: Vec<&str> = recording.lines().collect();
        let (played, _) = scenario.play();
        for (step, (played, recorded)) in played.iter().zip(&recorded).enumerate() {
            assert_eq!(
                played, recorded,
                "{}: line {step} is the first that differs",
                scenario.name
            );
        }
        assert_eq!(
            played.len(),
            recorded.len(),
            "{}: number of steps",
            scenario.name
        );
    }
}

#[test]
fn the_recorded_worlds_exercise_permits_denials_runs_and_leader_changes() {
    let sound = SCENARIOS
        .iter()
        .filter(|scenario| scenario.injected_bug == InjectedBug::None);
    let coverages: Vec<Coverage> = sound.map(|scenario| scenario.play().1).collect();
    let total = |count: fn(&Coverage) -> usize| coverages.iter().map(count).sum::<usize>();
    for (what, count, least) in [
        ("permits", total(|c| c.permits), 1000),
        ("denied, not held", total(|c| c.denied_not_held), 10_000),
        (
            "denied, too little of the lease left",
            total(|c| c.denied_lease_expiring),
            200,
        ),
        ("denied, not runnable", total(|c| c.denied_not_runnable), 10),
        (
            "denied, no step begun",
            total(|c| c.denied_step_not_begun),
            500,
        ),
        ("recorded as not run", total(|c| c.not_run), 3),
        ("expired before the action", total(|c| c.expired), 50),
        ("actions", total(|c| c.actions), 1000),
        ("halted runs", total(|c| c.halted), 20),
        ("finished runs", total(|c| c.finished_runs), 50),
        ("unknown outcomes", total(|c| c.unknown_outcomes), 50),
        ("changes of the leader", total(|c| c.leader_changes), 100),
        ("invalid tasks", total(|c| c.rejected_tasks), 30),
    ] {
        println!("{count} {what}");
        assert!(
            count >= least,
            "{count} {what}, at least {least} are needed"
        );
    }
}

#[test]
#[ignore = "overwrites the recordings"]
fn record() {
    for scenario in &SCENARIOS {
        let (lines, _) = scenario.play();
        fs::write(scenario.path(), lines.join("\n") + "\n")
            .expect("the recordings folder is writable");
    }
}
