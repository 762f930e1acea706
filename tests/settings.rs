//! Settings in which one value is missing, zero or absurd. The configuration must either be rejected with the key of
//! that value, or leave a gateway that answers all requests.

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

/// Collects the paths of all values that are neither objects nor lists of objects.
fn collect_leaf_paths(value: &OwnedValue, path: &[String], all: &mut Vec<Vec<String>>) {
    if let Some(object) = value.as_object() {
        object.iter().for_each(|(key, value)| {
            collect_leaf_paths(value, &[path, std::slice::from_ref(key)].concat(), all)
        });
    } else if let Some(list) = value.as_array().filter(|list| list.iter().any(|v| v.as_object().is_some())) {
        list.iter()
            .enumerate()
            .for_each(|(i, value)| collect_leaf_paths(value, &[path, &[i.to_string()]].concat(), all));
    } else {
        all.push(path.to_vec());
    }
}

/// Returns a copy of `value` in which the value at `path` is replaced, or removed if `to` is `None`.
fn with_value_at(value: &OwnedValue, path: &[String], to: Option<&OwnedValue>) -> OwnedValue {
    let (key, rest) = path.split_first().expect("the path is not empty");
    let mut value = value.clone();
    if let OwnedValue::Object(object) = &mut value {
        match (rest.is_empty(), to) {
            (true, None) => drop(object.remove(key)),
            (true, Some(to)) => drop(object.insert(key.clone(), to.clone())),
            _ => {
                let inner = with_value_at(&object[key], rest, to);
                object.insert(key.clone(), inner);
            }
        }
    } else if let OwnedValue::Array(list) = &mut value {
        let i: usize = key.parse().expect("a list index");
        list[i] = with_value_at(&list[i], rest, to);
    }
    value
}

#[test]
fn a_figure_of_the_settings_that_is_absent_zero_or_absurd_is_named_or_does_no_harm() {
    let engines: Vec<SocketAddr> = (1..5).map(|i| SocketAddr::from(([127, 0, 0, 1], i))).collect();
    let text = stage::config(&engines, engines[0], r#""listen":"127.0.0.1:0","#);
    let root = json::read(text.into_bytes()).expect("JSON");
    let mut all = Vec::new();
    collect_leaf_paths(&root["settings"], &["settings".to_owned()], &mut all);
    assert!(all.len() >= 30, "{all:?}");
    let replacements =
        ["0", "-1", "1e300", "1e-300", "\"x\"", "null", "true", "[]", "{}", "[0]", "[-1,1e300]"];
    let replacements: Vec<OwnedValue> =
        replacements.iter().map(|t| json::read(t.as_bytes().to_vec()).expect("JSON")).collect();
    let (mut refused, mut served) = (0, 0);
    for path in &all {
        for to in [None].into_iter().chain(replacements.iter().map(Some)) {
            let case = format!("{}: {to:?}", path.join("."));
            let text = with_value_at(&root, path, to).encode();
            let config = match Config::read(text.into_bytes(), &|_| None) {
                Ok(config) => config,
                Err(e) => {
                    assert!(e.key.starts_with("settings"), "{case}: {e}");
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
                    let ended_request = |a: &Action| match a {
                        Action::Reject { request, .. } | Action::Fail { request } => {
                            Some(request.0.to_string())
                        }
                        _ => None,
                    };
                    done.iter().filter_map(ended_request).for_each(|id| open.retain(|o| *o != id));
                    let Some((id, at)) = to else { break };
                    let outcome =
                        [Outcome::Error, Outcome::Overloaded, Outcome::Served][(i as usize + attempt) % 3];
                    done = b.close(&id, attempt as u32, &at, outcome, 5);
                    (outcome == Outcome::Served).then(|| open.remove(&id));
                }
            }
            let late = b.pass(3000);
            let ended_request = |a: &Action| match a {
                Action::Reject { request, .. } | Action::Fail { request } => Some(request.0.to_string()),
                _ => None,
            };
            late.iter().filter_map(ended_request).for_each(|id| open.retain(|o| *o != id));
            // Requests forwarded in this last step may still be in flight. Requests queued in the gateway must have
            // been rejected or failed by now, since their deadlines have passed.
            let out = late.iter().filter(|a| matches!(a, Action::Forward { .. })).count();
            assert!(open.len() <= out, "{case}: requests without an answer: {open:?}");
        }
    }
    assert!(refused >= 20 && served >= 100, "{refused} refused, {served} served");
}
