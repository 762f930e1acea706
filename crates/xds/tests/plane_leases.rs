//! Tests of leases on warming engines, without I/O: the order of the updates, the bound on the sum of all leases, and
//! the expiry of leases.

mod common;

use beamgap_xds::core::allot::bound;
use beamgap_xds::core::picture::Terms;
use beamgap_xds::core::plane::Plane;
use beamgap_xds::core::resources::Kind;
use beamgap_xds::core::stream::Variant;
use common::*;

const BOTH: [Variant; 2] = [Variant::World, Variant::Delta];

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
                assert!(!proxy.route_broke, "a route named a cluster without the cluster and its endpoints");
                assert!(proxy.max_open("s-2") <= bound(&COLD, 8.0 * warmth) || warmth >= 1.0);
                seen = seen.max(proxy.max_open("s-2"));
            });
            age += 0.05;
        }
        assert!(seen >= 20, "{variant:?}: the lease grew to {seen} only");
        assert_eq!(world.proxies[p].usable(), ["s-1", "s-2"]);
        assert_eq!(
            world.proxies[p].session.held().route(),
            [("boxes", 1600)],
            "a warm engine has no separate cluster"
        );
        assert!(world.proxies[p].session.held().item(Kind::Cds, "boxes/s-2").is_none());
        assert!(world.plane.leases().is_empty());
    }
}

#[test]
fn a_push_that_is_late_never_makes_the_sum_of_what_proxies_hold_pass_the_bound() {
    // Responses arrive 1, 3 or 10 s late while proxies disconnect and reconnect. The sum of the lease values in use at
    // the proxies must never exceed the bound.
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
                    let sum: u32 = world.proxies.iter().map(|p| p.max_open("s-2")).sum();
                    assert!(sum <= most, "{variant:?} {delay}: {sum} of {most} at {}", world.now);
                });
                if step % 20 == 10 {
                    let World { now, plane, proxies } = &mut world;
                    let proxy = &mut proxies[step as usize / 20 % 4];
                    proxy.disconnect(*now, plane);
                    proxy.connect(*now, plane, variant);
                }
            }
            let sum: u32 = world.proxies.iter().map(|p| p.max_open("s-2")).sum();
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
        assert!(world.proxies[p].max_open("s-2") > 0);
        world.pass(10_000.0);
        assert!(world.proxies[p].max_open("s-2") > 0, "{variant:?}: heartbeats renew the lease");
        let mut proxy = world.proxies.remove(p);
        proxy.session.expire(world.now + terms().ttl_ms);
        assert_eq!(proxy.max_open("s-2"), 0);
        assert_eq!(proxy.usable(), ["s-1"], "warm engines remain usable");
    }
}

#[test]
fn a_restarted_service_leases_nothing_until_what_its_predecessor_leased_has_ended() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
    let p = world.join("p", Variant::World);
    world.pass(6_000.0);
    let before = world.proxies[p].max_open("s-2");
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
        let sum: u32 = world.proxies.iter().map(|p| p.max_open("s-2")).sum();
        assert!(sum <= most, "{sum} of {most}");
        let quiet = world.now - start < terms().late_ms + terms().ttl_ms;
        assert!(!quiet || world.proxies[q].max_open("s-2") == 0, "too early, at {}", world.now - start);
    });
    assert!(next.proxies[q].max_open("s-2") > 0);
}

#[test]
fn a_proxy_that_comes_and_goes_each_second_moves_nobodys_part() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
    for i in 0..3 {
        world.join(&format!("p{i}"), Variant::Delta);
    }
    world.pass(8_000.0);
    let before: Vec<u32> = world.proxies.iter().map(|p| p.max_open("s-2")).collect();
    assert!(before.iter().all(|may| *may > 0), "{before:?}");
    let flapper = world.join("flapper", Variant::Delta);
    for _ in 0..20 {
        world.pass_and(1_000.0, |world| {
            let now: Vec<u32> = world.proxies[..3].iter().map(|p| p.max_open("s-2")).collect();
            assert_eq!(now, before);
        });
        let World { now, plane, proxies } = &mut world;
        proxies[flapper].disconnect(*now, plane);
        proxies[flapper].connect(*now, plane, Variant::Delta);
    }
    // A proxy that stays connected for the settling time gets a share.
    world.pass(6_000.0);
    assert!(world.proxies[flapper].max_open("s-2") > 0);
}

#[test]
fn a_proxy_that_reconnects_keeps_its_lease_all_the_way() {
    for variant in BOTH {
        let mut world = World::new(terms());
        world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
        let p = world.join("p", variant);
        world.pass(6_000.0);
        for _ in 0..40 {
            // Reconnects more often than heartbeats are sent, and for longer than the TTL.
            let World { now, plane, proxies } = &mut world;
            proxies[p].disconnect(*now, plane);
            proxies[p].connect(*now, plane, variant);
            world.pass_and(150.0, |world| {
                let proxy = &world.proxies[p];
                assert!(proxy.max_open("s-2") > 0 && !proxy.route_broke, "{variant:?} at {}", world.now);
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
        // A newly connected proxy gets one request immediately, and the lease of the other proxy is unchanged.
        let before = world.proxies[p].max_open("s-3");
        let q = world.join("new", variant);
        world.pass(1_000.0);
        assert_eq!(
            (world.proxies[q].max_open("s-3"), world.proxies[p].max_open("s-3")),
            (1, before),
            "{variant:?}"
        );
    }
}

#[test]
fn two_streams_under_one_name_get_one_lease() {
    let mut world = World::new(terms());
    world.show(&[engine("s-1", 1, 1.0), engine("s-2", 2, 0.5)]);
    let (a, b) = (world.join("twin", Variant::World), world.join("twin", Variant::World));
    world.pass(8_000.0);
    assert!(world.proxies[a].max_open("s-2") > 0);
    assert_eq!(world.proxies[b].max_open("s-2"), 0);
    let World { now, plane, proxies } = &mut world;
    proxies[a].disconnect(*now, plane);
    world.pass(8_000.0);
    assert!(world.proxies[b].max_open("s-2") > 0, "the remaining stream gets the lease");
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
            assert!(world.proxies.iter().map(|p| p.max_open("s-2")).sum::<u32>() <= most);
        });
    }
    assert!(!world.plane.status(world.now).contains("nobody"));
    world.pass(40_000.0);
    let may: Vec<u32> = world.proxies.iter().map(|p| p.max_open("s-2")).collect();
    assert!(may[0] > 0 && may[0].abs_diff(may[1]) <= 2, "the shares are equal again: {may:?}");
}
