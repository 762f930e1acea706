//! One real front end: reads its configuration, wires the parts, ends on SIGTERM.

use beamgap::node::clock::Clock;
use beamgap::node::config::Config;
use beamgap::node::Node;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

const TURN: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("beamgap: {text}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "config: NODE_CONFIG is not set".to_owned())?;
    let text = std::fs::read(&path).map_err(|e| format!("config: NODE_CONFIG {path}: {e}"))?;
    let config = Config::read(text, &|name| std::env::var(name).ok()).map_err(|e| e.to_string())?;
    let name = config.name.clone();
    let mut node = Node::new(config, Clock::system()).map_err(|e| format!("start: {e}"))?;
    let (mut ended, signal) = mio::net::UnixStream::pair().map_err(|e| format!("signals: {e}"))?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, signal)
        .map_err(|e| format!("signals: {e}"))?;
    node.watch_signal(&mut ended).map_err(|e| format!("signals: {e}"))?;
    let log = start_log(name)?;
    loop {
        for line in node.take_log() {
            // A full queue drops the line: the log never holds the front end up.
            let _ = log.try_send(line);
        }
        if node.ended() {
            return Ok(());
        }
        node.turn(TURN).map_err(|e| format!("poll: {e}"))?;
    }
}

/// A thread that writes the log, so that a reader who stands still stops nobody.
fn start_log(name: String) -> Result<std::sync::mpsc::SyncSender<String>, String> {
    let (log, lines) = std::sync::mpsc::sync_channel::<String>(1024);
    let write = move || {
        for line in lines {
            // Nobody is left to tell that the log cannot be written.
            let _ = writeln!(std::io::stderr(), "{name} {line}");
        }
    };
    std::thread::Builder::new().name("log".into()).spawn(write).map_err(|e| format!("log: {e}"))?;
    Ok(log)
}
