//! Budgets in a fleet on a set clock, with faults drawn from seeds: the sum never passes the whole, and each planted fault
//! is found. More seeds by hand: `BUDGET_SEEDS=1..2000 cargo test --release -p beamgap-budgets --test faults`

mod common;

use beamgap_budgets::spec::Spec;
use beamgap_budgets::{Plant, WHOLE};
use beamgap_standins::draw::Draw;
use common::*;

/// Plays a seed; what was broken, if anything.
fn play(seed: u64, plant: Plant) -> Result<usize, String> {
    let mut draw = Draw::new(seed);
    let members = 3 + draw.below(6) as usize;
    let mut a = rate("a", 100.0, 60);
    if draw.below(2) == 0 {
        (a.floor, a.seats) = (0.4, 12);
    }
    let specs = vec![a, stock("b", 24, 2500.0)];
    let mut f = Fleet::new(seed, members, specs, 1800.0, plant);
    f.takes = [150.0, 2500.0][draw.below(2) as usize];
    f.lost = [0.0, 0.05, 0.3][draw.below(3) as usize];
    for turn in 0..60 {
        if draw.below(3) == 0 {
            let m = draw.below(members as u64) as usize;
            let hot = [0.0, 20.0, 300.0][draw.below(3) as usize];
            f.fronts[m].demand = vec![hot, hot];
        }
        let m = draw.below(members as u64) as usize;
        match draw.below(14) {
            0 => f.elect(),
            1 => f.kill(m),
            2 | 3 => {
                for m in 0..members {
                    if !f.fronts[m].alive {
                        f.start(m);
                    }
                }
            }
            4 => f.fronts[m].stopped = f.now + draw.waits(900.0),
            5 => f.fronts[m].cut = f.now + draw.waits(1500.0),
            6 if turn % 3 == 0 => {
                f.kill(m);
                f.elect();
            }
            7 if turn % 4 == 0 => {
                let (a, b) = (rate("a", [100.0, 10.0][draw.below(2) as usize], 60), f.specs[1].clone());
                f.change(vec![Spec { floor: f.specs[0].floor, seats: f.specs[0].seats, ..a }, b]);
            }
            _ => {}
        }
        for _ in 0..30 {
            f.run(STEP);
            for i in 0..2 {
                let usable = f.usable(i);
                if usable > u128::from(WHOLE) {
                    let part = usable as f64 / WHOLE as f64;
                    return Err(format!("seed {seed}: {part:.3} of whole {i} may be used at {}", f.now));
                }
            }
        }
    }
    let over = excess(&f.admitted[0], 100.0, 60);
    if over > 0.0 {
        return Err(format!("seed {seed}: {over:.1} admitted beyond the rate and its burst"));
    }
    if f.widest[1] > 24 {
        return Err(format!("seed {seed}: {} out at once of 24", f.widest[1]));
    }
    Ok(f.count(0) + f.count(1))
}

fn seeds() -> (u64, u64) {
    let text = std::env::var("BUDGET_SEEDS").unwrap_or("1..41".to_owned());
    let (a, b) = text.split_once("..").expect("BUDGET_SEEDS is A..B");
    (a.parse().expect("a number"), b.parse().expect("a number"))
}

#[test]
fn a1_no_seed_of_faults_has_the_parts_sum_to_more_than_the_whole() {
    let (from, to) = seeds();
    let mut admitted = 0;
    for seed in from..to {
        admitted += play(seed, Plant::None).unwrap_or_else(|e| panic!("{e}"));
    }
    println!("{} seeds, {admitted} admitted", to - from);
    assert!(admitted as u64 > 200 * (to - from), "{admitted}: nothing was tried");
}

#[test]
fn each_planted_fault_is_found() {
    for plant in [Plant::NoWait, Plant::GivenTwice, Plant::FullBucket, Plant::NoEnd, Plant::DeadIsOver] {
        let found: Vec<u64> = (1..25).filter(|seed| play(*seed, plant).is_err()).collect();
        println!("{plant:?}: found by {} of 24 seeds", found.len());
        assert!(!found.is_empty(), "{plant:?} was found by no seed");
    }
}
