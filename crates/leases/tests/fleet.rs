//! 300 members and up to 1,000 leases on a set clock, with one leader's state and commits that take no time. The promises are
//! those of `docs/leases.md`.

use beamgap_leases::leader::{Lead, CALM};
use beamgap_leases::member::Holder;
use beamgap_leases::spec::{Spec, Unknown, When};
use beamgap_leases::state::{Command, Outcome, State};
use beamgap_leases::{Clocks, Plant, Token};
use proptest::prelude::*;
use std::collections::BTreeMap;

const LEASE: f64 = 5000.0;
const ASKS: f64 = 830.0; // ms between a member's questions

struct Fleet {
    now: f64,
    state: State,
    lead: Lead,
    members: Vec<Option<Holder>>,
    lives: u64,
    /// Answers that told a list, and all.
    told: (usize, usize),
}

impl Fleet {
    fn new(members: usize, tasks: usize) -> Fleet {
        let mut state = State::default();
        let spec = |n| Spec { lease: LEASE, ..Spec::new(&format!("t{n}"), When::Always, "") };
        state.apply(&Command::Define((0..tasks).map(spec).collect()));
        let mut lead = Lead::new(Clocks::default(), Plant::None);
        lead.role(0.0, true);
        let mut fleet = Fleet { now: 0.0, state, lead, members: Vec::new(), lives: 0, told: (0, 0) };
        fleet.members = (0..members).map(|_| None).collect();
        (0..members).for_each(|m| fleet.start(m));
        fleet
    }

    fn start(&mut self, member: usize) {
        self.lives += 1;
        self.members[member] = Some(Holder::new((format!("m{member}"), self.lives), "", Plant::None));
    }

    /// A tenth of a second passes: members whose turn it is ask, the leader looks.
    fn step(&mut self) {
        self.now += 100.0;
        let mut wants = Vec::new();
        for (m, holder) in self.members.iter_mut().enumerate() {
            let Some(holder) = holder else { continue };
            if ((self.now + m as f64 * 37.0) % ASKS) >= 100.0 {
                continue;
            }
            let reply = self.lead.answer(self.now, &self.state, &holder.ask());
            self.told.1 += 1;
            self.told.0 += usize::from(reply.list.is_some());
            holder.reply(self.now, reply);
            wants.extend(holder.wants(self.now, false));
        }
        for command in wants.into_iter().chain(self.lead.tick(self.now, None, &self.state)) {
            self.state.apply(&command);
        }
    }

    /// Promise 1, at this moment: who holds which task.
    fn holders(&self) -> BTreeMap<String, (usize, Token)> {
        let mut held = BTreeMap::new();
        for (m, holder) in self.members.iter().enumerate() {
            let Some(holder) = holder else { continue };
            for (told, _) in holder.holds(self.now) {
                let other = held.insert(told.task.clone(), (m, told.token));
                assert_eq!(other, None, "{} is held by two at {}", told.task, self.now);
            }
        }
        held
    }

    fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
            self.holders();
        }
    }
}

#[test]
fn promise_5_a_thousand_leases_of_three_hundred_members_spread_and_cost_no_messages() {
    let mut fleet = Fleet::new(300, 1000);
    fleet.run(3000.0);
    let mut each: BTreeMap<usize, usize> = BTreeMap::new();
    fleet.holders().values().for_each(|(m, _)| *each.entry(*m).or_default() += 1);
    let (least, most) = (each.values().min().unwrap(), each.values().max().unwrap());
    assert_eq!((each.len(), fleet.holders().len()), (300, 1000));
    assert!(most - least <= 1, "from {least} to {most} each");
    let before = (fleet.told, fleet.state.clone());
    fleet.run(10_000.0);
    let (told, asked) = (fleet.told.0 - before.0 .0, fleet.told.1 - before.0 .1);
    assert_eq!(fleet.state, before.1, "at rest nothing goes to the log");
    assert_eq!(told, 0, "of {asked} answers none repeats a list that is known");
}

#[test]
fn promises_1_and_3_one_of_three_hundred_dies_each_second_and_what_it_held_moves_in_time() {
    let mut fleet = Fleet::new(300, 300);
    fleet.run(CALM + 1000.0);
    let mut lost: BTreeMap<String, f64> = BTreeMap::new();
    let mut longest = 0.0f64;
    for second in 0..30 {
        let dies = second * 7;
        for (task, (member, _)) in fleet.holders() {
            if member == dies {
                lost.insert(task, fleet.now);
            }
        }
        fleet.members[dies] = None;
        for _ in 0..10 {
            fleet.step();
            let held = fleet.holders();
            lost.retain(|task, at| {
                let moved = held.contains_key(task);
                if moved {
                    longest = longest.max(fleet.now - *at);
                }
                !moved
            });
        }
    }
    println!("longest without a holder: {longest:.0} ms, lease {LEASE:.0} ms");
    assert!(longest > 0.0 && longest <= LEASE + 2000.0, "{longest}");
    assert!(lost.values().all(|at| fleet.now - at <= LEASE + 2000.0), "{lost:?}");
}

#[test]
fn promise_5_one_that_flaps_collects_nothing_while_others_are_there() {
    let mut fleet = Fleet::new(4, 40);
    fleet.run(CALM + 1000.0);
    fleet.members[0] = None;
    fleet.run(LEASE * 1.5);
    let tokens = fleet.state.tokens;
    for _ in 0..5 {
        fleet.start(0);
        fleet.run(2000.0);
        assert!(fleet.holders().values().all(|(m, _)| *m != 0), "it is not trusted with anything yet");
        fleet.members[0] = None;
        fleet.run(1000.0);
    }
    assert_eq!(fleet.state.tokens, tokens, "no lease moved for its sake");
}

#[test]
fn promise_3_a_member_that_drains_hands_over_within_two_of_its_questions() {
    let mut fleet = Fleet::new(3, 30);
    fleet.run(CALM + 1000.0);
    fleet.members[1].as_mut().unwrap().drain();
    fleet.run(2.0 * ASKS + 200.0);
    let held = fleet.holders();
    assert!(held.values().all(|(m, _)| *m != 1), "{held:?}");
    fleet.run(ASKS);
    assert_eq!(fleet.holders().len(), 30, "others hold them");
}

#[test]
fn a_task_that_is_taken_out_and_put_back_waits_for_the_end_of_its_lease() {
    let mut fleet = Fleet::new(2, 1);
    fleet.run(2000.0);
    let spec = fleet.state.tasks["t0"].spec.clone();
    let holder = fleet.holders()["t0"].0;
    let silent = fleet.members[holder].take(); // It hears nothing of this.
    fleet.state.apply(&Command::Define(Vec::new()));
    fleet.state.apply(&Command::Define(vec![spec]));
    for _ in 0..60 {
        fleet.step();
        let holds = |h: &Holder| h.holds(fleet.now).count();
        let both = silent.as_ref().map_or(0, holds) + fleet.holders().len();
        assert!(both <= 1, "two hold it at {}", fleet.now);
    }
    assert_eq!(fleet.holders().len(), 1, "it moved in the end");
}

fn command() -> impl Strategy<Value = Command> {
    let task = || prop_oneof![Just("a".to_owned()), Just("b".to_owned()), Just("none".to_owned())];
    let outcome = prop_oneof![
        Just(Outcome::Done),
        Just(Outcome::NeverRan("x".to_owned())),
        Just(Outcome::Unknown("y".to_owned()))
    ];
    prop_oneof![
        (task(), 0..3u64).prop_map(|(task, life)| Command::Grant { task, who: ("m".to_owned(), life) }),
        (task(), 0..8u64).prop_map(|(task, token)| Command::End { task, token }),
        (task(), 0..4u64).prop_map(|(task, run)| Command::Start { task, run, day: 0 }),
        (task(), 0..8u64, 0..4u64, 0..3u32).prop_map(|(task, token, run, step)| Command::Begin {
            task,
            token,
            run,
            step
        }),
        (task(), 0..8u64, 0..3u32, outcome).prop_map(|(task, token, step, outcome)| Command::Record {
            task,
            token,
            step,
            outcome
        }),
        (task(), any::<bool>()).prop_map(|(task, paused)| Command::Pause { task, paused }),
        any::<bool>().prop_map(|a| Command::Forbid(if a { vec!["a".to_owned()] } else { Vec::new() })),
    ]
}

proptest! {
    #[test]
    fn promises_1_and_4_whatever_commands_come_tokens_grow_and_the_record_goes_one_way(
        commands in prop::collection::vec(command(), 1..120),
        unknown in prop_oneof![Just(Unknown::Halt), Just(Unknown::Skip)],
    ) {
        let mut state = State::default();
        let spec = |name| Spec { steps: 3, unknown, ..Spec::new(name, When::Asked, "") };
        state.apply(&Command::Define(vec![spec("a"), spec("b")]));
        let mut before = state.clone();
        for command in commands {
            state.apply(&command);
            prop_assert!(state.tokens >= before.tokens && state.changes >= before.changes);
            for (name, task) in &state.tasks {
                let old = &before.tasks[name];
                if let (Some(new), true) = (&task.lease, task.lease != old.lease) {
                    prop_assert!(old.lease.is_none(), "nobody is put out of a lease that is not over");
                    prop_assert_eq!(new.token, state.tokens);
                }
                if let (Some(run), Some(was)) = (&task.run, &old.run) {
                    prop_assert!(run.no != was.no || run.next >= was.next);
                    // A step is begun once more only when it is told never to have run.
                    let open = run.open.is_some() && was.open.is_none();
                    let last = task.record.iter().rev().find(|s| s.run == run.no && s.step == run.next);
                    prop_assert!(!open || last.is_none_or(|s| matches!(s.outcome, Outcome::NeverRan(_))));
                }
                if let Some(lease) = &task.lease {
                    prop_assert!(task.run.as_ref().and_then(|run| run.open).is_none_or(|open| open == lease.token));
                }
            }
            before = state.clone();
        }
    }
}
