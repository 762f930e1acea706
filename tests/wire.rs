//! Tests of the simulator adapter as a child process: its replies, malformed input lines and the end of its input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const START: &str = "start 3 513 Balancers=2 Classes.count=1 Classes.0.Name=lookup Classes.0.HardLimit=3000.0 \
    Classes.0.OnTime=600.0 Classes.0.Repeat=pure Unknown.Key=7 MachineTypes=std-8,std-16 Domain.CoresByKind=8,16 \
    Domain.RamOfKindMb=16384.0,32768.0 Limits.Cancel=true Limits.RetryAfter=true Limits.MaxRetryAfter=1000.0";
const ENGINE_LIST: &str =
    "directory 0 1\nengine hall-a 10.18.74.7:7003 std-8 1 0 - SERVING\nregistry 3 cached 41 0";
const REQUEST: &str = "order 3 5d3a91c4-9a26-468c-a1e0-bdd93e783a4d 12.0 1 11 - 240.0 lookup - 384";

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_beamgap-simulator-host"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter must start");
    // Ignores write errors: the adapter exits at a malformed line, before it has read all of its input.
    let _ = child.stdin.take().expect("stdin is a pipe").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter must exit")
}

fn replies(input: &str) -> String {
    let out = run_adapter(input);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    String::from_utf8(out.stdout).expect("UTF-8")
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    assert_eq!(replies("clock 8412.25\neof_batch\n"), "ok\n");
    assert_eq!(replies(""), "");
}

#[test]
fn a_request_is_sent_answered_and_the_ids_come_back_unchanged() {
    let closed = "closed_attempt 3 5d3a91c4-9a26-468c-a1e0-bdd93e783a4d 200 0 18.5 10.18.74.7:7003 1 69728 \
        outstanding:7,backlog:3,x0:0.4,x1:1.25,odd:1";
    let text = format!(
        "clock 8412.25\n{START}\n{ENGINE_LIST}\n{REQUEST}\neof_batch\nclock 8440\n{closed}\neof_batch\n"
    );
    let output = replies(&text);
    assert!(output.contains("assign 3 5d3a91c4-9a26-468c-a1e0-bdd93e783a4d 10.18.74.7:7003 0\n"), "{output}");
    assert!(output.contains("defer 3 25.000 1\n"), "{output}");
    assert_eq!(output.lines().filter(|l| *l == "ok").count(), 2);
}

#[test]
fn every_event_is_taken_and_late_ids_are_passed_over() {
    let unknown_id = "0e6f2b19-b0d7-48d4-a6b5-0581994b8913";
    let events = format!(
        "streaming 3 {unknown_id} 0 10.18.74.7:7003 9.25\nnotice 3 {unknown_id} 0.5 1 0 10.18.74.7:7003\n\
         notice 3 {unknown_id} 2 3 0 10.18.74.7:7003\nclosed_attempt 3 {unknown_id} 408 0 18.5 10.18.74.7:7003 0 - -\n\
         abandoned 3 {unknown_id}\ntimeout_fired 3 77\nsampled 3 10.18.74.7:7003 200 1.4 utilization:0.5\n\
         sampled 3 10.18.74.7:7003 521 250 -\npeer_data 3 2 aGkgNw==\npeer_data 3 2 -\nregistry 3 failed - -\n\
         shutdown 3"
    );
    replies(&format!("clock 1\n{START}\n{ENGINE_LIST}\n{events}\neof_batch\n"));
}

#[test]
fn instances_share_nothing_and_one_may_start_again_in_a_batch() {
    let second_instance = START.replace("start 3 513", "start 4 514");
    let text = format!(
        "clock 1\n{START}\n{second_instance}\n{ENGINE_LIST}\n{REQUEST}\nshutdown 3\n{START}\neof_batch\n"
    );
    let output = replies(&text);
    assert_eq!(output.lines().filter(|l| l.starts_with("assign")).count(), 1);
    assert!(!output.contains(" 4 5d3a"), "{output}");
}

#[test]
fn a_very_long_batch_is_taken() {
    // Where engines apply priorities, no load limit applies to light queries: all 5000 requests are sent at once.
    let mut text = format!("clock 1\n{START} Domain.Priorities=true\n{ENGINE_LIST}\n");
    for i in 0..5000 {
        text.push_str(&format!("order 3 r{i} 12.0 1 {} - 3000.0 lookup - 38\n", i % 7));
    }
    let output = replies(&format!("{text}eof_batch\n"));
    assert_eq!(output.lines().filter(|l| l.starts_with("assign")).count(), 5000);
}

#[test]
fn malformed_lines_end_it_with_the_line_the_found_and_the_expected() {
    let malformed = [
        ("nonsense 1", 2),
        ("start 3 x", 2),
        ("start 3 513 Classes.count=1", 2),
        ("start 3 513 Classes.count=2 Domain.ThreadsByClass=1", 2),
        ("order 3", 2),
        ("order 9 a 1.0 1 1 - 5.0 lookup - 3", 2),
        ("directory 0 2\nclock 5", 3),
        ("directory 0 1\nengine a b c 1 0 - ASLEEP", 3),
        ("registry 3 cached 1 7", 2),
        ("closed_attempt 3 a 999 0 1 e 1 0 -", 2),
        ("closed_attempt 3 a 200 0 nan e 1 0 -", 2),
        ("notice 3 a 0.5 9 0 e", 2),
        ("peer_data 3 2 ???", 2),
        ("abandoned 3 a b", 2),
        ("clock 2", 2),
        ("", 2),
    ];
    for (lines, line_number) in malformed {
        let out = run_adapter(&format!("clock 1\n{lines}\neof_batch\n"));
        let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success(), "{lines}");
        assert!(
            stderr.contains(&format!("line {line_number}: found")) && stderr.contains("expected"),
            "{lines}: {stderr}"
        );
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        assert!(out.stdout.is_empty());
    }
    assert!(!run_adapter("clock 1\n").status.success(), "input ends inside a batch");
    assert!(!run_adapter("clock 1\neof_ba").status.success(), "input ends inside a line");
    assert!(!run_adapter("eof_batch\n").status.success(), "no batch is open");
}
