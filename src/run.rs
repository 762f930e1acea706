//! The `run` command: reads the configuration, starts the node and runs its event loop. SIGHUP reloads the
//! configuration, and SIGTERM starts a graceful shutdown.

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

/// Maximum time that one iteration of the event loop waits for sockets.
const MAX_POLL_WAIT: Duration = Duration::from_secs(1);

/// Serves requests until SIGTERM has been received and the graceful shutdown is complete.
pub fn run(run: Run) -> Result<(), String> {
    // The handlers are installed first, because SIGHUP and SIGTERM kill a process that has no handler for them.
    let mut signals = Signals::register().map_err(|e| format!("signals: {e}"))?;
    let path = std::env::var("NODE_CONFIG").map_err(|_| "config: NODE_CONFIG is not set".to_owned())?;
    let files = Files { config: path.into(), operator: run.operator };
    let config = files.read().map_err(|e| e.to_string())?;
    let name = config.name.clone();
    let _log_guard = log::start(&name, run.log_format, &run.log)?;
    if config.fleet.is_some() {
        // By default, SIGXFSZ kills a process that exceeds its file-size limit. With a handler, the write fails
        // instead, and the voter handles the failed write like a full disk.
        let ignored = Arc::new(std::sync::atomic::AtomicBool::new(false));
        signal_hook::flag::register(signal_hook::consts::SIGXFSZ, ignored)
            .map_err(|e| format!("signals: {e}"))?;
    }
    let mut node = Node::new(config, Clock::system()).map_err(|e| format!("start: {e}"))?;
    node.watch_signal(&mut signals.terminate).map_err(|e| format!("signals: {e}"))?;
    let waker = node.waker().map_err(|e| format!("signals: {e}"))?;
    let reloads = spawn_reload_thread(files, signals.reload, waker)?;
    loop {
        for line in node.take_log() {
            log::line(&name, &line);
        }
        if node.is_shut_down() {
            return Ok(());
        }
        node.poll_once(MAX_POLL_WAIT).map_err(|e| format!("poll: {e}"))?;
        reloads.try_iter().for_each(|read| node.reload(read));
    }
}

/// Streams that receive one byte per signal. A signal that arrives before the stream is first read is not lost,
/// because the stream buffers its byte.
struct Signals {
    terminate: mio::net::UnixStream,
    reload: UnixStream,
}

impl Signals {
    fn register() -> std::io::Result<Signals> {
        let (terminate, sender) = mio::net::UnixStream::pair()?;
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, sender)?;
        let (reload, sender) = UnixStream::pair()?;
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGHUP, sender)?;
        Ok(Signals { terminate, reload })
    }
}

/// The configuration files of the front end.
struct Files {
    config: PathBuf,
    operator: Option<PathBuf>,
}

impl Files {
    fn read(&self) -> Result<Config, ConfigError> {
        let read_file = |key: &str, path: &Path| {
            std::fs::read(path).map_err(|e| ConfigError::new(key, format!("{}: {e}", path.display())))
        };
        let config = read_file("NODE_CONFIG", &self.config)?;
        let env = |name: &str| std::env::var(name).ok();
        let Some(path) = &self.operator else { return Config::read(config, &env) };
        let operator = String::from_utf8(read_file("--operator", path)?);
        let operator = operator.map_err(|_| ConfigError::new(path.display().to_string(), "is not UTF-8"))?;
        Config::read_both(config, Some((&path.display().to_string(), &operator)), &env)
    }
}

/// Starts a thread that reads the configuration again on each SIGHUP. The event loop does not read the files itself,
/// because a slow disk or a large file would block requests.
fn spawn_reload_thread(
    files: Files,
    mut signals: UnixStream,
    waker: Arc<mio::Waker>,
) -> Result<Receiver<Result<Config, ConfigError>>, String> {
    let (sender, reloads) = std::sync::mpsc::channel();
    let reload_loop = move || {
        // One read may consume the bytes of several signals. A single reload is enough for all of these signals,
        // because the files are read after the last signal.
        while signals.read(&mut [0; 64]).is_ok_and(|n| n > 0) {
            if sender.send(files.read()).is_err() || waker.wake().is_err() {
                return; // The node has shut down.
            }
        }
    };
    std::thread::Builder::new()
        .name("reload".into())
        .spawn(reload_loop)
        .map_err(|e| format!("reload: {e}"))?;
    Ok(reloads)
}
