//! Decisions of up to 300 gateways about slow start, the warming up of engines that have just started, and about the
//! failure of a whole zone.

mod common;

use beamgap::*;
use common::{engine, member, ms, request, sent, settings, Bench};
use std::collections::BTreeSet;

const GATEWAY_COUNTS: [u32; 3] = [1, 80, 300];

fn fleet(n: usize) -> Vec<EngineEntry> {
    (0..n).map(|i| member(&format!("10.0.0.{i}:70"))).collect()
}

fn of(gateways: u32) -> Settings {
    Settings { gateways, ..settings() }
}

#[test]
fn a_cold_engine_is_used_and_not_pushed_over_by_all_gateways_together() {
    let (warm_within, fall_span) = (ms(12_000), ms(1500));
    let cold = SlowStart { start_share: 0.3, warm_within, fall_multiple: 2.0, fall_span };
    for gateways in GATEWAY_COUNTS {
        let mut sends: Vec<u64> = Vec::new();
        for me in 0..gateways {
            let s = Settings { own_number: me, slow_start: Some(cold), ..of(gateways) };
            let start = ms(1000);
            let mut b = Bench::new(s, vec![EngineEntry { started: Some(start), ..member("10.0.0.1:70") }]);
            // Every gateway has more requests than its share of the engine; the requests of all gateways together are
            // twenty times what the engine can run.
            for i in 0..(6000 / u64::from(gateways)).max(4) {
                b.arrive(request(&format!("c{i}"), 0, i, 4000)).iter().for_each(|a| {
                    sends.extend(matches!(a, Action::Forward { .. }).then_some(b.now.0));
                });
            }
            for _ in 0..30 {
                let n = sent(&b.pass(100)).len();
                sends.extend(std::iter::repeat_n(b.now.0, n));
            }
        }
        sends.sort_unstable();
        assert!(sends.len() >= 10, "{gateways} gateways: {} requests sent in 3 s", sends.len());
        for from in &sends {
            let within = sends.iter().filter(|t| **t >= *from && **t < from + 1_500_000).count() as f64;
            let age = (from.saturating_sub(1_000_000)) as f64 / 12_000_000.0;
            let survivable = 2.0 * (0.3 + 0.7 * age) * 8.0 * 1500.0;
            assert!(
                within * 100.0 <= survivable,
                "{gateways} gateways sent {within} requests of 100 ms, {survivable} ms survivable"
            );
        }
    }
}

#[test]
fn heavy_work_uses_a_cold_engine_in_turns_of_a_hundred_gateways_and_never_fells_it() {
    // When six of ten engines were replaced at once, each of the many gateways could send a warming-up engine only one
    // heavy query every three minutes, and its light queries used up that allowance. The warming-up engines were almost idle
    // while the remaining warm engines were overloaded.
    let (warm_within, fall_span) = (ms(15_000), ms(1500));
    let cold = SlowStart { start_share: 0.3, warm_within, fall_multiple: 3.0, fall_span };
    for (gateways, least) in [(2, 0.2), (100, 0.2), (200, 0.2)] {
        let mut sends: Vec<u64> = Vec::new();
        for me in 0..gateways {
            let started = Some(ms(1000));
            let mut b = Bench::new(
                Settings { own_number: me, slow_start: Some(cold), ..of(gateways) },
                vec![EngineEntry { started, ..member("10.0.0.1:70") }],
            );
            for i in 0..10 {
                let light = b.arrive(request(&format!("l{me}-{i}"), 0, i, 4000));
                for to in sent(&light) {
                    b.close(&format!("l{me}-{i}"), 0, &to, Outcome::Served, 100);
                }
                let mut done = b.arrive(request(&format!("{me}-{i}"), 1, i, 20_000));
                (0..10).for_each(|_| {
                    let n = done
                        .iter()
                        .filter(
                            |a| matches!(a, Action::Forward { request, .. } if !request.0.starts_with('l')),
                        )
                        .count();
                    sends.extend(std::iter::repeat_n(b.now.0, n));
                    done = b.pass(100);
                });
            }
        }
        sends.sort_unstable();
        let share = |at: u64| 0.3 + 0.7 * ((at - 1_000_000) as f64 / 15e6);
        for from in &sends {
            let within = sends.iter().filter(|t| **t >= *from && **t < from + 1_500_000).count() as f64;
            let survivable = 3.0 * share(*from) * 8.0 * 0.85 * 1500.0;
            assert!(
                within * 3000.0 <= survivable,
                "{gateways} gateways: {within} heavy queries in 1.5 s at {from} us, {survivable} ms survivable"
            );
        }
        let capacity_ms: f64 = (0..10).map(|s| share(1_500_000 + s * 1_000_000) * 8.0 * 0.85 * 1000.0).sum();
        let used = sends.len() as f64 * 3000.0 / capacity_ms;
        assert!(used >= least, "{gateways} gateways used {used:.2} of the capacity of a warming-up engine");
    }
}

#[test]
fn two_engines_lost_with_no_word_from_their_zone_speak_for_all_of_it() {
    // When a zone of 15 engines failed, each of 100 gateways detected each failed engine separately, by connection
    // attempts that took a quarter of a second to fail. After two failed engines and no answer from their zone, a gateway
    // has to avoid the whole zone; after a single failed engine it must not.
    let zones = || {
        let zone = |i: usize, m: EngineEntry| EngineEntry {
            zone: if i.is_multiple_of(2) { "a" } else { "b" }.into(),
            ..m
        };
        fleet(30).into_iter().enumerate().map(|(i, m)| zone(i, m)).collect::<Vec<_>>()
    };
    let zone_a: BTreeSet<EngineId> =
        zones().into_iter().filter(|m| m.zone == "a").map(|m| m.engine).collect();
    let run_with_failed = |lost: &BTreeSet<EngineId>| {
        let mut b = Bench::new(Settings { hedging: false, ..of(100) }, zones());
        let (mut failed, mut to_a) = (0, 0);
        for i in 0..200 {
            let id = format!("q{i}");
            let mut to = sent(&b.arrive(request(&id, 0, i, 4000)));
            for attempt in 0.. {
                let Some(at) = to.first().cloned() else { break };
                to_a += usize::from(zone_a.contains(&at));
                b.pass(20);
                let fails = lost.contains(&at);
                failed += usize::from(fails);
                let outcome = if fails { Outcome::ConnectFailed } else { Outcome::Served };
                to = sent(&b.close(&id, attempt, &at, outcome, 20));
            }
        }
        (failed, to_a)
    };
    let (failed, _) = run_with_failed(&zone_a);
    assert!(
        (2..=8).contains(&failed),
        "{failed} failed connection attempts before the gateway avoided the zone"
    );
    let one: BTreeSet<EngineId> = zone_a.iter().take(1).cloned().collect();
    let (_, to_a) = run_with_failed(&one);
    assert!(to_a >= 60, "{to_a} of 200 requests sent to a zone that lost one engine of 15");
}

#[test]
fn a_time_out_from_a_lost_zone_is_no_word_from_it() {
    // A request that times out proves nothing about its engine. When timeouts counted as answers from the zone, the
    // gateway never detected that the zone had failed.
    let zone = |i: usize, m: EngineEntry| EngineEntry { zone: if i < 6 { "a" } else { "b" }.into(), ..m };
    let members = fleet(12).into_iter().enumerate().map(|(i, m)| zone(i, m)).collect();
    let mut b = Bench::new(Settings { hedging: false, ..of(100) }, members);
    let in_a = |e: &EngineId| (0..6).any(|i| *e == engine(&format!("10.0.0.{i}:70")));
    let (mut lost, mut silent) = (BTreeSet::new(), 0);
    for i in 0..400 {
        let id = format!("q{i}");
        let Some(at) = sent(&b.arrive(request(&id, 0, i, 4000))).first().cloned() else { continue };
        if !in_a(&at) {
            b.close(&id, 0, &at, Outcome::Served, 20);
        } else if lost.len() < 2 {
            lost.insert(at.clone());
            b.close(&id, 0, &at, Outcome::ConnectFailed, 20);
            b.tell(Event::ClientGone(request(&id, 0, 0, 0).id));
            // Between the two failed connections, a request sent to the zone earlier times out.
            if lost.len() == 1 {
                let late = (0..200).map(|n| format!("t{n}")).find(|id| {
                    let to = sent(&b.arrive(request(id, 0, 1000 + i, 4000)));
                    to.first()
                        .is_some_and(|at| in_a(at) && b.close(id, 0, at, Outcome::TimedOut, 20).len() < 9)
                });
                assert!(late.is_some());
            }
        } else {
            silent += 1;
            b.close(&id, 0, &at, Outcome::TimedOut, 20);
        }
    }
    assert!(lost.len() == 2 && silent <= 3, "{silent} more requests sent to a failed zone");
}
