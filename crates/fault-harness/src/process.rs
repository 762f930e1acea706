//! A member of the fleet as a real process: its start, its output, and the signals and limits that simulate faults.

use crate::history::History;
use crate::lock;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Addresses and log lines that were parsed from a process's standard error.
#[derive(Debug, Default)]
pub struct Said {
    /// Address for JSON-RPC clients.
    pub front: Option<SocketAddr>,
    /// Address for the other members; only voters listen on one.
    pub fleet: Option<SocketAddr>,
    /// Address for health checks over HTTP.
    pub health: Option<SocketAddr>,
    /// The last log lines, at most 400; history lines are not included.
    pub log: Vec<String>,
}

/// A member's process.
#[derive(Debug)]
pub struct Process {
    /// Name of the member.
    pub name: String,
    binary: PathBuf,
    config: PathBuf,
    operator: PathBuf,
    trial: String,
    history: History,
    child: Option<Child>,
    /// Thread that reads the process's standard error until the pipe closes.
    reader: Option<std::thread::JoinHandle<()>>,
    said: Arc<Mutex<Said>>,
}

impl Process {
    /// Prepares a process without starting it; `trial` is the value of its `BEAMGAP_TRIAL` variable.
    pub fn new(
        name: &str,
        binary: &Path,
        config: PathBuf,
        operator: PathBuf,
        trial: &str,
        history: History,
    ) -> Process {
        Process {
            name: name.to_owned(),
            binary: binary.to_owned(),
            config,
            operator,
            trial: trial.to_owned(),
            history,
            child: None,
            reader: None,
            said: Arc::default(),
        }
    }

    /// Starts the process and waits until the process has logged its health check address.
    /// If `decides` marks the process as a voter, its address for other members must be logged too.
    ///
    /// # Errors
    ///
    /// If the process can't be started, exits early or has not logged its addresses within 20 s.
    pub fn start(&mut self, decides: bool) -> Result<(), String> {
        let mut child = Command::new(&self.binary)
            .args(["run", "--operator"])
            .arg(&self.operator)
            .env("NODE_CONFIG", &self.config)
            .env("BEAMGAP_TRIAL", &self.trial)
            // Only the test process has the write end of this pipe, so the pipe closes whenever the test process ends.
            // A member with `leash` in `BEAMGAP_TRIAL` then exits, even if the test process was killed.
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", self.binary.display()))?;
        self.said = Arc::default();
        let stderr = child.stderr.take().ok_or("standard error is not piped")?;
        let (said, history, name) = (self.said.clone(), self.history.clone(), self.name.clone());
        self.reader = Some(std::thread::spawn(move || {
            let mut stderr = BufReader::new(stderr);
            let mut line = String::new();
            // A killed process may leave an incomplete last line; a line without a newline is ignored.
            while stderr.read_line(&mut line).is_ok() && line.ends_with('\n') {
                let line = std::mem::take(&mut line).trim_end().to_owned();
                if history.line(&name, &line) {
                    continue;
                }
                let mut said = lock(&said);
                let address = line.split("address=").nth(1).and_then(|a| a.trim().parse().ok());
                if line.contains("listen: front=JsonRpc") {
                    said.front = address;
                } else if line.contains("listen: fleet") {
                    said.fleet = address;
                } else if line.contains("listen: control=Http") {
                    said.health = address;
                }
                said.log.push(line);
                if said.log.len() > 400 {
                    said.log.drain(..200);
                }
            }
        }));
        self.child = Some(child);
        let deadline = Instant::now() + Duration::from_secs(20);
        let listens = |said: &Said| said.health.is_some() && (said.fleet.is_some() || !decides);
        while !listens(&lock(&self.said)) {
            if Instant::now() > deadline
                || self.child.as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
            {
                return Err(format!("{} did not start: {:?}", self.name, lock(&self.said).log));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    /// Whether the process exists; also true while it is suspended.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    fn pid(&self) -> Option<Pid> {
        self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32))
    }

    /// Process id of the member, if it was started.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the CPU time that the process has used, in seconds, and its anonymous resident memory, in KiB.
    /// Anonymous memory excludes file-backed pages such as the program's code.
    pub fn used(&self) -> Option<(f64, u64)> {
        let id = self.id()?;
        // Reads `schedstat`, which counts CPU time in nanoseconds; `stat` has a resolution of only 10 ms.
        let cpu_ns = |task: std::fs::DirEntry| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split(' ').next()?.parse::<f64>().ok()
        };
        let tasks = std::fs::read_dir(format!("/proc/{id}/task")).ok()?.flatten();
        let nanoseconds: f64 = tasks.filter_map(cpu_ns).sum();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let rss = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
        Some((nanoseconds / 1e9, rss.split_whitespace().next()?.parse().ok()?))
    }

    /// Sends SIGKILL without waiting for the process to exit; [`Process::kill`] waits.
    pub fn end(&self) {
        self.signal(Signal::KILL);
    }

    /// Sends SIGKILL and waits until the process has exited.
    /// When this function returns, the history contains every event that the process had written.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill(); // The process may have exited already.
            let _ = child.wait();
        }
        if let Some(reader) = self.reader.take() {
            let _ = reader.join(); // The thread does not panic, and it ends when the pipe closes.
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal); // The process may have exited already.
        }
    }

    /// Sends SIGTERM, which makes the member drain its requests and exit.
    pub fn drain(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGHUP, which makes the member reload its configuration.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether the process exited with code 0; `None` while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.success())
    }

    /// Suspends the process with SIGSTOP.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// Simulates a full disk with a file size limit of 0, so that writes to files fail; `false` removes the limit.
    pub fn fill_disk(&self, full: bool) {
        let Some(pid) = self.pid() else { return };
        let limit = Rlimit { current: full.then_some(0), maximum: None };
        let _ = prlimit(Some(pid), Resource::Fsize, limit); // The process may have exited already.
    }

    /// Addresses and log lines that the process has written so far.
    pub fn said(&self) -> std::sync::MutexGuard<'_, Said> {
        lock(&self.said)
    }

    /// Requests `/health/ready` over HTTP and returns the status code and the body; `None` if the request fails.
    pub fn health(&self) -> Option<(u16, String)> {
        use std::io::{Read, Write};
        let at = self.said().health?;
        let mut stream = std::net::TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
        stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
        let mut text = String::new();
        let _ = stream.read_to_string(&mut text); // If the connection stays open, the read timeout ends the read.
        let status = text.split(' ').nth(1)?.parse().ok()?;
        Some((status, text.split("\r\n\r\n").nth(1).unwrap_or_default().to_owned()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
