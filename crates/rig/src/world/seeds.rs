//! A whole world played from a seed.

use super::*;

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

/// Plays a whole world from a seed; the error tells the seed and the plan.
pub fn play_seed(binary: &Path, seed: u64, trials: &[String]) -> Result<Summary, String> {
    let members = 4 + (seed % 3) as usize;
    let steps = plan(seed, members, 5000);
    let told = steps.iter().map(Step::to_string).collect::<Vec<_>>().join("\n  ");
    let again = format!("seed {seed}, {members} members; play again: RIG_SEEDS={seed} cargo test --test fleet_seeds\n  {told}");
    let run = || {
        let options =
            Options { members, trials: trials.to_vec(), tasks: TASKS.to_owned(), ..Options::default() };
        let mut world = World::start(binary, &format!("seed-{seed}"), options)?;
        for words in [&["task", "apply"][..], &["task", "run", "once"], &["task", "run", "again"]] {
            let output = world.operate(words);
            if !output.status.success() {
                return Err(format!("{words:?}: {}", String::from_utf8_lossy(&output.stderr)));
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
        let acts = world.judge_tasks(&names, &["again"])?;
        Ok(Summary { acts, ..world.judge()? })
    };
    run().map_err(|e: String| format!("{e}\n{again}"))
}
