//! Load and failure scenarios of 300 front ends and 80 engines, in one process and under a simulated clock. Bounds
//! are asserted over all front ends together, because each front end sees only its own share of the traffic.

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
const STEP_MS: u64 = 25;
const WORK_MS: [u64; 2] = [100, 1000]; // Work of a light and of a heavy request, in milliseconds of one core.

fn engines(n: usize) -> Vec<EngineEntry> {
    (0..n)
        .map(|i| EngineEntry { zone: ["a", "b", "c"][i % 3].into(), ..member(&format!("10.0.0.{i}:70")) })
        .collect()
}

fn front_end_settings(me: u32) -> Settings {
    let cold =
        SlowStart { start_share: 0.3, warm_within: ms(15_000), fall_multiple: 3.0, fall_span: ms(1500) };
    let zone = Some(["a", "b", "c"][me as usize % 3].to_owned());
    Settings { own_number: me, zone, slow_start: Some(cold), gateways: FRONTS, hedging: false, ..settings() }
}

/// An attempt that an engine received.
struct Arrival {
    at: u64,
    front: usize,
    engine: EngineId,
    work: u64,
}

#[derive(Default)]
struct Stats {
    arrivals: Vec<Arrival>,
    requests: usize,
    served: usize,
    refused: usize,
    failed: usize,
}

impl Stats {
    fn since(&self, at: u64) -> impl Iterator<Item = &Arrival> {
        self.arrivals.iter().filter(move |c| c.at >= at)
    }
    fn by_engine(&self, at: u64) -> BTreeMap<&EngineId, usize> {
        let mut by = BTreeMap::new();
        self.since(at).for_each(|c| *by.entry(&c.engine).or_default() += 1);
        by
    }
}

/// Model of the engines: maps time, engine and request class to an attempt's outcome and duration in milliseconds.
type EngineModel<'a> = Box<dyn Fn(u64, &EngineId, usize) -> (Outcome, u64) + 'a>;

/// Scheduled end of an attempt: front end, its incarnation, request id, attempt number, engine, outcome.
type ScheduledEnd = (usize, u32, String, u32, EngineId, Outcome);

/// All front ends, the model of the engines and one simulated clock.
struct Simulation<'a> {
    front_ends: Vec<Bench>,
    now: u64,
    /// Scheduled ends of attempts, by time in milliseconds and then by sequence number.
    ends: BTreeMap<(u64, u64), ScheduledEnd>,
    incarnations: Vec<u32>,
    attempts: BTreeMap<String, u32>,
    classes: BTreeMap<String, usize>,
    stats: Stats,
    number: u64,
    engine_model: EngineModel<'a>,
}

impl<'a> Simulation<'a> {
    fn new(engine_model: impl Fn(u64, &EngineId, usize) -> (Outcome, u64) + 'a) -> Simulation<'a> {
        let start = |me| Bench::born(front_end_settings(me), u64::from(me) + 1, ms(1000), engines(ENGINES));
        Simulation {
            front_ends: (0..FRONTS).map(start).collect(),
            now: 1000,
            ends: BTreeMap::new(),
            incarnations: vec![0; FRONTS as usize],
            attempts: BTreeMap::new(),
            classes: BTreeMap::new(),
            stats: Stats::default(),
            number: 0,
            engine_model: Box::new(engine_model),
        }
    }

    /// Restarts a front end as a new incarnation whose only state is this engine list. Its open attempts are dropped.
    fn restart(&mut self, front: usize, members: Vec<EngineEntry>) {
        self.incarnations[front] += 1;
        let seed = u64::from(self.incarnations[front]) << 32 | front as u64;
        self.front_ends[front] = Bench::born(front_end_settings(front as u32), seed, ms(self.now), members);
    }

    /// Sends this change of the engine list to all front ends.
    fn broadcast(&mut self, members: &[EngineEntry]) {
        for front in 0..self.front_ends.len() {
            let done = self.front_ends[front].tell(list(ListKind::Changes, members.to_vec()));
            self.apply(front, done);
        }
    }

    fn apply(&mut self, front: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Forward { request, engine, .. } => {
                    let id = request.0.to_string();
                    let attempt = *self.attempts.entry(id.clone()).and_modify(|n| *n += 1).or_insert(0);
                    let class = self.classes[&id];
                    let work = WORK_MS[class];
                    self.stats.arrivals.push(Arrival { at: self.now, front, engine: engine.clone(), work });
                    let (outcome, after) = (self.engine_model)(self.now, &engine, class);
                    self.number += 1;
                    let end = (front, self.incarnations[front], id, attempt, engine, outcome);
                    self.ends.insert((self.now + after, self.number), end);
                }
                Action::Reject { .. } => self.stats.refused += 1,
                Action::Fail { .. } => self.stats.failed += 1,
                _ => {}
            }
        }
    }

    fn close(&mut self, front: usize, id: &str, attempt: u32, at: EngineId, outcome: Outcome) -> Vec<Action> {
        let class = self.classes[id];
        let served = outcome == Outcome::Served;
        let cost = TrueCost { work: ms(WORK_MS[class]), memory_mb: [40.0, 1000.0][class] };
        self.front_ends[front].tell(Event::AttemptEnded(AttemptEnd {
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

    /// Simulates traffic that uses about four fifths of the engines' capacity: ten light requests a second and one heavy
    /// request per 2.5 s at each front end; four times as many light and three times as many heavy at every tenth one.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.now += STEP_MS;
            for front in 0..self.front_ends.len() {
                let done = self.front_ends[front].pass(STEP_MS);
                self.apply(front, done);
            }
            while let Some(end) = self.ends.first_entry().filter(|end| end.key().0 <= self.now) {
                let (front, incarnation, id, attempt, engine, outcome) = end.remove();
                if incarnation == self.incarnations[front] {
                    self.stats.served += usize::from(outcome == Outcome::Served);
                    let done = self.close(front, &id, attempt, engine, outcome);
                    self.apply(front, done);
                }
            }
            for front in 0..self.front_ends.len() {
                let load_factor = if front % 10 == 0 { 3 } else { 1 };
                // Each front end has its own offset, so that the requests are spread evenly over time.
                let tick = self.now / STEP_MS + front as u64 * 7;
                for (class, every) in [(0, 4 / load_factor), (1, 100 / load_factor)] {
                    if !tick.is_multiple_of(every) {
                        continue;
                    }
                    self.stats.requests += 1;
                    let id = format!("{front}-{}-{class}", self.now);
                    self.classes.insert(id.clone(), class);
                    let ask = Request {
                        work_hint: Some(ms(WORK_MS[class])),
                        memory_hint_mb: Some([40.0, 1000.0][class]),
                        ..request(&id, class, tick % 24, [4000, 20_000][class])
                    };
                    let done = self.front_ends[front].arrive(ask);
                    self.apply(front, done);
                }
            }
        }
    }
}

fn healthy(_: u64, _: &EngineId, class: usize) -> (Outcome, u64) {
    (Outcome::Served, [100, 250][class])
}

#[test]
fn three_hundred_front_ends_use_eighty_engines_evenly_and_refuse_nothing() {
    let mut w = Simulation::new(healthy);
    w.run(5000);
    let by = w.stats.by_engine(2000);
    let busiest = by.values().max().copied().unwrap_or(0) as f64;
    let mean = by.values().sum::<usize>() as f64 / ENGINES as f64;
    assert!(by.len() >= 76, "{} of {ENGINES} engines were used", by.len());
    assert!(busiest <= 2.2 * mean, "the busiest engine received {busiest} attempts, the mean is {mean}");
    assert_eq!((w.stats.refused, w.stats.failed), (0, 0));
    let attempts = w.stats.arrivals.len() as f64 / w.stats.requests as f64;
    assert!(attempts <= 1.02, "{attempts} attempts per request");
}

#[test]
fn seven_in_ten_that_start_from_nothing_at_once_neither_crowd_one_engine_nor_feed_a_bad_one() {
    let bad = |e: &EngineId| engines(ENGINES).iter().step_by(8).any(|m| m.engine == *e);
    let mut w = Simulation::new(|now, e, class| match bad(e) && now > 2500 {
        true => (Outcome::Error, 10),
        false => healthy(now, e, class),
    });
    w.run(2000);
    for front in (0..FRONTS as usize).filter(|f| f % 10 < 7) {
        w.restart(front, engines(ENGINES));
    }
    let from = w.now;
    w.run(5000);
    for second in 0..5 {
        let of = |c: &&Arrival| c.at < from + 1000 * (second + 1);
        let mut by: BTreeMap<&EngineId, usize> = BTreeMap::new();
        w.stats.since(from + 1000 * second).filter(of).for_each(|c| *by.entry(&c.engine).or_default() += 1);
        let mean = by.values().sum::<usize>() as f64 / ENGINES as f64;
        let busiest = by.values().max().copied().unwrap_or(0) as f64;
        assert!(busiest <= 3.2 * mean, "second {second}: {busiest} to one engine, the mean is {mean}");
    }
    // One engine in eight fails every request. A front end loses a few requests to each failing engine until it detects
    // the failure; after that, the front end sends failing engines only probes.
    let late = w.stats.since(from + 4000).filter(|c| bad(&c.engine)).count() as f64;
    let all = w.stats.since(from + 4000).count() as f64;
    let by_one = |f: usize| w.stats.since(from).filter(|c| c.front == f && bad(&c.engine)).count();
    let most = (0..FRONTS as usize).map(by_one).max().unwrap_or(0);
    assert!(late / all <= 0.085, "{late} of {all} attempts in the fifth second go to failing engines");
    assert!(most <= 36, "one front end sent {most} requests to the ten failing engines");
    let unserved = (w.stats.refused + w.stats.failed) as f64 / w.stats.requests as f64;
    assert!(unserved <= 0.01, "a share of {unserved} of the requests was not served");
}

#[test]
fn a_restart_in_tenths_while_half_the_engines_are_replaced_keeps_off_drains_and_off_the_cold() {
    let mut w = Simulation::new(healthy);
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
        w.broadcast(&news);
        for front in (0..FRONTS as usize).filter(|f| f % 10 == tenth) {
            w.restart(front, members.clone());
        }
        w.run(700);
    }
    let to_drained = w.stats.arrivals.iter().filter(|c| drained.get(&c.engine).is_some_and(|at| c.at > *at));
    assert_eq!(to_drained.count(), 0, "requests were sent to draining engines");
    // Work that all front ends together send a cold engine within 1500 ms, relative to the work that would crash it.
    let mut worst = 0.0f64;
    for (id, start) in &started {
        let sent: Vec<&Arrival> = w.stats.arrivals.iter().filter(|c| c.engine == *id).collect();
        for from in &sent {
            let within = sent.iter().filter(|c| c.at >= from.at && c.at < from.at + 1500);
            let work: u64 = within.map(|c| c.work).sum();
            let share = 0.3 + 0.7 * ((from.at - start) as f64 / 15_000.0).min(1.0);
            worst = worst.max(work as f64 / (3.0 * share * 8.0 * 1500.0));
        }
    }
    assert!(worst <= 0.6, "a cold engine was sent {worst:.2} times the work that would crash it");
    let used: BTreeSet<_> =
        w.stats.arrivals.iter().filter(|c| started.contains_key(&c.engine)).map(|c| &c.engine).collect();
    assert!(used.len() >= 36, "{} of 40 new engines were used", used.len());
    assert!(w.stats.refused * 500 <= w.stats.requests && w.stats.failed == 0, "{} refused", w.stats.refused);
}

#[test]
fn an_engine_whose_table_is_full_costs_no_request_and_is_not_dialled_again_in_step() {
    // An engine that refuses the connection has not run the request, so the request may be sent to another engine.
    let full: Vec<EngineId> = (0..8).map(|i| engine(&format!("10.0.0.{i}:70"))).collect();
    let mut w = Simulation::new(|now, e, class| match full.contains(e) && now > 2000 {
        true => (Outcome::ConnectFailed, 1),
        false => healthy(now, e, class),
    });
    w.run(6000);
    assert_eq!((w.stats.refused, w.stats.failed), (0, 0), "other engines were free");
    let dials: Vec<u64> = w.stats.since(2025).filter(|c| full.contains(&c.engine)).map(|c| c.at).collect();
    let each = dials.len() as f64 / f64::from(FRONTS) / full.len() as f64;
    assert!(each <= 0.75, "{each} dials per front end and full engine within 5 s");
    // In the first second all front ends detect the failure. Their later dials must be spread over time.
    let mut by_step: BTreeMap<u64, usize> = BTreeMap::new();
    dials.iter().filter(|at| **at > 3000).for_each(|at| *by_step.entry(at / STEP_MS).or_default() += 1);
    let most = by_step.values().max().copied().unwrap_or(0);
    let mean = by_step.values().sum::<usize>() as f64 / 160.0;
    assert!(most as f64 <= 3.0 * mean + 2.0, "{most} dials in one step, the mean is {mean}");
}

#[test]
fn a_bulletin_that_stops_is_dialled_again_by_all_but_not_in_step() {
    // 300 front ends lose the discovery server at the same moment. Without random delays between reconnection
    // attempts, all front ends dialled the discovery server again at the same moment.
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
            if !*begun || timers.pop_expired(now).is_some() {
                *begun = true;
                bulletin.on_timer(now, poll.registry(), timers);
            }
        }
        // The discovery server accepts each connection and closes it immediately.
        let mut accepted = 0;
        while let Ok((stream, _)) = listener.accept() {
            accepted += 1;
            drop(stream);
        }
        dials.push(accepted);
        poll.poll(&mut events, Some(std::time::Duration::ZERO)).unwrap();
        for event in &events {
            if let Some(beamgap::node::reactor::SocketOwner::Discovery(generation)) =
                beamgap::node::reactor::SocketOwner::from_token(event.token())
            {
                all.iter_mut().for_each(|(bulletin, ..)| drop(bulletin.ready(now, generation)));
            }
        }
    }
    let later = &dials[25..]; // Skips the first 0.5 s, in which all front ends dial at start-up.
    let (most, sum) = (later.iter().max().copied().unwrap_or(0), later.iter().sum::<usize>());
    assert!(most <= 60, "{most} of 300 front ends dialled within 20 ms; {dials:?}");
    assert!(sum >= 300, "only {sum} dials in 2.5 s: front ends did not reconnect");
    assert!(sum <= 300 * 12, "too many dials in 2.5 s: {sum}");
}

#[test]
fn more_engines_than_descriptors_are_served_within_the_descriptors() {
    // Of 32 file descriptors, 16 are for clients and 4 for connections to engines; the fleet has 40 engines.
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
    assert!(used >= 10, "only {used} engines were used: engines without an open connection were avoided");
}
