//! Soak test of the front end: real processes under traffic, with restarts, reloads, kills, and faults of engines and
//! of discovery that are drawn from a seed. The platform's rules are checked from outside the front-end processes.
//! By default a few seeds run for a short time. To run more seeds, each for a longer time:
//!
//! `SOAK_SEEDS=1..51 SOAK_LENGTH_MS=15000 SOAK_JOBS=2 cargo test --release --test soak -- --nocapture`

use beamgap_fault_harness::soak::{play, Summary};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Default for `SOAK_SEEDS`, the range of seeds.
const DEFAULT_SEEDS: &str = "1..7";
/// Default for `SOAK_LENGTH_MS`, the length of a seed's run in milliseconds.
const DEFAULT_LENGTH_MS: f64 = 8000.0;
/// Default for `SOAK_JOBS`, the number of seeds that run at the same time.
const DEFAULT_JOBS: usize = 2;

fn binary() -> PathBuf {
    std::env::var_os("SOAK_BINARY").map_or(Path::new(env!("CARGO_BIN_EXE_beamgap")).into(), PathBuf::from)
}

/// Parses a range of seeds, `A..B` without B, or a single seed.
fn parse_seed_range(text: &str) -> (u64, u64) {
    let number = |t: &str| t.trim().parse::<u64>().expect("a number in SOAK_SEEDS");
    text.split_once("..").map_or_else(|| (number(text), number(text) + 1), |(a, b)| (number(a), number(b)))
}

/// Value of an environment variable, or the default if the variable is not set or not valid.
fn variable<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn print(seed: u64, length: f64, played: &Result<Summary, String>) {
    match played {
        Err(e) => println!("seed {seed}: could not be played: {e}"),
        Ok(summary) => {
            let plan = &summary.plan;
            println!(
                "seed {seed}: front ends {} engines {} faults {} crowd {} slow writers {} load {} requests {} served {} crossed {} killed {} signals {} late {:.0} ms breaks {}",
                plan.front_ends,
                plan.engines,
                plan.faults.len(),
                plan.has_crowd,
                plan.has_slow_writers,
                plan.has_load,
                summary.requests,
                summary.served,
                summary.crossed,
                summary.killed,
                summary.signals,
                summary.worst_lateness,
                summary.violations.len(),
            );
            if !summary.violations.is_empty() {
                println!("  again: SOAK_SEEDS={seed} SOAK_LENGTH_MS={length} cargo test --test soak -- --nocapture");
                plan.faults.iter().for_each(|(at, fault)| println!("  {at:.0} ms {fault:?}"));
                summary.violations.iter().take(20).for_each(|text| println!("  broken: {text}"));
                summary.events.iter().for_each(|text| println!("    {text}"));
            }
        }
    }
}

fn play_seeds() -> Vec<(u64, Result<Summary, String>)> {
    let (from, to) = parse_seed_range(&variable("SOAK_SEEDS", DEFAULT_SEEDS.to_owned()));
    let length = variable("SOAK_LENGTH_MS", DEFAULT_LENGTH_MS);
    let (next, results) = (AtomicU64::new(from), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..variable("SOAK_JOBS", DEFAULT_JOBS) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= to {
                    return;
                }
                let folder = tempfile::tempdir().expect("a folder for the run");
                let played = play(&binary(), folder.path(), seed, length);
                print(seed, length, &played);
                results.lock().expect("no run panics").push((seed, played));
            });
        }
    });
    results.into_inner().expect("no run panics")
}

/// Restarts, reloads and faults in random combinations must not make a front end violate a rule of the platform, and
/// more than half of the requests must be served.
#[test]
fn restarts_reloads_and_faults_break_no_rule() {
    let results = play_seeds();
    let unplayed: Vec<_> = results.iter().filter(|(_, played)| played.is_err()).collect();
    assert!(unplayed.is_empty(), "{unplayed:?}");
    let played = results.iter().filter_map(|(seed, played)| Some((seed, played.as_ref().ok()?)));
    let (mut requests, mut served, mut broken) = (0, 0, Vec::new());
    for (seed, summary) in played {
        requests += summary.requests;
        served += summary.served;
        if !summary.violations.is_empty() {
            broken.push((*seed, summary.violations.len(), summary.violations[0].clone()));
        }
    }
    println!("seeds {} requests {requests} served {served} broken {}", results.len(), broken.len());
    assert!(2 * served > requests, "only half of the requests or fewer were served: {served} of {requests}");
    assert!(broken.is_empty(), "{broken:?}");
}
