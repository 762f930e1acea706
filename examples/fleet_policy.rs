//! Measures policy rollouts on real processes: `cargo build --release && cargo run --release --example fleet_policy -- WHAT`.
//!
//! - `change N`: performs 30 policy changes (20 with more than 9 members) in a fleet of N members. Measures the time from
//!   the start of the command until every member uses the new version, and for how long members use different versions.
//! - `idle N`: traffic in bytes and CPU time per second of an idle fleet of N members.
//! - `leader N`: the time without admissions after the leader is killed.
//! - `look`: CPU time of the admission check alone.
//! - `cost`: CPU time per request, alternately with and without the shared policy.
//! - `front OLD NEW`: CPU time per request and memory of one front end with 6, 60 and 80 engines, alternately for two
//!   binaries.

use beamgap::fleet::test_hooks::machine_clock;
use beamgap_fault_harness::history::What;
use beamgap_fault_harness::now;
use beamgap_fault_harness::world::{Options, World};
use beamgap_policy::document::parse;
use beamgap_policy::rules::{AdmissionMeter, CompiledPolicy};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

type Done = Result<(), Box<dyn Error>>;

fn options(members: usize) -> Options {
    Options {
        members,
        switch_bound: 1000,
        right: 5000,
        check: 2000,
        every: Duration::from_millis(20),
        ..Options::default()
    }
}

fn print_quantiles(name: &str, values: &mut [f64], unit: &str) {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| {
        values.get(((values.len() - 1) as f64 * part).round() as usize).copied().unwrap_or(f64::NAN)
    };
    println!(
        "{name}: p50 {:.1} p99 {:.1} max {:.1} {unit} ({} runs)",
        at(0.5),
        at(0.99),
        at(1.0),
        values.len()
    );
}

fn measure_change(binary: &Path, members: usize) -> Done {
    let mut world = World::start(binary, "change", options(members))?;
    let (mut command, mut everywhere, mut overlaps) = (Vec::new(), Vec::new(), Vec::new());
    for i in 0..if members > 9 { 20 } else { 30u64 } {
        let from = now();
        let file = world.policy(1 + (i % 3) as usize);
        let (code, version) = world.change(&["policy", "propose", &file.to_string_lossy(), "--json"]);
        if code != 0 {
            return Err(format!("change {i} ended with {code}").into());
        }
        command.push(now() - from);
        world.all_admit(i + 1, Duration::from_secs(20))?;
        let version = version.unwrap_or(0);
        let (mut last_use, mut first, mut last) = (from, f64::INFINITY, 0.0f64);
        for event in world.history.all().iter().filter(|e| e.at >= from) {
            match event.what {
                What::Use { version: v, .. } if v == version => last_use = event.at,
                What::Admit { version: v, .. } if v == version => first = first.min(event.at),
                What::Admit { version: v, .. } if v < version => last = event.at,
                _ => {}
            }
        }
        everywhere.push(last_use - from);
        overlaps.push((last - first).max(0.0));
    }
    println!("{members} processes");
    print_quantiles("  the command, start to end", &mut command, "ms");
    print_quantiles("  from its start until the last member uses it", &mut everywhere, "ms");
    print_quantiles("  overlap of two versions", &mut overlaps, "ms");
    println!("  {:?}", world.judge()?);
    Ok(())
}

fn cpu_seconds(world: &World) -> Vec<f64> {
    world.members.iter().filter_map(|m| m.used()).map(|(cpu, _)| cpu).collect()
}

fn measure_idle(binary: &Path, members: usize) -> Done {
    let world = World::start(binary, "idle", options(members))?;
    world.clients.iter().for_each(|c| c.asks(None));
    std::thread::sleep(Duration::from_secs(2));
    let (cpu, bytes) = (cpu_seconds(&world), world.bytes());
    std::thread::sleep(Duration::from_secs(20));
    let after = cpu_seconds(&world);
    let each: Vec<f64> = after.iter().zip(&cpu).map(|(a, b)| (a - b) / 20.0 * 100.0).collect();
    let all = (world.bytes() - bytes) as f64 / 20.0;
    let mean = |list: &[f64]| list.iter().sum::<f64>() / list.len().max(1) as f64;
    println!(
        "{members} processes at rest: {all:.0} bytes a second over all links, deciders {:.2}% of a core each, others {:.2}%",
        mean(&each[..3]),
        mean(each.get(3..).unwrap_or_default())
    );
    Ok(())
}

fn measure_leader(binary: &Path, members: usize) -> Done {
    let mut world = World::start(binary, "leader", options(members))?;
    let (mut gaps, mut elections) = (Vec::new(), Vec::new());
    for _ in 0..8 {
        let leader = world.leader().ok_or("nobody leads")?;
        let from = now();
        world.kill(leader);
        world.wait("another leads", Duration::from_secs(20), |w| w.leader().is_some_and(|l| l != leader))?;
        elections.push(now() - from);
        std::thread::sleep(Duration::from_secs(2));
        let mut before = from;
        let mut gap = 0.0f64;
        for event in world.history.all().iter().filter(|e| e.at >= from) {
            if let What::Admit { .. } = event.what {
                gap = gap.max(event.at - before);
                before = event.at;
            }
        }
        gaps.push(gap);
        world.begin(leader)?;
        world.all_admit(0, Duration::from_secs(20))?;
    }
    println!("{members} processes, the leader killed");
    print_quantiles("  until another is seen to lead", &mut elections, "ms");
    print_quantiles("  longest time in which nobody admitted", &mut gaps, "ms");
    Ok(())
}

/// CPU time in microseconds per served request, over all members, and the largest resident memory of a member in KiB.
fn per_request(world: &World, seconds: u64) -> (f64, u64) {
    std::thread::sleep(Duration::from_secs(2));
    let (cpu, served) = (cpu_seconds(world).iter().sum::<f64>(), world.counts().0);
    std::thread::sleep(Duration::from_secs(seconds));
    let (after, now_served) = (cpu_seconds(world).iter().sum::<f64>(), world.counts().0);
    let memory = world.members.iter().filter_map(|m| m.used()).map(|(_, rss)| rss).max().unwrap_or(0);
    ((after - cpu) * 1e6 / (now_served - served).max(1) as f64, memory)
}

fn measure_cost(binary: &Path) -> Done {
    let (mut ratios, mut lines) = (Vec::new(), Vec::new());
    for round in 0..3 {
        let mut both = Vec::new();
        for fleet in [true, false] {
            let every = Duration::from_millis(2);
            let world = World::start(binary, "cost", Options { fleet, every, history: false, ..options(3) });
            // Without a recorded history the harness can't see admissions; the fleet is bootstrapped nevertheless.
            let world = world?;
            both.push(per_request(&world, 5));
        }
        ratios.push(both[0].0 / both[1].0);
        lines.push(format!(
            "  round {round}: on {:.1} us, {} KiB; off {:.1} us, {} KiB",
            both[0].0, both[0].1, both[1].0, both[1].1
        ));
    }
    println!("processor time per request, policy on and off, three front ends of some 500 requests a second");
    lines.iter().for_each(|line| println!("{line}"));
    print_quantiles("  on / off", &mut ratios, "");
    Ok(())
}

fn measure_front(old: &Path, new: &Path) -> Done {
    for engines in [6, 60, 80] {
        let mut ratios = Vec::new();
        let mut lines = Vec::new();
        for round in 0..4 {
            let mut both = Vec::new();
            // The two binaries alternate in running first, so that the order favours neither of them.
            let turn = if round % 2 == 0 { [old, new] } else { [new, old] };
            for binary in turn {
                let every = Duration::from_millis(2);
                let options = Options { engines, fleet: false, history: false, every, ..options(1) };
                both.push(per_request(&World::start(binary, "front", options)?, 4));
            }
            if round % 2 != 0 {
                both.reverse();
            }
            ratios.push(both[1].0 / both[0].0);
            lines.push(format!(
                "{:.1} us {} KiB / {:.1} us {} KiB",
                both[0].0, both[0].1, both[1].0, both[1].1
            ));
        }
        println!("{engines} engines, before / after: {}", lines.join("; "));
        print_quantiles("  after / before", &mut ratios, "");
    }
    Ok(())
}

/// Measures the time of the admission check alone: reading the clock and checking the rules of the policy.
fn measure_admission() -> Done {
    let text = "form = 1\nclass \"lookup\" {\n  attempts = 1\n  rate = 1000000\n}\naccount \"leinster\" {\n  share = \"90%\"\n}\n";
    let policy = CompiledPolicy::new(
        parse("look", text).map_err(|e| format!("{e:?}"))?.policy,
        &["lookup".to_owned()],
    );
    const ITERATIONS: usize = 2_000_000;
    let mut clocks = Vec::new();
    let mut checks = Vec::new();
    for _ in 0..20 {
        let from = Instant::now();
        let mut sum = 0.0;
        for _ in 0..ITERATIONS {
            sum += machine_clock();
        }
        clocks.push(from.elapsed().as_secs_f64() * 1e9 / ITERATIONS as f64);
        let (mut meter, mut admitted) = (AdmissionMeter::default(), 0usize);
        let from = Instant::now();
        for i in 0..ITERATIONS {
            let now = machine_clock();
            let account = Some(if i % 2 == 0 { "leinster" } else { "munster" });
            admitted += usize::from(meter.admit(now, &policy, 0, account, 10).is_ok());
        }
        checks.push(from.elapsed().as_secs_f64() * 1e9 / ITERATIONS as f64);
        assert!(sum > 0.0 && admitted > 0);
    }
    println!("the gate alone, {ITERATIONS} times each");
    print_quantiles("  a reading of the clock", &mut clocks, "ns");
    print_quantiles("  the clock and the policy's rules", &mut checks, "ns");
    Ok(())
}

fn main() -> Done {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let exe = std::env::current_exe()?;
    let binary = exe.parent().and_then(Path::parent).ok_or("where is this program?")?.join("beamgap");
    let number = words.get(1).and_then(|n| n.parse().ok()).unwrap_or(3);
    match words.first().map(String::as_str) {
        Some("change") => measure_change(&binary, number),
        Some("idle") => measure_idle(&binary, number),
        Some("leader") => measure_leader(&binary, number),
        Some("cost") => measure_cost(&binary),
        Some("look") => measure_admission(),
        Some("front") if words.len() == 3 => {
            measure_front(&PathBuf::from(&words[1]), &PathBuf::from(&words[2]))
        }
        _ => Err("change N, idle N, leader N, cost, look, or front OLD NEW".into()),
    }
}
