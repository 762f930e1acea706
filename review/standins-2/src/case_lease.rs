//! A task of the whole fleet. Its step is refused once, is tried again and is done. Meanwhile the connection of its
//! holder to the leader falls quiet for a while, and what was sent on it arrives late.

use crate::fleet::{deciders, leads, Fleet};
use crate::http;
use crate::relay::Relay;
use crate::world::{sleep_ms, Outcome, Record, Verdict, World};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// The second call's work; the task's longest time of a step is one second.
const WORK_MS: u64 = 800;
/// How long after the begin of the second call the quiet connection recovers.
const RECOVERS_AFTER_MS: u64 = 300;

/// One call as the target saw it.
#[derive(Clone, Debug)]
struct Call {
    began: f64,
    ended: f64,
    status: u16,
    token: String,
    body: String,
}

struct Target {
    calls: Mutex<Vec<Call>>,
    link: Mutex<Option<Relay>>,
}

pub fn run(world: &mut World) -> Outcome {
    let record = world.record.clone();
    let target = Arc::new(Target { calls: Mutex::default(), link: Mutex::default() });
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let target_port = listener.local_addr().map_err(|e| e.to_string())?.port();
    let (own, target_record) = (target.clone(), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (target, record) = (own.clone(), target_record.clone());
            std::thread::spawn(move || answer(&target, stream, &record));
        }
    });
    let fleet = Fleet::start(world, &[(1, 1)])?;
    let leader = fleet.found(world)?;
    let holder = (leader + 1) % 3;
    record.line(format!("leader=n{} holder=n{}", leader + 1, holder + 1));
    if world.trouble {
        *target.link.lock().map_err(|e| e.to_string())? = fleet.links[holder][leader].clone();
    }
    // The figures of deploy/fleet.hcl, with one step, on the member that does not lead.
    let task = format!(
        "fleet {{\n  name = \"counter-fleet\"\n{}  task \"feed\" {{\n    call = \"http://127.0.0.1:{target_port}/feed\"\n    steps = 1\n    step_time = \"1 s\"\n    lease = \"5 s\"\n    unknown = \"halt\"\n    tries = 3\n    backoff = \"1 s\"\n    members = \"n{}\"\n  }}\n}}\n",
        deciders(&fleet.voters),
        holder + 1
    );
    let task = world.write("task.hcl", &task)?.display().to_string();
    sleep_ms(1500);
    expect(world.command(&["task", "apply", "--operator", &task])?)?;
    expect(world.command(&["task", "run", "--operator", &task, "feed"])?)?;
    sleep_ms(12_000);
    world.all_run()?;
    let (_, history) = world.command(&["task", "history", "--operator", &task, "feed"])?;
    let (_, status) = world.command(&["fleet", "status", "--operator", &fleet.asking])?;
    if !leads(&status, leader) {
        return Err("another member leads by now".into());
    }
    judge(&target, &history)
}

fn judge(target: &Target, history: &str) -> Outcome {
    let calls = target.calls.lock().map_err(|e| e.to_string())?.clone();
    let done: Vec<&Call> = calls.iter().filter(|call| call.status == 204).collect();
    if calls.first().is_none_or(|call| call.status != 429) || done.is_empty() {
        return Err(format!("the step was not refused once and then done: {calls:?}"));
    }
    let again = done.iter().skip(1).filter(|later| later.began >= done[0].began).count();
    let overlap = done.windows(2).any(|pair| pair[1].began < pair[0].ended);
    let text = format!(
        "step 0 of run 1 was done {} times at the target, overlapping: {overlap}; the record says: {}",
        done.len(),
        history.trim().replace('\n', " | ")
    );
    Ok(Verdict { held: again == 0, text })
}

fn answer(target: &Target, mut stream: TcpStream, record: &Record) {
    let Some((head, body)) = http::read_message(&mut stream) else { return };
    let token = head
        .lines()
        .find_map(|l| l.to_ascii_lowercase().strip_prefix("lease-token:").map(|v| v.trim().to_owned()));
    let began = record.now();
    let number = {
        let Ok(mut calls) = target.calls.lock() else { return };
        let status = if calls.is_empty() { 429 } else { 204 };
        calls.push(Call { began, ended: f64::INFINITY, status, token: token.unwrap_or_default(), body });
        let call = &calls[calls.len() - 1];
        record.line(format!("target: call {} token={} body={}", calls.len(), call.token, call.body));
        calls.len()
    };
    let link = target.link.lock().ok().and_then(|link| link.clone());
    match (number, link) {
        (1, Some(link)) => {
            link.fall_quiet();
            record.line("link: the holder's open connection to the leader falls quiet");
        }
        (2, Some(link)) => {
            let record = record.clone();
            std::thread::spawn(move || {
                sleep_ms(RECOVERS_AFTER_MS);
                let bytes = link.recover();
                record.line(format!("link: recovers; {bytes} bytes of the holder arrive late"));
            });
        }
        _ => {}
    }
    let status = if number == 1 {
        "429 Too Many Requests"
    } else {
        sleep_ms(WORK_MS);
        "204 No Content"
    };
    if let Ok(mut calls) = target.calls.lock() {
        calls[number - 1].ended = record.now();
    }
    record.line(format!("target: call {number} answered {status}"));
    let _ = stream
        .write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").as_bytes());
}

fn expect((code, text): (i32, String)) -> Result<(), String> {
    if code == 0 {
        Ok(())
    } else {
        Err(text)
    }
}
