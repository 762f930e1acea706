//! Regression test: the graceful shutdown must take the steps recorded in `tests/replay/graceful-shutdown.gz`.
//!
//! The recording is the output of [`transcript`], with one line per step. Floating-point numbers are written as
//! their bits in hexadecimal. The recording contains no names of the program, so it stays valid after renames.

use beamgap::node::shutdown::{GracefulShutdown, Phase};
use flate2::read::GzDecoder;
use std::fmt::Write as _;
use std::fs::File;
use std::io::Read;
use std::path::Path;

/// Number of simulated shutdowns; each has its own seed.
const SEEDS: u64 = 60;
/// Maximum number of steps of a simulated shutdown. A shutdown that needs more steps is cut off.
const MAX_STEPS: usize = 400;
/// Longest request deadlines of clients, in milliseconds: short, long, and around 3000 ms, because a longer
/// deadline doesn't delay the platform's SIGKILL any further.
const LONGEST_DEADLINES_MS: [f64; 6] = [50.0, 400.0, 1500.0, 2999.5, 3000.0, 25_000.0];

/// Knuth's linear congruential generator, so that the random numbers never change with a library's version.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

fn phase_number(phase: Phase) -> u8 {
    match phase {
        Phase::Accepting => 0,
        Phase::Serving => 1,
        Phase::Closing => 2,
        Phase::Ended => 3,
    }
}

/// Simulates one shutdown with random connections and requests, and appends one line per step.
fn play(seed: u64, lines: &mut String) {
    let mut random = Random(seed);
    let longest_ms = LONGEST_DEADLINES_MS[random.below(6) as usize];
    let mut now = 1000.0 + random.below(100_000) as f64 / 7.0;
    let mut shutdown = GracefulShutdown::new(now, longest_ms);
    let mut open = random.below(20) as usize;
    let mut connections = open + random.below(20) as usize;
    let _ = writeln!(lines, "{seed} {:x}", shutdown.response_deadline().to_bits());
    for _ in 0..MAX_STEPS {
        if shutdown.phase() == Phase::Accepting && random.below(3) == 0 {
            shutdown.accepted(now);
            connections += 1;
        }
        open = open.saturating_sub(random.below(3) as usize / 2);
        connections = connections.saturating_sub(random.below(4) as usize / 2).max(open);
        let step = shutdown.advance(now, open, connections);
        let next = step.next.map_or(0, f64::to_bits);
        let phase = phase_number(shutdown.phase());
        let (listeners, idle) = (u8::from(step.close_listeners), u8::from(step.close_idle_clients));
        let _ = writeln!(lines, "{seed} {phase} {listeners} {idle} {next:x}");
        match step.next {
            None => return,
            Some(_) if random.below(4) == 0 => now += 1.0 + random.below(30) as f64,
            Some(at) => now = at,
        }
    }
}

/// Simulates all shutdowns and returns their steps, one per line.
fn transcript() -> String {
    let mut lines = String::new();
    for seed in 0..SEEDS {
        play(seed, &mut lines);
    }
    lines
}

#[test]
fn the_recording_of_sixty_shutdowns_gives_the_same_steps() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/replay/graceful-shutdown.gz");
    let mut recorded = String::new();
    GzDecoder::new(File::open(path).expect("a recording")).read_to_string(&mut recorded).expect("UTF-8");
    let played = transcript();
    let difference = recorded.lines().zip(played.lines()).enumerate().find(|(_, (old, new))| old != new);
    if let Some((line, (old, new))) = difference {
        panic!("step {} was '{old}' in the recording, is '{new}'", line + 1);
    }
    assert_eq!(recorded.lines().count(), played.lines().count());
}
