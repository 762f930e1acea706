//! The standing days in one process on a set clock: 300 front ends before 80 engines, and what their failures add up to.
//! Each bound is asserted over all front ends together, since none of them sees more than its own part.

mod common;
#[path = "common/stage.rs"]
mod stage;

use beamgap::node::discovery::DiscoveryClient;
use beamgap::node::timer_queue::TimerQueue;
use beamgap::*;
use common::{engine, list, member, ms, request, settings, Bench};
use stage::Stage;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;

const FRONTS: u32 = 300;
const ENGINES: usize = 80;
const STEP: u64 = 25;
const WORK: [u64; 2] = [100, 1000]; // of a light request and a heavy one, in milliseconds on one core

fn engines(n: usize) -> Vec<EngineEntry> {
    (0..n)
        .map(|i| EngineEntry { zone: ["a", "b", "c"][i % 3].into(), ..member(&format!("10.0.0.{i}:70")) })
        .collect()
}

fn one_of(me: u32) -> Settings {
    let cold =
        SlowStart { start_share: 0.3, warm_within: ms(15_000), fall_multiple: 3.0, fall_span: ms(1500) };
    let zone = Some(["a", "b", "c"][me as usize % 3].to_owned());
    Settings { own_number: me, zone, slow_start: Some(cold), gateways: FRONTS, hedging: false, ..settings() }
}

/// An attempt that came to an engine.
struct Came {
    at: u64,
    front: usize,
    engine: EngineId,
    work: u64,
}

#[derive(Default)]
struct Seen {
    came: Vec<Came>,
    asked: usize,
    served: usize,
    refused: usize,
    failed: usize,
}

impl Seen {
    fn from(&self, at: u64) -> impl Iterator<Item = &Came> {
        self.came.iter().filter(move |c| c.at >= at)
    }
    fn by_engine(&self, at: u64) -> BTreeMap<&EngineId, usize> {
        let mut by = BTreeMap::new();
        self.from(at).for_each(|c| *by.entry(&c.engine).or_default() += 1);
        by
    }
}

/// How an attempt that came to an engine at a time ends, by its class, and after how many milliseconds.
type Answers<'a> = Box<dyn Fn(u64, &EngineId, usize) -> (Outcome, u64) + 'a>;

/// The end of an attempt to come: the front end (and which life of it), the request, its attempt, the engine, and how.
type End = (usize, u32, String, u32, EngineId, Outcome);

/// Front ends as modules, engines as what they answer, one clock for all.
struct World<'a> {
    fronts: Vec<Bench>,
    now: u64,
    /// What ends when.
    ends: BTreeMap<(u64, u64), End>,
    lives: Vec<u32>,
    attempts: BTreeMap<String, u32>,
    classes: BTreeMap<String, usize>,
    seen: Seen,
    number: u64,
    answers: Answers<'a>,
}

impl<'a> World<'a> {
    fn new(answers: impl Fn(u64, &EngineId, usize) -> (Outcome, u64) + 'a) -> World<'a> {
        let born = |me| Bench::born(one_of(me), u64::from(me) + 1, ms(1000), engines(ENGINES));
        World {
            fronts: (0..FRONTS).map(born).collect(),
            now: 1000,
            ends: BTreeMap::new(),
            lives: vec![0; FRONTS as usize],
            attempts: BTreeMap::new(),
            classes: BTreeMap::new(),
            seen: Seen::default(),
            number: 0,
            answers: Box::new(answers),
        }
    }

    /// Kills a front end and starts it from nothing with this list. What it had out is no more.
    fn restart(&mut self, front: usize, members: Vec<EngineEntry>) {
        self.lives[front] += 1;
        let seed = u64::from(self.lives[front]) << 32 | front as u64;
        self.fronts[front] = Bench::born(one_of(front as u32), seed, ms(self.now), members);
    }

    fn tell(&mut self, members: &[EngineEntry]) {
        for front in 0..self.fronts.len() {
            let done = self.fronts[front].tell(list(ListKind::Changes, members.to_vec()));
            self.take(front, done);
        }
    }

    fn take(&mut self, front: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Forward { request, engine, .. } => {
                    let id = request.0.to_string();
                    let attempt = *self.attempts.entry(id.clone()).and_modify(|n| *n += 1).or_insert(0);
                    let class = self.classes[&id];
                    let work = WORK[class];
                    self.seen.came.push(Came { at: self.now, front, engine: engine.clone(), work });
                    let (outcome, after) = (self.answers)(self.now, &engine, class);
                    self.number += 1;
                    let end = (front, self.lives[front], id, attempt, engine, outcome);
                    self.ends.insert((self.now + after, self.number), end);
                }
                Action::Reject { .. } => self.seen.refused += 1,
                Action::Fail { .. } => self.seen.failed += 1,
                _ => {}
            }
        }
    }

    fn close(&mut self, front: usize, id: &str, attempt: u32, at: EngineId, outcome: Outcome) -> Vec<Action> {
        let class = self.classes[id];
        let served = outcome == Outcome::Served;
        let cost = TrueCost { work: ms(WORK[class]), memory_mb: [40.0, 1000.0][class] };
        self.fronts[front].tell(Event::AttemptEnded(AttemptEnd {
            request: request(id, class, 0, 0).id,
            attempt: Attempt(attempt),
            engine: at,
            outcome,
            latency: ms(if served { [100, 250][class] } else { 5 }),
            request_answered: served,
            cost: Some(cost).filter(|_| served),
            report: None,
        }))
    }

    /// So many milliseconds of traffic: ten light requests a second and a heavy one in two and a half seconds at each
    /// front end, some three times as many at each tenth: four fifths of what the engines can do.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP {
            self.now += STEP;
            for front in 0..self.fronts.len() {
                let done = self.fronts[front].pass(STEP);
                self.take(front, done);
            }
            while let Some(end) = self.ends.first_entry().filter(|end| end.key().0 <= self.now) {
                let (front, life, id, attempt, engine, outcome) = end.remove();
                if life == self.lives[front] {
                    self.seen.served += usize::from(outcome == Outcome::Served);
                    let done = self.close(front, &id, attempt, engine, outcome);
                    self.take(front, done);
                }
            }
            for front in 0..self.fronts.len() {
                let often = if front % 10 == 0 { 3 } else { 1 };
                // Evenly spread in time, each front end at moments of its own.
                let beat = self.now / STEP + front as u64 * 7;
                for (class, every) in [(0, 4 / often), (1, 100 / often)] {
                    if !beat.is_multiple_of(every) {
                        continue;
                    }
                    self.seen.asked += 1;
                    let id = format!("{front}-{}-{class}", self.now);
                    self.classes.insert(id.clone(), class);
                    let ask = Request {
                        work_hint: Some(ms(WORK[class])),
                        memory_hint_mb: Some([40.0, 1000.0][class]),
                        ..request(&id, class, beat % 24, [4000, 20_000][class])
                    };
                    let done = self.fronts[front].arrive(ask);
                    self.take(front, done);
                }
            }
        }
    }
}

fn well(_: u64, _: &EngineId, class: usize) -> (Outcome, u64) {
    (Outcome::Served, [100, 250][class])
}

#[test]
fn three_hundred_front_ends_use_eighty_engines_evenly_and_refuse_nothing() {
    let mut w = World::new(well);
    w.run(5000);
    let by = w.seen.by_engine(2000);
    let busiest = by.values().max().copied().unwrap_or(0) as f64;
    let mean = by.values().sum::<usize>() as f64 / ENGINES as f64;
    assert!(by.len() >= 76, "{} of {ENGINES} engines were used", by.len());
    assert!(busiest <= 2.2 * mean, "{busiest} came to one engine, {mean} to each in the mean");
    assert_eq!((w.seen.refused, w.seen.failed), (0, 0));
    let attempts = w.seen.came.len() as f64 / w.seen.asked as f64;
    assert!(attempts <= 1.02, "{attempts} attempts for each request");
}

#[test]
fn seven_in_ten_that_start_from_nothing_at_once_neither_crowd_one_engine_nor_feed_a_bad_one() {
    let bad = |e: &EngineId| engines(ENGINES).iter().step_by(8).any(|m| m.engine == *e);
    let mut w = World::new(|now, e, class| match bad(e) && now > 2500 {
        true => (Outcome::Error, 10),
        false => well(now, e, class),
    });
    w.run(2000);
    for front in (0..FRONTS as usize).filter(|f| f % 10 < 7) {
        w.restart(front, engines(ENGINES));
    }
    let from = w.now;
    w.run(5000);
    for second in 0..5 {
        let of = |c: &&Came| c.at < from + 1000 * (second + 1);
        let mut by: BTreeMap<&EngineId, usize> = BTreeMap::new();
        w.seen.from(from + 1000 * second).filter(of).for_each(|c| *by.entry(&c.engine).or_default() += 1);
        let mean = by.values().sum::<usize>() as f64 / ENGINES as f64;
        let busiest = by.values().max().copied().unwrap_or(0) as f64;
        assert!(busiest <= 3.2 * mean, "second {second}: {busiest} at one engine, {mean} in the mean");
    }
    // One in eight is bad. Each costs each front end a few requests until it is known; what follows are trials.
    let late = w.seen.from(from + 4000).filter(|c| bad(&c.engine)).count() as f64;
    let all = w.seen.from(from + 4000).count() as f64;
    let by_one = |f: usize| w.seen.from(from).filter(|c| c.front == f && bad(&c.engine)).count();
    let most = (0..FRONTS as usize).map(by_one).max().unwrap_or(0);
    assert!(late / all <= 0.085, "{late} of {all} attempts still go to bad engines in the fifth second");
    assert!(most <= 36, "one front end sent {most} requests to ten bad engines");
    let unserved = (w.seen.refused + w.seen.failed) as f64 / w.seen.asked as f64;
    assert!(unserved <= 0.01, "{unserved} of all were not served");
}

#[test]
fn a_restart_in_tenths_while_half_the_engines_are_replaced_keeps_off_drains_and_off_the_cold() {
    let mut w = World::new(well);
    w.run(1500);
    let (mut members, mut drained) = (engines(ENGINES), BTreeMap::new());
    let mut started = BTreeMap::new();
    for tenth in 0..10 {
        let mut news = Vec::new();
        for i in (0..4).map(|i| tenth * 4 + i) {
            members[2 * i].state = EngineState::Draining;
            drained.insert(members[2 * i].engine.clone(), w.now);
            let zone = members[2 * i].zone.clone();
            let new = EngineEntry { zone, started: Some(ms(w.now)), ..member(&format!("10.0.1.{i}:70")) };
            started.insert(new.engine.clone(), w.now);
            news.extend([members[2 * i].clone(), new.clone()]);
            members.push(new);
        }
        w.tell(&news);
        for front in (0..FRONTS as usize).filter(|f| f % 10 == tenth) {
            w.restart(front, members.clone());
        }
        w.run(700);
    }
    let to_drained = w.seen.came.iter().filter(|c| drained.get(&c.engine).is_some_and(|at| c.at > *at));
    assert_eq!(to_drained.count(), 0, "requests to engines that drain");
    // What all front ends together sent a cold engine within the span, against what would fell it.
    let mut worst = 0.0f64;
    for (id, start) in &started {
        let sent: Vec<&Came> = w.seen.came.iter().filter(|c| c.engine == *id).collect();
        for from in &sent {
            let within = sent.iter().filter(|c| c.at >= from.at && c.at < from.at + 1500);
            let work: u64 = within.map(|c| c.work).sum();
            let share = 0.3 + 0.7 * ((from.at - start) as f64 / 15_000.0).min(1.0);
            worst = worst.max(work as f64 / (3.0 * share * 8.0 * 1500.0));
        }
    }
    assert!(worst <= 0.6, "a cold engine was sent {worst:.2} times what fells it");
    let used: BTreeSet<_> =
        w.seen.came.iter().filter(|c| started.contains_key(&c.engine)).map(|c| &c.engine).collect();
    assert!(used.len() >= 36, "{} of 40 new engines were used at all", used.len());
    assert!(w.seen.refused * 500 <= w.seen.asked && w.seen.failed == 0, "{} refused", w.seen.refused);
}

#[test]
fn an_engine_whose_table_is_full_costs_no_request_and_is_not_dialled_again_in_step() {
    // It takes no further connection from anybody; a refused connection proves that nothing ran, for loads too.
    let full: Vec<EngineId> = (0..8).map(|i| engine(&format!("10.0.0.{i}:70"))).collect();
    let mut w = World::new(|now, e, class| match full.contains(e) && now > 2000 {
        true => (Outcome::ConnectFailed, 1),
        false => well(now, e, class),
    });
    w.run(6000);
    assert_eq!((w.seen.refused, w.seen.failed), (0, 0), "another engine is free");
    let dials: Vec<u64> = w.seen.from(2025).filter(|c| full.contains(&c.engine)).map(|c| c.at).collect();
    let each = dials.len() as f64 / f64::from(FRONTS) / full.len() as f64;
    assert!(each <= 0.75, "{each} dials for each front end and full engine within 5 s");
    // After the first second, in which they find out: no step in which the fleet comes together.
    let mut by_step: BTreeMap<u64, usize> = BTreeMap::new();
    dials.iter().filter(|at| **at > 3000).for_each(|at| *by_step.entry(at / STEP).or_default() += 1);
    let most = by_step.values().max().copied().unwrap_or(0);
    let mean = by_step.values().sum::<usize>() as f64 / 160.0;
    assert!(most as f64 <= 3.0 * mean + 2.0, "{most} dials in one step, {mean} in the mean");
}

#[test]
fn a_bulletin_that_stops_is_dialled_again_by_all_but_not_in_step() {
    // 300 front ends started together lose it together. All had one clock for their tries: 300 dials in one moment.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let mut poll = mio::Poll::new().unwrap();
    let mut events = mio::Events::with_capacity(1024);
    let mut all: Vec<(DiscoveryClient, TimerQueue, bool)> = (0..FRONTS)
        .map(|me| {
            (
                DiscoveryClient::new(address, Vec::new(), Vec::new(), 1, u64::from(me)),
                TimerQueue::default(),
                false,
            )
        })
        .collect();
    let mut dials: Vec<usize> = Vec::new();
    for step in 0..150u32 {
        let now = f64::from(step) * 20.0;
        for (bulletin, timers, begun) in &mut all {
            if !*begun || timers.pop(now).is_some() {
                *begun = true;
                bulletin.look(now, poll.registry(), timers);
            }
        }
        // It takes each connection and ends it at once.
        let mut came = 0;
        while let Ok((stream, _)) = listener.accept() {
            came += 1;
            drop(stream);
        }
        dials.push(came);
        poll.poll(&mut events, Some(std::time::Duration::ZERO)).unwrap();
        for event in &events {
            if let Some(beamgap::node::reactor::SocketOwner::Bulletin(generation)) =
                beamgap::node::reactor::SocketOwner::of(event.token())
            {
                all.iter_mut().for_each(|(bulletin, ..)| drop(bulletin.ready(now, generation)));
            }
        }
    }
    let later = &dials[25..]; // Half a second for the first, which come at the start.
    let (most, sum) = (later.iter().max().copied().unwrap_or(0), later.iter().sum::<usize>());
    assert!(most <= 60, "{most} of 300 dialled within 20 ms; {dials:?}");
    assert!(sum >= 300, "{sum} dials in two and a half seconds: it is looked for again");
    assert!(sum <= 300 * 12, "{sum} dials in two and a half seconds");
}

#[test]
fn more_engines_than_descriptors_are_served_within_the_descriptors() {
    // 32 descriptors: half for clients, four for engines, of which there are ten times as many.
    let mut stage = Stage::with_limits(40, r#"{"memory_mb":32,"sockets":32}"#);
    for i in 0..60 {
        stage.go(&format!(
            "c1 send ask {} lookup 2500 select 1 from s_{i}.t
            w expect want *
            w send c1-{} served pages=1 x\\t\\t\\n
            c1 expect {} served x\\t\\t\\n",
            i + 1,
            i + 1,
            i + 1
        ));
        stage.turn();
        let open = stage.houses.iter().flat_map(|h| &h.conns).filter(|peer| !peer.closed).count();
        assert!(open <= 4, "{open} connections to engines after request {i}");
    }
    let used = stage.houses.iter().filter(|h| !h.conns.is_empty()).count();
    assert!(used >= 10, "{used} engines were used: those without a connection are no worse");
}
