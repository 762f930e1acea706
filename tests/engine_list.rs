//! Updates of the engine list: what the gateway knows of an engine stays with that engine.

mod common;

use beamgap::*;
use common::{engine, list, member, request, sent, settings, Bench};

fn is_in_use(bench: &Bench, name: &str) -> bool {
    let statuses = bench.gateway.engine_statuses();
    statuses.iter().any(|status| status.engine == engine(name) && status.in_use)
}

// Guards against a new engine that is taken for another one: in a whole list it was handed the place of an engine that
// came later in the list, which lost its ejection and its load.
#[test]
fn a_whole_list_with_a_new_engine_first_keeps_what_is_known_of_the_others() {
    let (failing, sound, new) = ("10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70");
    let mut bench = Bench::new(settings(), vec![member(failing), member(sound)]);
    for number in 0..200 {
        let id = format!("q{number}");
        let mut sends = sent(&bench.arrive(request(&id, 0, number, 4000)));
        let mut attempt = 0;
        while let Some(to) = sends.pop() {
            bench.pass(10);
            let outcome = if to == engine(failing) { Outcome::ConnectFailed } else { Outcome::Served };
            sends = sent(&bench.close(&id, attempt, &to, outcome, 10));
            attempt += 1;
        }
    }
    assert!(!is_in_use(&bench, failing), "an engine that refuses all connections is ejected");
    bench.tell(list(ListKind::Full, vec![member(new), member(failing), member(sound)]));
    assert!(!is_in_use(&bench, failing), "the ejection was lost");
    assert!(is_in_use(&bench, new) && is_in_use(&bench, sound));
}
