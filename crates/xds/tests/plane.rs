//! The hard cases, without I/O: what proxies hold after reconnects, late pushes, refusals and restarts.

mod common;

use beamgap_xds::core::allot::bound;
use beamgap_xds::core::picture::{Health, Terms};
use beamgap_xds::core::plane::{Plane, Told};
use beamgap_xds::core::resources::Kind;
use beamgap_xds::core::stream::{StreamError, Variant, PENDING_MOST};
use common::*;

const BOTH: [Variant; 2] = [Variant::World, Variant::Delta];

fn with(
    mut engine: beamgap_xds::core::picture::Engine,
    health: Health,
) -> beamgap_xds::core::picture::Engine {
    engine.health = health;
    engine
}

#[test]
fn a_proxy_learns_of_warm_engines_at_once_and_of_drains_without_waiting_for_an_ack() {
    for variant in BOTH {
        let mut world = World::new(terms());
        world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 1.0)]);
        let p = world.join("p", variant);
        world.pass(0.0);
        assert_eq!(world.proxies[p].usable(), ["s-1", "s-2"], "{variant:?}");
        assert!(world.proxies[p].whole());
        world.proxies[p].acks = false;
        for (i, health) in [(0, Health::Draining), (1, Health::Aside)] {
            let mut engines = [engine("s-1", 1, 1.0), engine("s-2", 2, 1.0)];
            engines[0].health = Health::Draining;
            engines[i].health = health;
            world.show(&engines);
            world.pass(0.0);
            assert!(!world.proxies[p].usable().contains(&format!("s-{}", i + 1)), "{variant:?} {health:?}");
        }
    }
}

#[test]
fn a_reconnect_halfway_never_brings_back_an_engine_that_drained_or_went() {
    // The proxy heard it from one instance; the second, whose list is older, still holds the engine for good.
    for variant in BOTH {
        let mut world = World::new(terms());
        let (a, b, c) = (engine("s-1", 1, 1.0), engine("s-2", 2, 1.0), engine("s-3", 3, 1.0));
        world.show(&[a.clone(), b.clone(), c.clone()]);
        let p = world.join("p", variant);
        world.pass(100.0);
        world.show(&[a.clone(), with(b.clone(), Health::Draining)]);
        world.pass(100.0);
        assert_eq!(world.proxies[p].usable(), ["s-1"]);
        let mut second = World::new(terms());
        second.show(&[a.clone(), b.clone(), c.clone()]);
        let mut proxy = world.proxies.remove(p);
        proxy.disconnect(world.now, &mut world.plane);
        proxy.connect(second.now, &mut second.plane, variant);
        second.proxies.push(proxy);
        second.pass_and(1_000.0, |world| assert_eq!(world.proxies[0].usable(), ["s-1"], "{variant:?}"));
        // Back to a third that is as old: what was told goes with the proxy, also through the second.
        let mut third = World::new(terms());
        third.show(&[a.clone(), b.clone(), c.clone()]);
        let mut proxy = second.proxies.remove(0);
        proxy.disconnect(second.now, &mut second.plane);
        proxy.connect(third.now, &mut third.plane, variant);
        third.proxies.push(proxy);
        third.pass_and(1_000.0, |world| assert_eq!(world.proxies[0].usable(), ["s-1"], "{variant:?}"));
        // Its list catches up, and a new engine has come to the address of the one that is gone.
        third.show(&[a.clone(), engine("s-4", 3, 1.0)]);
        third.pass_and(100.0, |world| assert_eq!(world.proxies[0].usable(), ["s-1", "s-4"], "{variant:?}"));
    }
}

#[test]
fn a_reconnect_with_nothing_changed_tells_the_incremental_form_nothing_anew() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0)]);
    let p = world.join("p", Variant::Delta);
    world.pass(100.0);
    let mut proxy = world.proxies.remove(p);
    proxy.disconnect(world.now, &mut world.plane);
    let mut second = World::new(terms());
    second.show(&[engine("s-1", 1, 1.0)]);
    proxy.got.clear();
    proxy.connect(second.now, &mut second.plane, Variant::Delta);
    second.proxies.push(proxy);
    second.pass(100.0);
    let got = &second.proxies[0].got;
    assert_eq!(got.len(), 4, "each type is answered: {got:?}");
    assert!(got.iter().all(|r| r.resources.is_empty() && r.removed.is_empty()), "{got:?}");
    assert_eq!(second.proxies[0].usable(), ["s-1"]);
}

#[test]
fn a_drain_a_going_and_a_newcomer_at_the_address_between_two_acks_leave_no_trace_of_the_old() {
    for variant in BOTH {
        let mut world = World::new(terms());
        world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 1.0)]);
        let p = world.join("p", variant);
        world.pass(100.0);
        world.proxies[p].acks = false;
        world.show(&[with(engine("s-1", 1, 1.0), Health::Draining), engine("s-2", 2, 1.0)]);
        world.pass(50.0);
        world.show(&[engine("s-2", 2, 1.0)]);
        world.pass(50.0);
        world.show(&[engine("s-2", 2, 1.0), engine("s-9", 1, 1.0)]);
        world.pass(50.0);
        assert_eq!(world.proxies[p].usable(), ["s-2"], "{variant:?}");
        world.proxies[p].acks = true;
        let stopped = world.proxies[p].session.clone();
        let mut proxy = world.proxies.remove(p);
        proxy.disconnect(world.now, &mut world.plane);
        proxy.session = stopped;
        proxy.connect(world.now, &mut world.plane, variant);
        world.proxies.push(proxy);
        world.pass(50.0);
        assert_eq!(world.proxies[0].usable(), ["s-2", "s-9"], "{variant:?}");
    }
}

#[test]
fn warming_engines_come_by_leases_in_the_order_that_breaks_nothing() {
    for variant in BOTH {
        let mut world = World::new(terms());
        world.show(&[engine("s-1", 1, 1.0)]);
        let p = world.join("p", variant);
        world.pass(5_000.0);
        let mut age: f64 = 0.0;
        let mut seen = 0;
        while age < 1.2 {
            let warmth = (0.3 + 0.7 * age).min(1.0);
            world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, warmth)]);
            world.pass_and(500.0, |world| {
                let proxy = &world.proxies[0];
                assert!(!proxy.broke, "a route named what was not held");
                assert!(proxy.may("s-2") <= bound(&COLD, 8.0 * warmth) || warmth >= 1.0);
                seen = seen.max(proxy.may("s-2"));
            });
            age += 0.05;
        }
        assert!(seen >= 20, "{variant:?}: the lease grew to {seen} only");
        assert_eq!(world.proxies[p].usable(), ["s-1", "s-2"]);
        assert_eq!(
            world.proxies[p].session.held().route(),
            [("boxes", 1600)],
            "warm, it has no cluster of its own"
        );
        assert!(world.proxies[p].session.held().item(Kind::Cds, "boxes/s-2").is_none());
        assert!(world.plane.leases().is_empty());
    }
}

#[test]
fn a_push_that_is_late_never_makes_the_sum_of_what_proxies_hold_pass_the_bound() {
    // 1, 3 and 10 s late; proxies come, go and come back, and every value that one may hold counts.
    for variant in BOTH {
        for delay in [1_000.0, 3_000.0, 10_000.0] {
            let mut world = World::new(Terms { late_ms: 12_000.0, ..terms() });
            world.show(&[engine("s-1", 1, 1.0)]);
            for i in 0..4 {
                let p = world.join(&format!("p{i}"), variant);
                world.proxies[p].delay = if i < 2 { delay } else { 0.0 };
            }
            world.pass(16_000.0);
            for step in 0..120 {
                let warmth = 0.3 + 0.005 * f64::from(step);
                world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, warmth)]);
                let most = bound(&COLD, 8.0 * warmth);
                world.pass_and(250.0, |world| {
                    let sum: u32 = world.proxies.iter().map(|p| p.may("s-2")).sum();
                    assert!(sum <= most, "{variant:?} {delay}: {sum} of {most} at {}", world.now);
                });
                if step % 20 == 10 {
                    let World { now, plane, proxies } = &mut world;
                    let proxy = &mut proxies[step as usize / 20 % 4];
                    proxy.disconnect(*now, plane);
                    proxy.connect(*now, plane, variant);
                }
            }
            let sum: u32 = world.proxies.iter().map(|p| p.may("s-2")).sum();
            assert!(sum > 0, "{variant:?} {delay}: nobody got a lease");
        }
    }
}

#[test]
fn a_lease_ends_by_itself_when_the_service_falls_silent() {
    for variant in BOTH {
        let mut world = World::new(terms());
        world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
        let p = world.join("p", variant);
        world.pass(6_000.0);
        assert!(world.proxies[p].may("s-2") > 0);
        world.pass(10_000.0);
        assert!(world.proxies[p].may("s-2") > 0, "{variant:?}: heartbeats keep it");
        let mut proxy = world.proxies.remove(p);
        proxy.session.expire(world.now + terms().ttl_ms);
        assert_eq!(proxy.may("s-2"), 0);
        assert_eq!(proxy.usable(), ["s-1"], "what is warm stays");
    }
}

#[test]
fn a_restarted_service_leases_nothing_until_what_its_predecessor_leased_has_ended() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
    let p = world.join("p", Variant::World);
    world.pass(6_000.0);
    let before = world.proxies[p].may("s-2");
    assert!(before > 0);
    let mut proxy = world.proxies.remove(p);
    proxy.disconnect(world.now, &mut world.plane);
    let mut next = World::new(terms());
    next.now = world.now;
    next.plane = Plane::new(world.now, terms());
    next.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
    next.proxies.push(proxy);
    let q = next.join("q", Variant::World);
    let start = next.now;
    let most = bound(&COLD, 4.0);
    next.pass_and(8_000.0, |world| {
        let sum: u32 = world.proxies.iter().map(|p| p.may("s-2")).sum();
        assert!(sum <= most, "{sum} of {most}");
        let quiet = world.now - start < terms().late_ms + terms().ttl_ms;
        assert!(!quiet || world.proxies[q].may("s-2") == 0, "too early, at {}", world.now - start);
    });
    assert!(next.proxies[q].may("s-2") > 0);
}

#[test]
fn a_proxy_that_comes_and_goes_each_second_moves_nobodys_part() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
    for i in 0..3 {
        world.join(&format!("p{i}"), Variant::Delta);
    }
    world.pass(8_000.0);
    let before: Vec<u32> = world.proxies.iter().map(|p| p.may("s-2")).collect();
    assert!(before.iter().all(|may| *may > 0), "{before:?}");
    let flapper = world.join("flapper", Variant::Delta);
    for _ in 0..20 {
        world.pass_and(1_000.0, |world| {
            let now: Vec<u32> = world.proxies[..3].iter().map(|p| p.may("s-2")).collect();
            assert_eq!(now, before);
        });
        let World { now, plane, proxies } = &mut world;
        proxies[flapper].disconnect(*now, plane);
        proxies[flapper].connect(*now, plane, Variant::Delta);
    }
    // Once it stays, it gets its part.
    world.pass(6_000.0);
    assert!(world.proxies[flapper].may("s-2") > 0);
}

#[test]
fn a_proxy_that_reconnects_keeps_its_lease_all_the_way() {
    for variant in BOTH {
        let mut world = World::new(terms());
        world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
        let p = world.join("p", variant);
        world.pass(6_000.0);
        for _ in 0..40 {
            // More often than heartbeats come, and for longer than the time to live.
            let World { now, plane, proxies } = &mut world;
            proxies[p].disconnect(*now, plane);
            proxies[p].connect(*now, plane, variant);
            world.pass_and(150.0, |world| {
                let proxy = &world.proxies[p];
                assert!(proxy.may("s-2") > 0 && !proxy.broke, "{variant:?} at {}", world.now);
                assert_eq!(proxy.usable(), ["s-1", "s-2"], "{variant:?} at {}", world.now);
            });
        }
    }
}

#[test]
fn where_all_engines_are_cold_their_leases_carry_the_work() {
    for variant in BOTH {
        let mut world = World::new(terms());
        world.show(&[engine("s-1", 1, 1.0)]);
        let p = world.join("p", variant);
        world.pass(6_000.0);
        world.show(&[engine("s-2", 2, 0.5), engine("s-3", 3, 0.6)]);
        world.pass(3_000.0);
        let route = world.proxies[p].session.held().route();
        let weights: Vec<u32> = route.iter().map(|(_, weight)| *weight).collect();
        assert!(weights[0] == 0 && weights[1] > 0 && weights[2] > weights[1], "{variant:?}: {route:?}");
        // Whoever has just come gets a little at once, and moves nobody.
        let before = world.proxies[p].may("s-3");
        let q = world.join("new", variant);
        world.pass(1_000.0);
        assert_eq!((world.proxies[q].may("s-3"), world.proxies[p].may("s-3")), (1, before), "{variant:?}");
    }
}

#[test]
fn a_nack_keeps_the_last_good_version_and_is_told_once() {
    for variant in BOTH {
        let mut world = World::new(terms());
        world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 1.0)]);
        let p = world.join("p", variant);
        world.pass(100.0);
        world.proxies[p].refuse = Some("not today");
        world.proxies[p].got.clear();
        world.show(&[with(engine("s-1", 1, 1.0), Health::Draining), engine("s-2", 2, 1.0)]);
        world.pass(1_000.0);
        assert_eq!(world.proxies[p].got.len(), 2, "one EDS and one RDS, not told over and over");
        let told = world.plane.take_told();
        let nacks =
            told.iter().filter(|t| matches!(t, Told::Warning(text) if text.contains("error=not today")));
        assert_eq!(nacks.count(), 2, "{told:?}");
        assert!(world.plane.status(world.now).contains(r#""error":"not today""#));
        // In the middle of a rolling deploy the next state is taken, and nothing of the refused one is missing.
        world.proxies[p].refuse = None;
        world.show(&[engine("s-2", 2, 1.0), engine("s-3", 1, 1.0)]);
        world.pass(100.0);
        assert_eq!(world.proxies[p].usable(), ["s-2", "s-3"], "{variant:?}");
    }
}

#[test]
fn a_proxy_that_never_acks_gets_drains_and_is_ended() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0)]);
    let p = world.join("p", Variant::World);
    world.proxies[p].acks = false;
    world.pass(29_000.0);
    assert!(world.plane.take_ended().is_empty());
    world.pass(2_000.0);
    let holder = world.proxies[p].holder.unwrap();
    assert_eq!(world.plane.take_ended().first(), Some(&(holder, StreamError::Unanswered)));
}

#[test]
fn a_slow_proxy_gets_the_newest_state_and_no_queue_of_old_ones() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0)]);
    let p = world.join("p", Variant::World);
    world.pass(100.0);
    world.proxies[p].got.clear();
    for port in 2..40 {
        // Nothing is taken between these; each changes the list.
        world.show(&[engine("s-1", 1, 1.0), engine("s-2", port, 1.0)]);
    }
    world.pass(0.0);
    let eds = world.proxies[p].got.iter().filter(|r| r.kind == Kind::Eds).count();
    assert_eq!(eds, 1);
    assert_eq!(world.proxies[p].session.held().endpoints("boxes")[1].address.port(), 39);
}

#[test]
fn two_streams_under_one_name_get_one_lease() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
    let (a, b) = (world.join("twin", Variant::World), world.join("twin", Variant::World));
    world.pass(8_000.0);
    assert!(world.proxies[a].may("s-2") > 0);
    assert_eq!(world.proxies[b].may("s-2"), 0);
    let World { now, plane, proxies } = &mut world;
    proxies[a].disconnect(*now, plane);
    world.pass(8_000.0);
    assert!(world.proxies[b].may("s-2") > 0, "alone, it takes the place of the one before");
}

#[test]
fn lies_about_load_are_bounded_and_age_out() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
    for name in ["honest", "liar"] {
        world.join(name, Variant::Delta);
    }
    world.pass(6_000.0);
    let most = bound(&COLD, 4.0);
    for _ in 0..10 {
        world.plane.reported(world.now, "liar", u64::MAX);
        world.plane.reported(world.now, "nobody", u64::MAX);
        world.pass_and(1_000.0, |world| {
            assert!(world.proxies.iter().map(|p| p.may("s-2")).sum::<u32>() <= most);
        });
    }
    assert!(!world.plane.status(world.now).contains("nobody"));
    world.pass(40_000.0);
    let may: Vec<u32> = world.proxies.iter().map(|p| p.may("s-2")).collect();
    assert!(may[0] > 0 && may[0].abs_diff(may[1]) <= 2, "parts are even again: {may:?}");
}

#[test]
fn what_asks_too_much_is_refused_and_what_is_unknown_is_passed_over() {
    let mut plane = Plane::new(0.0, Terms { streams_most: 2, ..terms() });
    let a = plane.opened(0.0, Variant::World, "").unwrap();
    plane.opened(0.0, Variant::Delta, "").unwrap();
    assert_eq!(plane.opened(0.0, Variant::Delta, ""), Err(StreamError::Full));
    let long = "x".repeat(600);
    assert_eq!(plane.asked(0.0, a, "p", &first(Kind::Eds, &[&long])), Err(StreamError::TooMany));
    let mut strange = first(Kind::Cds, &[]);
    strange.url = "type.googleapis.com/a.B".to_owned();
    assert_eq!(plane.asked(0.0, a, "p", &strange), Ok(()));
    // Answers to nothing, and of a nonce that is no number, change nothing.
    assert_eq!(plane.asked(0.0, a, "p", &first(Kind::Cds, &[])), Ok(()));
    let response = plane.next(0.0, a).unwrap();
    for nonce in ["99999", "x", "-1", "18446744073709551616"] {
        let mut ask = answer(Kind::Cds, 0, &[], Some("no"));
        ask.nonce = nonce.to_owned();
        assert_eq!(plane.asked(0.0, a, "p", &ask), Ok(()));
        assert!(plane.next(0.0, a).is_none());
    }
    assert_eq!(plane.asked(0.0, a, "p", &answer(Kind::Cds, response.nonce, &[], None)), Ok(()));
    assert!(plane.take_told().iter().all(|t| !matches!(t, Told::Warning(text) if text.starts_with("nack"))));
}

#[test]
fn incremental_subscriptions_come_and_go_by_name() {
    let mut plane = Plane::new(0.0, terms());
    plane.picture(0.0, picture(&[engine("s-1", 1, 1.0)]));
    let s = plane.opened(0.0, Variant::Delta, "").unwrap();
    plane.asked(0.0, s, "p", &first(Kind::Eds, &["boxes", "others"])).unwrap();
    let got = plane.next(0.0, s).unwrap();
    assert_eq!((got.resources.len(), &got.removed[..]), (1, &["others".to_owned()][..]));
    plane.asked(0.0, s, "", &answer(Kind::Eds, got.nonce, &[], None)).unwrap();
    assert!(plane.next(0.0, s).is_none());
    let mut leave = first(Kind::Eds, &[]);
    leave.leaves = vec!["boxes".to_owned()];
    plane.asked(0.0, s, "", &leave).unwrap();
    plane.picture(1.0, picture(&[engine("s-1", 1, 1.0), engine("s-2", 2, 1.0)]));
    assert!(plane.next(1.0, s).is_none(), "what is left is told no more");
    plane.asked(1.0, s, "", &first(Kind::Eds, &["boxes"])).unwrap();
    assert_eq!(plane.next(1.0, s).unwrap().resources.len(), 1);
}

#[test]
fn a_stream_that_no_more_drains_can_be_told_on_is_ended_at_once() {
    let mut world = World::new(terms());
    let mut engines: Vec<_> = (0..40).map(|i| engine(&format!("s-{i:02}"), 1 + i, 1.0)).collect();
    world.show(&engines);
    let p = world.join("p", Variant::Delta);
    world.pass(0.0);
    world.proxies[p].acks = false;
    for i in 0..20 {
        engines[i].health = Health::Draining;
        world.show(&engines);
        world.pass(50.0);
        let told = !world.proxies[p].usable().contains(&format!("s-{i:02}"));
        let ended = world.plane.take_ended();
        assert!(told || ended.iter().any(|(_, why)| *why == StreamError::Unanswered), "drain {i}");
        if !told {
            return;
        }
    }
    panic!("it was never ended");
}

#[test]
fn a_stream_that_asks_anew_without_answering_is_not_told_without_end() {
    for variant in BOTH {
        let mut plane = Plane::new(0.0, terms());
        plane.picture(0.0, picture(&[engine("s-1", 1, 1.0)]));
        let s = plane.opened(0.0, variant, "").unwrap();
        let mut told = 0;
        for i in 0..200 {
            let names: &[&str] = if i % 2 == 0 { &["boxes"] } else { &["boxes", "others"] };
            plane.asked(0.0, s, "p", &first(Kind::Eds, names)).unwrap();
            told += usize::from(plane.next(0.0, s).is_some());
        }
        assert_eq!(told, PENDING_MOST, "{variant:?}");
    }
}
