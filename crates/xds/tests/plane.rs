//! Tests of the resources that proxies have after reconnects, delayed responses, NACKs and restarts of the control
//! plane, without I/O.

mod common;

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
        assert!(world.proxies[p].is_complete());
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
    // The first instance announced one engine as draining and removed another. The second and third instances have
    // older lists in which both engines are healthy.
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
        // The third instance's list is equally old. The proxy's version still names the draining and removed engines,
        // although the second instance learned of them only from the proxy.
        let mut third = World::new(terms());
        third.show(&[a.clone(), b.clone(), c.clone()]);
        let mut proxy = second.proxies.remove(0);
        proxy.disconnect(second.now, &mut second.plane);
        proxy.connect(third.now, &mut third.plane, variant);
        third.proxies.push(proxy);
        third.pass_and(1_000.0, |world| assert_eq!(world.proxies[0].usable(), ["s-1"], "{variant:?}"));
        // The third instance receives the current list, in which a new engine uses the address of a removed engine.
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
        assert_eq!(world.proxies[p].got.len(), 2, "one EDS and one RDS response, not repeated");
        let told = world.plane.take_told();
        let nacks =
            told.iter().filter(|t| matches!(t, Told::Warning(text) if text.contains("error=not today")));
        assert_eq!(nacks.count(), 2, "{told:?}");
        assert!(world.plane.status(world.now).contains(r#""error":"not today""#));
        // The proxy accepts the next update of the rolling deployment, which includes the changes of the NACKed
        // response.
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
        // Each iteration changes the endpoint list; no response is sent to the proxy in between.
        world.show(&[engine("s-1", 1, 1.0), engine("s-2", port, 1.0)]);
    }
    world.pass(0.0);
    let eds = world.proxies[p].got.iter().filter(|r| r.kind == Kind::Eds).count();
    assert_eq!(eds, 1);
    assert_eq!(world.proxies[p].session.held().endpoints("boxes")[1].address.port(), 39);
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
    // Answers with an unknown nonce or a nonce that is not a valid number have no effect.
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
    assert!(plane.next(1.0, s).is_none(), "no updates after unsubscribing");
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
    panic!("the stream was never closed");
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
