//! Hard cases of tasks of a whole fleet, each with several real processes. The promises are those of `docs/leases.md`; after
//! each case the judge looks at what the target saw.

use beamgap_fault_harness::case::Case;
use beamgap_fault_harness::history::What;
use beamgap_fault_harness::now;
use beamgap_fault_harness::relay::Way;
use beamgap_fault_harness::world::Options;
use serde_json::Value;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

const SOON: Duration = Duration::from_secs(30);
const LEASE: f64 = 1500.0;

/// A fleet with one task of so many steps, which begins to run.
fn world(name: &str, steps: u32, more: &str, trial: &str) -> Case {
    with_trials(name, steps, more, &[trial])
}

fn with_trials(name: &str, steps: u32, more: &str, trials: &[&str]) -> Case {
    let tasks = format!(
        "  task \"feed\" {{\n    call = \"TARGET/feed\"\n    steps = {steps}\n    step_time = \"300 ms\"\n    lease = \"1500 ms\"\n    {more}\n  }}\n"
    );
    let options =
        Options { tasks, trials: trials.iter().map(|t| (*t).to_owned()).collect(), ..Options::default() };
    let w = Case::start(Path::new(env!("CARGO_BIN_EXE_beamgap")), name, options);
    done(&w, &["task", "apply"]);
    done(&w, &["task", "run", "feed"]);
    w
}

fn done(w: &Case, words: &[&str]) {
    let output = w.operate(words);
    assert!(output.status.success(), "{words:?}: {}", String::from_utf8_lossy(&output.stderr));
}

fn holder(w: &Case) -> Option<usize> {
    w.task("feed")["holder"].as_str()?.strip_prefix('n')?.parse().ok()
}

/// Waits until an act has begun since a time, with a token above this one.
fn acts_again(w: &Case, since: f64, above: u64) -> f64 {
    let began = |e: &beamgap_fault_harness::history::Event| match &e.what {
        What::Began { token, .. } => (e.at >= since && *token > above).then_some(e.at),
        _ => None,
    };
    w.wait("another acts", SOON, |w| w.history.all().iter().any(|e| began(e).is_some())).unwrap();
    w.history.all().iter().find_map(began).unwrap_or(f64::NAN)
}

fn over(w: &Case) -> Value {
    w.wait("the run is over", Duration::from_secs(60), |w| w.task("feed")["run"].is_null()).unwrap();
    w.task("feed")
}

fn outcomes(task: &Value, of: &str) -> usize {
    task["record"].as_array().map_or(0, |all| all.iter().filter(|s| s["outcome"] == of).count())
}

#[test]
fn promise_4_a_run_goes_through_its_steps_once_each_and_in_order() {
    let w = world("run", 12, "", "");
    let task = over(&w);
    assert_eq!((outcomes(&task, "done"), steps_of(&w)), (12, 12), "{task}");
    let operations = w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((operations.executed, operations.refused_as_stale, operations.tokens), (12, 0, 1));
}

#[test]
fn promise_3_a_holder_that_dies_is_followed_by_another_in_time() {
    let mut w = world("dies", 40, "unknown = \"skip\"", "");
    w.wait("it acts", SOON, |w| steps_of(w) > 3).unwrap();
    let (first, token) = (holder(&w).expect("held"), w.task("feed")["token"].as_u64().unwrap());
    let killed = now();
    w.kill(first);
    let after = acts_again(&w, killed, token) - killed;
    assert!(after < LEASE + 2000.0, "{after:.0} ms without a holder");
    w.begin(first).unwrap();
    over(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

fn steps_of(w: &beamgap_fault_harness::world::World) -> usize {
    w.history.all().iter().filter(|e| matches!(e.what, What::Began { .. })).count()
}

#[test]
fn promise_1_a_holder_stopped_between_look_and_act_for_three_lease_lengths_is_refused_and_knows() {
    // Every act waits behind its look, so that the holder can be stopped exactly there.
    let w = world("stopped", 30, "unknown = \"skip\"", "look=150");
    w.wait("it acts", SOON, |w| steps_of(w) > 2).unwrap();
    let looks = |w: &beamgap_fault_harness::world::World, from: f64| {
        w.history.all().into_iter().find_map(|e| match e.what {
            What::Look { member, token, .. } if e.at >= from => Some((member, token)),
            _ => None,
        })
    };
    let from = now();
    let until = std::time::Instant::now() + SOON;
    let (member, token) = loop {
        if let Some(look) = looks(&w, from) {
            break look;
        }
        assert!(std::time::Instant::now() < until, "nobody looked");
        std::thread::yield_now();
    };
    let stopped = w.members.iter().position(|m| m.name == member).expect("a member");
    w.members[stopped].stop();
    let at = now();
    // Others act meanwhile; the stopped one is woken three lengths later.
    acts_again(&w, at, token);
    w.wait("three lengths", SOON, |_| now() - at > 3.0 * LEASE).unwrap();
    w.members[stopped].wake();
    let refused = |w: &beamgap_fault_harness::world::World| {
        w.history.all().iter().any(|e| matches!(e.what, What::Stale { token: t, .. } if t == token))
    };
    w.wait("its act is refused", SOON, refused).unwrap();
    let task = over(&w);
    assert!(outcomes(&task, "unknown") >= 1, "{task}");
    let operations = w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
    assert!(operations.refused_as_stale >= 1 && operations.tokens >= 2, "{operations:?}");
}

#[test]
fn promise_2_a_holder_cut_off_from_the_council_stops_before_another_acts() {
    let w = world("cut-off", 60, "unknown = \"skip\"", "");
    w.wait("it acts", SOON, |w| steps_of(w) > 3).unwrap();
    let (first, token) = (holder(&w).expect("held"), w.task("feed")["token"].as_u64().unwrap());
    let from = now();
    w.cut(first, Way::Silent, Way::Silent);
    let after = acts_again(&w, from, token) - from;
    assert!(after < LEASE + 2500.0, "{after:.0} ms without a holder");
    w.mend();
    over(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn promise_1_tokens_go_on_growing_when_all_are_killed_at_once() {
    let mut w = world("all-killed-tasks", 40, "unknown = \"repeat\"", "");
    for _ in 0..2 {
        let token = w.task("feed")["token"].as_u64().unwrap_or(0);
        let began = steps_of(&w);
        w.wait("it acts", SOON, |w| steps_of(w) > began + 2).unwrap();
        let at = now();
        w.fault(&beamgap_fault_harness::faults::Fault::Outage).unwrap();
        w.fault(&beamgap_fault_harness::faults::Fault::Power).unwrap();
        acts_again(&w, at, token);
    }
    over(&w);
    let operations = w.judge_tasks(&["feed"], &["feed"]).unwrap_or_else(|e| panic!("{e}"));
    assert!(operations.tokens >= 3, "{operations:?}");
}

#[test]
fn promise_4_a_step_that_may_have_run_halts_the_run_until_an_operator_resumes_it() {
    let w = world("halts", 6, "", "");
    w.wait("it acts", SOON, |w| steps_of(w) > 1).unwrap();
    w.target.takes.store(900, Relaxed); // Longer than a step may take: it may have run.
    w.wait("it halts", SOON, |w| w.task("feed")["run"]["halted"].is_string()).unwrap();
    let why = w.task("feed")["why_not"].as_str().unwrap_or_default().to_owned();
    assert!(why.contains("may have run"), "{why}");
    let began = steps_of(&w);
    w.target.takes.store(10, Relaxed);
    w.wait("the slow act is over", SOON, |w| {
        w.history.all().iter().filter(|e| matches!(e.what, What::Ended { .. })).count() == began
    })
    .unwrap();
    done(&w, &["task", "resume", "feed"]);
    let task = over(&w);
    assert_eq!((outcomes(&task, "done"), outcomes(&task, "unknown")), (5, 1), "{task}");
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn promise_4_a_handover_across_a_change_of_policy_that_forbids_the_task_begins_nothing_more() {
    let w = world("forbidden", 60, "unknown = \"skip\"", "");
    w.wait("it acts", SOON, |w| steps_of(w) > 2).unwrap();
    let first = holder(&w).expect("held");
    w.members[first].stop(); // Its lease runs out while the change is under way.
    let file = w.policy(5);
    let (code, version) = w.change(&["policy", "propose", &file.to_string_lossy(), "--json", "--wait", "25"]);
    assert_eq!((code, version), (0, Some(1)));
    let decided = now();
    w.members[first].wake();
    w.wait("nobody holds it", SOON, |w| {
        let task = w.task("feed");
        task["holder"].is_null() && task["why_not"] == "forbidden by the policy in force"
    })
    .unwrap();
    let late = |e: &beamgap_fault_harness::history::Event| {
        matches!(e.what, What::Began { .. }) && e.at > decided + 400.0
    };
    assert!(!w.history.all().iter().any(late), "an act began after the change was in force");
    assert_eq!(w.change(&["policy", "rollback", "--json"]), (0, Some(2)));
    over(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn promise_2_holders_whose_clocks_run_fast_slow_and_leap_never_act_at_once() {
    let trials = ["rate=0.95", "rate=1.05", "rate=0.95,offset=-50000", "jump=6000:3000", "rate=1.05"];
    let mut w = with_trials("task-clocks", 60, "unknown = \"skip\"", &trials);
    for _ in 0..2 {
        let began = steps_of(&w);
        w.wait("it acts", SOON, |w| steps_of(w) > began + 3 && holder_of(w).is_some()).unwrap();
        let (first, token) = (holder(&w).expect("held"), w.task("feed")["token"].as_u64().unwrap_or(0));
        let from = now();
        w.cut(first, Way::Silent, Way::Silent);
        acts_again(&w, from, token);
        w.mend();
    }
    w.join();
    over(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

fn holder_of(w: &beamgap_fault_harness::world::World) -> Option<String> {
    w.task("feed")["holder"].as_str().map(str::to_owned)
}

#[test]
fn promises_2_and_3_with_the_majority_lost_for_longer_than_the_lease_nobody_acts_and_then_one_goes_on() {
    let mut w = world("no-majority", 60, "unknown = \"skip\"", "");
    w.wait("it acts", SOON, |w| steps_of(w) > 3).unwrap();
    let token = w.task("feed")["token"].as_u64().unwrap_or(0);
    let gone = now();
    (0..2).for_each(|m| w.kill(m));
    w.wait("longer than the lease", SOON, |_| now() - gone > 2.0 * LEASE).unwrap();
    let late = |e: &beamgap_fault_harness::history::Event| {
        matches!(e.what, What::Began { .. }) && e.at > gone + LEASE
    };
    assert!(!w.history.all().iter().any(late), "somebody acted without a majority, after the lease's end");
    let back = now();
    (0..2).for_each(|m| w.begin(m).unwrap());
    acts_again(&w, back, token);
    over(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn promise_4_with_all_disks_full_when_a_step_is_to_be_recorded_none_begins_until_there_is_room() {
    let w = world("full-record", 40, "unknown = \"skip\"", "");
    w.wait("it acts", SOON, |w| steps_of(w) > 3).unwrap();
    (0..3).for_each(|m| w.members[m].fill_disk(true));
    let full = now();
    w.wait("longer than the lease", SOON, |_| now() - full > 1.5 * LEASE).unwrap();
    // The one act that was under way may have begun: what comes after it needs the record.
    let late = |e: &&beamgap_fault_harness::history::Event| {
        matches!(e.what, What::Began { .. }) && e.at > full + 300.0
    };
    assert_eq!(w.history.all().iter().filter(late).count(), 0, "a step began that no disk knows of");
    (0..3).for_each(|m| w.members[m].fill_disk(false));
    acts_again(&w, full + 300.0, 0);
    over(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn promises_3_and_5_paused_while_it_acts_released_and_held_by_another_when_its_member_drains() {
    let mut w = world("paused", 80, "unknown = \"skip\"", "");
    w.wait("it acts", SOON, |w| steps_of(w) > 2).unwrap();
    done(&w, &["task", "pause", "feed"]);
    w.wait("given up", SOON, |w| w.task("feed")["holder"].is_null()).unwrap();
    let (paused, began) = (w.task("feed"), steps_of(&w));
    assert_eq!(paused["why_not"], "paused by an operator");
    assert_eq!(outcomes(&paused, "unknown"), 0, "the act under way was waited for: {paused}");
    done(&w, &["task", "resume", "feed"]);
    w.wait("it acts again", SOON, |w| steps_of(w) > began + 2).unwrap();
    done(&w, &["task", "release", "feed"]);
    w.wait("held anew", SOON, |w| w.task("feed")["holder"].is_string()).unwrap();
    let (first, token) = (holder(&w).expect("held"), w.task("feed")["token"].as_u64().unwrap());
    let from = now();
    w.members[first].drain();
    let after = acts_again(&w, from, token) - from;
    assert!(after < LEASE, "who drains hands over at once: {after:.0} ms");
    w.kill(first);
    w.begin(first).unwrap();
    over(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}
