//! Decisions of one gateway, checked through its events and actions: placement of table groups, memory admission,
//! rejection, load reports, table locks, a missing list of engines, and errors in settings.

mod common;

use beamgap::*;
use common::{engine, list, member, ms, refused, request, sent, settings, Bench};

fn fleet(n: usize) -> Vec<EngineEntry> {
    (0..n).map(|i| member(&format!("10.0.0.{i}:70"))).collect()
}

#[test]
fn a_table_group_has_one_home_at_every_gateway() {
    let mut listed = fleet(6);
    let mut one = Bench::new(settings(), listed.clone());
    listed.reverse();
    let mut two = Bench::new(settings(), listed);
    let mut homes = std::collections::BTreeSet::new();
    for tables in 0..24 {
        let a = sent(&one.arrive(request(&format!("a{tables}"), 0, tables, 4000)));
        let b = sent(&two.arrive(request(&format!("b{tables}"), 0, tables, 4000)));
        assert_eq!(a, b, "table group {tables}");
        homes.extend(a);
    }
    assert!(homes.len() >= 4, "the groups are spread over the fleet");
}

#[test]
fn without_trouble_everything_passes_and_after_it_a_heavy_query_waits_for_memory() {
    let mut b = Bench::new(settings(), fleet(1));
    let home = engine("10.0.0.0:70");
    // Before any engine reports pressure, heavy queries are sent at once, up to the gateway's own bound on threads.
    assert_eq!(sent(&b.arrive(request("h0", 1, 1, 20_000))).len(), 1);
    assert_eq!(sent(&b.arrive(request("h1", 1, 1, 20_000))).len(), 1);
    // Both queries report that they wait for memory. Neither was flagged as likely to run short of memory, so the
    // gateway now flags similar queries.
    b.note("h0", 0, &home, Progress::WaitsForMemory);
    b.note("h1", 0, &home, Progress::WaitsForMemory);
    assert!(
        sent(&b.arrive(request("h2", 1, 1, 20_000))).is_empty(),
        "the query is flagged as likely to run short of memory, and no memory is free"
    );
    // A light query is not flagged, so the gateway sends it at once.
    assert_eq!(sent(&b.arrive(request("l", 0, 1, 4000))).len(), 1);
    // When the first two queries end, memory is free and the gateway sends the flagged query that it queued.
    let mut later = b.close("h0", 0, &home, Outcome::Served, 900);
    b.now = b.now.plus(ms(10));
    later.extend(b.close("h1", 0, &home, Outcome::Served, 900));
    later.extend(b.pass(100));
    assert_eq!(sent(&later), vec![home]);
}

#[test]
fn a_query_that_cannot_be_in_time_is_refused_at_once_when_all_are_past_their_bound() {
    let mut s = settings();
    s.retry_after = Some(ms(1000));
    let mut b = Bench::new(s, fleet(1));
    let mut late = request("late", 1, 1, 20_000);
    late.work_hint = Some(ms(200_000));
    for i in 0..3 {
        b.arrive(request(&format!("h{i}"), 1, 1, 20_000));
    }
    let mut none = request("none", 1, 1, 20_000);
    (none.time_left, none.work_hint) = (ms(500), Some(ms(9000)));
    let actions = b.arrive(none);
    assert_eq!(refused(&actions), 1);
    let has_retry_after =
        actions.iter().any(|a| matches!(a, Action::Reject { retry_after: Some(t), .. } if *t <= ms(1000)));
    assert!(has_retry_after, "the rejection carries a retry_after of at most 1000 ms");
}

#[test]
fn a_fresh_report_of_a_full_memory_stops_flagged_work_and_an_old_one_counts_for_nothing() {
    let mut b = Bench::new(settings(), fleet(1));
    let home = engine("10.0.0.0:70");
    b.arrive(request("h0", 1, 1, 20_000));
    b.note("h0", 0, &home, Progress::WaitsForMemory);
    let report = LoadReport { memory_share: Some(0.9), ..LoadReport::default() };
    b.tell(Event::ProbeEnded {
        engine: home,
        outcome: Outcome::Served,
        latency: ms(1),
        report: Some(report),
    });
    assert!(sent(&b.arrive(request("h1", 1, 1, 20_000))).is_empty(), "queued, because 4 GB are not free");
    assert_eq!(
        sent(&b.pass(3100)).len(),
        1,
        "an expired report is ignored: free memory is capacity minus own grants"
    );
}

#[test]
fn many_holders_and_readers_of_a_group_keep_apart() {
    let mut s = settings();
    (s.classes[0].waits_for_table_lock, s.classes[1].locks_tables) = (true, true);
    let mut b = Bench::new(s, fleet(4));
    let holder = sent(&b.arrive(request("w", 1, 3, 20_000)));
    for i in 0..6 {
        let reader = sent(&b.arrive(request(&format!("r{i}"), 0, 3, 4000)));
        assert_ne!(reader, holder);
    }
}

#[test]
fn an_empty_list_or_none_holds_requests_and_answers_them_in_time() {
    let mut b = Bench::new(settings(), Vec::new());
    assert!(b.arrive(request("a", 0, 1, 2000)).iter().all(|a| !matches!(a, Action::Forward { .. })));
    assert_eq!(refused(&b.pass(2000)), 1);
    b.arrive(request("b", 0, 1, 2000));
    assert_eq!(sent(&b.tell(list(ListKind::Full, fleet(1)))).len(), 1);
}

#[test]
fn bad_settings_are_named() {
    let named = |s: Settings| Gateway::new(s, 1).err().map(|e| e.setting().to_owned());
    assert_eq!(named(Settings::plain(Vec::new())).as_deref(), Some("classes"));
    let mut s = settings();
    s.classes[1].priority_weight = f64::NAN;
    assert_eq!(named(s).as_deref(), Some("classes[1].worth"));
    let mut s = settings();
    s.kinds[0].cores = Some(-1.0);
    assert_eq!(named(s).as_deref(), Some("kinds[0].cores"));
}
