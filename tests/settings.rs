//! Settings with a figure that is absent, zero or absurd: refused with its key, or harmless.

mod common;
#[path = "common/stage.rs"]
mod stage;

use beamgap::node::config::Config;
use beamgap::node::json::{self, *};
use beamgap::*;
use common::{ms, request, Bench};
use simd_json::prelude::Writable;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// All figures of the settings by their path.
fn leaves(value: &OwnedValue, path: &[String], all: &mut Vec<Vec<String>>) {
    if let Some(object) = value.as_object() {
        object
            .iter()
            .for_each(|(key, value)| leaves(value, &[path, std::slice::from_ref(key)].concat(), all));
    } else if let Some(list) = value.as_array().filter(|list| list.iter().any(|v| v.as_object().is_some())) {
        list.iter().enumerate().for_each(|(i, value)| leaves(value, &[path, &[i.to_string()]].concat(), all));
    } else {
        all.push(path.to_vec());
    }
}

/// The value with one figure replaced, or taken out.
fn changed(value: &OwnedValue, path: &[String], to: Option<&OwnedValue>) -> OwnedValue {
    let (key, rest) = path.split_first().expect("a path");
    let mut value = value.clone();
    if let OwnedValue::Object(object) = &mut value {
        match (rest.is_empty(), to) {
            (true, None) => drop(object.remove(key)),
            (true, Some(to)) => drop(object.insert(key.clone(), to.clone())),
            _ => {
                let inner = changed(&object[key], rest, to);
                object.insert(key.clone(), inner);
            }
        }
    } else if let OwnedValue::Array(list) = &mut value {
        let i: usize = key.parse().expect("a place");
        list[i] = changed(&list[i], rest, to);
    }
    value
}

#[test]
fn a_figure_of_the_settings_that_is_absent_zero_or_absurd_is_named_or_does_no_harm() {
    let engines: Vec<SocketAddr> = (1..5).map(|i| SocketAddr::from(([127, 0, 0, 1], i))).collect();
    let text = stage::config(&engines, engines[0], r#""listen":"127.0.0.1:0","#);
    let root = json::read(text.into_bytes()).expect("JSON");
    let mut all = Vec::new();
    leaves(&root["settings"], &["settings".to_owned()], &mut all);
    assert!(all.len() >= 30, "{all:?}");
    let odd = ["0", "-1", "1e300", "1e-300", "\"x\"", "null", "true", "[]", "{}", "[0]", "[-1,1e300]"];
    let odd: Vec<OwnedValue> = odd.iter().map(|t| json::read(t.as_bytes().to_vec()).expect("JSON")).collect();
    let (mut refused, mut served) = (0, 0);
    for path in &all {
        for to in [None].into_iter().chain(odd.iter().map(Some)) {
            let told = format!("{}: {to:?}", path.join("."));
            let text = changed(&root, path, to).encode();
            let config = match Config::read(text.into_bytes(), &|_| None) {
                Ok(config) => config,
                Err(e) => {
                    assert!(e.key.starts_with("settings"), "{told}: {e}");
                    refused += 1;
                    continue;
                }
            };
            served += 1;
            let members: Vec<EngineEntry> =
                config.initial_events[0].engines.iter().map(|listing| listing.entry.clone()).collect();
            let mut b = Bench::born(config.settings, 1, ms(1000), members);
            let mut open = BTreeSet::new();
            for i in 0..20 {
                let (id, class) = (format!("q{i}"), i as usize % 2);
                let mut done = b.arrive(request(&id, class, i, 2500));
                open.insert(id);
                for attempt in 0..8 {
                    done.extend(b.pass(20));
                    let to = done.iter().find_map(|a| match a {
                        Action::Forward { request, engine, .. } => {
                            Some((request.0.to_string(), engine.clone()))
                        }
                        _ => None,
                    });
                    let over = |a: &Action| match a {
                        Action::Reject { request, .. } | Action::Fail { request } => {
                            Some(request.0.to_string())
                        }
                        _ => None,
                    };
                    done.iter().filter_map(over).for_each(|id| open.retain(|o| *o != id));
                    let Some((id, at)) = to else { break };
                    let outcome =
                        [Outcome::Error, Outcome::Overloaded, Outcome::Served][(i as usize + attempt) % 3];
                    done = b.close(&id, attempt as u32, &at, outcome, 5);
                    (outcome == Outcome::Served).then(|| open.remove(&id));
                }
            }
            let late = b.pass(3000);
            let over = |a: &Action| match a {
                Action::Reject { request, .. } | Action::Fail { request } => Some(request.0.to_string()),
                _ => None,
            };
            late.iter().filter_map(over).for_each(|id| open.retain(|o| *o != id));
            // What is out still has its client's time; what waits in the module has had its answer by then.
            let out = late.iter().filter(|a| matches!(a, Action::Forward { .. })).count();
            assert!(open.len() <= out, "{told}: {open:?} never had an answer");
        }
    }
    assert!(refused >= 20 && served >= 100, "{refused} refused, {served} served");
}
