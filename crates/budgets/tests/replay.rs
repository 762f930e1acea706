//! Compares every output of the leader and the members in seeded simulations
//! with a recording, so that no change alters their behaviour unnoticed.
//!
//! The recording, `tests/replay/recording.txt`, has one section for each simulation and one line for each step with a
//! hash of all outputs of the step. The first line that differs identifies the first step whose behaviour has changed.
//! To write a new recording after an intended change of behaviour:
//! `cargo test -p beamgap-budgets --test replay record -- --ignored`

#[path = "replay/recorder.rs"]
mod recorder;
#[path = "replay/specs.rs"]
mod specs;
#[path = "replay/world.rs"]
mod world;

use beamgap_budgets::allocation::{allocate, Demand};
use beamgap_budgets::reader::{read, schema};
use beamgap_budgets::{InjectedBug, Share};
use beamgap_config::schema::Block;
use beamgap_fakes::draw::Draw;
use recorder::Recorder;
use std::path::PathBuf;
use world::{Counts, Simulation};

/// Seeds of the simulations without an injected bug.
const SEEDS: std::ops::Range<u64> = 1..6;
/// Number of steps in each simulation without an injected bug.
const STEPS: usize = 1500;
/// Number of steps in each simulation with an injected bug.
const STEPS_WITH_BUG: usize = 400;
/// Injected bugs that are simulated, each with the title of its section in the recording.
const BUGS: [(&str, InjectedBug); 5] = [
    ("no wait", InjectedBug::NewLeaderDoesNotWait),
    ("given twice", InjectedBug::ReassignedBeforeConfirmed),
    ("full bucket", InjectedBug::FullBurstOnArrival),
    ("no end", InjectedBug::UsedAfterExpiry),
    ("dead is over", InjectedBug::DeadMemberUsageForgotten),
];

struct Section {
    title: String,
    lines: Vec<String>,
}

fn recording_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/replay/recording.txt")
}

fn run_simulation(
    title: String,
    seed: u64,
    injected_bug: InjectedBug,
    steps: usize,
) -> (Section, Counts) {
    let mut simulation = Simulation::new(seed, injected_bug);
    let lines = (0..steps).map(|_| simulation.step()).collect();
    (Section { title, lines }, simulation.counts)
}

/// Records the allocations for members with random demands and weights.
fn record_allocations() -> Section {
    let mut draw = Draw::new(77);
    let mut recorder = Recorder::default();
    let mut lines = Vec::new();
    for _ in 0..200 {
        let members = draw.below(12);
        let demands: Vec<Demand> = (0..members)
            .map(|_| Demand {
                units: [0.0, draw.unit(), 20.0 * draw.unit(), 500.0][draw.below(4) as usize],
                weight: [1.0, 2.0, 5.0][draw.below(3) as usize],
            })
            .collect();
        let total = draw.below(300);
        for n in allocate(&demands, total) {
            recorder.number(n);
            recorder.number(Share::from_units(n, total).parts());
            recorder.number(Share::from_units(n, total).to_units(total / 3 + 1));
        }
        lines.push(recorder.take_line());
    }
    Section {
        title: "allocations".to_owned(),
        lines,
    }
}

/// Alternative lines of a `budget` block. One line is drawn from each list.
const BLOCK_LINES: [&[&str]; 10] = [
    &[
        "limits = \"requests\"",
        "limits = \"further_attempts\"",
        "limits = \"open\"",
        "limits = \"connections\"",
        "limits = \"cold_engines\"",
        "limits = \"engines\"",
    ],
    &["", "", "account = \"munster\""],
    &["", "", "class = \"report\""],
    &["", "rate = 40", "rate = 3.5", "rate = 0"],
    &["", "", "burst = 9"],
    &["", "most = 30", "most = 2"],
    &["", "longest = \"20 s\"", "longest = \"300 ms\""],
    &["", "", "floor = \"30%\"", "floor = \"60%\""],
    &["", "floor_among = 4", "floor_among = 900"],
    &[
        "",
        "",
        "weight \"n1\" {\n  is = 3\n}",
        "weight \"n1\" {\n  is = 3\n}\nweight \"east\" {\n  is = 7\n}",
    ],
];

fn draw_block(draw: &mut Draw) -> String {
    let name = ["b1", "b2", "b3", ""][draw.below(4) as usize];
    let mut text = format!("budget \"{name}\" {{\n");
    for choices in BLOCK_LINES {
        text.push_str(choices[draw.below(choices.len() as u64) as usize]);
        text.push('\n');
    }
    text.push_str("}\n");
    text
}

/// Records the result of reading random `budget` blocks, valid and invalid ones.
fn record_blocks() -> Section {
    let root = Block {
        blocks: vec![schema()],
        ..Block::default()
    };
    let mut draw = Draw::new(78);
    let mut recorder = Recorder::default();
    let mut lines = Vec::new();
    for _ in 0..600 {
        let text: String = (0..=draw.below(3)).map(|_| draw_block(&mut draw)).collect();
        match beamgap_config::read("p.hcl", &text, &root).and_then(|document| read(&document)) {
            Ok(specs) => {
                recorder.tag(1);
                recorder.encoded(&specs);
                for spec in &specs {
                    recorder.encoded(&spec.description());
                }
            }
            Err(problems) => {
                recorder.tag(2);
                recorder.encoded(
                    &problems
                        .iter()
                        .map(ToString::to_string)
                        .collect::<Vec<String>>(),
                );
            }
        }
        lines.push(recorder.take_line());
    }
    Section {
        title: "blocks".to_owned(),
        lines,
    }
}

fn record_all() -> Vec<Section> {
    let mut sections = vec![record_allocations(), record_blocks()];
    let mut total = Counts::default();
    for seed in SEEDS {
        let (section, counts) =
            run_simulation(format!("seed {seed}"), seed, InjectedBug::None, STEPS);
        println!("{}: {counts:?}", section.title);
        sections.push(section);
        total.admitted += counts.admitted;
        total.rejected += counts.rejected;
        total.full_statements += counts.full_statements;
        total.not_renewed += counts.not_renewed;
        total.elections += counts.elections;
        total.restarts += counts.restarts;
        total.drained += counts.drained;
        total.changes += counts.changes;
        total.lost += counts.lost;
    }
    assert!(
        total.admitted > 3000 && total.rejected > 3000,
        "too few requests: {total:?}"
    );
    assert!(
        total.full_statements > 50 && total.not_renewed > 50,
        "too few statements: {total:?}"
    );
    assert!(
        total.elections > 5 && total.changes > 10 && total.lost > 100,
        "too few events: {total:?}"
    );
    assert!(
        total.restarts > 5 && total.drained > 3,
        "too few restarts: {total:?}"
    );
    for (title, injected_bug) in BUGS {
        sections.push(run_simulation(title.to_owned(), 9, injected_bug, STEPS_WITH_BUG).0);
    }
    sections
}

fn to_text(sections: &[Section]) -> String {
    let mut text = String::new();
    for section in sections {
        text.push_str(&format!("# {}\n", section.title));
        for line in &section.lines {
            text.push_str(line);
            text.push('\n');
        }
    }
    text
}

#[test]
fn every_step_gives_what_was_recorded() {
    let recording = std::fs::read_to_string(recording_path()).expect("the recording can be read");
    let replayed = to_text(&record_all());
    let mut title = "";
    let mut step = 0;
    for (recorded, now) in recording.lines().zip(replayed.lines()) {
        if recorded.starts_with('#') {
            title = recorded;
            step = 0;
        } else {
            step += 1;
        }
        assert_eq!(now, recorded, "first difference: {title}, step {step}");
    }
    assert_eq!(
        replayed.lines().count(),
        recording.lines().count(),
        "the recording and the replay have different numbers of lines"
    );
}

#[test]
#[ignore = "writes the recording"]
fn record() {
    std::fs::write(recording_path(), to_text(&record_all())).expect("the recording can be written");
}
