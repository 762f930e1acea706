//! Random fault tests of a fleet: real processes under traffic, with faults that are drawn from a seed. For each seed
//! the history checker verifies the guarantees of `docs/policy.md`. By default a few seeds run. To run many seeds:
//!
//! `RIG_SEEDS=1..500 RIG_JOBS=6 cargo test --release --test fleet_seeds seeds -- --nocapture`

use beamgap_fault_harness::checker::Summary;
use beamgap_fault_harness::world::{play_seed, play_shared_seed};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_beamgap"))
}

/// Parses a range of seeds, `A..B` without B, or a single seed.
fn parse_seed_range(text: &str) -> (u64, u64) {
    let number = |t: &str| t.trim().parse::<u64>().expect("a number in RIG_SEEDS");
    text.split_once("..").map_or_else(|| (number(text), number(text) + 1), |(a, b)| (number(a), number(b)))
}

/// Runs one seed with test hooks for the members; returns the history checker's summary or the violation.
type PlaySeed = fn(&Path, u64, &[String]) -> Result<Summary, String>;

/// Runs the seeds of `RIG_SEEDS`, by default `default_seeds`, in `RIG_JOBS` threads.
fn play_seeds(default_seeds: &str, play: PlaySeed) -> Vec<(u64, Result<Summary, String>)> {
    let (from, to) = parse_seed_range(&std::env::var("RIG_SEEDS").unwrap_or(default_seeds.to_owned()));
    let jobs: usize = std::env::var("RIG_JOBS").ok().and_then(|n| n.parse().ok()).unwrap_or(4);
    let trials = vec![std::env::var("RIG_TRIAL").unwrap_or_default()];
    let (next, results) = (AtomicU64::new(from), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= to {
                    return;
                }
                let result = play(binary(), seed, &trials);
                if seed.is_multiple_of(50) {
                    println!("seed {seed} is over");
                }
                if let Err(e) = &result {
                    println!("seed {seed}: {e}");
                }
                results.lock().unwrap().push((seed, result));
            });
        }
    });
    results.into_inner().unwrap()
}

/// Random combinations of crashes, suspended processes, network faults and disk faults must not violate a guarantee.
/// Tests that inject a single kind of fault would miss failures that need several faults at once.
#[test]
fn seeds_of_mixed_faults_break_no_promise() {
    let results = play_seeds("1..11", play_seed);
    let good: Vec<_> = results.iter().filter_map(|(_, r)| r.as_ref().ok()).collect();
    let served: usize = good.iter().map(|s| s.served).sum();
    let sent: usize = good.iter().map(|s| s.sent).sum();
    let admitted: usize = good.iter().map(|s| s.admitted).sum();
    let overlap = good.iter().map(|s| s.overlap).fold(0.0, f64::max);
    let mut gaps: Vec<f64> = good.iter().map(|s| s.operations.longest_gap_ms).collect();
    gaps.sort_by(f64::total_cmp);
    let gap_quantile = |part: f64| {
        gaps.get((gaps.len().max(1) as f64 * part) as usize).or(gaps.last()).copied().unwrap_or(0.0)
    };
    println!(
        "tasks: {} steps ran, {} refused for their token, {} tokens acted; longest time without an act by seed: p50 {:.0} p99 {:.0} max {:.0} ms",
        good.iter().map(|s| s.operations.executed).sum::<usize>(),
        good.iter().map(|s| s.operations.refused_as_stale).sum::<usize>(),
        good.iter().map(|s| s.operations.tokens).sum::<usize>(),
        gap_quantile(0.5),
        gap_quantile(0.99),
        gap_quantile(1.0)
    );
    println!(
        "{} seeds, {} broken; {sent} sent, {admitted} admitted, {served} served ({:.3}); widest overlap {overlap:.0} ms",
        results.len(),
        results.len() - good.len(),
        served as f64 / sent.max(1) as f64
    );
    let bad: Vec<String> = results.iter().filter_map(|(_, r)| r.as_ref().err().cloned()).collect();
    assert!(bad.is_empty(), "{} of {} seeds: {}", bad.len(), results.len(), bad[0]);
    assert!(admitted > 100 * results.len(), "only {admitted} requests admitted: the seeds test too little");
}

/// Under random faults, the shares of a budget that members use must never sum to more than the budget.
#[test]
fn shared_seeds_have_budgets_that_never_sum_to_more_than_the_whole() {
    let results = play_seeds("1..9", play_shared_seed);
    let good: Vec<_> = results.iter().filter_map(|(_, r)| r.as_ref().ok()).collect();
    for (i, name) in ["leinster", "look-ups"].iter().enumerate() {
        let seen = good.iter().filter_map(|s| s.shared.get(i));
        let (admitted, burst, widest) = seen
            .fold((0, 0.0f64, 0), |(a, b, w), s| (a + s.admitted, b.max(s.burst), w.max(s.most_in_flight)));
        println!(
            "{name}: {admitted} admitted; fullest {burst:.1} at once; {widest} in hand at engines at most"
        );
    }
    let admitted: usize = good.iter().map(|s| s.admitted).sum();
    println!("{} seeds, {} broken, {admitted} admitted", results.len(), results.len() - good.len());
    let bad: Vec<String> = results.iter().filter_map(|(_, r)| r.as_ref().err().cloned()).collect();
    assert!(bad.is_empty(), "{} of {} seeds: {}", bad.len(), results.len(), bad[0]);
    assert!(admitted > 100 * results.len(), "only {admitted} requests admitted: the seeds test too little");
}
