//! Tests of policy documents: parsing, validation, comparison and the evaluation of requests and engines.

use beamgap_policy::diff::diff;
use beamgap_policy::document::{parse, Policy};
use beamgap_policy::rules::{AdmissionMeter, CompiledPolicy, Rejection};
use beamgap_policy::validation::{parse_and_validate, KnownNames};
use proptest::prelude::*;

fn known() -> KnownNames {
    let names = |list: &[&str]| list.iter().copied().map(str::to_owned).collect();
    KnownNames {
        classes: names(&["lookup", "report"]),
        accounts: names(&["leinster"]),
        zones: names(&["a", "b"]),
    }
}

fn policy(text: &str) -> Policy {
    parse("p.hcl", text)
        .unwrap_or_else(|e| panic!("{e:?}"))
        .policy
}

/// Invalid policy texts, each with the position and key of its first problem and a part of the message.
const INVALID_TEXTS: [(&str, &str, &str, &str); 9] = [
    ("class \"lookup\" {}\n", "p.hcl:1:1", "form", "is missing"),
    (
        "form = 2\nwhatever {}\n",
        "p.hcl:1:1",
        "form",
        "update this front end's program",
    ),
    (
        "form = 1\nclass \"lokup\" {\n}\n",
        "p.hcl:2:1",
        "class \"lokup\"",
        "did you mean `lookup`?",
    ),
    (
        "form = 1\naccount \"x\" {\n  share = \"50%\"\n}\n",
        "p.hcl:2:1",
        "account \"x\"",
        "known here: leinster",
    ),
    (
        "form = 1\naccount \"leinster\" {\n  share = \"150%\"\n}\n",
        "p.hcl:3:11",
        "accounts[0].share",
        "more than all",
    ),
    (
        "form = 1\nclass \"report\" {\n  deadline = 500\n}\n",
        "p.hcl:3:14",
        "classes[0].deadline",
        "\"500 ms\"",
    ),
    (
        "form = 1\nclass \"report\" {\n  atempts = 2\n}\n",
        "p.hcl:3:3",
        "classes[0].atempts",
        "did you mean `attempts`?",
    ),
    (
        "form = 1\nclass \"report\" {}\nclass \"report\" {}\n",
        "p.hcl:3:1",
        "classes[1]",
        "stands twice",
    ),
    (
        "form = 1\nzone \"a\" {\n weight = \"0%\"\n}\nzone \"b\" {\n weight = \"0%\"\n}\n",
        "p.hcl:1:1",
        "zone",
        "leave one zone",
    ),
];

#[test]
fn each_problem_names_file_line_key_and_fix() {
    for (text, position, key, message_part) in INVALID_TEXTS {
        let problems = parse_and_validate("p.hcl", text, &known()).expect_err(text);
        let line = problems[0].to_string();
        assert!(
            line.starts_with(position) && line.contains(key) && line.contains(message_part),
            "{text}: {line}"
        );
    }
    assert!(
        parse("p.hcl", &"#".repeat(70_000)).is_err(),
        "a text above the maximum length is rejected"
    );
}

#[test]
fn policies_that_mean_the_same_have_no_difference() {
    let a = policy("form = 1\n# a comment\nclass \"report\" {\n  attempts = 2\n}\nengine \"e\" {\n  left_out = false\n}\n");
    let b = policy("form = 1\nclass \"report\" {\n attempts=2\n refused = false\n}\nzone \"a\" {\n weight = \"100%\"\n}\n");
    assert!(diff(&a, &b).is_empty(), "{:?}", diff(&a, &b));
    let c = policy(
        "form = 1\nclass \"report\" {\n  attempts = 3\n}\nengine \"e\" {\n  left_out = true\n}\n",
    );
    let lines: Vec<String> = diff(&a, &c).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "class \"report\" attempts: 2 -> 3",
            "engine \"e\": in use -> left out"
        ]
    );
}

#[test]
fn requests_are_limited_by_class_rate_and_requests_in_flight() {
    let text = "form = 1\nadmission {\n  open_most = 5\n}\nclass \"report\" {\n  refused = true\n}\nclass \"lookup\" {\n  rate = 10\n  attempts = 2\n  deadline = \"1 s\"\n}\n";
    let compiled_policy = CompiledPolicy::new(policy(text), &known().classes);
    let mut meter = AdmissionMeter::default();
    assert_eq!(
        meter.admit(0.0, &compiled_policy, 1, None, 0),
        Err(Rejection::ClassRejected)
    );
    assert_eq!(
        meter.admit(0.0, &compiled_policy, 0, None, 5),
        Err(Rejection::TooManyInFlight)
    );
    let admitted = (0..100)
        .filter(|i| {
            meter
                .admit(f64::from(*i) * 50.0, &compiled_policy, 0, None, 0)
                .is_ok()
        })
        .count();
    assert!(
        (55..=62).contains(&admitted),
        "{admitted} of 100 requests admitted in 5 s; the limit is 10 per second with a burst of 10"
    );
    let limits = meter.admit(9000.0, &compiled_policy, 0, None, 0).unwrap();
    assert_eq!(
        (limits.max_attempts, limits.deadline_ms),
        (Some(2), Some(1000.0))
    );
}

#[test]
fn an_account_is_admitted_up_to_its_share_of_all_requests() {
    let compiled_policy = CompiledPolicy::new(
        policy("form = 1\naccount \"leinster\" {\n  share = \"25%\"\n}\n"),
        &known().classes,
    );
    for (others, sent_fraction) in [(3, 0.25f64), (1, 0.5), (0, 1.0)] {
        let (mut meter, mut admitted) = (AdmissionMeter::default(), 0);
        for i in 0..400 {
            let now = f64::from(i) * 10.0;
            admitted += usize::from(
                meter
                    .admit(now, &compiled_policy, 0, Some("leinster"), 0)
                    .is_ok(),
            );
            for _ in 0..others {
                assert!(meter
                    .admit(now, &compiled_policy, 0, Some("munster"), 0)
                    .is_ok());
            }
        }
        // The account may use a quarter of all requests, whatever fraction of the requests it sends.
        let limit: f64 = 0.25 / sent_fraction;
        let admitted_fraction = admitted as f64 / 400.0;
        assert!(
            (admitted_fraction - limit.min(1.0)).abs() < 0.08,
            "{others} other requests per own request: {admitted_fraction} admitted, expected {limit}"
        );
    }
}

proptest! {
    /// A zone's weight determines what fraction of its engines is in use. Lowering the weight only removes engines.
    #[test]
    fn a_zones_weight_keeps_its_part_of_engines_and_a_lower_one_a_subset(low in 0u32..100, more in 0u32..100) {
        let high = (low + more).min(100);
        let engines_in_use = |weight: u32| {
            let text = format!("form = 1\nzone \"a\" {{\n  weight = \"{weight}%\"\n}}\n");
            let compiled_policy = CompiledPolicy::new(policy(&text), &[]);
            (0..400).filter(|i| !compiled_policy.excludes(&format!("s-{i:08x}"), "a")).collect::<std::collections::BTreeSet<_>>()
        };
        let (at_low, at_high) = (engines_in_use(low), engines_in_use(high));
        prop_assert!(at_low.is_subset(&at_high));
        prop_assert!((at_high.len() as f64 / 4.0 - f64::from(high)).abs() < 10.0, "{} of 400 engines in use at {high}%", at_high.len());
    }

    /// The parser never panics, and a parsed policy has no differences from itself.
    #[test]
    fn any_text_is_parsed_or_rejected(text in "(form = [0-9]{1,3}\n)?(class|engine|zone|account|admission)? ?(\"[a-z]{0,5}\")? ?\\{?[ -~\n]{0,80}\\}?") {
        if let Ok(parsed) = parse("p", &text) {
            prop_assert!(diff(&parsed.policy, &parsed.policy).is_empty());
        }
    }
}
