//! Fault tests of budgets shared by a fleet, each with several real processes. After each test the history checker
//! compares the requests that members admitted and engines ran with the guarantees A1 to A5 of `docs/budgets.md`.

use beamgap_fault_harness::budget_checker::{check_budgets, BudgetLimit, BudgetUsage, RateLimit};
use beamgap_fault_harness::case::Case;
use beamgap_fault_harness::faults::Fault;
use beamgap_fault_harness::history::What;
use beamgap_fault_harness::now;
use beamgap_fault_harness::relay::Way;
use beamgap_fault_harness::world::{Options, World};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a test waits for a condition before it fails.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two requests of a client that sends far more than its member's share of the budget.
const FLOOD: Duration = Duration::from_millis(2);
/// Interval between two requests of a client that sends few requests.
const CALM: Duration = Duration::from_millis(200);

/// Starts the processes of a test. An injected bug must make tests fail, for example
/// `RIG_TRIAL=plant=given-twice cargo test --test fleet_budgets`.
fn world(name: &str, options: Options) -> Case {
    Case::start(Path::new(env!("CARGO_BIN_EXE_beamgap")), &format!("budget-{name}"), options)
}

/// Brings a policy with this text into force and returns its version.
fn propose(w: &World, name: &str, text: &str) -> u64 {
    let file = w.write_policy(name, &format!("form = 1\n{text}"));
    let file = file.to_string_lossy().into_owned();
    let (code, version) = w.change(&["policy", "propose", &file, "--json", "--wait", "25"]);
    assert_eq!(code, 0, "policy {name} did not come into force: {text}");
    version.expect("the version of the policy")
}

/// Text of a budget for requests per second; `more` is added to its keys.
fn rate(per_second: u64, burst: u64, more: &str) -> String {
    format!(
        "budget \"all\" {{\n  limits = \"requests\"\n  rate = {per_second}\n  burst = {burst}\n{more}}}\n"
    )
}

fn limit(version: u64) -> BudgetLimit {
    BudgetLimit { versions: [version].into(), ..BudgetLimit::default() }
}

fn rate_limit(per_second: f64, burst: f64, version: u64) -> BudgetLimit {
    BudgetLimit { rate: Some(RateLimit { per_second, burst }), ..limit(version) }
}

/// Number of requests that these members have admitted since the time `since`.
fn admitted(w: &World, since: f64, members: &[usize]) -> usize {
    let names: BTreeSet<String> = members.iter().map(|m| format!("n{m}")).collect();
    let of = |what: &What| matches!(what, What::Admit { member, .. } if names.contains(member));
    w.history.all().iter().filter(|e| e.at >= since && of(&e.what)).count()
}

/// Makes each member's client send requests at this interval.
fn send_every(w: &World, interval: Duration) {
    for client in &w.clients {
        client.wants(interval, 0);
    }
}

/// Makes one member's client send far more requests than the member's share, and all other clients send few.
fn flood_one(w: &World, busy: usize) {
    for (member, client) in w.clients.iter().enumerate() {
        client.wants(if member == busy { FLOOD } else { CALM }, 0);
    }
}

/// Waits until the leader reports that a member's share of the first budget is at least this fraction.
fn wait_for_share(w: &World, member: &str, least: f64) {
    w.wait(&format!("{member} has a share of {least} of the budget"), TIMEOUT, |w| share(w, member) >= least)
        .unwrap();
}

/// Fraction of the first budget that a member holds according to the leader; 0 if none.
fn share(w: &World, member: &str) -> f64 {
    let status = w.status();
    let parts = status["budgets"][0]["parts"].as_array().cloned().unwrap_or_default();
    let of = parts.iter().filter(|p| p["member"] == member).filter_map(|p| p["part"].as_f64());
    of.fold(0.0, f64::max)
}

/// Checks the recorded history against the policy's guarantees and these limits.
fn check_history(mut w: Case, limits: &[BudgetLimit]) -> Vec<BudgetUsage> {
    let summary = w.judge().unwrap_or_else(|e| panic!("{e}"));
    assert!(summary.admitted > 20, "{summary:?}");
    let usage = check_budgets(&w.history.all(), limits).unwrap_or_else(|violation| panic!("{violation}"));
    println!("{usage:?}");
    usage
}

/// The leader is killed while it moves shares from one busy member to another. The next leader doesn't know the old
/// leader's grants, and must not grant the same share again before the first grant has expired.
#[test]
fn a1_when_a_leader_dies_just_after_moving_shares_its_successor_grants_nothing_twice() {
    let mut w = world("leader", Options::default());
    let version = propose(&w, "rate", &rate(100, 50, ""));
    for round in 0..3 {
        let busy = 3 + round % 2;
        flood_one(&w, busy);
        wait_for_share(&w, &format!("n{busy}"), 0.5);
        let leader = w.leader().expect("a leader");
        // Moves the shares again, so that the leader is killed while it grants them.
        flood_one(&w, 7 - busy);
        w.kill(leader);
        wait_for_share(&w, &format!("n{}", 7 - busy), 0.5);
        w.begin(leader).unwrap();
    }
    let usage = check_history(w, &[rate_limit(100.0, 50.0, version)]);
    assert!(usage[0].admitted > 50, "{usage:?}");
}

/// The member with the largest share is cut off and the leader is killed. The next leader has to assume that the
/// member uses the share until its expiry, and must not grant the share to another member earlier.
#[test]
fn a1_when_a_leader_dies_while_the_largest_holder_is_cut_off_the_rate_is_kept() {
    let mut w = world("cut-holder", Options { right: 10_000, ..Options::default() });
    let version = propose(&w, "rate", &rate(100, 20, ""));
    flood_one(&w, 4);
    wait_for_share(&w, "n4", 0.6);
    let leader = w.leader().expect("a leader");
    w.cut(4, Way::Silent, Way::Silent);
    w.kill(leader);
    let busy = if leader == 2 { 1 } else { 2 };
    w.clients[busy].wants(FLOOD, 0);
    // A share this large is possible only when n4's share has expired and is granted again.
    wait_for_share(&w, &format!("n{busy}"), 0.6);
    w.mend();
    w.begin(leader).unwrap();
    wait_for_share(&w, "n4", 0.1);
    check_history(w, &[rate_limit(100.0, 20.0, version)]);
}

/// A member's requests reach the leader, but the leader's responses to the member are lost. A share that was granted
/// in a lost response counts as granted: it must not go to another member before it has expired.
#[test]
fn a1_a_share_whose_holder_receives_no_responses_is_granted_to_nobody_else() {
    let w = world("deaf-holder", Options { right: 10_000, ..Options::default() });
    let version = propose(&w, "rate", &rate(100, 20, ""));
    flood_one(&w, 4);
    wait_for_share(&w, "n4", 0.6);
    w.cut(4, Way::Open, Way::Silent);
    let leader = w.leader().expect("a leader");
    let busy = (leader + 1) % 3;
    w.clients[busy].wants(FLOOD, 0);
    wait_for_share(&w, &format!("n{busy}"), 0.4);
    w.mend();
    wait_for_share(&w, "n4", 0.3);
    check_history(w, &[rate_limit(100.0, 20.0, version)]);
}

/// A member with a large share is suspended until the share has expired and is granted to another member. After it
/// resumes, the member must not admit the requests in its socket buffers under the expired share.
#[test]
fn a1_a_holder_that_stands_still_until_its_share_is_reassigned_does_not_use_it_again() {
    let w = world("stopped", Options::default());
    let version = propose(&w, "rate", &rate(100, 50, ""));
    flood_one(&w, 3);
    wait_for_share(&w, "n3", 0.6);
    w.members[3].stop();
    w.clients[4].wants(FLOOD, 0);
    wait_for_share(&w, "n4", 0.6);
    let resumed = now();
    w.members[3].wake();
    // Requests in n3's socket buffers are refused or wait until n3 has a new share.
    w.wait("n3 admits requests again", TIMEOUT, |w| admitted(w, resumed, &[3]) > 20).unwrap();
    check_history(w, &[rate_limit(100.0, 50.0, version)]);
}

/// A partition separates members from the majority of voters. When their shares have expired, each of them may still
/// admit requests at the budget's floor, a small rate that is reserved for each member, but no more than that.
#[test]
fn a1_and_a2_members_that_are_cut_off_admit_by_their_floors() {
    let options = Options { members: 9, right: 3000, ..Options::default() };
    let w = world("halves", options);
    let version = propose(&w, "rate", &rate(200, 100, "  floor = \"30%\"\n  floor_among = 10\n"));
    send_every(&w, FLOOD);
    for member in 0..9 {
        wait_for_share(&w, &format!("n{member}"), 0.05);
    }
    w.part(&[0, 4, 5, 6], Way::Silent);
    let cut = now();
    // A share expires after half a lease, the floor with the lease: between these times a member has only its floor.
    w.wait("shares have expired", TIMEOUT, |_| now() - cut > 1700.0).unwrap();
    let (from, cut_off) = (now(), [4, 5, 6]);
    w.wait("0.9 s on floors only", TIMEOUT, |_| now() - from > 900.0).unwrap();
    let count = admitted(&w, from, &cut_off);
    assert!(
        (6..=24).contains(&count),
        "{count} admitted in 0.9 s; the floor of each of the three members is 6 a second"
    );
    w.mend();
    for member in 4..7 {
        wait_for_share(&w, &format!("n{member}"), 0.05);
    }
    check_history(w, &[rate_limit(200.0, 100.0, version)]);
}

/// A policy change lowers the rate from 200 to 20 a second while a member is suspended. Each version's rate must hold
/// for the requests admitted under it, also at the member that missed the change.
#[test]
fn a4_a_rate_lowered_while_a_member_stands_still_is_kept_under_both_versions() {
    let w = world("lowered", Options::default());
    let first = propose(&w, "many", &rate(200, 100, ""));
    send_every(&w, Duration::from_millis(8));
    wait_for_share(&w, "n3", 0.15);
    w.members[3].stop();
    let second = propose(&w, "few", &rate(20, 10, ""));
    w.members[3].wake();
    w.all_admit(second, TIMEOUT).expect("all members admit requests");
    let from = now();
    w.wait("some seconds pass", TIMEOUT, |_| now() - from > 3000.0).unwrap();
    let usage = check_history(w, &[rate_limit(200.0, 100.0, first), rate_limit(20.0, 10.0, second)]);
    assert!(usage[1].admitted >= 30, "{usage:?}");
}

/// All members restart at once, then one member restarts every second. A restarted member must not admit requests
/// under a share that an earlier incarnation has already used.
#[test]
fn a1_the_rate_is_kept_when_all_restart_at_once_and_one_restarts_each_second() {
    let mut w = world("flaps", Options::default());
    let version = propose(&w, "rate", &rate(100, 50, ""));
    send_every(&w, Duration::from_millis(8));
    wait_for_share(&w, "n3", 0.15);
    w.fault(&Fault::Outage).unwrap();
    w.fault(&Fault::Power).unwrap();
    w.all_admit(version, TIMEOUT).expect("all members admit requests after the outage");
    for _ in 0..4 {
        let from = now();
        w.kill(4);
        w.begin(4).unwrap();
        w.wait("a second passes", TIMEOUT, |_| now() - from > 1000.0).unwrap();
    }
    wait_for_share(&w, "n4", 0.1);
    check_history(w, &[rate_limit(100.0, 50.0, version)]);
}

/// Members' clocks run up to 4.9% fast or slow; the allowed drift is 5%. A member with a slow clock must not use a
/// share after the leader has granted the share to another member.
#[test]
fn a1_the_rate_is_kept_with_clocks_as_far_apart_as_the_bound_allows() {
    let trials = ["rate=0.951", "rate=1.049", "rate=1.0", "rate=1.049,offset=90000", "rate=0.951"];
    let trials = trials.iter().map(|t| (*t).to_owned()).collect();
    let w = world("clocks", Options { trials, ..Options::default() });
    let version = propose(&w, "rate", &rate(100, 20, ""));
    send_every(&w, FLOOD);
    wait_for_share(&w, "n3", 0.1);
    let from = now();
    w.wait("some seconds pass", TIMEOUT, |_| now() - from > 5000.0).unwrap();
    let usage = check_history(w, &[rate_limit(100.0, 20.0, version)]);
    assert!(usage[0].admitted > 400, "{usage:?}");
}

/// One member sends many requests on one of 63 budgets. The other budgets must not keep the member from getting a
/// large share of the busy one, and the busy budget's rate must still hold.
#[test]
fn a5_the_one_busy_budget_of_many_is_kept_and_used() {
    let w = world("many", Options::default());
    let cold: String = (0..62)
        .map(|n| format!("budget \"b{n:02}\" {{\n  limits = \"requests\"\n  class = \"delivery-load\"\n  rate = {}\n}}\n", 1000 + n))
        .collect();
    let hot = "budget \"a-hot\" {\n  limits = \"requests\"\n  account = \"munster\"\n  rate = 60\n  burst = 30\n}\n";
    let version = propose(&w, "many", &format!("{hot}{cold}"));
    flood_one(&w, 2);
    wait_for_share(&w, "n2", 0.6);
    let from = now();
    w.wait("some seconds pass", TIMEOUT, |_| now() - from > 2000.0).unwrap();
    let munster = BudgetLimit { account: "munster".to_owned(), ..rate_limit(60.0, 30.0, version) };
    let usage = check_history(w, &[munster]);
    assert!(usage[0].admitted > 100, "{usage:?}");
}

/// A member is killed while its long requests still run at engines. The requests must count against the limit on open
/// requests until they have ended, although the restarted member doesn't know them.
#[test]
fn a1_requests_of_a_dead_member_count_until_they_have_ended_at_engines() {
    let mut w = world("stock", Options { every: CALM, engines: 12, ..Options::default() });
    for engine in &w.engines {
        engine.loads.store(2300, Ordering::Relaxed);
    }
    let text =
        "budget \"all\" {\n  limits = \"open\"\n  class = \"delivery-load\"\n  most = 5\n  longest = \"26 s\"\n}\n";
    let version = propose(&w, "stock", text);
    send_every(&w, Duration::from_millis(5));
    wait_for_share(&w, "n3", 0.1);
    let from = now();
    w.wait("a load that n3 admitted is at an engine", TIMEOUT, |w| {
        let all: Vec<_> = w.history.all().into_iter().filter(|e| e.at >= from).collect();
        let loads: BTreeSet<&str> = all
            .iter()
            .filter_map(|e| match &e.what {
                What::Admit { member, class: 1, id, .. } if member == "n3" => Some(id.as_str()),
                _ => None,
            })
            .collect();
        all.iter().any(|e| matches!(&e.what, What::Came { id, .. } if loads.contains(id.as_str())))
    })
    .unwrap();
    w.kill(3);
    w.begin(3).unwrap();
    let from = now();
    w.wait("some seconds pass", TIMEOUT, |_| now() - from > 4500.0).unwrap();
    let concurrency = BudgetLimit { class: Some(1), max_in_flight: Some(5), ..limit(version) };
    let usage = check_history(w, &[concurrency]);
    assert!(usage[0].most_in_flight >= 4 && usage[0].admitted >= 5, "{usage:?}: the limit was not reached");
}

/// Engines fail every second request, so that members retry requests. The fleet's budget limits the retries of all
/// members together, beside the retry budget of each member.
#[test]
fn a1_retries_of_the_fleet_are_limited_beside_each_retry_budget() {
    let w = world("further", Options { engines: 4, ..Options::default() });
    let text = "budget \"all\" {\n  limits = \"further_attempts\"\n  rate = 5\n  burst = 5\n}\n";
    let version = propose(&w, "further", text);
    for engine in &w.engines {
        engine.fails.store(2, Ordering::Relaxed);
    }
    send_every(&w, Duration::from_millis(10));
    let from = now();
    w.wait("some seconds pass", TIMEOUT, |_| now() - from > 4000.0).unwrap();
    let retries = BudgetLimit { retries: Some(RateLimit { per_second: 5.0, burst: 5.0 }), ..limit(version) };
    let usage = check_history(w, &[retries]);
    assert!(usage[0].burst >= 2.0, "{usage:?}: the limit was not reached");
}
