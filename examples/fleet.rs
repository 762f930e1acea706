//! A demo fleet: fake engines and clients, three front ends that form a consensus group, and a status table that is
//! printed every second. The example prints commands for a second terminal, and on Ctrl-C stops every process that it
//! started.
//!
//! `cargo run --release --example fleet` starts the fleet. While the fleet runs, commands such as
//! `cargo run --release --example fleet -- cut 3` in a second terminal inject faults.

use beamgap_fault_harness::faults::Fault;
use beamgap_fault_harness::relay::Way;
use beamgap_fault_harness::world::{Options, World};
use std::error::Error;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn port_file() -> PathBuf {
    std::env::temp_dir().join("beamgap-fleet.port")
}

/// Sends a command from the second terminal to the running fleet, and prints the reply.
fn send_command(words: &[String]) -> Result<(), Box<dyn Error>> {
    let port = std::fs::read_to_string(port_file())
        .map_err(|_| "no fleet runs: start `cargo run --release --example fleet`")?;
    let mut stream = TcpStream::connect(port.trim())?;
    stream.write_all(words.join(" ").as_bytes())?;
    stream.shutdown(std::net::Shutdown::Write)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    println!("{answer}");
    Ok(())
}

/// A policy with two budgets that all front ends share: a limit on the request rate of the account `munster`, and a limit
/// on the number of concurrent look-ups.
const BUDGETS: &str = r#"form = 1
budget "munster" {
  limits  = "requests"
  account = "munster"
  rate    = 60
  burst   = 30
}
budget "look-ups" {
  limits  = "open"
  class   = "lookup"
  most    = 40
  longest = "3 s"
}
"#;

/// Parses a command to inject or to undo a fault, such as `kill 2`. The number is the member's, counted from 1.
fn parse_fault(text: &str, members: usize) -> Result<Fault, String> {
    let usage = "kill|start|stop|wake|cut|mend|fill|room|flood|calm and a member from 1";
    let (verb, member) = text.trim().split_once(' ').ok_or(usage)?;
    let member = member.trim().parse::<usize>().ok().filter(|m| (1..=members).contains(m)).ok_or(usage)? - 1;
    Ok(match verb {
        "kill" => Fault::Kill(member),
        "start" => Fault::Start(member),
        "stop" => Fault::Stop(member),
        "wake" => Fault::Wake(member),
        "cut" => Fault::Links(member, Way::Silent, Way::Silent),
        "mend" => Fault::Mend(member),
        "fill" => Fault::Fill(member),
        "room" => Fault::Room(member),
        "flood" => Fault::Demand(member, 4, 0),
        "calm" => Fault::Demand(member, 100, 0),
        _ => return Err(usage.to_owned()),
    })
}

fn print_table(world: &World, before: &mut (u64, u64)) {
    let status = world.status();
    let counts = world.counts();
    let (served, sent) = (counts.0 - before.0, counts.1 - before.1);
    *before = counts;
    println!("\nversion {}   {served} served of {sent} sent in the last second", status["version"]);
    if !status["pending"].is_null() {
        println!("under way: {}", status["pending"]);
    }
    for (me, member) in world.members.iter().enumerate() {
        let name = &member.name;
        let rows = status["members"].as_array().cloned().unwrap_or_default();
        let of_name = rows.iter().filter(|m| m["member"] == name.as_str());
        let row = of_name.min_by_key(|m| m["heard_ms"].as_f64().map_or(u64::MAX, |ms| ms as u64)).cloned();
        let row = row.unwrap_or_default();
        let decider = status["deciders"].get(me).cloned().unwrap_or_default();
        let health =
            member.health().map_or("no answer".to_owned(), |(code, why)| format!("{code} {}", why.trim()));
        let heard = row["heard_ms"].as_f64().map_or("-".to_owned(), |ms| format!("{ms:.0}"));
        println!(
            "  {name}  pid {:<7} {:<9} disk {:<6} version {:<4} right {:<6} heard {heard:>5} ms ago  health {health}",
            member.id().unwrap_or(0),
            decider["role"].as_str().unwrap_or("-"),
            if decider["disk_ok"] == true { "good" } else { "-" },
            row["version"],
            row["right"].as_str().unwrap_or("-"),
        );
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if !words.is_empty() {
        return send_command(&words);
    }
    // Cargo builds only the library for an example, so the `beamgap` binary needs a build of its own.
    let cargo = std::env::var("CARGO").unwrap_or("cargo".to_owned());
    let built = Command::new(cargo).args(["build", "--release", "--bin", "beamgap"]).status()?;
    let examples = std::env::current_exe()?;
    let binary = examples.parent().and_then(|p| p.parent()).ok_or("where is this program?")?.join("beamgap");
    if !built.success() || !binary.exists() {
        return Err(format!("{} is not there", binary.display()).into());
    }
    let options = Options {
        members: 3,
        switch_bound: 1000,
        right: 5000,
        check: 2000,
        every: Duration::from_millis(20),
        ..Options::default()
    };
    let mut world = World::start(&binary, "try", options)?;
    let control = TcpListener::bind("127.0.0.1:0")?;
    control.set_nonblocking(true)?;
    std::fs::write(port_file(), control.local_addr()?.to_string())?;
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop_requested.clone())?;
    }
    let (b, o) = (binary.display(), world.operator());
    let o = o.display();
    println!("A fleet of three front ends serves. In a second terminal:");
    println!("  {b} fleet status --operator {o}");
    println!("  {b} policy propose {} --operator {o}     # refuses deliveries", world.policy(0).display());
    println!("  {b} policy propose {} --operator {o}     # leaves an engine out", world.policy(1).display());
    println!("  {b} policy rollback --operator {o}");
    println!("  {b} policy history --operator {o}");
    println!("  cargo run --release --example fleet -- cut 3      # and: mend 3");
    println!("  cargo run --release --example fleet -- fill 2     # its disk; and: room 2");
    println!("  cargo run --release --example fleet -- kill 1     # and: start 1; or: stop 1, wake 1");
    let budgets = world.write_policy("budgets", BUDGETS);
    println!(
        "  {b} policy propose {} --operator {o}     # 60 a second of munster, of all three together",
        budgets.display()
    );
    println!("  cargo run --release --example fleet -- flood 2    # its client asks 250 times a second; and: calm 2");
    println!("  {b} fleet status --operator {o}     # who has which part, and what each wants");
    let mut before = (0, 0);
    while !stop_requested.load(Relaxed) {
        let next = Instant::now() + Duration::from_secs(1);
        while Instant::now() < next && !stop_requested.load(Relaxed) {
            if let Ok((mut stream, _)) = control.accept() {
                stream.set_read_timeout(Some(Duration::from_millis(500)))?;
                let mut text = String::new();
                let _ = stream.read_to_string(&mut text); // On a timeout, the text received so far is used.
                let done = parse_fault(&text, world.members.len()).and_then(|fault| world.fault(&fault));
                let answer = done.map_or_else(|e| e, |()| format!("done: {text}"));
                let _ = stream.write_all(answer.as_bytes()); // The sender of the command may have disconnected.
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        // The terminal delivers Ctrl-C to the front ends too, so that no status is left to show.
        if !stop_requested.load(Relaxed) {
            print_table(&world, &mut before);
        }
    }
    let _ = std::fs::remove_file(port_file()); // The port is closed, so a leftover file does no harm.
    println!("\nended");
    Ok(())
}
