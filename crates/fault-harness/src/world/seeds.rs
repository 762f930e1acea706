//! Test runs that are derived from a seed: options, plan of faults, tasks and budgets.

use super::*;
use crate::budget_checker::{check_budgets, BudgetLimit, RateLimit};

/// Tasks of a seeded run. Steps of `once` must not be repeated after an unknown outcome; steps of `again` may be.
const TASKS: &str = r#"
  task "once" {
    call      = "TARGET/once"
    steps     = 120
    step_time = "300 ms"
    lease     = "1200 ms"
    unknown   = "skip"
  }
  task "again" {
    call      = "TARGET/again"
    steps     = 120
    step_time = "300 ms"
    lease     = "1200 ms"
    unknown   = "repeat"
    tries     = 100
    backoff   = "50 ms"
  }
"#;

/// Budgets of a seeded run with moving demand: a request rate for one account and a limit on open requests.
/// A slow engine uses up the limit on open requests for a long time. [`budgets`] replaces `FLOOR`.
const BUDGETS: &str = r#"
budget "leinster" {
  limits      = "requests"
  account     = "leinster"
  rate        = 200
  burst       = 16
FLOOR}
budget "look-ups" {
  limits  = "open"
  account = "munster"
  class   = "lookup"
  most    = 12
  longest = "6 s"
}
"#;

/// Returns the `budget` blocks for a seed; for even seeds, half of the rate budget is reserved as a floor for members.
fn budgets(seed: u64) -> String {
    let floor = "  floor       = \"50%\"\n  floor_among = 8\n";
    BUDGETS.replace("FLOOR", if seed.is_multiple_of(2) { floor } else { "" })
}

/// Returns the limits that the budget checker enforces; they repeat the values in [`BUDGETS`].
fn checked_limits(law: &Law) -> Vec<BudgetLimit> {
    let versions = law.versions.iter().filter(|(_, v)| v.budgets).map(|(number, _)| *number);
    let versions: BTreeSet<u64> = versions.collect();
    let leinster = BudgetLimit {
        account: "leinster".to_owned(),
        rate: Some(RateLimit { per_second: 200.0, burst: 16.0 }),
        ..BudgetLimit::default()
    };
    let munster_lookups = BudgetLimit {
        account: "munster".to_owned(),
        class: Some(0),
        max_in_flight: Some(12),
        ..BudgetLimit::default()
    };
    [leinster, munster_lookups].map(|limit| BudgetLimit { versions: versions.clone(), ..limit }).to_vec()
}

/// Runs a fleet with the faults that a seed yields and checks its history.
///
/// # Errors
///
/// The failure or violation, with the seed, the plan of faults and the command that repeats the run.
pub fn play_seed(binary: &Path, seed: u64, trials: &[String]) -> Result<Summary, String> {
    let members = 4 + (seed % 3) as usize;
    run_plan(binary, seed, trials, plan(seed, members, 5000), Options { members, ..Options::default() })
}

/// Runs a fleet like [`play_seed`], with budgets in each policy and with demand that moves between members.
///
/// # Errors
///
/// Returns an error in the same cases as [`play_seed`].
pub fn play_shared_seed(binary: &Path, seed: u64, trials: &[String]) -> Result<Summary, String> {
    let members = 4 + (seed % 3) as usize;
    let takes = [4, 4, 600].map(Duration::from_millis).to_vec();
    let options = Options { members, takes, common: budgets(seed), ..Options::default() };
    run_plan(binary, seed, trials, plan_shared(seed, members, 5000), options)
}

/// Runs a fleet with a plan of faults, ends all faults, waits until the fleet has recovered and checks the history.
fn run_plan(
    binary: &Path,
    seed: u64,
    trials: &[String],
    steps: Vec<Step>,
    options: Options,
) -> Result<Summary, String> {
    let shared = !options.common.is_empty();
    let (test, kind) = if shared { ("shared_seeds", "shared") } else { ("seeds_of", "seed") };
    let plan_text = steps.iter().map(Step::to_string).collect::<Vec<_>>().join("\n  ");
    let reproduction = format!(
        "seed {seed}, {} members; play again: RIG_SEEDS={seed} cargo test --test fleet_seeds {test}\n  {plan_text}",
        options.members
    );
    let run = || {
        let options = Options { trials: trials.to_vec(), tasks: TASKS.to_owned(), ..options };
        let mut world = World::start(binary, &format!("{kind}-{seed}"), options)?;
        for words in [&["task", "apply"][..], &["task", "run", "once"], &["task", "run", "again"]] {
            let output = world.operate(words);
            if !output.status.success() {
                return Err(format!("{words:?}: {}", String::from_utf8_lossy(&output.stderr)));
            }
        }
        if shared {
            let file = world.policy(POLICIES.len() - 1);
            let words = ["policy", "propose", &file.to_string_lossy(), "--json", "--wait", "20"];
            if world.change(&words).0 != 0 {
                return Err("the policy with the budgets was not activated".to_owned());
            }
        }
        world.play(&steps)?;
        world.mend();
        world.join();
        // Liveness: after all faults have ended, every member must admit requests under the active version again.
        let version = world.version()?;
        world.all_admit(version, Duration::from_secs(30))?;
        let names = ["once", "again"];
        for name in names {
            let ends = world.wait("tasks end", Duration::from_secs(30), |w| {
                w.operate(&["task", "pause", name]);
                let task = w.task(name);
                task["task"] == name && task["holder"].is_null()
            });
            // After a timeout, a violation in the target's operations explains more than the timeout, so it is reported first.
            ends.or_else(|late| world.judge_tasks(&names, &["again"]).and(Err(late)))?;
        }
        let operations = world.judge_tasks(&names, &["again"])?;
        let law = world.law()?;
        let summary = Summary { operations, ..world.judge()? };
        let shared = match shared {
            true => check_budgets(&world.history.all(), &checked_limits(&law))
                .map_err(|b: Break| b.to_string())?,
            false => Vec::new(),
        };
        Ok(Summary { shared, ..summary })
    };
    run().map_err(|e: String| format!("{e}\n{reproduction}"))
}
