//! Fault tests of a fleet's tasks, each with several real processes. After each test the history checker compares the
//! steps that the task's target received with the numbered guarantees (`promises`) of `docs/leases.md`.

use beamgap_fault_harness::case::Case;
use beamgap_fault_harness::history::What;
use beamgap_fault_harness::now;
use beamgap_fault_harness::relay::Way;
use beamgap_fault_harness::world::Options;
use serde_json::Value;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

/// How long a test waits for a condition before it fails.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Length of the task's lease, in milliseconds.
const LEASE_MS: f64 = 1500.0;

/// Starts a fleet and a run of its only task, with this number of steps. All members have the test hooks in `trial`.
fn world(name: &str, steps: u32, more: &str, trial: &str) -> Case {
    world_with_trials(name, steps, more, &[trial])
}

/// Like [`world`], but with test hooks for each member.
fn world_with_trials(name: &str, steps: u32, more: &str, trials: &[&str]) -> Case {
    let tasks = format!(
        "  task \"feed\" {{\n    call = \"TARGET/feed\"\n    steps = {steps}\n    step_time = \"300 ms\"\n    lease = \"1500 ms\"\n    {more}\n  }}\n"
    );
    let options =
        Options { tasks, trials: trials.iter().map(|t| (*t).to_owned()).collect(), ..Options::default() };
    let w = Case::start(Path::new(env!("CARGO_BIN_EXE_beamgap")), name, options);
    operate_successfully(&w, &["task", "apply"]);
    operate_successfully(&w, &["task", "run", "feed"]);
    w
}

fn operate_successfully(w: &Case, arguments: &[&str]) {
    let output = w.operate(arguments);
    assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
}

/// Index of the member that holds the task's lease.
fn holder(w: &Case) -> Option<usize> {
    w.task("feed")["holder"].as_str()?.strip_prefix('n')?.parse().ok()
}

/// Waits for a step that the target began at or after `since` with a fencing token above `above`; returns its time.
fn wait_for_newer_token(w: &Case, since: f64, above: u64) -> f64 {
    let began = |e: &beamgap_fault_harness::history::Event| match &e.what {
        What::Began { token, .. } => (e.at >= since && *token > above).then_some(e.at),
        _ => None,
    };
    w.wait("a step with a newer token", TIMEOUT, |w| w.history.all().iter().any(|e| began(e).is_some()))
        .unwrap();
    w.history.all().iter().find_map(began).unwrap_or(f64::NAN)
}

/// Waits for the end of the run and returns the task's status.
fn wait_for_end(w: &Case) -> Value {
    w.wait("the run is over", Duration::from_secs(60), |w| w.task("feed")["run"].is_null()).unwrap();
    w.task("feed")
}

/// Number of recorded steps with this outcome.
fn outcomes(task: &Value, of: &str) -> usize {
    task["record"].as_array().map_or(0, |all| all.iter().filter(|s| s["outcome"] == of).count())
}

/// Without any fault, each step of a run must reach the target once, in order, and under a single token.
#[test]
fn promise_4_a_run_goes_through_its_steps_once_each_and_in_order() {
    let w = world("run", 12, "", "");
    let task = wait_for_end(&w);
    assert_eq!((outcomes(&task, "done"), begun_steps(&w)), (12, 12), "{task}");
    let operations = w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((operations.executed, operations.refused_as_stale, operations.tokens), (12, 0, 1));
}

/// The member that runs the task is killed. When its lease has expired, another member must continue the run.
#[test]
fn promise_3_a_holder_that_dies_is_followed_by_another_in_time() {
    let mut w = world("dies", 40, "unknown = \"skip\"", "");
    w.wait("steps run", TIMEOUT, |w| begun_steps(w) > 3).unwrap();
    let (first, token) = (holder(&w).expect("a holder"), w.task("feed")["token"].as_u64().unwrap());
    let killed = now();
    w.kill(first);
    let after = wait_for_newer_token(&w, killed, token) - killed;
    assert!(after < LEASE_MS + 2000.0, "no member ran the task for {after:.0} ms");
    w.begin(first).unwrap();
    wait_for_end(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

/// Number of steps that the target has begun.
fn begun_steps(w: &beamgap_fault_harness::world::World) -> usize {
    w.history.all().iter().filter(|e| matches!(e.what, What::Began { .. })).count()
}

/// The holder is suspended after the last check of its lease and before it calls the target, and resumes when another
/// member has taken over the task. The target must refuse the call because of its older fencing token.
#[test]
fn promise_1_a_holder_stopped_between_look_and_act_for_three_lease_lengths_is_refused_and_knows() {
    // The hook `look=150` pauses 150 ms between the lease check and the call, so the test can suspend the holder.
    let w = world("stopped", 30, "unknown = \"skip\"", "look=150");
    w.wait("steps run", TIMEOUT, |w| begun_steps(w) > 2).unwrap();
    let lease_check = |w: &beamgap_fault_harness::world::World, from: f64| {
        w.history.all().into_iter().find_map(|e| match e.what {
            What::Look { member, token, .. } if e.at >= from => Some((member, token)),
            _ => None,
        })
    };
    let from = now();
    let until = std::time::Instant::now() + TIMEOUT;
    let (member, token) = loop {
        if let Some(check) = lease_check(&w, from) {
            break check;
        }
        assert!(std::time::Instant::now() < until, "no member checked its lease");
        std::thread::yield_now();
    };
    let suspended = w.members.iter().position(|m| m.name == member).expect("a member");
    w.members[suspended].stop();
    let at = now();
    // Another member runs steps meanwhile. The suspended member resumes after three lease lengths.
    wait_for_newer_token(&w, at, token);
    w.wait("three lease lengths", TIMEOUT, |_| now() - at > 3.0 * LEASE_MS).unwrap();
    w.members[suspended].wake();
    let refused = |w: &beamgap_fault_harness::world::World| {
        w.history.all().iter().any(|e| matches!(e.what, What::Stale { token: t, .. } if t == token))
    };
    w.wait("the target refuses the older token", TIMEOUT, refused).unwrap();
    let task = wait_for_end(&w);
    assert!(outcomes(&task, "unknown") >= 1, "{task}");
    let operations = w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
    assert!(operations.refused_as_stale >= 1 && operations.tokens >= 2, "{operations:?}");
}

/// The holder is cut off from the voters and can't renew its lease. When the lease expires by the holder's clock, it
/// must stop running steps, before the leader may grant the lease to another member.
#[test]
fn promise_2_a_holder_cut_off_from_the_council_stops_before_another_acts() {
    let w = world("cut-off", 60, "unknown = \"skip\"", "");
    w.wait("steps run", TIMEOUT, |w| begun_steps(w) > 3).unwrap();
    let (first, token) = (holder(&w).expect("a holder"), w.task("feed")["token"].as_u64().unwrap());
    let from = now();
    w.cut(first, Way::Silent, Way::Silent);
    let after = wait_for_newer_token(&w, from, token) - from;
    assert!(after < LEASE_MS + 2500.0, "no member ran the task for {after:.0} ms");
    w.mend();
    wait_for_end(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

/// All members are killed at once and lose writes that were not synced to disk. Fencing tokens that are granted after
/// the restart must be greater than all earlier tokens.
#[test]
fn promise_1_tokens_go_on_growing_when_all_are_killed_at_once() {
    let mut w = world("all-killed-tasks", 40, "unknown = \"repeat\"", "");
    for _ in 0..2 {
        let token = w.task("feed")["token"].as_u64().unwrap_or(0);
        let began = begun_steps(&w);
        w.wait("steps run", TIMEOUT, |w| begun_steps(w) > began + 2).unwrap();
        let at = now();
        w.fault(&beamgap_fault_harness::faults::Fault::Outage).unwrap();
        w.fault(&beamgap_fault_harness::faults::Fault::Power).unwrap();
        wait_for_newer_token(&w, at, token);
    }
    wait_for_end(&w);
    let operations = w.judge_tasks(&["feed"], &["feed"]).unwrap_or_else(|e| panic!("{e}"));
    assert!(operations.tokens >= 3, "{operations:?}");
}

/// A step exceeds its time limit, so its outcome is unknown. The run must neither repeat nor skip the step: the run
/// must halt until an operator resumes it.
#[test]
fn promise_4_a_step_that_may_have_run_halts_the_run_until_an_operator_resumes_it() {
    let w = world("halts", 6, "", "");
    w.wait("steps run", TIMEOUT, |w| begun_steps(w) > 1).unwrap();
    w.target.takes.store(900, Relaxed); // Above the time limit of a step, 300 ms.
    w.wait("the run halts", TIMEOUT, |w| w.task("feed")["run"]["halted"].is_string()).unwrap();
    let why = w.task("feed")["why_not"].as_str().unwrap_or_default().to_owned();
    assert!(why.contains("may have run"), "{why}");
    let began = begun_steps(&w);
    w.target.takes.store(10, Relaxed);
    w.wait("the target has ended the slow step", TIMEOUT, |w| {
        w.history.all().iter().filter(|e| matches!(e.what, What::Ended { .. })).count() == began
    })
    .unwrap();
    operate_successfully(&w, &["task", "resume", "feed"]);
    let task = wait_for_end(&w);
    assert_eq!((outcomes(&task, "done"), outcomes(&task, "unknown")), (5, 1), "{task}");
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

/// The holder is suspended while a policy change forbids its task. Neither the holder after it resumes nor another
/// member may begin a step of the forbidden task once the change is in force.
#[test]
fn promise_4_a_handover_across_a_change_of_policy_that_forbids_the_task_begins_nothing_more() {
    let w = world("forbidden", 60, "unknown = \"skip\"", "");
    w.wait("steps run", TIMEOUT, |w| begun_steps(w) > 2).unwrap();
    let first = holder(&w).expect("a holder");
    w.members[first].stop(); // The holder's lease expires while the policy change is pending.
    let file = w.policy(5);
    let (code, version) = w.change(&["policy", "propose", &file.to_string_lossy(), "--json", "--wait", "25"]);
    assert_eq!((code, version), (0, Some(1)));
    let in_force = now();
    w.members[first].wake();
    w.wait("no member holds the lease", TIMEOUT, |w| {
        let task = w.task("feed");
        task["holder"].is_null() && task["why_not"] == "forbidden by the policy in force"
    })
    .unwrap();
    let late = |e: &beamgap_fault_harness::history::Event| {
        matches!(e.what, What::Began { .. }) && e.at > in_force + 400.0
    };
    assert!(!w.history.all().iter().any(late), "a step began after the change was in force");
    assert_eq!(w.change(&["policy", "rollback", "--json"]), (0, Some(2)));
    wait_for_end(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

/// Members' clocks run 5% fast or slow or jump, and the holder is cut off from the voters twice. A cut-off holder must
/// stop running steps before another member gets the lease, whatever the members' clocks show.
#[test]
fn promise_2_holders_whose_clocks_run_fast_slow_and_leap_never_act_at_once() {
    let trials = ["rate=0.95", "rate=1.05", "rate=0.95,offset=-50000", "jump=6000:3000", "rate=1.05"];
    let mut w = world_with_trials("task-clocks", 60, "unknown = \"skip\"", &trials);
    for _ in 0..2 {
        let began = begun_steps(&w);
        w.wait("steps run", TIMEOUT, |w| begun_steps(w) > began + 3 && holder_name(w).is_some()).unwrap();
        let (first, token) = (holder(&w).expect("a holder"), w.task("feed")["token"].as_u64().unwrap_or(0));
        let from = now();
        w.cut(first, Way::Silent, Way::Silent);
        wait_for_newer_token(&w, from, token);
        w.mend();
    }
    w.join();
    wait_for_end(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

/// Name of the member that holds the task's lease.
fn holder_name(w: &beamgap_fault_harness::world::World) -> Option<String> {
    w.task("feed")["holder"].as_str().map(str::to_owned)
}

/// Two of three voters are down for longer than a lease, so leases can't be renewed. No member may run steps after
/// its lease has expired. When the voters have restarted, one member must continue the run.
#[test]
fn promises_2_and_3_with_the_majority_lost_for_longer_than_the_lease_nobody_acts_and_then_one_goes_on() {
    let mut w = world("no-majority", 60, "unknown = \"skip\"", "");
    w.wait("steps run", TIMEOUT, |w| begun_steps(w) > 3).unwrap();
    let token = w.task("feed")["token"].as_u64().unwrap_or(0);
    let majority_lost = now();
    (0..2).for_each(|m| w.kill(m));
    w.wait("two lease lengths", TIMEOUT, |_| now() - majority_lost > 2.0 * LEASE_MS).unwrap();
    let late = |e: &beamgap_fault_harness::history::Event| {
        matches!(e.what, What::Began { .. }) && e.at > majority_lost + LEASE_MS
    };
    assert!(
        !w.history.all().iter().any(late),
        "a step began without a majority, after the lease had expired"
    );
    let restarted = now();
    (0..2).for_each(|m| w.begin(m).unwrap());
    wait_for_newer_token(&w, restarted, token);
    wait_for_end(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

/// The disks of all voters are full, so the outcomes of steps can't be recorded. Until the disks have space, no step
/// may begin, because a step that is not recorded in the log could run twice.
#[test]
fn promise_4_with_all_disks_full_when_a_step_is_to_be_recorded_none_begins_until_there_is_room() {
    let w = world("full-record", 40, "unknown = \"skip\"", "");
    w.wait("steps run", TIMEOUT, |w| begun_steps(w) > 3).unwrap();
    (0..3).for_each(|m| w.members[m].fill_disk(true));
    let full = now();
    w.wait("1.5 lease lengths", TIMEOUT, |_| now() - full > 1.5 * LEASE_MS).unwrap();
    // One step may have been on its way to the target. Each later step needs a record of the step before it.
    let late = |e: &&beamgap_fault_harness::history::Event| {
        matches!(e.what, What::Began { .. }) && e.at > full + 300.0
    };
    assert_eq!(w.history.all().iter().filter(late).count(), 0, "a step began that could not be recorded");
    (0..3).for_each(|m| w.members[m].fill_disk(false));
    wait_for_newer_token(&w, full + 300.0, 0);
    wait_for_end(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}

/// An operator pauses, resumes and releases the task, then the holder drains. The pause must wait for the step in
/// progress. The release and the drain must lead to a new lease; after the drain, before the old lease would expire.
#[test]
fn promises_3_and_5_paused_while_it_acts_released_and_held_by_another_when_its_member_drains() {
    let mut w = world("paused", 80, "unknown = \"skip\"", "");
    w.wait("steps run", TIMEOUT, |w| begun_steps(w) > 2).unwrap();
    operate_successfully(&w, &["task", "pause", "feed"]);
    w.wait("the holder releases the lease", TIMEOUT, |w| w.task("feed")["holder"].is_null()).unwrap();
    let (paused, began) = (w.task("feed"), begun_steps(&w));
    assert_eq!(paused["why_not"], "paused by an operator");
    assert_eq!(outcomes(&paused, "unknown"), 0, "the pause did not wait for the step in progress: {paused}");
    operate_successfully(&w, &["task", "resume", "feed"]);
    w.wait("the run continues", TIMEOUT, |w| begun_steps(w) > began + 2).unwrap();
    operate_successfully(&w, &["task", "release", "feed"]);
    w.wait("a member holds the lease again", TIMEOUT, |w| w.task("feed")["holder"].is_string()).unwrap();
    let (first, token) = (holder(&w).expect("a holder"), w.task("feed")["token"].as_u64().unwrap());
    let from = now();
    w.members[first].drain();
    let after = wait_for_newer_token(&w, from, token) - from;
    assert!(after < LEASE_MS, "a draining holder released its lease only after {after:.0} ms");
    w.kill(first);
    w.begin(first).unwrap();
    wait_for_end(&w);
    w.judge_tasks(&["feed"], &[]).unwrap_or_else(|e| panic!("{e}"));
}
