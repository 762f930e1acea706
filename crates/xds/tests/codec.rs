//! Property tests with arbitrary messages in arbitrary order: each message is answered or rejected without a panic, and
//! the state of the control plane stays bounded.

mod common;

use beamgap_xds::client::held::read;
use beamgap_xds::client::session::{Got, ReceivedResource, Session};
use beamgap_xds::core::picture::{Engine, Health};
use beamgap_xds::core::plane::Plane;
use beamgap_xds::core::resources::Kind;
use beamgap_xds::core::stream::{Ask, Variant, PENDING_MOST};
use common::*;
use proptest::prelude::*;
use proptest::sample::select;

fn kinds() -> impl Strategy<Value = Kind> {
    select(Kind::ALL.to_vec())
}

fn names() -> impl Strategy<Value = Vec<String>> {
    prop::collection::vec(
        select(vec!["boxes", "boxes/s-2", "boxes/s-9", "*", "", "beamgap-routes", "tills", "é~,"]),
        0..4,
    )
    .prop_map(|names| names.into_iter().map(str::to_owned).collect())
}

#[derive(Clone, Debug)]
enum Step {
    Ask(Ask),
    Answer(Kind, bool, Vec<String>),
    Take,
    Engine(u8, u8),
    Pass(u16),
}

fn steps() -> impl Strategy<Value = Step> {
    let versions = select(vec!["", "0123456789abcdef~s-1,s-2", "x~y", "0123456789abcdef~~,,s-1"]);
    let ask = (kinds(), names(), names(), select(vec!["", "1", "2", "7", "x"]), versions, any::<bool>());
    let ask = ask.prop_map(|(kind, names, leaves, nonce, version, bad)| {
        Step::Ask(Ask {
            url: kind.url().to_owned(),
            nonce: nonce.to_owned(),
            error: bad.then(|| "no\u{7}".repeat(200)),
            held: names.iter().map(|n| (n.clone(), version.to_owned())).collect(),
            names,
            leaves,
            version: version.to_owned(),
        })
    });
    prop_oneof![
        ask,
        (kinds(), any::<bool>(), names()).prop_map(|(k, ok, n)| Step::Answer(k, ok, n)),
        Just(Step::Take),
        (0u8..5, 0u8..5).prop_map(|(e, s)| Step::Engine(e, s)),
        (0u16..3_000).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_a_proxy_fall_over(kind in kinds(), bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(kind, &bytes);
        let got = Got {
            url: kind.url().to_owned(),
            version: "v".to_owned(),
            nonce: "1".to_owned(),
            resources: vec![ReceivedResource { name: None, version: String::new(), body: Some(bytes), ttl_ms: None }],
            removed: Vec::new(),
            bytes: 0,
        };
        let (_, asks) = Session::new(Variant::World).got(0.0, &got, None);
        prop_assert!(!asks.is_empty(), "every response is answered");
    }

    #[test]
    fn what_is_told_is_read_back_as_it_was_meant(cores in 0.0f64..1e5, port in 1u16.., state in 0u8..3) {
        let health = [Health::Usable, Health::Aside, Health::Draining][usize::from(state)];
        let one = Engine { cores, health, ..engine("s-1", port, 1.0) };
        let mut world = World::new(terms());
        world.show(&[one]);
        let p = world.join("p", Variant::Delta);
        world.pass(0.0);
        let held = world.proxies[p].session.held();
        let told = &held.endpoints("boxes")[0];
        let weight = (cores * 100.0).round().clamp(1.0, 1e6) as u32;
        prop_assert_eq!((told.address.port(), told.weight, &*told.name), (port, weight, "s-1"));
        prop_assert_eq!(world.proxies[p].usable().len(), usize::from(health == Health::Usable));
        prop_assert!(held.item(Kind::Lds, "tills").is_some());
    }

    #[test]
    fn no_course_of_requests_makes_the_plane_fall_over_or_grow(
        delta in any::<bool>(),
        steps in prop::collection::vec(steps(), 0..120),
    ) {
        let variant = if delta { Variant::Delta } else { Variant::World };
        let mut plane = Plane::new(0.0, terms());
        let stream = plane.opened(0.0, variant, "").unwrap();
        let (mut now, mut nonces) = (0.0, std::collections::BTreeMap::new());
        let mut engines: Vec<Engine> = vec![engine("s-1", 1, 1.0)];
        for step in steps {
            match step {
                Step::Ask(ask) => {
                    let _ = plane.asked(now, stream, "p", &ask);
                }
                Step::Answer(kind, ok, names) => {
                    if let Some(nonce) = nonces.get(&kind) {
                        let ask = Ask { names, ..answer(kind, *nonce, &[], (!ok).then_some("no")) };
                        let _ = plane.asked(now, stream, "p", &ask);
                    }
                }
                Step::Take => {
                    if let Some(response) = plane.next(now, stream) {
                        if !response.heartbeat {
                            nonces.insert(response.kind, response.nonce);
                        }
                    }
                }
                Step::Engine(which, state) => {
                    let name = format!("s-{which}");
                    engines.retain(|e| *e.name != *name);
                    let health = [Health::Usable, Health::Aside, Health::Draining, Health::Usable][usize::from(state.min(3))];
                    if state < 4 {
                        let warmth = if state == 3 { 0.4 } else { 1.0 };
                        engines.push(Engine { health, ..engine(&name, 1 + u16::from(which), warmth) });
                    }
                    plane.picture(now, picture(&engines));
                }
                Step::Pass(ms) => {
                    now += f64::from(ms);
                    plane.tick(now);
                }
            }
            let status = plane.status(now);
            prop_assert!(status.len() < 64 * 1024 && !status.chars().any(char::is_control), "{}", status);
            for part in status.split("\"waiting\":").skip(1) {
                let waiting: usize = part.split([',', '}']).next().unwrap().parse().unwrap();
                prop_assert!(waiting <= PENDING_MOST);
            }
        }
    }
}
