//! Property tests of the lease accounting and the bounds: for any order of grants, ACKs and NACKs, the leases in use at
//! the proxies never exceed the bound. Also tests the names encoded in versions.

use beamgap_xds::core::allot::{bound, offered, Leases, Shares};
use beamgap_xds::core::picture::{ColdTerms, EngineName};
use beamgap_xds::core::tombs::{named, WithdrawnEngines};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The actual lease state of a proxy: the values in transit to the proxy in order, the value in use, and the answers in
/// transit to the control plane.
#[derive(Default)]
struct ProxyState {
    way: Vec<(u64, u32)>,
    force: u32,
    answers: Vec<(u64, bool)>,
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_sum_in_force_never_passes_the_bound(
        steps in prop::collection::vec((0usize..4, 0u32..9, 0u8..6), 1..200),
        most in 1u32..12,
    ) {
        let engine: EngineName = "s-1".into();
        let mut leases = Leases::default();
        let mut truth: BTreeMap<u64, ProxyState> = (0..4).map(|h| (h, ProxyState::default())).collect();
        let mut push = 0;
        for (holder, wanted, what) in steps {
            let holder = holder as u64;
            let of = truth.get_mut(&holder).unwrap();
            match what {
                // The control plane sends a value, which stays in transit for any number of steps.
                0 | 1 => {
                    push += 1;
                    let value = leases.grant("s-1", holder, wanted, most);
                    leases.record_sent(&engine, holder, push, value);
                    of.way.push((push, value));
                }
                // A value reaches the proxy, which accepts or rejects the value; the ACK or NACK is then in transit.
                2 | 3 if !of.way.is_empty() => {
                    let (push, value) = of.way.remove(0);
                    if what == 2 {
                        of.force = value;
                    }
                    of.answers.push((push, what == 2));
                }
                4 if !of.answers.is_empty() => match of.answers.remove(0) {
                    (push, true) => leases.record_ack(holder, push),
                    (push, false) => leases.record_nack(holder, push),
                },
                _ => {}
            }
            let sum: u32 = truth.values().map(|t| t.force).sum();
            prop_assert!(sum <= most, "{} of {}", sum, most);
            prop_assert!(leases.total("s-1") >= sum, "the recorded total is less than the sum at the proxies");
        }
    }

    #[test]
    fn parts_never_add_up_to_more_than_there_is(
        loads in prop::collection::vec(0.0f64..1e6, 1..40),
        most in 0u32..500,
    ) {
        let mut shares = Shares::default();
        for i in 0..loads.len() {
            shares.register(0.0, i as u64, &format!("p{i}"));
        }
        let load = |node: &str| loads[node[1..].parse::<usize>().unwrap()];
        shares.balance(5_000.0, 2_000.0, &load);
        shares.balance(9_000.0, 2_000.0, &|_| 0.0);
        let parts = shares.divide("s-1", most);
        let sum: u32 = parts.values().sum();
        prop_assert!(sum <= most);
        prop_assert!(sum == most - most / 8, "{} of {} given", sum, most);
    }

    #[test]
    fn a_version_gives_back_the_names_that_it_carries_and_noise_gives_none(
        names in prop::collection::btree_set("[a-zA-Z0-9._:-]{1,20}", 0..80),
        noise in "\\PC{0,200}",
    ) {
        let mut withdrawn = WithdrawnEngines::default();
        withdrawn.merge(0.0, names.iter().map(|n| EngineName::from(n.as_str())));
        let version = withdrawn.version(7, &WithdrawnEngines::default());
        let back = named(&version);
        prop_assert_eq!(back.len(), names.len().min(64));
        prop_assert!(back.iter().all(|n| names.contains(&**n)));
        prop_assert!(named(&noise).len() <= 64);
    }
}

#[test]
fn the_bound_keeps_the_rule_for_a_proxy_that_sends_as_fast_as_it_may() {
    // Simulates an engine that works at full capacity and proxies that reuse every free slot immediately. All requests
    // time out once per span, which frees each slot. The work sent within any span must stay within the proxies' part
    // of the limit.
    for work in [20.0, 100.0, 400.0, 1_000.0] {
        for cores in [2.4, 4.0, 8.0] {
            let terms = ColdTerms {
                fall_multiple: 3.0,
                fall_span_ms: 1_500.0,
                proxy_share: 0.5,
                instances: 1,
                request_work_ms: work,
            };
            let slots = bound(&terms, cores);
            let (mut queue, mut sent) = (vec![work; slots as usize], vec![(0.0, f64::from(slots) * work)]);
            let mut now = 0.0;
            while now < 9_000.0 && slots > 0 {
                now += 10.0;
                let mut left = cores * 10.0;
                // The engine divides its cores evenly; each completed request is replaced immediately.
                while left > 1e-9 {
                    let least = queue.iter().copied().fold(f64::INFINITY, f64::min);
                    let step = least.min(left / queue.len() as f64);
                    left -= step * queue.len() as f64;
                    for job in &mut queue {
                        *job -= step;
                        if *job <= 1e-9 {
                            *job = work;
                            sent.push((now, work));
                        }
                    }
                }
                if (now / 10.0) as u64 % 150 == 149 {
                    // All requests time out together and are replaced.
                    sent.push((now, f64::from(slots) * work));
                    queue.fill(work);
                }
                let within: f64 = sent.iter().filter(|(at, _)| now - at < 1_500.0).map(|(_, w)| w).sum();
                let part = 0.5 * 3.0 * cores * 1_500.0;
                assert!(within <= part + work, "{within} of {part} with work {work} on {cores} cores");
            }
        }
    }
}

#[test]
fn what_slots_carry_is_as_erlangs_tables_have_it() {
    // Erlang B tables at 2% blocking: 0.0204, 0.224, 1.66, 5.08 and 13.2 erlangs for 1, 2, 5, 10 and 20 lines.
    for (slots, erlangs) in [(0, 0.0), (1, 0.0204), (2, 0.2235), (5, 1.657), (10, 5.084), (20, 13.18)] {
        assert!((offered(slots) - erlangs).abs() < 0.01, "{slots}: {}", offered(slots));
    }
}

#[test]
fn no_bound_comes_of_terms_that_leave_nothing() {
    let terms = ColdTerms {
        fall_multiple: 3.0,
        fall_span_ms: 1_500.0,
        proxy_share: 0.3,
        instances: 1,
        request_work_ms: 100.0,
    };
    assert_eq!(bound(&terms, 8.0), 0);
    assert_eq!(bound(&ColdTerms { proxy_share: 0.5, ..terms }, f64::NAN), 0);
    assert_eq!(bound(&ColdTerms { proxy_share: 0.5, request_work_ms: 0.0, ..terms }, -1.0), 0);
}
