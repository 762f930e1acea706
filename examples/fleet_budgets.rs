//! Measures budgets on real processes: `cargo build --release && cargo run --release --example fleet_budgets -- WHAT`.
//!
//! - `move N`: moves the demand between N members. Measures the time until the shares of the budget follow the demand, and
//!   the fraction of the budget that is used, compared with equal static limits in the same run.
//! - `rest N`: traffic in bytes, CPU time and fsyncs of an idle fleet of N members, without budgets and with 64 budgets.
//! - `look`: CPU time of an admission check with and without budgets.

use beamgap::fleet::budgets::FleetBudgets;
use beamgap::fleet::test_hooks::{machine_clock, TestHooks};
use beamgap_budgets::leader::{AgreedState, BudgetLeader};
use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_budgets::{BudgetTimings, InjectedBug};
use beamgap_fault_harness::budget_checker::{check_budgets, BudgetLimit, RateLimit};
use beamgap_fault_harness::history::What;
use beamgap_fault_harness::now;
use beamgap_fault_harness::world::{Options, World};
use beamgap_fleet_types::MemberId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

type Done = Result<(), Box<dyn Error>>;

/// The budget of `move`: requests per second, and also the largest burst in requests.
const RATE: f64 = 300.0;
/// Interval between the requests of the client with high demand: 500 per second, more than the whole budget admits.
const HIGH_DEMAND_INTERVAL: Duration = Duration::from_millis(2);
/// Interval between the requests of each client with low demand.
const LOW_DEMAND_INTERVAL: Duration = Duration::from_millis(1000);
/// Duration of a round of `move`, in which one member has high demand.
const ROUND_DURATION: Duration = Duration::from_secs(7);
/// The part of a round in which the used fraction of the budget is measured, in milliseconds after the start of the round;
/// the first 3 seconds give the shares time to follow the demand.
const MEASURED_MS: std::ops::Range<f64> = 3000.0..7000.0;
/// Duration of each measurement of an idle fleet.
const IDLE_DURATION: Duration = Duration::from_secs(15);
/// Number of admissions in each timed run of `look`.
const ADMISSIONS_PER_TIMING: usize = 1_000_000;
/// Number of timed runs of `look` for each set of budgets.
const TIMINGS: usize = 15;

fn options(members: usize) -> Options {
    Options {
        members,
        switch_bound: 1000,
        right: 5000,
        check: 2000,
        every: LOW_DEMAND_INTERVAL,
        ..Options::default()
    }
}

fn print_quantiles(name: &str, values: &mut [f64], unit: &str) {
    values.sort_by(f64::total_cmp);
    let last = (values.len().max(1) - 1) as f64;
    let quantile = |part: f64| values.get((last * part).round() as usize).copied().unwrap_or(f64::NAN);
    let (least, median, most) = (quantile(0.0), quantile(0.5), quantile(1.0));
    let runs = values.len();
    println!("{name}: p50 {median:.2} least {least:.2} most {most:.2} {unit} ({runs} runs)");
}

fn propose(world: &World, name: &str, text: &str) -> Result<u64, Box<dyn Error>> {
    let file = world.write_policy(name, &format!("form = 1\n{text}"));
    let (code, version) =
        world.change(&["policy", "propose", &file.to_string_lossy(), "--json", "--wait", "25"]);
    version.filter(|_| code == 0).ok_or(format!("{name} ended with {code}").into())
}

/// Times of a member's admissions since `since`, in the order of the recorded history.
fn admitted_at(world: &World, member: usize, since: f64) -> Vec<f64> {
    let name = format!("n{member}");
    let all = world.history.all();
    let of = |what: &What| matches!(what, What::Admit { member, .. } if *member == name);
    all.iter().filter(|event| event.at >= since && of(&event.what)).map(|event| event.at).collect()
}

/// Measurements of a budget whose demand moves between members, one value for each round.
#[derive(Default)]
struct Rounds {
    /// Time in milliseconds from the start of the round to the first half second in which the member with high demand
    /// admitted nine tenths of the budget's rate.
    moved_after_ms: Vec<f64>,
    /// Fraction of the budget's rate that the member with high demand used.
    used: Vec<f64>,
}

/// Gives one member after the other high demand, for one round each.
fn measure_rounds(world: &World, members: usize, rounds: usize) -> Rounds {
    let mut measured = Rounds::default();
    for round in 0..rounds {
        let hot = (round * 2 + 1) % members;
        for member in 0..members {
            world.clients[member]
                .wants(if member == hot { HIGH_DEMAND_INTERVAL } else { LOW_DEMAND_INTERVAL }, 0);
        }
        std::thread::sleep(LOW_DEMAND_INTERVAL); // The client may still be in a sleep of its earlier, longer interval.
        let from = now();
        std::thread::sleep(ROUND_DURATION);
        let admitted = admitted_at(world, hot, from);
        let is_full = |window: &&[f64]| window[window.len() - 1] - window[0] <= 500.0;
        let full = admitted.windows((RATE * 0.45) as usize).find(is_full);
        measured.moved_after_ms.push(full.map_or(f64::INFINITY, |window| window[0] - from));
        let count = admitted.iter().filter(|at| MEASURED_MS.contains(&(**at - from))).count();
        measured.used.push(count as f64 / (RATE * (MEASURED_MS.end - MEASURED_MS.start) / 1000.0));
    }
    measured
}

fn measure_move(binary: &Path, members: usize) -> Done {
    let mut world = World::start(binary, "moves", options(members))?;
    let text = format!("budget \"all\" {{\n  limits = \"requests\"\n  rate = {RATE}\n  burst = {RATE}\n}}\n");
    let version = propose(&world, "budget", &text)?;
    std::thread::sleep(Duration::from_secs(3));
    let mut by_demand = measure_rounds(&world, members, 5);
    let each = (RATE / members as f64).floor();
    let text = format!(
        "class \"lookup\" {{\n  rate = {each}\n}}\nclass \"delivery-load\" {{\n  refused = true\n}}\n"
    );
    propose(&world, "hand", &text)?;
    let mut by_hand = measure_rounds(&world, members, 2);
    println!("{members} processes, {RATE} a second in common");
    print_quantiles(
        "  until nine tenths of it are used at the new place",
        &mut by_demand.moved_after_ms,
        "ms",
    );
    print_quantiles("  part used from the third second on", &mut by_demand.used, "of the whole");
    print_quantiles("  divided by hand", &mut by_hand.used, "of the whole");
    world.judge()?;
    let limit = BudgetLimit {
        rate: Some(RateLimit { per_second: RATE, burst: RATE }),
        versions: [version].into(),
        ..BudgetLimit::default()
    };
    let usage = check_budgets(&world.history.all(), &[limit]).map_err(|violation| violation.to_string())?;
    println!("  {usage:?}");
    Ok(())
}

fn fsyncs(world: &World) -> u64 {
    let status = world.status();
    let voters = status["deciders"].as_array().cloned().unwrap_or_default();
    voters.iter().filter_map(|voter| voter["fsyncs"].as_u64()).sum()
}

/// Total CPU time of all members since their start, in seconds.
fn processor_time(world: &World) -> f64 {
    world.members.iter().filter_map(|member| member.used()).map(|(cpu, _)| cpu).sum()
}

fn measure_rest(binary: &Path, members: usize) -> Done {
    let world = World::start(binary, "rest", Options { history: false, ..options(members) })?;
    for client in &world.clients {
        client.asks(None);
    }
    let budget = |n: usize| {
        let rate = 100 + n;
        format!(
            "budget \"b{n:02}\" {{\n  limits = \"requests\"\n  account = \"munster\"\n  rate = {rate}\n}}\n"
        )
    };
    let many: String = (0..64).map(budget).collect();
    for (name, text) in [("without", String::new()), ("with 64", many)] {
        propose(&world, &name.replace(' ', "-"), &text)?;
        std::thread::sleep(Duration::from_secs(4));
        let bytes_before = world.bytes();
        let cpu_before = processor_time(&world);
        let fsyncs_before = fsyncs(&world);
        std::thread::sleep(IDLE_DURATION);
        let seconds = IDLE_DURATION.as_secs_f64();
        let cpu = (processor_time(&world) - cpu_before) / seconds * 100.0 / members as f64;
        let bytes = (world.bytes() - bytes_before) as f64 / seconds;
        let fsyncs = fsyncs(&world) - fsyncs_before;
        println!("{members} processes at rest, {name} budgets: {bytes:.0} bytes a second, {cpu:.2}% of a core each, {fsyncs} fsyncs in {seconds} s");
    }
    Ok(())
}

fn spec(number: usize, resource: Resource, amount: Amount) -> BudgetSpec {
    BudgetSpec {
        name: format!("b{number}"),
        resource,
        account: Some("leinster".to_owned()),
        class: None,
        amount,
        floor: 0.0,
        max_members: 0,
        weights: BTreeMap::new(),
    }
}

/// A member that is assigned the whole share of every given budget.
fn member_with_budgets(specs: &[BudgetSpec]) -> FleetBudgets {
    let mut budgets = FleetBudgets::new("n0", 1, "", &["lookup".to_owned()], TestHooks::default());
    let timings = BudgetTimings::for_lease(600_000.0, 0.0);
    let mut leader = BudgetLeader::new(1, timings, InjectedBug::None);
    leader.set_leadership(machine_clock(), true);
    budgets.activate(machine_clock(), 1, specs.to_vec());
    let members = BTreeMap::from([(MemberId::new("n0", 1), 1)]);
    let agreed = AgreedState { version: 1, specs, members: &members };
    for sequence in 1..6 {
        let request = budgets.poll_request(machine_clock(), sequence);
        let response = leader.handle_poll(machine_clock(), &agreed, &request);
        budgets.handle_response(machine_clock(), response);
    }
    budgets
}

/// Measures the time of an admission check, which reads the clock and checks the budgets that apply to the request.
fn measure_admission() -> Done {
    let rate = Amount::Rate { per_second: 1e9, burst: 1_000_000 };
    let concurrency = Amount::Concurrency { max: 1_000_000, max_duration_ms: 1000.0 };
    let all = [
        spec(0, Resource::Requests, rate),
        spec(1, Resource::Requests, rate),
        spec(2, Resource::OpenRequests, concurrency),
    ];
    for (name, specs) in [("none", &all[..0]), ("one rate", &all[..1]), ("two rates and a stock", &all[..])] {
        let budgets = Rc::new(RefCell::new(member_with_budgets(specs)));
        let mut nanoseconds = Vec::new();
        let mut admitted = 0usize;
        for _ in 0..TIMINGS {
            let from = Instant::now();
            for _ in 0..ADMISSIONS_PER_TIMING {
                let admission = FleetBudgets::admit(&budgets, machine_clock(), 0, Some("leinster"));
                admitted += usize::from(admission.is_ok());
            }
            nanoseconds.push(from.elapsed().as_secs_f64() * 1e9 / ADMISSIONS_PER_TIMING as f64);
        }
        let fraction = admitted as f64 / (TIMINGS * ADMISSIONS_PER_TIMING) as f64;
        let title = format!("an admission, {name}, {fraction:.2} admitted");
        print_quantiles(&title, &mut nanoseconds, "ns");
    }
    Ok(())
}

fn main() -> Done {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let example = std::env::current_exe()?;
    let folder = example.parent().and_then(Path::parent).ok_or("where is this program?")?;
    let binary = folder.join("beamgap");
    let members = arguments.get(1).and_then(|n| n.parse().ok()).unwrap_or(3);
    match arguments.first().map(String::as_str) {
        Some("move") => measure_move(&binary, members),
        Some("rest") => measure_rest(&binary, members),
        Some("look") => measure_admission(),
        _ => Err("move N, rest N or look".into()),
    }
}
