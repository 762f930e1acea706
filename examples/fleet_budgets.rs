//! Measures budgets on real processes: `cargo build --release && cargo run --release --example fleet_budgets -- WHAT`.
//!
//! `move N`: N members, the demand moves: time until the whole is where the demand is, and how much of it is used, against a
//! division by hand in the same run. `rest N`: bytes, processor time and fsyncs of a fleet at rest, without budgets and
//! with 64. `look`: what an admission costs with budgets and without.

use beamgap::fleet::budgets::Shares;
use beamgap::fleet::trial::{machine_clock, Trial};
use beamgap_budgets::leader::Lead;
use beamgap_budgets::spec::{Amount, Of, Spec};
use beamgap_budgets::{Plant, Times};
use beamgap_rig::history::What;
use beamgap_rig::now;
use beamgap_rig::budget_checker::{check_budgets, BudgetLimit, RateLimit};
use beamgap_rig::world::{Options, World};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

type Done = Result<(), Box<dyn Error>>;

const RATE: f64 = 300.0;
const FLOOD: Duration = Duration::from_millis(2);
const CALM: Duration = Duration::from_millis(1000);

fn options(members: usize) -> Options {
    Options { members, switch_bound: 1000, right: 5000, check: 2000, every: CALM, ..Options::default() }
}

fn told(name: &str, values: &mut [f64], unit: &str) {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| {
        values.get(((values.len().max(1) - 1) as f64 * part).round() as usize).copied().unwrap_or(f64::NAN)
    };
    println!(
        "{name}: p50 {:.2} least {:.2} most {:.2} {unit} ({} runs)",
        at(0.5),
        at(0.0),
        at(1.0),
        values.len()
    );
}

fn propose(world: &World, name: &str, text: &str) -> Result<u64, Box<dyn Error>> {
    let file = world.write_policy(name, &format!("form = 1\n{text}"));
    let (code, version) =
        world.change(&["policy", "propose", &file.to_string_lossy(), "--json", "--wait", "25"]);
    version.filter(|_| code == 0).ok_or(format!("{name} ended with {code}").into())
}

/// Admissions of a member since then, in order.
fn admitted(world: &World, member: usize, since: f64) -> Vec<f64> {
    let name = format!("n{member}");
    let all = world.history.all();
    let of = |what: &What| matches!(what, What::Admit { member, .. } if *member == name);
    all.iter().filter(|e| e.at >= since && of(&e.what)).map(|e| e.at).collect()
}

/// Floods one member after the other; for each, when nine tenths of the rate came first in half a second, and the part of
/// the rate that was used in the four seconds after the third.
fn rounds(world: &World, members: usize, rounds: usize) -> (Vec<f64>, Vec<f64>) {
    let (mut after, mut used) = (Vec::new(), Vec::new());
    for round in 0..rounds {
        let hot = (round * 2 + 1) % members;
        (0..members).for_each(|m| world.clients[m].wants(if m == hot { FLOOD } else { CALM }, 0));
        std::thread::sleep(CALM); // The client that is to flood wakes from its last pause.
        let from = now();
        std::thread::sleep(Duration::from_secs(7));
        let at = admitted(world, hot, from);
        let full = at.windows((RATE * 0.45) as usize).find(|w| w[w.len() - 1] - w[0] <= 500.0);
        after.push(full.map_or(f64::INFINITY, |w| w[0] - from));
        used.push(
            at.iter().filter(|at| (3000.0..7000.0).contains(&(**at - from))).count() as f64 / (RATE * 4.0),
        );
    }
    (after, used)
}

fn moves(binary: &Path, members: usize) -> Done {
    let mut world = World::start(binary, "moves", options(members))?;
    let text = format!("budget \"all\" {{\n  limits = \"requests\"\n  rate = {RATE}\n  burst = {RATE}\n}}\n");
    let version = propose(&world, "budget", &text)?;
    std::thread::sleep(Duration::from_secs(3));
    let (mut after, mut used) = rounds(&world, members, 5);
    let each = (RATE / members as f64).floor();
    propose(
        &world,
        "hand",
        &format!(
            "class \"lookup\" {{\n  rate = {each}\n}}\nclass \"delivery-load\" {{\n  refused = true\n}}\n"
        ),
    )?;
    let (_, mut by_hand) = rounds(&world, members, 2);
    println!("{members} processes, {RATE} a second in common");
    told("  until nine tenths of it are used at the new place", &mut after, "ms");
    told("  part used from the third second on", &mut used, "of the whole");
    told("  divided by hand", &mut by_hand, "of the whole");
    world.judge()?;
    let bound = BudgetLimit { rate: Some(RateLimit { per_second: RATE, burst: RATE }), versions: [version].into(), ..BudgetLimit::default() };
    let seen = check_budgets(&world.history.all(), &[bound]).map_err(|b| b.to_string())?;
    println!("  {seen:?}");
    Ok(())
}

fn fsyncs(world: &World) -> u64 {
    let status = world.status();
    let deciders = status["deciders"].as_array().cloned().unwrap_or_default();
    deciders.iter().filter_map(|d| d["fsyncs"].as_u64()).sum()
}

fn rest(binary: &Path, members: usize) -> Done {
    let world = World::start(binary, "rest", Options { history: false, ..options(members) })?;
    world.clients.iter().for_each(|c| c.asks(None));
    let many: String = (0..64)
        .map(|n| {
            format!(
                "budget \"b{n:02}\" {{\n  limits = \"requests\"\n  account = \"munster\"\n  rate = {}\n}}\n",
                100 + n
            )
        })
        .collect();
    for (name, text) in [("without", String::new()), ("with 64", many)] {
        propose(&world, &name.replace(' ', "-"), &text)?;
        std::thread::sleep(Duration::from_secs(4));
        let used = |w: &World| w.members.iter().filter_map(|m| m.used()).map(|(cpu, _)| cpu).sum::<f64>();
        let before = (world.bytes(), used(&world), fsyncs(&world));
        std::thread::sleep(Duration::from_secs(15));
        let cpu = (used(&world) - before.1) / 15.0 * 100.0 / members as f64;
        let bytes = (world.bytes() - before.0) as f64 / 15.0;
        let fsyncs = fsyncs(&world) - before.2;
        println!("{members} processes at rest, {name} budgets: {bytes:.0} bytes a second, {cpu:.2}% of a core each, {fsyncs} fsyncs in 15 s");
    }
    Ok(())
}

/// What an admission costs: the reading of the clock and the budgets that bind it.
fn look() -> Done {
    const MANY: usize = 1_000_000;
    let classes = ["lookup".to_owned()];
    let spec = |n: usize, of, amount| Spec {
        name: format!("b{n}"),
        of,
        account: Some("leinster".to_owned()),
        class: None,
        amount,
        floor: 0.0,
        seats: 0,
        weights: BTreeMap::new(),
    };
    let rate = Amount::Rate { per_s: 1e9, burst: 1_000_000 };
    let stock = Amount::Stock { most: 1_000_000, longest: 1000.0 };
    let all = vec![spec(0, Of::Requests, rate), spec(1, Of::Requests, rate), spec(2, Of::Open, stock)];
    for (name, specs) in
        [("none", Vec::new()), ("one rate", all[..1].to_vec()), ("two rates and a stock", all)]
    {
        let mut shares = Shares::new("n0", 1, "", &classes, Trial::default());
        let mut lead = Lead::new(1, Times::of_right(600_000.0, 0.0), Plant::None);
        lead.role(machine_clock(), true);
        shares.uses(machine_clock(), 1, specs.clone());
        let lives = [(("n0".to_owned(), 1), 1)].into();
        for round in 1..6 {
            let ask = shares.ask(machine_clock(), round);
            let reply = lead.answer(machine_clock(), 1, &specs, &lives, &ask);
            shares.reply(machine_clock(), reply);
        }
        let shares = Rc::new(RefCell::new(shares));
        let (mut times, mut admitted) = (Vec::new(), 0usize);
        for _ in 0..15 {
            let from = Instant::now();
            for _ in 0..MANY {
                admitted += usize::from(Shares::admit(&shares, machine_clock(), 0, Some("leinster")).is_ok());
            }
            times.push(from.elapsed().as_secs_f64() * 1e9 / MANY as f64);
        }
        told(
            &format!("an admission, {name}, {:.2} admitted", admitted as f64 / (15 * MANY) as f64),
            &mut times,
            "ns",
        );
    }
    Ok(())
}

fn main() -> Done {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let exe = std::env::current_exe()?;
    let binary = exe.parent().and_then(Path::parent).ok_or("where is this program?")?.join("beamgap");
    let number = words.get(1).and_then(|n| n.parse().ok()).unwrap_or(3);
    match words.first().map(String::as_str) {
        Some("move") => moves(&binary, number),
        Some("rest") => rest(&binary, number),
        Some("look") => look(),
        _ => Err("move N, rest N or look".into()),
    }
}
