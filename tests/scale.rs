//! Decisions with 1, 80 and 300 gateways: load estimates, load reports, ejection on few samples, placement, drains, and
//! faults that earlier versions of the gateway had.

mod common;

use beamgap::*;
use common::{engine, list, member, ms, refused, request, sent, settings, Bench};
use std::collections::{BTreeMap, BTreeSet};

const GATEWAY_COUNTS: [u32; 3] = [1, 80, 300];

fn fleet(n: usize) -> Vec<EngineEntry> {
    (0..n).map(|i| member(&format!("10.0.0.{i}:70"))).collect()
}

fn of(gateways: u32) -> Settings {
    Settings { gateways, ..settings() }
}

fn priorities(actions: &[Action]) -> Vec<u8> {
    let of = |a: &Action| if let Action::SetTerms { priority, .. } = a { Some(*priority) } else { None };
    actions.iter().filter_map(of).collect()
}

#[test]
fn own_queries_do_not_read_as_a_full_fleet_at_any_number_of_gateways() {
    // A gateway estimates an engine's load from its own requests in flight. When the estimate multiplied them by 300
    // gateways, a single heavy query made an engine look full, and the next queries were rejected.
    for gateways in GATEWAY_COUNTS {
        let mut b = Bench::new(of(gateways), fleet(40));
        for i in 0..4 {
            let now = sent(&b.arrive(request(&format!("h{i}"), 1, i, 20_000)));
            assert_eq!(now.len(), 1, "{gateways} gateways, heavy query {i}");
            b.pass(100);
        }
    }
}

#[test]
fn few_samples_find_a_failing_engine_and_chance_ejects_nobody() {
    // With 80 gateways, each gateway sees about one answer from an engine every three seconds. Errors from one engine
    // while all other engines serve without error eject that engine at once. An error rate of 10% on all engines leads
    // to few ejections, because no single engine is then an outlier.
    let run_with_errors = |fails: &dyn Fn(u64, &EngineId) -> bool| {
        let mut b = Bench::new(of(80), fleet(14));
        let (mut seen, mut ejected): (BTreeMap<EngineId, usize>, usize) = (BTreeMap::new(), 0);
        for i in 0..400u64 {
            let id = format!("q{i}");
            let mut actions = b.arrive(request(&id, 0, i % 42, 4000));
            for n in 0..3 {
                let Some(e) = sent(&actions).first().cloned() else { break };
                *seen.entry(e.clone()).or_default() += 1;
                b.pass(30);
                let outcome = if fails(i * 3 + n, &e) { Outcome::Error } else { Outcome::Served };
                actions = b.close(&id, n as u32, &e, outcome, 30);
                ejected += actions
                    .iter()
                    .filter(|a| matches!(a, Action::Log(LogEvent::EngineEjected { .. })))
                    .count();
            }
            b.pass(170);
        }
        (seen, ejected)
    };
    let (healthy, _) = run_with_errors(&|_, _| false);
    let bad =
        healthy.iter().max_by_key(|(_, n)| **n).map(|(e, _)| e.clone()).expect("some engine got requests");
    let (with_bad, ejected) = run_with_errors(&|_, e| *e == bad);
    assert!(
        ejected >= 2 && with_bad[&bad] * 2 < healthy[&bad],
        "{} sends to the failing engine, {} when healthy",
        with_bad[&bad],
        healthy[&bad]
    );
    let (_, ejected_on_errors_everywhere) = run_with_errors(&|n, _| n % 10 == 3);
    assert!(
        ejected_on_errors_everywhere <= 20,
        "{ejected_on_errors_everywhere} ejections from errors spread over all engines"
    );
}

#[test]
fn peer_messages_and_unknown_kinds_change_nothing() {
    let mut b = Bench::new(Settings { peers: true, ..of(80) }, fleet(4));
    for data in [vec![], vec![0, 255, 7], b"load 10.0.0.1:70 999".to_vec(), vec![9; 256]] {
        assert!(b.tell(Event::Peer { from: 99, data }).is_empty());
    }
    assert_eq!(sent(&b.arrive(request("a", 0, 1, 4000))).len(), 1);
}

#[test]
fn holders_of_one_group_are_spread_and_keep_off_its_readers() {
    // Loads lock the tables of their group. In the run amman-main-later, rough-2, all gateways sent the loads of one
    // table group to the same engine, where each load waited for the lock of an earlier load.
    let mut s = of(80);
    (s.classes[0].waits_for_table_lock, s.classes[1].locks_tables) = (true, true);
    let home = sent(&Bench::new(s.clone(), fleet(12)).arrive(request("r", 0, 3, 4000)))[0].clone();
    let mut used = BTreeSet::new();
    for i in 0..24 {
        // Each load arrives at a gateway of its own, which knows of no other load.
        let mut one = Bench::new(s.clone(), fleet(12));
        used.extend(sent(&one.arrive(request(&format!("w{i}"), 1, 3, 20_000))));
    }
    assert!(used.len() >= 6 && !used.contains(&home), "{used:?}");
}

#[test]
fn classes_open_to_all_keep_off_the_kind_that_a_bound_class_needs() {
    let mut s = of(80);
    s.kinds.push(KindSettings { name: "big".into(), cores: Some(16.0), memory_mb: Some(32_768.0) });
    s.classes[1].kinds = Some(vec!["std".into()]);
    let mut members = fleet(6);
    members.extend((0..4).map(|i| EngineEntry { kind: "big".into(), ..member(&format!("10.1.0.{i}:70")) }));
    let mut b = Bench::new(s, members);
    let mut light_on_std = 0;
    for i in 0..60 {
        for (id, class) in [(format!("h{i}"), 1), (format!("l{i}"), 0)] {
            let Some(e) = sent(&b.arrive(request(&id, class, i, 20_000))).first().cloned() else { continue };
            assert!(
                class == 0 || e.0.starts_with("10.0."),
                "a class was sent to a kind of engine that it excludes"
            );
            light_on_std += usize::from(class == 0 && i >= 10 && e.0.starts_with("10.0."));
            b.pass(60);
            b.close(&id, 0, &e, Outcome::Served, 60);
        }
        b.pass(100);
    }
    assert!(light_on_std <= 5, "{light_on_std} of 50 light queries on the only kind that may run heavy ones");
}

#[test]
fn a_lost_keyed_attempt_is_copied_inside_its_window_only() {
    let keyed = |window| {
        let mut s = of(80);
        s.classes[1].repeat = Repeat::Keyed { group: RepeatGroup::All, window };
        let mut b = Bench::new(s, fleet(6));
        assert_eq!(sent(&b.arrive(request("k", 1, 5, 20_000))).len(), 1);
        sent(&b.pass(9000)).len()
    };
    assert_eq!(keyed(ms(15_000)), 1, "no progress and no answer: retried within the window");
    assert_eq!(keyed(ms(500)), 0, "not retried after the window");
}

#[test]
fn a_giant_yields_under_pressure_only() {
    let busy = |full: bool| {
        let mut b = Bench::new(settings(), fleet(1));
        let at = engine("10.0.0.0:70");
        // Serves queries whose work equals the estimate: a heavy class of 3 s, and a light one that keeps the mean low.
        for i in 0..40 {
            for (id, class, work) in [(format!("h{i}"), 1, 3000), (format!("l{i}"), 0, 100)] {
                b.arrive(request(&id, class, 1, 20_000));
                b.pass(work / 4);
                let cost = Some(TrueCost { work: ms(work), memory_mb: work as f64 });
                b.tell(Event::AttemptEnded(AttemptEnd {
                    request: request(&id, 0, 0, 0).id,
                    attempt: Attempt(0),
                    engine: at.clone(),
                    outcome: Outcome::Served,
                    latency: ms(work / 4),
                    request_answered: true,
                    cost,
                    report: None,
                }));
            }
        }
        if full {
            b.arrive(request("f", 0, 1, 4000));
            // The engine rejects a request for overload, so the gateway treats it as overloaded for a while.
            b.close("f", 0, &at, Outcome::Overloaded, 1);
        }
        let mut giant = request("g", 1, 1, 20_000);
        // The gateway expects less work than this estimate, because its linear fit of work to estimates discounts outliers.
        giant.work_hint = Some(ms(60_000));
        priorities(&b.arrive(giant)).last().copied()
    };
    assert_eq!((busy(false), busy(true)), (Some(1), Some(0)));
}

#[test]
fn each_trouble_refills_its_engines_quota() {
    let mut b = Bench::new(settings(), fleet(1));
    let home = engine("10.0.0.0:70");
    let kinds = |b: &mut Bench, id: &str| sent(&b.arrive(request(id, 1, 1, 20_000))).len();
    assert_eq!(kinds(&mut b, "h0") + kinds(&mut b, "h1"), 2);
    b.note("h0", 0, &home, Progress::WaitsForMemory);
    b.note("h1", 0, &home, Progress::WaitsForMemory);
    // Each query flagged as likely to run short of memory spends 0.1 to 1 of the engine's quota. Without a refill the
    // quota of one window would be too small to flag, and so to queue, all four queries.
    let queued: usize = (2..6).map(|i| 1 - kinds(&mut b, &format!("h{i}"))).sum();
    assert_eq!(queued, 4, "all four queries are flagged and so queued until memory is free");
}

#[test]
fn a_drain_ends_sends_at_once_and_an_unreachable_list_ends_nothing() {
    let mut b = Bench::new(of(80), fleet(3));
    let home = sent(&b.arrive(request("a", 0, 7, 4000)))[0].clone();
    b.tell(Event::ListFailed);
    assert_eq!(sent(&b.arrive(request("b", 0, 7, 4000)))[0], home, "the gateway keeps the last list");
    let draining = EngineEntry { state: EngineState::Draining, ..member(&home.0) };
    b.tell(list(ListKind::Changes, vec![draining]));
    for i in 0..20 {
        let to = sent(&b.arrive(request(&format!("c{i}"), 0, 7, 4000)));
        assert!(to.len() == 1 && to[0] != home);
    }
    b.tell(list(ListKind::Full, Vec::new()));
    assert!(sent(&b.arrive(request("d", 0, 7, 1000))).is_empty());
    assert_eq!(refused(&b.pass(1100)), 1);
}

#[test]
fn a_restarted_gateway_goes_by_its_last_list_at_once() {
    for gateways in GATEWAY_COUNTS {
        let mut b = Bench::new(of(gateways), fleet(20));
        let all: usize = (0..20).map(|i| sent(&b.arrive(request(&format!("a{i}"), 0, i, 4000))).len()).sum();
        assert_eq!(all, 20);
    }
}

#[test]
fn a_client_that_leaves_early_frees_what_it_held() {
    let mut b = Bench::new(of(80), fleet(3));
    for i in 0..40 {
        let id = format!("a{i}");
        let at = sent(&b.arrive(request(&id, 0, i, 300)));
        let gone = b.tell(Event::ClientGone(request(&id, 0, 0, 0).id));
        assert_eq!(common::cancelled(&gone), at.len());
        at.iter().for_each(|e| drop(b.close(&id, 0, e, Outcome::Cancelled, 10)));
    }
    assert_eq!(b.gateway.tracked_requests(), 0);
}

#[test]
fn an_engine_that_answers_nobody_is_not_taken_for_one_with_little_to_do() {
    // With 100 gateways, each gateway gets load reports only from the engines that answer quickly. It must not assume
    // that the engines without reports are as idle as those with reports; an earlier version did.
    let mut b = Bench::new(Settings { reports: Reports::InAnswers, hedging: false, ..of(100) }, fleet(12));
    let slow: Vec<EngineId> =
        (0..2).flat_map(|i| sent(&b.arrive(request(&format!("h{i}"), 1, i, 20_000)))).collect();
    let others = fleet(12).into_iter().map(|m| m.engine).filter(|e| !slow.contains(e));
    let quick: Vec<EngineId> = others.take(6).collect();
    for beat in 0..40 {
        let report = LoadReport { in_flight: Some(f64::from(beat % 2)), ..LoadReport::default() };
        b.pass(100);
        for (i, at) in slow.iter().enumerate() {
            b.note(&format!("h{i}"), 0, at, Progress::ShareDone(0.5));
        }
        for quick in &quick {
            let (engine, report) = (quick.clone(), Some(report.clone()));
            b.tell(Event::ProbeEnded { engine, outcome: Outcome::Served, latency: ms(1), report });
        }
    }
    let mut all = 0;
    for i in 0..100 {
        for to in sent(&b.arrive(request(&format!("n{i}"), 1, 100 + i, 20_000))) {
            all += 1;
            assert!(
                quick.contains(&to),
                "sent to an engine without reports, whose load is about 100 times the own share"
            );
            b.tell(Event::ClientGone(request(&format!("n{i}"), 1, 0, 0).id));
            b.close(&format!("n{i}"), 0, &to, Outcome::Cancelled, 1);
        }
    }
    assert!(all >= 20, "{all} queries sent");
}

#[test]
fn what_was_shed_in_a_crowd_is_taken_again_within_seconds_of_its_end() {
    // The admitted share recovers within seconds after an overload has ended. When each step of the recovery was
    // proportional to the share itself, the share took 15 seconds to rise from its minimum to 1.
    let mut b = Bench::new(Settings { cancel: false, hedging: false, ..of(100) }, fleet(20));
    let serve = |b: &mut Bench, from: u64, lines: bool| {
        for i in from..from + 150 {
            let id = format!("l{i}");
            let to = sent(&b.arrive(request(&id, 0, i, 4000)))[0].clone();
            if lines {
                b.note(&id, 0, &to, Progress::WaitsForMemory);
            }
            b.pass(40);
            b.close(&id, 0, &to, Outcome::Served, 40);
        }
    };
    serve(&mut b, 0, true);
    serve(&mut b, 150, true);
    let overloaded = b.gateway.admitted_share();
    assert!(overloaded < 0.1, "{overloaded} admitted during the overload");
    serve(&mut b, 300, false);
    let after = b.gateway.admitted_share();
    assert!(after > 0.3, "{after} admitted six seconds after the last overload signal");
}

#[test]
fn grants_by_threads_leave_light_queries_room_beside_them() {
    // Memory grants to heavy queries must leave memory for light ones. When the heavy queries of all gateways filled
    // the memory to within 1%, a quarter of the light queries had to wait for memory at an engine.
    let mut b = Bench::new(of(100), fleet(1));
    let grant = |a: &Action| if let Action::SetTerms { memory_mb, .. } = a { Some(*memory_mb) } else { None };
    let heavy = Request { memory_hint_mb: Some(200.0), ..request("h", 1, 1, 20_000) };
    let grant = b.arrive(heavy).iter().find_map(grant).expect("terms before a send") as f64;
    let (memory, threads) = (16_384.0, 1.8 * 8.0);
    assert!(grant * threads / 4.0 <= 0.9 * memory, "{grant} MB granted for four threads of {threads}");
}

#[test]
fn who_stands_in_a_line_past_its_time_is_refused_at_once_unless_it_is_unsafe() {
    // A query that waits in an engine's memory queue and can no longer meet its latency objective is rejected. An
    // unsafe query is not rejected, because its client could then retry it and run it twice.
    for (repeat, answers) in [(Repeat::Safe, 1), (Repeat::Unsafe, 0)] {
        let mut s = of(100);
        (s.classes[1].repeat, s.hedging) = (repeat, false);
        let mut b = Bench::new(s, fleet(1));
        let at = sent(&b.arrive(request("h", 1, 1, 20_000)))[0].clone();
        let mut all = Vec::new();
        for _ in 0..12 {
            // The query waits in the engine's memory queue. It is in time as long as it could still start and meet its
            // latency objective, which is 3 s plus a multiple of its run time.
            all.extend(b.note("h", 0, &at, Progress::WaitsForMemory));
            all.extend(b.pass(500));
        }
        assert_eq!((refused(&all), common::failed(&all)), (answers, 0), "{repeat:?}");
    }
}

#[test]
fn of_the_engines_planned_for_a_group_those_of_the_own_zone_come_first() {
    let zone = |i: usize| if i.is_multiple_of(2) { "a" } else { "b" };
    let members = || {
        fleet(12).into_iter().enumerate().map(|(i, m)| EngineEntry { zone: zone(i).into(), ..m }).collect()
    };
    let near: BTreeSet<EngineId> = (0..12).step_by(2).map(|i| engine(&format!("10.0.0.{i}:70"))).collect();
    let mut own = 0;
    for me in 0..100 {
        let mut b = Bench::new(Settings { own_number: me, zone: Some("a".into()), ..of(100) }, members());
        own += sent(&b.arrive(request(&format!("l{me}"), 0, u64::from(me), 4000)))
            .iter()
            .filter(|e| near.contains(e))
            .count();
    }
    assert!(own >= 62, "{own} of 100 requests stayed in their zone");
}
