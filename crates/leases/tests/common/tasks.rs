//! Tasks of all schedules, some of them invalid.

use super::random::Random;
use beamgap_leases::spec::{Spec, Unknown, When};

/// Names that commands may speak of; the last one is never defined.
pub const NAMES: [&str; 8] = ["always", "pinned", "asked", "repeat", "every", "daily", "slow", "nowhere"];

/// A valid list of tasks, changed at random from the usual one.
pub fn random_tasks(random: &mut Random) -> Vec<Spec> {
    let mut tasks = usual_tasks();
    for task in &mut tasks {
        if random.percent(25) {
            task.steps = 1 + random.below(4) as u32;
            task.priority = random.below(4) as u8;
        }
        if random.percent(15) {
            task.zones = vec!["west".to_owned()];
        }
        if random.percent(15) {
            task.lease = random.millis(2000, 8000);
        }
    }
    let removed = random.index(tasks.len() + 2);
    if removed < tasks.len() {
        tasks.remove(removed);
    }
    if random.percent(20) {
        tasks.push(invalid_task(random));
    }
    tasks
}

/// One task of each schedule and of each rule for steps that may have run.
pub fn usual_tasks() -> Vec<Spec> {
    let daily = When::At { minute: 600, window: 90 };
    vec![
        Spec { lease: 3000.0, ..Spec::new("always", When::Always, "a") },
        Spec { members: vec!["m1".to_owned(), "m2".to_owned()], ..Spec::new("pinned", When::Always, "b") },
        Spec { steps: 4, step: 400.0, tries: 2, backoff: 700.0, ..Spec::new("asked", When::Asked, "c") },
        Spec { steps: 3, step: 500.0, unknown: Unknown::Repeat, ..Spec::new("repeat", When::Asked, "d") },
        Spec {
            steps: 3,
            step: 300.0,
            unknown: Unknown::Skip,
            ..Spec::new("every", When::Every(7000.0), "e")
        },
        Spec { steps: 2, priority: 3, fenced: false, ..Spec::new("daily", daily, "f") },
        Spec {
            steps: 5,
            step: 1800.0,
            lease: 4000.0,
            backoff: 0.0,
            ..Spec::new("slow", When::Every(9000.0), "g")
        },
    ]
}

/// A task that is refused, each time for one of the reasons there are.
pub fn invalid_task(random: &mut Random) -> Spec {
    let valid = Spec::new("invalid", When::Asked, "h");
    match random.below(9) {
        0 => Spec { name: String::new(), ..valid },
        1 => Spec { name: "under_score".to_owned(), ..valid },
        2 => Spec { lease: 999.0, ..valid },
        3 => Spec { steps: 0, ..valid },
        4 => Spec { step: 2600.0, ..valid },
        5 => Spec { tries: 101, ..valid },
        6 => Spec { backoff: -1.0, ..valid },
        7 => Spec { when: When::Every(10.0), ..valid },
        _ => Spec { when: When::At { minute: 1440, window: 1 }, ..valid },
    }
}
