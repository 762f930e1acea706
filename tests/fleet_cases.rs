//! Hard cases of a change of policy, each with several real processes. The promises are those of `docs/policy.md`; after
//! each case the judge looks at what was written down.

use beamgap_fault_harness::case::Case;
use beamgap_fault_harness::history::What;
use beamgap_fault_harness::now;
use beamgap_fault_harness::relay::Way;
use beamgap_fault_harness::world::{Options, World};
use std::io::{Read, Write};
use std::path::Path;
use std::time::Duration;

const SOON: Duration = Duration::from_secs(30);

/// `RIG_TRIAL=plant=stale-clock cargo test --test fleet_cases promise_2` and the like: the case must fail then.
fn world(name: &str, options: Options) -> Case {
    Case::start(Path::new(env!("CARGO_BIN_EXE_beamgap")), name, options)
}

fn propose(world: &World, number: usize) -> (i32, Option<u64>) {
    let file = world.policy(number);
    world.change(&["policy", "propose", &file.to_string_lossy(), "--json", "--wait", "25"])
}

fn propose_later(world: &mut World, number: usize, id: &str) {
    let file = world.policy(number);
    world.change_later(&["policy", "propose", &file.to_string_lossy(), "--id", id, "--json", "--wait", "25"]);
}

fn all_good(mut world: Case, version: u64) {
    world.all_admit(version, SOON).expect("all admit");
    let summary = world.judge().unwrap_or_else(|e| panic!("{e}"));
    assert!(summary.admitted > 20 && summary.served > 20, "{summary:?}");
}

fn refused_for_want_of_right(world: &World, member: &str, from: f64) -> usize {
    let of =
        |what: &What| matches!(what, What::Refuse { member: m, why, .. } if m == member && why == "right");
    world.history.all().iter().filter(|e| e.at >= from && of(&e.what)).count()
}

#[test]
fn promises_1_and_4_the_leader_dies_between_its_decision_and_the_end_of_old_rights() {
    let mut w = world("leader-dies", Options::default());
    let leader = w.leader().expect("somebody leads");
    // A member that stands still has its right run on, so that the change stays decided and not active for a while.
    w.members[4].stop();
    propose_later(&mut w, 0, "case");
    w.wait("decided", SOON, |w| w.status()["pending"]["decided"] == true).unwrap();
    w.kill(leader);
    w.join();
    let (version, mut code) = (w.version().expect("a version"), None);
    for event in w.history.all() {
        if let What::Command { code: c, .. } = event.what {
            code = Some(c);
        }
    }
    assert_eq!((version, code), (1, Some(0)), "decided is decided");
    w.members[4].wake();
    w.begin(leader).unwrap();
    all_good(w, 1);
}

#[test]
fn promise_2_one_that_stood_still_through_the_switch_admits_nothing_of_its_buffers_under_the_old_version() {
    let w = world("stands-still", Options::default());
    w.members[3].stop();
    assert_eq!(propose(&w, 1), (0, Some(1)));
    std::thread::sleep(Duration::from_millis(300)); // More requests into its socket's buffers; no proof hangs on it.
    let woken = now();
    w.members[3].wake();
    w.all_admit(1, SOON).unwrap();
    assert!(refused_for_want_of_right(&w, "n3", woken) > 0, "what lay in its buffers was turned away");
    all_good(w, 1);
}

#[test]
fn promises_2_and_4_a_link_that_is_cut_one_way_from_the_leader_and_to_it() {
    for (name, out, inward) in [("from", Way::Silent, Way::Open), ("to", Way::Open, Way::Silent)] {
        let w = world(&format!("one-way-{name}"), Options::default());
        let leader = w.leader().expect("somebody leads");
        w.cut(leader, out, inward);
        assert_eq!(propose(&w, 0), (0, Some(1)), "{name} the leader");
        w.mend();
        all_good(w, 1);
    }
}

#[test]
fn promises_1_and_2_half_of_nine_are_cut_off_during_a_change_and_both_halves_have_clients() {
    let mut w = world("halves", Options { members: 9, ..Options::default() });
    let cut = now();
    w.part(&[0, 3, 4, 5], Way::Silent);
    propose_later(&mut w, 1, "halves");
    w.join();
    assert_eq!(w.version().unwrap(), 1, "the half with two of three deciders decides");
    w.wait("the others refuse", SOON, |w| refused_for_want_of_right(w, "n4", cut) > 0).unwrap();
    let health = w.members[4].health().expect("health is answered");
    assert!(health.0 == 503 && health.1.contains("right ran out"), "{health:?}");
    w.mend();
    all_good(w, 1);
}

#[test]
fn promise_5_a_deciders_full_disk_is_no_veto_and_it_comes_back_by_itself() {
    let w = world("disk-one", Options::default());
    w.members[1].fill_disk(true);
    assert_eq!(propose(&w, 0).0, 0);
    w.wait("it stands aside", SOON, |w| w.status()["deciders"][1]["role"] == "broken").unwrap();
    let disk = w.status()["deciders"][1]["disk"].as_str().unwrap_or_default().to_owned();
    assert!(disk.contains("no room") && disk.contains("fleet.folder"), "{disk}");
    w.members[1].fill_disk(false);
    w.wait("it is back", SOON, |w| w.status()["deciders"][1]["role"] == "follower").unwrap();
    assert_eq!(propose(&w, 1), (0, Some(2)));
    all_good(w, 2);
}

#[test]
fn promises_4_and_5_all_disks_full_stops_changes_keeps_the_policy_and_ends_when_there_is_room() {
    let w = world("disk-all", Options::default());
    assert_eq!(propose(&w, 1), (0, Some(1)));
    (0..3).for_each(|m| w.members[m].fill_disk(true));
    let file = w.policy(0);
    let words = ["policy", "propose", &file.to_string_lossy(), "--id", "full", "--json", "--wait", "4"];
    assert_eq!(w.change(&words).0, 3, "its outcome is not known");
    let full = now();
    w.wait("rights run out", SOON, |w| refused_for_want_of_right(w, "n4", full) > 0).unwrap();
    (0..3).for_each(|m| w.members[m].fill_disk(false));
    w.all_admit(1, SOON).expect("all admit again");
    // The same change, asked again under its id, is the same change.
    let (code, version) = w.change(&words);
    assert!(code == 0 && version == Some(2), "{code} {version:?}");
    all_good(w, 2);
}

#[test]
fn promise_4_one_that_was_down_through_three_changes_learns_before_it_admits_with_its_disk_and_without() {
    let mut w = world("three-changes", Options::default());
    w.kill(1);
    for (number, version) in [(0, 1), (1, 2), (2, 3)] {
        assert_eq!(propose(&w, number), (0, Some(version)));
    }
    w.begin(1).unwrap();
    w.all_admit(3, SOON).unwrap();
    w.kill(1);
    std::fs::remove_dir_all(w.disk(1)).unwrap();
    w.begin(1).unwrap();
    w.all_admit(3, SOON).expect("it asks the others, and admits");
    assert_eq!(w.status()["deciders"][1]["role"], "blank", "it neither votes nor leads");
    let back = w.operate(&["fleet", "readmit", "2"]);
    let log = w.members.iter().map(|m| m.said().log.join("\n")).collect::<Vec<_>>().join("\n---\n");
    assert!(back.status.success(), "{}\n{log}", String::from_utf8_lossy(&back.stderr));
    w.wait("it votes again", SOON, |w| w.status()["deciders"][1]["role"] == "follower").unwrap();
    // Its word counts: with another one down, the two are a majority.
    w.kill(2);
    assert_eq!(propose(&w, 3), (0, Some(4)));
    w.begin(2).unwrap();
    all_good(w, 4);
}

#[test]
fn promise_5_all_killed_right_after_done_was_said() {
    let mut w = world("all-killed", Options::default());
    assert_eq!(propose(&w, 0), (0, Some(1)));
    (0..5).for_each(|m| w.kill(m));
    for m in 0..5 {
        w.begin(m).unwrap();
    }
    assert_eq!(w.version().unwrap(), 1);
    all_good(w, 1);
}

#[test]
fn promise_5_a_decider_whose_fsync_fails_stands_aside_and_comes_back_by_itself() {
    let w = world("fsync", Options::default());
    let leader = w.leader().expect("somebody leads");
    w.fail_fsync(leader, true).unwrap();
    assert_eq!(propose(&w, 0), (0, Some(1)), "the others decide");
    w.wait("it stands aside", SOON, |w| {
        let status = w.status();
        let of = |d: &&serde_json::Value| d["seat"] == leader as u64 + 1;
        let all = status["deciders"].as_array().cloned().unwrap_or_default();
        all.iter().find(of).is_some_and(|d| d["disk_ok"] == false && d["role"] == "broken")
    })
    .unwrap();
    w.all_admit(1, SOON).expect("it serves all the while: others decide for it");
    w.fail_fsync(leader, false).unwrap();
    let votes = |w: &World| {
        let status = w.status();
        status["deciders"]
            .as_array()
            .is_some_and(|all| all.len() == 3 && all.iter().all(|d| d["disk_ok"] == true))
    };
    w.wait("it is back", SOON, votes).unwrap();
    assert_eq!(propose(&w, 1), (0, Some(2)));
    all_good(w, 2);
}

#[test]
fn promise_4_deciders_are_taken_out_and_in_again_one_at_a_time() {
    let mut w = world("seats", Options::default());
    let leader = w.leader().expect("somebody leads");
    let other = (leader + 1) % 3;
    let seat = |m: usize| (m + 1).to_string();
    let voters = |w: &World| {
        let status = w.status();
        let of = |d: &&serde_json::Value| d["role"] == "leader";
        let all = status["deciders"].as_array().cloned().unwrap_or_default();
        all.iter().find(of).and_then(|d| d["voters"].as_array().map(Vec::len)).unwrap_or(0)
    };
    let itself = w.operate(&["fleet", "remove", &seat(leader)]);
    assert_eq!(itself.status.code(), Some(1), "who leads is not taken out");
    assert!(w.operate(&["fleet", "remove", &seat(other)]).status.success());
    assert_eq!(voters(&w), 2);
    let third = 3 - leader - other;
    assert_eq!(
        w.operate(&["fleet", "remove", &seat(third)]).status.code(),
        Some(1),
        "one alone would be left"
    );
    w.kill(other);
    assert_eq!(propose(&w, 0), (0, Some(1)), "its vote is not needed any more");
    w.begin(other).unwrap();
    assert!(w.operate(&["fleet", "readmit", &seat(other)]).status.success());
    w.wait("three decide", SOON, |w| voters(w) == 3).unwrap();
    w.kill(third);
    assert_eq!(propose(&w, 1), (0, Some(2)), "and its vote counts again");
    w.begin(third).unwrap();
    all_good(w, 2);
}

#[test]
fn promise_2_a_clock_that_leaps_ends_rights_early_and_never_late() {
    let trials = ["jump=4000:2500", "", "jump=4500:86400000", "jump=5000:1200", ""];
    let w = world("leaps", Options { trials: trials.map(str::to_owned).to_vec(), ..Options::default() });
    for (version, number) in [(1, 0), (2, 1), (3, 2)] {
        assert_eq!(propose(&w, number), (0, Some(version)));
        w.all_admit(version, SOON).unwrap();
    }
    all_good(w, 3);
}

#[test]
fn promise_1_two_operators_at_once_make_one_change() {
    let mut w = world("two-operators", Options::default());
    propose_later(&mut w, 0, "one");
    propose_later(&mut w, 1, "two");
    w.join();
    let mut codes: Vec<i32> = Vec::new();
    for event in w.history.all() {
        if let What::Command { code, .. } = event.what {
            codes.push(code);
        }
    }
    codes.sort_unstable();
    assert_eq!(codes, [0, 1], "one is in force, the other turned down");
    all_good(w, 1);
}

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
    all_good(w, 0);
}

#[test]
fn promise_2_clocks_that_run_five_per_cent_apart() {
    let trials = ["", "rate=1.05", "rate=0.95,offset=86400000", "rate=1.05", "rate=0.95,offset=-50000"];
    let trials = trials.map(str::to_owned).to_vec();
    let w = world("clocks", Options { trials, ..Options::default() });
    for (version, number) in [(1, 0), (2, 1)] {
        w.cut(4, Way::Silent, Way::Silent); // The slow one holds its right to the end.
        assert_eq!(propose(&w, number), (0, Some(version)));
        w.mend();
        w.all_admit(version, SOON).unwrap();
    }
    all_good(w, 2);
}

#[test]
fn promise_1_a_rollback_and_a_taking_back_while_a_change_is_being_decided() {
    let mut w = world("rollback", Options { check: 5000, ..Options::default() });
    assert_eq!(propose(&w, 1), (0, Some(1)));
    w.members[4].stop(); // Its check is waited for.
    propose_later(&mut w, 0, "slow");
    w.wait("under way", SOON, |w| w.status()["pending"]["change"] == "slow").unwrap();
    assert_eq!(w.change(&["policy", "rollback", "--json"]).0, 1, "another change is under way");
    let back = w.operate(&["policy", "take-back", "slow"]);
    let log = w.members.iter().map(|m| m.said().log.join("\n")).collect::<Vec<_>>().join("\n---\n");
    assert!(back.status.success(), "{}\n{log}", String::from_utf8_lossy(&back.stderr));
    w.join();
    w.members[4].wake();
    assert_eq!(w.version().unwrap(), 1, "what was taken back never was");
    assert_eq!(w.change(&["policy", "rollback", "--json"]), (0, Some(2)), "to the version before");
    all_good(w, 2);
}

#[test]
fn noise_an_oversized_frame_and_a_stranger_harm_nothing() {
    let w = world("noise", Options::default());
    let address = w.members[0].said().fleet.expect("it listens");
    let hello = |fleet: &str| {
        // Magic, form 1, the fleet's name, a member's: as the links write it, with its length before.
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
        // It is closed, or reset, within its time.
        let _ = stream.read_to_end(&mut answer);
        if bytes == hello("another") {
            let text = String::from_utf8_lossy(&answer).into_owned();
            assert!(text.contains("is of fleet another, this member of noise"), "{text}");
        }
    }
    assert_eq!(propose(&w, 0), (0, Some(1)));
    all_good(w, 1);
}
