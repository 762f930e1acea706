//! A whole world played from a seed.

use super::*;
use crate::budget_checker::{check_budgets, BudgetLimit, RateLimit};

/// Tasks of a world that is played from a seed: one that must not be repeated, one that may.
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

/// Budgets of a world in which demand moves: a rate of one account, and a stock that one slow engine holds for long.
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

/// For every second seed something is set aside.
fn budgets(seed: u64) -> String {
    let floor = "  floor       = \"50%\"\n  floor_among = 8\n";
    BUDGETS.replace("FLOOR", if seed.is_multiple_of(2) { floor } else { "" })
}

fn bounds(law: &Law) -> Vec<BudgetLimit> {
    let versions = law.versions.iter().filter(|(_, v)| v.budgets).map(|(number, _)| *number);
    let versions: BTreeSet<u64> = versions.collect();
    let leinster = BudgetLimit {
        account: "leinster".to_owned(),
        rate: Some(RateLimit { per_second: 200.0, burst: 16.0 }),
        ..BudgetLimit::default()
    };
    let looks = BudgetLimit {
        account: "munster".to_owned(),
        class: Some(0),
        max_in_flight: Some(12),
        ..BudgetLimit::default()
    };
    [leinster, looks].map(|bound| BudgetLimit { versions: versions.clone(), ..bound }).to_vec()
}

/// Plays a whole world from a seed; the error tells the seed and the plan.
pub fn play_seed(binary: &Path, seed: u64, trials: &[String]) -> Result<Summary, String> {
    let members = 4 + (seed % 3) as usize;
    played(binary, seed, trials, plan(seed, members, 5000), Options { members, ..Options::default() })
}

/// The same with budgets in each policy, and demand that moves between members.
pub fn play_shared_seed(binary: &Path, seed: u64, trials: &[String]) -> Result<Summary, String> {
    let members = 4 + (seed % 3) as usize;
    let takes = [4, 4, 600].map(Duration::from_millis).to_vec();
    let options = Options { members, takes, common: budgets(seed), ..Options::default() };
    played(binary, seed, trials, plan_shared(seed, members, 5000), options)
}

fn played(
    binary: &Path,
    seed: u64,
    trials: &[String],
    steps: Vec<Step>,
    options: Options,
) -> Result<Summary, String> {
    let shared = !options.common.is_empty();
    let (test, kind) = if shared { ("shared_seeds", "shared") } else { ("seeds_of", "seed") };
    let told = steps.iter().map(Step::to_string).collect::<Vec<_>>().join("\n  ");
    let again = format!(
        "seed {seed}, {} members; play again: RIG_SEEDS={seed} cargo test --test fleet_seeds {test}\n  {told}",
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
                return Err("the budgets did not come into force".to_owned());
            }
        }
        world.play(&steps)?;
        world.mend();
        world.join();
        // Alive again: everybody admits under what is in force, whatever was done to the fleet.
        let version = world.version()?;
        world.all_admit(version, Duration::from_secs(30))?;
        let names = ["once", "again"];
        for name in names {
            let ends = world.wait("tasks end", Duration::from_secs(30), |w| {
                w.operate(&["task", "pause", name]);
                let task = w.task(name);
                task["task"] == name && task["holder"].is_null()
            });
            // What the target saw says more than that something takes too long.
            ends.or_else(|late| world.judge_tasks(&names, &["again"]).and(Err(late)))?;
        }
        let operations = world.judge_tasks(&names, &["again"])?;
        let law = world.law()?;
        let summary = Summary { operations, ..world.judge()? };
        let shared = match shared {
            true => check_budgets(&world.history.all(), &bounds(&law)).map_err(|b: Break| b.to_string())?,
            false => Vec::new(),
        };
        Ok(Summary { shared, ..summary })
    };
    run().map_err(|e: String| format!("{e}\n{again}"))
}
