//! Task definitions for the simulation, with all kinds of schedules, and invalid definitions.

use super::random::Random;
use beamgap_leases::{OnUnknownOutcome, Schedule, TaskSpec};

/// Task names that random commands refer to. A task with the last name is never defined.
pub const NAMES: [&str; 8] = [
    "always", "pinned", "asked", "repeat", "every", "daily", "slow", "nowhere",
];

/// Returns the default tasks with random changes: other values, one task removed, or an invalid
/// task added.
pub fn random_tasks(random: &mut Random) -> Vec<TaskSpec> {
    let mut tasks = default_tasks();
    for task in &mut tasks {
        if random.percent(25) {
            task.step_count = 1 + random.below(4) as u32;
            task.priority = random.below(4) as u8;
        }
        if random.percent(15) {
            task.zones = vec!["west".to_owned()];
        }
        if random.percent(15) {
            task.lease_ms = random.millis(2000, 8000);
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

/// Returns tasks that cover each schedule and each rule for steps with an unknown outcome.
pub fn default_tasks() -> Vec<TaskSpec> {
    let daily = Schedule::Daily {
        minute: 600,
        window: 90,
    };
    vec![
        TaskSpec {
            lease_ms: 3000.0,
            ..TaskSpec::new("always", Schedule::Always, "a")
        },
        TaskSpec {
            members: vec!["m1".to_owned(), "m2".to_owned()],
            ..TaskSpec::new("pinned", Schedule::Always, "b")
        },
        TaskSpec {
            step_count: 4,
            max_step_ms: 400.0,
            max_attempts: 2,
            backoff_ms: 700.0,
            ..TaskSpec::new("asked", Schedule::OnDemand, "c")
        },
        TaskSpec {
            step_count: 3,
            max_step_ms: 500.0,
            on_unknown: OnUnknownOutcome::Repeat,
            ..TaskSpec::new("repeat", Schedule::OnDemand, "d")
        },
        TaskSpec {
            step_count: 3,
            max_step_ms: 300.0,
            on_unknown: OnUnknownOutcome::Skip,
            ..TaskSpec::new("every", Schedule::Every(7000.0), "e")
        },
        TaskSpec {
            step_count: 2,
            priority: 3,
            requires_fencing: false,
            ..TaskSpec::new("daily", daily, "f")
        },
        TaskSpec {
            step_count: 5,
            max_step_ms: 1800.0,
            lease_ms: 4000.0,
            backoff_ms: 0.0,
            ..TaskSpec::new("slow", Schedule::Every(9000.0), "g")
        },
    ]
}

/// Returns a task definition that fails validation for a randomly chosen reason.
pub fn invalid_task(random: &mut Random) -> TaskSpec {
    let valid = TaskSpec::new("invalid", Schedule::OnDemand, "h");
    match random.below(9) {
        0 => TaskSpec {
            name: String::new(),
            ..valid
        },
        1 => TaskSpec {
            name: "under_score".to_owned(),
            ..valid
        },
        2 => TaskSpec {
            lease_ms: 999.0,
            ..valid
        },
        3 => TaskSpec {
            step_count: 0,
            ..valid
        },
        4 => TaskSpec {
            max_step_ms: 2600.0,
            ..valid
        },
        5 => TaskSpec {
            max_attempts: 101,
            ..valid
        },
        6 => TaskSpec {
            backoff_ms: -1.0,
            ..valid
        },
        7 => TaskSpec {
            schedule: Schedule::Every(10.0),
            ..valid
        },
        _ => TaskSpec {
            schedule: Schedule::Daily {
                minute: 1440,
                window: 1,
            },
            ..valid
        },
    }
}
