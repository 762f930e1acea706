//! Tests that the checker of the platform's rules accepts a valid history and finds each kind of violation.

use beamgap_fakes::rules::{judge, Asked, Rules, Said};
use beamgap_fakes::warehouse::{
    Act,
    What::{self, Broke, Came, Served, TurnedAway},
};

fn asked(at: f64, id: &str) -> Asked {
    let key = Some("k".to_owned());
    Asked { at, id: id.to_owned(), class: 0, key, until: at + 1000.0, gone: None }
}

fn act(at: f64, id: &str, what: What) -> Act {
    Act { at, id: id.to_owned(), what }
}

fn violations(said: &[(f64, &str, Said)], acts: &[Act]) -> Vec<String> {
    let rules = Rules {
        safe: vec![false],
        ordered: vec![true],
        rest_ms: 300.0,
        ration: Some((0.0, 0.1, 1000.0)),
        most: Some(3),
        grace_ms: 50.0,
    };
    let said: Vec<_> = said.iter().map(|(at, id, said)| (*at, (*id).to_owned(), *said)).collect();
    judge(&[asked(0.0, "a"), asked(100.0, "b")], &said, acts, &rules)
}

#[test]
fn a_good_history_passes_and_each_invented_violation_is_found() {
    let answers = [(50.0, "a", Said::Served), (500.0, "b", Said::Served)];
    let good = [act(10.0, "a", Came), act(50.0, "a", Served), act(110.0, "b", Came), act(500.0, "b", Served)];
    assert_eq!(violations(&answers, &good), Vec::<String>::new());
    let finds = |said: &[(f64, &str, Said)], acts: &[Act], word: &str| {
        let found = violations(said, acts);
        assert!(found.iter().any(|line| line.contains(word)), "{word}: {found:?}");
    };
    finds(&answers[..1], &good, "0 final answers");
    finds(&[answers[0], answers[0], answers[1]], &good, "2 final answers");
    finds(&[answers[0], (1200.0, "b", Said::Served)], &good, "too late");
    finds(&answers, &[act(10.0, "a", Came), act(20.0, "a", Came)], "two attempts out");
    finds(&answers, &[act(10.0, "a", Came), act(20.0, "a", Broke), act(30.0, "a", Came)], "may have run");
    finds(&[(50.0, "a", Said::Refused)], &good[..2], "refused though");
    finds(&[(200.0, "a", Said::Served), answers[1]], &good, "before a was over");
    finds(&answers, &[act(10.0, "a", Came), act(50.0, "a", Broke), good[2].clone()], "rests till");
    let often: Vec<Act> =
        (0..6).flat_map(|i| [act(f64::from(i), "a", Came), act(f64::from(i), "a", TurnedAway)]).collect();
    finds(&answers, &often, "6 attempts");
    finds(&answers, &often, "further attempts");
}
