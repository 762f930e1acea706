//! Serving: reads the configuration, wires the parts, reads it anew on SIGHUP, ends on SIGTERM.

use crate::cli::Run;
use crate::log;
use beamgap::node::clock::Clock;
use beamgap::node::config::{Config, ConfigError};
use beamgap::node::Node;
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::time::Duration;

const TURN: Duration = Duration::from_secs(1);

/// Serves until it is asked to end.
pub fn run(run: Run) -> Result<(), String> {
    // First of all: until they are caught, SIGHUP and SIGTERM kill the process.
    let mut signals = Signals::catch().map_err(|e| format!("signals: {e}"))?;
    let path = std::env::var("NODE_CONFIG").map_err(|_| "config: NODE_CONFIG is not set".to_owned())?;
    let files = Files { config: path.into(), operator: run.operator };
    let config = files.read().map_err(|e| e.to_string())?;
    let name = config.name.clone();
    let _written = log::start(&name, run.log_format, &run.log)?;
    if config.fleet.is_some() {
        // A file-size limit is to a decider's disk as no room is, and no reason to end.
        let noted = Arc::new(std::sync::atomic::AtomicBool::new(false));
        signal_hook::flag::register(signal_hook::consts::SIGXFSZ, noted)
            .map_err(|e| format!("signals: {e}"))?;
    }
    let mut node = Node::new(config, Clock::system()).map_err(|e| format!("start: {e}"))?;
    node.watch_signal(&mut signals.terminate).map_err(|e| format!("signals: {e}"))?;
    let waker = node.waker().map_err(|e| format!("signals: {e}"))?;
    let reloads = start_reloads(files, signals.reload, waker)?;
    loop {
        for line in node.take_log() {
            log::line(&name, &line);
        }
        if node.is_shut_down() {
            return Ok(());
        }
        node.poll_once(TURN).map_err(|e| format!("poll: {e}"))?;
        reloads.try_iter().for_each(|read| node.reload(read));
    }
}

/// Streams on which a byte comes with each signal, also with one that came before anybody read them.
struct Signals {
    terminate: mio::net::UnixStream,
    reload: UnixStream,
}

impl Signals {
    fn catch() -> std::io::Result<Signals> {
        let (terminate, sender) = mio::net::UnixStream::pair()?;
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, sender)?;
        let (reload, sender) = UnixStream::pair()?;
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGHUP, sender)?;
        Ok(Signals { terminate, reload })
    }
}

/// The files that tell how to serve.
struct Files {
    config: PathBuf,
    operator: Option<PathBuf>,
}

impl Files {
    fn read(&self) -> Result<Config, ConfigError> {
        let text = |key: &str, path: &Path| {
            std::fs::read(path).map_err(|e| ConfigError::new(key, format!("{}: {e}", path.display())))
        };
        let config = text("NODE_CONFIG", &self.config)?;
        let env = |name: &str| std::env::var(name).ok();
        let Some(path) = &self.operator else { return Config::read(config, &env) };
        let operator = String::from_utf8(text("--operator", path)?);
        let operator = operator.map_err(|_| ConfigError::new(path.display().to_string(), "is not UTF-8"))?;
        Config::read_both(config, Some((&path.display().to_string(), &operator)), &env)
    }
}

/// A thread that reads the configuration anew on each SIGHUP, so that a slow disk or a large file stops nobody.
fn start_reloads(
    files: Files,
    mut asked: UnixStream,
    waker: Arc<mio::Waker>,
) -> Result<Receiver<Result<Config, ConfigError>>, String> {
    let (sender, reloads) = std::sync::mpsc::channel();
    let work = move || {
        // Several signals at once are one: the file is read after the last.
        while asked.read(&mut [0; 64]).is_ok_and(|n| n > 0) {
            if sender.send(files.read()).is_err() || waker.wake().is_err() {
                return; // The node has ended.
            }
        }
    };
    std::thread::Builder::new().name("reload".into()).spawn(work).map_err(|e| format!("reload: {e}"))?;
    Ok(reloads)
}
