//! One real front end: reads its configuration, wires the parts, reads it anew on SIGHUP, ends on SIGTERM.

use beamgap::node::clock::Clock;
use beamgap::node::config::{Config, ConfigError};
use beamgap::node::Node;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use std::sync::mpsc::Receiver;
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
    let config = read(&path).map_err(|e| e.to_string())?;
    let name = config.name.clone();
    let mut node = Node::new(config, Clock::system()).map_err(|e| format!("start: {e}"))?;
    let (mut ended, signal) = mio::net::UnixStream::pair().map_err(|e| format!("signals: {e}"))?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, signal)
        .map_err(|e| format!("signals: {e}"))?;
    node.watch_signal(&mut ended).map_err(|e| format!("signals: {e}"))?;
    let reloads = start_reloads(path, node.waker().map_err(|e| format!("signals: {e}"))?)?;
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
        reloads.try_iter().for_each(|read| node.reload(read));
    }
}

fn read(path: &str) -> Result<Config, ConfigError> {
    let unread =
        |e: std::io::Error| ConfigError { key: "NODE_CONFIG".into(), problem: format!("{path}: {e}") };
    Config::read(std::fs::read(path).map_err(unread)?, &|name| std::env::var(name).ok())
}

/// A thread that reads the configuration anew on each SIGHUP, so that a slow disk or a large file stops nobody.
fn start_reloads(path: String, waker: mio::Waker) -> Result<Receiver<Result<Config, ConfigError>>, String> {
    let (mut asked, signal) = UnixStream::pair().map_err(|e| format!("signals: {e}"))?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGHUP, signal)
        .map_err(|e| format!("signals: {e}"))?;
    let (sender, reloads) = std::sync::mpsc::channel();
    let work = move || {
        // Several signals at once are one: the file is read after the last.
        while asked.read(&mut [0; 64]).is_ok_and(|n| n > 0) {
            if sender.send(read(&path)).is_err() || waker.wake().is_err() {
                return; // The node has ended.
            }
        }
    };
    std::thread::Builder::new().name("reload".into()).spawn(work).map_err(|e| format!("reload: {e}"))?;
    Ok(reloads)
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
