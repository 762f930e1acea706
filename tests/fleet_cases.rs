//! Fault tests of policy changes, each with several real processes. After each test the history checker verifies the
//! numbered guarantees (`promises`) of `docs/policy.md` on the recorded history.

use beamgap_fault_harness::case::Case;
use beamgap_fault_harness::history::What;
use beamgap_fault_harness::now;
use beamgap_fault_harness::relay::Way;
use beamgap_fault_harness::world::{Options, World};
use std::io::{Read, Write};
use std::path::Path;
use std::time::Duration;

/// How long a test waits for a condition before it fails.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts the processes of a test. An injected bug must make tests fail, for example
/// `RIG_TRIAL=plant=stale-clock cargo test --test fleet_cases promise_2`.
fn world(name: &str, options: Options) -> Case {
    Case::start(Path::new(env!("CARGO_BIN_EXE_beamgap")), name, options)
}

/// Proposes a policy; returns the command's exit code and, if the change is in force, its version.
fn propose(world: &World, number: usize) -> (i32, Option<u64>) {
    let file = world.policy(number);
    world.change(&["policy", "propose", &file.to_string_lossy(), "--json", "--wait", "25"])
}

/// Starts an operator's command that proposes a policy, and doesn't wait for the command to end.
fn propose_in_background(world: &mut World, number: usize, id: &str) {
    let file = world.policy(number);
    world.change_later(&["policy", "propose", &file.to_string_lossy(), "--id", id, "--json", "--wait", "25"]);
}

/// Waits until all members admit requests under this version, then runs the history checker.
fn check_history(mut world: Case, version: u64) {
    world.all_admit(version, TIMEOUT).expect("all members admit requests");
    let summary = world.judge().unwrap_or_else(|e| panic!("{e}"));
    assert!(summary.admitted > 20 && summary.served > 20, "{summary:?}");
}

/// Number of requests that a member has refused since `from` because its admission lease (`right`) had expired.
fn rejected_without_lease(world: &World, member: &str, from: f64) -> usize {
    let of =
        |what: &What| matches!(what, What::Refuse { member: m, why, .. } if m == member && why == "right");
    world.history.all().iter().filter(|e| e.at >= from && of(&e.what)).count()
}

/// The leader is killed after the change is committed, while the old version's admission leases are still valid. The
/// next leader has to complete the change: a committed change must not be lost.
#[test]
fn promises_1_and_4_the_leader_dies_between_its_decision_and_the_end_of_old_rights() {
    let mut w = world("leader-dies", Options::default());
    let leader = w.leader().expect("a leader");
    // The suspended member's admission lease has to expire before the committed change comes into force.
    w.members[4].stop();
    propose_in_background(&mut w, 0, "case");
    w.wait("the change is committed", TIMEOUT, |w| w.status()["pending"]["decided"] == true).unwrap();
    w.kill(leader);
    w.join();
    let (version, mut code) = (w.version().expect("a version"), None);
    for event in w.history.all() {
        if let What::Command { code: c, .. } = event.what {
            code = Some(c);
        }
    }
    assert_eq!((version, code), (1, Some(0)), "a committed change was lost");
    w.members[4].wake();
    w.begin(leader).unwrap();
    check_history(w, 1);
}

/// A member is suspended (SIGSTOP) while a new version comes into force. After it resumes, it must not admit requests
/// from its socket buffers under the old version, whose admission lease expired in the meantime.
#[test]
fn promise_2_one_that_stood_still_through_the_switch_admits_nothing_of_its_buffers_under_the_old_version() {
    let w = world("stands-still", Options::default());
    w.members[3].stop();
    assert_eq!(propose(&w, 1), (0, Some(1)));
    std::thread::sleep(Duration::from_millis(300)); // Lets requests queue in n3's socket buffers.
    let resumed = now();
    w.members[3].wake();
    w.all_admit(1, TIMEOUT).unwrap();
    assert!(rejected_without_lease(&w, "n3", resumed) > 0, "requests in its buffers were not refused");
    check_history(w, 1);
}

/// All links of the leader drop traffic in one direction, outgoing in the first round and incoming in the second. In
/// both rounds a policy change must still come into force, and no member may go on admitting under the old version.
#[test]
fn promises_2_and_4_a_link_that_is_cut_one_way_from_the_leader_and_to_it() {
    for (name, out, inward) in [("from", Way::Silent, Way::Open), ("to", Way::Open, Way::Silent)] {
        let w = world(&format!("one-way-{name}"), Options::default());
        let leader = w.leader().expect("a leader");
        w.cut(leader, out, inward);
        assert_eq!(propose(&w, 0), (0, Some(1)), "links {name} the leader are cut");
        w.mend();
        check_history(w, 1);
    }
}

/// A network partition splits nine members, and both sides receive client requests. The side with two of the three
/// voters changes the policy. Members on the other side must refuse requests once their admission leases expire.
#[test]
fn promises_1_and_2_half_of_nine_are_cut_off_during_a_change_and_both_halves_have_clients() {
    let mut w = world("halves", Options { members: 9, ..Options::default() });
    let cut = now();
    w.part(&[0, 3, 4, 5], Way::Silent);
    propose_in_background(&mut w, 1, "halves");
    w.join();
    assert_eq!(w.version().unwrap(), 1, "the side with two of three voters commits the change");
    w.wait("n4 refuses requests", TIMEOUT, |w| rejected_without_lease(w, "n4", cut) > 0).unwrap();
    let health = w.members[4].health().expect("a response of the health endpoint");
    assert!(health.0 == 503 && health.1.contains("right ran out"), "{health:?}");
    w.mend();
    check_history(w, 1);
}

/// One of three voters has a full disk. The voter has to report the reason and stop voting without blocking policy
/// changes. When its disk has space, the voter has to vote again without an operator's help.
#[test]
fn promise_5_a_deciders_full_disk_is_no_veto_and_it_comes_back_by_itself() {
    let w = world("disk-one", Options::default());
    w.members[1].fill_disk(true);
    assert_eq!(propose(&w, 0).0, 0);
    w.wait("the voter with the full disk is out of service", TIMEOUT, |w| {
        w.status()["deciders"][1]["role"] == "broken"
    })
    .unwrap();
    let disk = w.status()["deciders"][1]["disk"].as_str().unwrap_or_default().to_owned();
    assert!(disk.contains("no room") && disk.contains("fleet.folder"), "{disk}");
    w.members[1].fill_disk(false);
    w.wait("the voter is a follower again", TIMEOUT, |w| w.status()["deciders"][1]["role"] == "follower")
        .unwrap();
    assert_eq!(propose(&w, 1), (0, Some(2)));
    check_history(w, 2);
}

/// The disks of all voters are full, so no change can be committed and admission leases can't be renewed. When the
/// disks have space again, the fleet has to resume under the same policy, and a retried change must apply only once.
#[test]
fn promises_4_and_5_all_disks_full_stops_changes_keeps_the_policy_and_ends_when_there_is_room() {
    let w = world("disk-all", Options::default());
    assert_eq!(propose(&w, 1), (0, Some(1)));
    (0..3).for_each(|m| w.members[m].fill_disk(true));
    let file = w.policy(0);
    let arguments = ["policy", "propose", &file.to_string_lossy(), "--id", "full", "--json", "--wait", "4"];
    assert_eq!(w.change(&arguments).0, 3, "the exit code for an unknown outcome");
    let full = now();
    w.wait("admission leases expire", TIMEOUT, |w| rejected_without_lease(w, "n4", full) > 0).unwrap();
    (0..3).for_each(|m| w.members[m].fill_disk(false));
    w.all_admit(1, TIMEOUT).expect("all members admit requests again");
    // A retry with the same change id must not create a second change.
    let (code, version) = w.change(&arguments);
    assert!(code == 0 && version == Some(2), "{code} {version:?}");
    check_history(w, 2);
}

/// A voter misses three policy changes while it is down. After a restart, with its old disk or an empty one, the voter
/// must learn the latest version before it admits requests. With an empty disk it can't vote until it is readmitted.
#[test]
fn promise_4_one_that_was_down_through_three_changes_learns_before_it_admits_with_its_disk_and_without() {
    let mut w = world("three-changes", Options::default());
    w.kill(1);
    for (number, version) in [(0, 1), (1, 2), (2, 3)] {
        assert_eq!(propose(&w, number), (0, Some(version)));
    }
    w.begin(1).unwrap();
    w.all_admit(3, TIMEOUT).unwrap();
    w.kill(1);
    std::fs::remove_dir_all(w.disk(1)).unwrap();
    w.begin(1).unwrap();
    w.all_admit(3, TIMEOUT).expect("the member learns the policy from the others and admits requests");
    assert_eq!(
        w.status()["deciders"][1]["role"],
        "blank",
        "a voter that lost its disk must neither vote nor lead"
    );
    let readmission = w.operate(&["fleet", "readmit", "2"]);
    let log = w.members.iter().map(|m| m.said().log.join("\n")).collect::<Vec<_>>().join("\n---\n");
    assert!(readmission.status.success(), "{}\n{log}", String::from_utf8_lossy(&readmission.stderr));
    w.wait("the readmitted voter is a follower", TIMEOUT, |w| {
        w.status()["deciders"][1]["role"] == "follower"
    })
    .unwrap();
    // The readmitted voter's vote counts: with another voter down, the remaining two voters are a majority.
    w.kill(2);
    assert_eq!(propose(&w, 3), (0, Some(4)));
    w.begin(2).unwrap();
    check_history(w, 4);
}

/// All members are killed right after the operator's command reported success, and lose writes that were not synced
/// to disk. The policy change must still be in force after the restart.
#[test]
fn promise_5_all_killed_right_after_done_was_said() {
    let mut w = world("all-killed", Options::default());
    assert_eq!(propose(&w, 0), (0, Some(1)));
    (0..5).for_each(|m| w.kill(m));
    for m in 0..5 {
        w.begin(m).unwrap();
    }
    assert_eq!(w.version().unwrap(), 1);
    check_history(w, 1);
}

/// The leader's fsync fails. The leader's writes may be lost, so it has to step down and stop voting. When fsync
/// works again, the member has to vote again without an operator's help.
#[test]
fn promise_5_a_decider_whose_fsync_fails_stands_aside_and_comes_back_by_itself() {
    let w = world("fsync", Options::default());
    let leader = w.leader().expect("a leader");
    w.fail_fsync(leader, true).unwrap();
    assert_eq!(propose(&w, 0), (0, Some(1)), "the other two voters commit the change");
    w.wait("the voter with the failing disk is out of service", TIMEOUT, |w| {
        let status = w.status();
        let of = |d: &&serde_json::Value| d["seat"] == leader as u64 + 1;
        let all = status["deciders"].as_array().cloned().unwrap_or_default();
        all.iter().find(of).is_some_and(|d| d["disk_ok"] == false && d["role"] == "broken")
    })
    .unwrap();
    w.all_admit(1, TIMEOUT).expect("all members admit requests, also the one whose disk fails");
    w.fail_fsync(leader, false).unwrap();
    let all_voters_ok = |w: &World| {
        let status = w.status();
        status["deciders"]
            .as_array()
            .is_some_and(|all| all.len() == 3 && all.iter().all(|d| d["disk_ok"] == true))
    };
    w.wait("all three disks work", TIMEOUT, all_voters_ok).unwrap();
    assert_eq!(propose(&w, 1), (0, Some(2)));
    check_history(w, 2);
}

/// Voters are removed and readmitted one at a time. The leader can't be removed, nor a voter whose removal
/// would leave only one. A removed voter must not be needed for a majority, and a readmitted voter's vote must count.
#[test]
fn promise_4_deciders_are_taken_out_and_in_again_one_at_a_time() {
    let mut w = world("seats", Options::default());
    let leader = w.leader().expect("a leader");
    let other = (leader + 1) % 3;
    let seat = |m: usize| (m + 1).to_string();
    let voters = |w: &World| {
        let status = w.status();
        let of = |d: &&serde_json::Value| d["role"] == "leader";
        let all = status["deciders"].as_array().cloned().unwrap_or_default();
        all.iter().find(of).and_then(|d| d["voters"].as_array().map(Vec::len)).unwrap_or(0)
    };
    let removal = w.operate(&["fleet", "remove", &seat(leader)]);
    assert_eq!(removal.status.code(), Some(1), "the leader must not be removed");
    assert!(w.operate(&["fleet", "remove", &seat(other)]).status.success());
    assert_eq!(voters(&w), 2);
    let third = 3 - leader - other;
    assert_eq!(
        w.operate(&["fleet", "remove", &seat(third)]).status.code(),
        Some(1),
        "a single voter must not be left"
    );
    w.kill(other);
    assert_eq!(propose(&w, 0), (0, Some(1)), "the removed voter's vote is not needed");
    w.begin(other).unwrap();
    assert!(w.operate(&["fleet", "readmit", &seat(other)]).status.success());
    w.wait("three members vote", TIMEOUT, |w| voters(w) == 3).unwrap();
    w.kill(third);
    assert_eq!(propose(&w, 1), (0, Some(2)), "the readmitted voter's vote counts");
    w.begin(third).unwrap();
    check_history(w, 2);
}

/// Members' clocks jump forward, by 1.2 s up to a day. A clock jump may end an admission lease early, but must not make
/// a member admit requests after its lease has expired.
#[test]
fn promise_2_a_clock_that_leaps_ends_rights_early_and_never_late() {
    let trials = ["jump=4000:2500", "", "jump=4500:86400000", "jump=5000:1200", ""];
    let w = world("leaps", Options { trials: trials.map(str::to_owned).to_vec(), ..Options::default() });
    for (version, number) in [(1, 0), (2, 1), (3, 2)] {
        assert_eq!(propose(&w, number), (0, Some(version)));
        w.all_admit(version, TIMEOUT).unwrap();
    }
    check_history(w, 3);
}

/// Two operators propose a change at the same moment. One change must come into force, the other must be rejected.
#[test]
fn promise_1_two_operators_at_once_make_one_change() {
    let mut w = world("two-operators", Options::default());
    propose_in_background(&mut w, 0, "one");
    propose_in_background(&mut w, 1, "two");
    w.join();
    let mut codes: Vec<i32> = Vec::new();
    for event in w.history.all() {
        if let What::Command { code, .. } = event.what {
            codes.push(code);
        }
    }
    codes.sort_unstable();
    assert_eq!(codes, [0, 1], "one change is in force, the other is rejected");
    check_history(w, 1);
}

/// One member's configuration lacks a request class that the new policy names. The change must be rejected, and the
/// error must contain the member, the position in the file, the unknown name and the names that the member knows.
#[test]
fn promise_6_what_one_front_end_cannot_use_is_turned_down_with_its_name_key_and_fix() {
    let w = world("odd", Options { odd: Some(3), ..Options::default() });
    let file = w.policy(0);
    let output = w.operate(&["policy", "propose", &file.to_string_lossy()]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{text}");
    for part in ["n3", "policy:2:1", "class \"delivery-load\"", "known here: lookup, delivery"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert_eq!(w.version().unwrap(), 0);
    check_history(w, 0);
}

/// Members' clocks run 5% fast or slow, the allowed drift, and differ by up to a day. After a policy
/// change, no member may admit requests under the old version for longer than the configured switch bound.
#[test]
fn promise_2_clocks_that_run_five_per_cent_apart() {
    let trials = ["", "rate=1.05", "rate=0.95,offset=86400000", "rate=1.05", "rate=0.95,offset=-50000"];
    let trials = trials.map(str::to_owned).to_vec();
    let w = world("clocks", Options { trials, ..Options::default() });
    for (version, number) in [(1, 0), (2, 1)] {
        w.cut(4, Way::Silent, Way::Silent); // With its slow clock, member 4 uses its lease longest.
        assert_eq!(propose(&w, number), (0, Some(version)));
        w.mend();
        w.all_admit(version, TIMEOUT).unwrap();
    }
    check_history(w, 2);
}

/// While a change waits for validation by a suspended member, operators request a rollback and the change's withdrawal.
/// The rollback must be rejected, and the withdrawn change must never come into force.
#[test]
fn promise_1_a_rollback_and_a_taking_back_while_a_change_is_being_decided() {
    let mut w = world("rollback", Options { check: 5000, ..Options::default() });
    assert_eq!(propose(&w, 1), (0, Some(1)));
    w.members[4].stop(); // The change now waits for this member's validation.
    propose_in_background(&mut w, 0, "slow");
    w.wait("the change is pending", TIMEOUT, |w| w.status()["pending"]["change"] == "slow").unwrap();
    assert_eq!(
        w.change(&["policy", "rollback", "--json"]).0,
        1,
        "a rollback must be rejected while a change is pending"
    );
    let withdrawal = w.operate(&["policy", "take-back", "slow"]);
    let log = w.members.iter().map(|m| m.said().log.join("\n")).collect::<Vec<_>>().join("\n---\n");
    assert!(withdrawal.status.success(), "{}\n{log}", String::from_utf8_lossy(&withdrawal.stderr));
    w.join();
    w.members[4].wake();
    assert_eq!(w.version().unwrap(), 1, "a withdrawn change must not come into force");
    assert_eq!(
        w.change(&["policy", "rollback", "--json"]),
        (0, Some(2)),
        "a rollback to the previous version"
    );
    check_history(w, 2);
}

/// Invalid bytes, an HTTP request, oversized frames, truncated frames and a member of another fleet reach a
/// member's port for other members. The member has to close these connections and keep working.
#[test]
fn noise_an_oversized_frame_and_a_stranger_harm_nothing() {
    let w = world("noise", Options::default());
    let address = w.members[0].said().fleet.expect("the address for other members");
    let hello = |fleet: &str| {
        // First frame of a connection: length prefix, magic bytes, format version 1, fleet name, member name.
        let mut body = b"bgc\x01\x01".to_vec();
        body.push(fleet.len() as u8);
        body.extend(fleet.as_bytes());
        body.extend(b"\x01x\x00");
        [(body.len() as u32).to_be_bytes().to_vec(), body].concat()
    };
    for bytes in [
        vec![0xff; 4000],
        b"GET / HTTP/1.1\r\n\r\n".to_vec(),
        [0x7fff_ffffu32.to_be_bytes().as_slice(), &[0; 100]].concat(),
        hello("another"),
        [hello("noise").as_slice(), &0x7fff_ffffu32.to_be_bytes()].concat(),
        [hello("noise").as_slice(), &[0, 0, 0, 9, 99, 99, 99, 99, 99, 99, 99, 99, 99]].concat(),
        hello("noise")[..7].to_vec(),
    ] {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        stream.write_all(&bytes).unwrap();
        let mut answer = Vec::new();
        // The member closes or resets the connection before the read timeout.
        let _ = stream.read_to_end(&mut answer);
        if bytes == hello("another") {
            let text = String::from_utf8_lossy(&answer).into_owned();
            assert!(text.contains("is of fleet another, this member of noise"), "{text}");
        }
    }
    assert_eq!(propose(&w, 0), (0, Some(1)));
    check_history(w, 1);
}
