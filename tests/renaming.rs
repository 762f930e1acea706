//! Names are names: classes, tenants and zones called otherwise, and classes listed in another order, change no
//! decision. Engines' ids do: they are what the placement of table groups hashes, so they are renamed only where there
//! is one engine and nothing to place.

mod common;

use beamgap::*;
use common::{list, member, ms, request, settings, Bench};
use proptest::prelude::*;
use std::collections::VecDeque;

const CLASSES: usize = 4;

/// How one of two deployments, alike but for this, calls and orders its things.
struct Naming {
    classes: [&'static str; CLASSES],
    /// For each class, its place in the settings.
    order: [usize; CLASSES],
    tenants: [&'static str; 2],
    zones: [&'static str; 3],
}

const PLAIN: Naming = Naming {
    classes: ["lookup", "report", "delivery-load", "feed"],
    order: [0, 1, 2, 3],
    tenants: ["leinster", "munster"],
    zones: ["a", "b", "c"],
};

const OTHER: Naming = Naming {
    classes: ["z", "delivery-load", "lookup", "ŋ ñ"],
    order: [2, 0, 3, 1],
    tenants: ["munster", "zz"],
    zones: ["room-9", "a", "B"],
};

fn class(place: usize, name: &str) -> ClassSettings {
    let aims = [500, 3000, 3000, 1000];
    let mut class = ClassSettings::plain(name, ms(aims[place]), ms([2500, 15_000, 25_000, 6000][place]));
    class.priority_weight = [1.0, 20.0, 30.0, 4.0][place];
    class.threads = [1.0, 3.0, 2.0, 1.0][place];
    class.late_weight = [0.1, 0.3, 0.6, 0.0][place];
    class.repeat = match place {
        2 => Repeat::Unsafe,
        3 => Repeat::Keyed { group: RepeatGroup::Zone, window: ms(1500) },
        _ => Repeat::Safe,
    };
    (class.locks_tables, class.in_order) = (place == 2, place == 2);
    class
}

fn deployment(naming: &Naming) -> Settings {
    let mut classes = vec![ClassSettings::plain("", ms(1), ms(1)); CLASSES];
    for place in 0..CLASSES {
        classes[naming.order[place]] = class(place, naming.classes[place]);
    }
    let cold =
        SlowStart { start_share: 0.3, warm_within: ms(15_000), fall_multiple: 3.0, fall_span: ms(1500) };
    let tenant = |name: &&str| TenantSettings { name: (*name).into(), quota_per_s: Some(40.0) };
    Settings {
        classes,
        tenants: naming.tenants.iter().map(tenant).collect(),
        zone: Some(naming.zones[0].into()),
        slow_start: Some(cold),
        gateways: 3,
        hedging: false,
        retry_budget: Some(RetryBudget { free: 5.0, per_request: 0.2, span: ms(10_000) }),
        ..settings()
    }
}

fn members(naming: &Naming, late: bool) -> Vec<EngineEntry> {
    let of = |i: usize| {
        let started = (late && i >= 4).then(|| ms(4000));
        EngineEntry { zone: naming.zones[i % 3].into(), started, ..member(&format!("10.0.0.{i}:70")) }
    };
    (0..if late { 7 } else { 5 }).map(of).collect()
}

/// A step of a day: a request, the end of the oldest attempt that is out, a client that leaves, a longer list, time.
#[derive(Clone, Debug)]
enum Step {
    Ask { class: usize, tenant: usize, tables: u64, work: u64 },
    End(Outcome),
    Note(Progress),
    Leave(usize),
    Grow,
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let ask = (0..CLASSES, 0..2usize, 0..9u64, 20..4000u64);
    prop_oneof![
        6 => ask.prop_map(|(class, tenant, tables, work)| Step::Ask { class, tenant, tables, work }),
        4 => Just(Step::End(Outcome::Served)),
        1 => prop::sample::select(vec![Outcome::Overloaded, Outcome::Error, Outcome::Reset]).prop_map(Step::End),
        1 => Just(Step::Note(Progress::WaitsForMemory)),
        1 => (0..50usize).prop_map(Step::Leave),
        1 => Just(Step::Grow),
        6 => (1..400u64).prop_map(Step::Pass),
    ]
}

/// What a day's decisions were, without the lines of the log, and what is out.
struct Day<'a> {
    naming: &'a Naming,
    bench: Bench,
    out: VecDeque<(String, u32, EngineId)>,
    attempts: std::collections::BTreeMap<String, u32>,
    asked: usize,
}

impl Day<'_> {
    fn play(&mut self, step: &Step) -> Vec<String> {
        let actions = match step {
            Step::Ask { class, tenant, tables, work } => {
                self.asked += 1;
                let id = format!("r{}", self.asked);
                let place = self.naming.order[*class];
                let left = self.bench_deadline(place);
                self.bench.arrive(Request {
                    tenant: Some(self.naming.tenants[*tenant].into()),
                    key: (*class == 2).then(|| format!("k{}", tables % 3).into()),
                    work_hint: Some(ms(*work)),
                    memory_hint_mb: Some([50.0, 4000.0, 2000.0, 100.0][*class]),
                    ..request(&id, place, *tables, left)
                })
            }
            Step::End(outcome) => match self.out.pop_front() {
                Some((id, attempt, engine)) => self.bench.close(&id, attempt, &engine, *outcome, 60),
                None => Vec::new(),
            },
            Step::Note(note) => match self.out.back().cloned() {
                Some((id, attempt, engine)) => self.bench.note(&id, attempt, &engine, *note),
                None => Vec::new(),
            },
            Step::Leave(back) => {
                let id = format!("r{}", self.asked.saturating_sub(*back));
                self.bench.tell(Event::ClientGone(request(&id, 0, 0, 0).id))
            }
            Step::Grow => self.bench.tell(list(ListKind::Full, members(self.naming, true))),
            Step::Pass(millis) => self.bench.pass(*millis),
        };
        self.keep(&actions);
        let told = actions.iter().filter(|action| !matches!(action, Action::Log(_)));
        told.map(|action| format!("{action:?}")).collect()
    }

    fn bench_deadline(&self, place: usize) -> u64 {
        deployment(self.naming).classes[place].deadline.as_millis() as u64
    }

    fn keep(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Forward { request, engine, .. } => {
                    let id = request.0.to_string();
                    let attempt = *self.attempts.entry(id.clone()).and_modify(|n| *n += 1).or_insert(0);
                    self.out.push_back((id, attempt, engine.clone()));
                }
                Action::Cancel { request, attempt } => {
                    self.out.retain(|(id, no, _)| *id != *request.0 || *no != attempt.0);
                }
                _ => {}
            }
        }
    }
}

fn day(naming: &Naming) -> Day<'_> {
    Day {
        naming,
        bench: Bench::new(deployment(naming), members(naming, false)),
        out: VecDeque::new(),
        attempts: Default::default(),
        asked: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn other_names_and_another_order_of_classes_change_no_decision(steps in prop::collection::vec(step(), 1..400)) {
        let (mut plain, mut other) = (day(&PLAIN), day(&OTHER));
        for (number, step) in steps.iter().enumerate() {
            prop_assert_eq!(plain.play(step), other.play(step), "step {}: {:?}", number, step);
        }
    }
}
