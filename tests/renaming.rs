//! Property test: renaming classes, tenants and zones, or listing the classes in another order, changes no decision of
//! the gateway. Engine ids are the same in both runs, because the placement of table groups hashes the engine ids and
//! would change with them.

mod common;

use beamgap::*;
use common::{list, member, ms, request, settings, Bench};
use proptest::prelude::*;
use std::collections::VecDeque;

const CLASSES: usize = 4;

/// The names and the order of classes of one deployment. The two deployments under test differ in nothing else.
struct Naming {
    classes: [&'static str; CLASSES],
    /// For each class, its index in the list of classes in the settings.
    order: [usize; CLASSES],
    tenants: [&'static str; 2],
    zones: [&'static str; 3],
}

const BASELINE: Naming = Naming {
    classes: ["lookup", "report", "delivery-load", "feed"],
    order: [0, 1, 2, 3],
    tenants: ["leinster", "munster"],
    zones: ["a", "b", "c"],
};

const RENAMED: Naming = Naming {
    classes: ["z", "delivery-load", "lookup", "ŋ ñ"],
    order: [2, 0, 3, 1],
    tenants: ["munster", "zz"],
    zones: ["room-9", "a", "B"],
};

fn class(index: usize, name: &str) -> ClassSettings {
    let aims = [500, 3000, 3000, 1000];
    let mut class = ClassSettings::plain(name, ms(aims[index]), ms([2500, 15_000, 25_000, 6000][index]));
    class.priority_weight = [1.0, 20.0, 30.0, 4.0][index];
    class.threads = [1.0, 3.0, 2.0, 1.0][index];
    class.late_weight = [0.1, 0.3, 0.6, 0.0][index];
    class.repeat = match index {
        2 => Repeat::Unsafe,
        3 => Repeat::Keyed { group: RepeatGroup::Zone, window: ms(1500) },
        _ => Repeat::Safe,
    };
    (class.locks_tables, class.in_order) = (index == 2, index == 2);
    class
}

fn deployment(naming: &Naming) -> Settings {
    let mut classes = vec![ClassSettings::plain("", ms(1), ms(1)); CLASSES];
    for index in 0..CLASSES {
        classes[naming.order[index]] = class(index, naming.classes[index]);
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

fn members(naming: &Naming, grown: bool) -> Vec<EngineEntry> {
    let of = |i: usize| {
        let started = (grown && i >= 4).then(|| ms(4000));
        EngineEntry { zone: naming.zones[i % 3].into(), started, ..member(&format!("10.0.0.{i}:70")) }
    };
    (0..if grown { 7 } else { 5 }).map(of).collect()
}

/// One random step of a run: a request arrives; the oldest attempt in flight ends; the newest attempt in flight reports
/// progress; a client disconnects; the list of engines grows; or the clock advances.
#[derive(Clone, Debug)]
enum Step {
    Arrive { class: usize, tenant: usize, tables: u64, work: u64 },
    End(Outcome),
    Progress(Progress),
    Disconnect(usize),
    AddEngines,
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let ask = (0..CLASSES, 0..2usize, 0..9u64, 20..4000u64);
    prop_oneof![
        6 => ask.prop_map(|(class, tenant, tables, work)| Step::Arrive { class, tenant, tables, work }),
        4 => Just(Step::End(Outcome::Served)),
        1 => prop::sample::select(vec![Outcome::Overloaded, Outcome::Error, Outcome::Reset]).prop_map(Step::End),
        1 => Just(Step::Progress(Progress::WaitsForMemory)),
        1 => (0..50usize).prop_map(Step::Disconnect),
        1 => Just(Step::AddEngines),
        6 => (1..400u64).prop_map(Step::Advance),
    ]
}

/// One gateway under test with its attempts in flight. Each step returns the gateway's actions without log events.
struct GatewayRun<'a> {
    naming: &'a Naming,
    bench: Bench,
    in_flight: VecDeque<(String, u32, EngineId)>,
    attempts: std::collections::BTreeMap<String, u32>,
    arrived: usize,
}

impl GatewayRun<'_> {
    fn apply(&mut self, step: &Step) -> Vec<String> {
        let actions = match step {
            Step::Arrive { class, tenant, tables, work } => {
                self.arrived += 1;
                let id = format!("r{}", self.arrived);
                let index = self.naming.order[*class];
                let left = self.class_deadline(index);
                self.bench.arrive(Request {
                    tenant: Some(self.naming.tenants[*tenant].into()),
                    key: (*class == 2).then(|| format!("k{}", tables % 3).into()),
                    work_hint: Some(ms(*work)),
                    memory_hint_mb: Some([50.0, 4000.0, 2000.0, 100.0][*class]),
                    ..request(&id, index, *tables, left)
                })
            }
            Step::End(outcome) => match self.in_flight.pop_front() {
                Some((id, attempt, engine)) => self.bench.close(&id, attempt, &engine, *outcome, 60),
                None => Vec::new(),
            },
            Step::Progress(note) => match self.in_flight.back().cloned() {
                Some((id, attempt, engine)) => self.bench.note(&id, attempt, &engine, *note),
                None => Vec::new(),
            },
            Step::Disconnect(back) => {
                let id = format!("r{}", self.arrived.saturating_sub(*back));
                self.bench.tell(Event::ClientGone(request(&id, 0, 0, 0).id))
            }
            Step::AddEngines => self.bench.tell(list(ListKind::Full, members(self.naming, true))),
            Step::Advance(millis) => self.bench.pass(*millis),
        };
        self.record_attempts(&actions);
        let decisions = actions.iter().filter(|action| !matches!(action, Action::Log(_)));
        decisions.map(|action| format!("{action:?}")).collect()
    }

    fn class_deadline(&self, index: usize) -> u64 {
        deployment(self.naming).classes[index].deadline.as_millis() as u64
    }

    fn record_attempts(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Forward { request, engine, .. } => {
                    let id = request.0.to_string();
                    let attempt = *self.attempts.entry(id.clone()).and_modify(|n| *n += 1).or_insert(0);
                    self.in_flight.push_back((id, attempt, engine.clone()));
                }
                Action::Cancel { request, attempt } => {
                    self.in_flight.retain(|(id, no, _)| *id != *request.0 || *no != attempt.0);
                }
                _ => {}
            }
        }
    }
}

fn start_run(naming: &Naming) -> GatewayRun<'_> {
    GatewayRun {
        naming,
        bench: Bench::new(deployment(naming), members(naming, false)),
        in_flight: VecDeque::new(),
        attempts: Default::default(),
        arrived: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn other_names_and_another_order_of_classes_change_no_decision(steps in prop::collection::vec(step(), 1..400)) {
        let (mut baseline, mut renamed) = (start_run(&BASELINE), start_run(&RENAMED));
        for (number, step) in steps.iter().enumerate() {
            prop_assert_eq!(baseline.apply(step), renamed.apply(step), "decisions at step {}: {:?}", number, step);
        }
    }
}
