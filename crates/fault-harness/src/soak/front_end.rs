//! A front end under test: writes its configuration, starts and restarts its process, and checks that each process
//! exits in time after SIGTERM.

use super::book::Incarnation;
use super::client::{Door, Target};
use super::discovery::Discovery;
use super::plan::{Plan, PlannedSignal};
use crate::history::History;
use crate::process::Process;
use crate::{lock, now};
use beamgap_fakes::bulletin::{Entry, State};
use beamgap_fakes::draw::Draw;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// Time limit for a started process to become ready, in milliseconds.
const READY_MS: f64 = 10_000.0;
/// How long clients still open new connections after SIGTERM, in milliseconds: the minimum, and the maximum of a
/// random addition.
const NEW_CONNECTIONS_MS: (f64, f64) = (200.0, 200.0);
/// Limit of sockets in a front end's configuration: without and with a crowd of idle connections.
const SOCKETS: (u32, u32) = (1024, 256);

/// A front end, represented by a sequence of processes with the same name and configuration file.
pub struct FrontEnd {
    number: usize,
    plan: Arc<Plan>,
    discovery: Discovery,
    addresses: [SocketAddr; 2],
    uses_second_address: bool,
    config: PathBuf,
    process: Process,
    incarnation: Incarnation,
    /// State shared with the clients: where to connect, and which processes were killed.
    pub door: Door,
    /// Violations found while the processes were started, reloaded or stopped.
    pub violations: Vec<String>,
    /// Number of signals sent so far.
    pub signals: usize,
}

impl FrontEnd {
    /// Starts a front end, and waits until it is ready.
    pub fn start(
        number: usize,
        plan: &Arc<Plan>,
        discovery: &Discovery,
        binary: &Path,
        folder: &Path,
    ) -> Result<FrontEnd, String> {
        let text = |e: std::io::Error| e.to_string();
        let addresses = [discovery.serve(number).map_err(text)?, discovery.serve(number).map_err(text)?];
        let name = format!("n{number}");
        let (config, operator) = (folder.join(format!("{name}.json")), folder.join(format!("{name}.hcl")));
        std::fs::write(&operator, "control {\n  http = \"127.0.0.1:0\"\n}\n").map_err(text)?;
        let process = Process::new(&name, binary, config.clone(), operator, "", History::default());
        let mut front_end = FrontEnd {
            number,
            plan: plan.clone(),
            discovery: discovery.clone(),
            addresses,
            uses_second_address: false,
            config,
            process,
            incarnation: Incarnation { front_end: number, number: 0 },
            door: Door::default(),
            violations: Vec::new(),
            signals: 0,
        };
        front_end.start_process()?;
        Ok(front_end)
    }

    /// Returns the current process for inspection.
    pub fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Writes the configuration, starts the next process, and directs new client connections to it once it is ready.
    fn start_process(&mut self) -> Result<(), String> {
        let started_at = now();
        let known = self.write_config()?;
        self.incarnation.number += 1;
        self.process.start(false)?;
        self.discovery.told_by_configuration(self.number, known, started_at);
        let address = self.process.said().front.ok_or("the front end has not said where it listens")?;
        while !is_alive(address) {
            if now() - started_at > READY_MS {
                return Err(format!("n{}: not ready within {READY_MS} ms", self.number));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        *lock(&self.door.target) = Some(Target { address, incarnation: self.incarnation });
        Ok(())
    }

    /// Kills the process without a drain, and starts the next one.
    pub fn kill(&mut self) {
        lock(&self.door.killed).insert(self.incarnation, now());
        *lock(&self.door.target) = None;
        self.process.kill();
        self.restart();
    }

    fn restart(&mut self) {
        if let Err(e) = self.start_process() {
            self.violations.push(format!("n{}: no restart: {e}", self.number));
        }
    }

    /// Sends a series of signals. If the series contains SIGTERM, the process must exit before the time at which the
    /// platform may kill it; then the next process is started.
    pub fn signal(&mut self, series: &[(f64, PlannedSignal)], draw: &mut Draw) {
        let first_at = now();
        let mut terminated_at = None;
        for (offset, signal) in series {
            sleep_until(first_at + offset);
            self.signals += 1;
            match signal {
                PlannedSignal::Reload => self.reload(),
                PlannedSignal::Terminate => {
                    terminated_at.get_or_insert_with(now);
                    self.process.drain();
                }
            }
        }
        let Some(terminated_at) = terminated_at else { return };
        let (min_ms, random_ms) = NEW_CONNECTIONS_MS;
        sleep_until(terminated_at + min_ms + random_ms * draw.unit());
        *lock(&self.door.target) = None;
        let kill_at = terminated_at + self.plan.kill_after();
        while self.process.runs() && now() < kill_at {
            std::thread::sleep(Duration::from_millis(1));
        }
        match self.process.exit_success() {
            Some(true) => {}
            Some(false) => self.violations.push(format!("n{}: ended badly after SIGTERM", self.number)),
            None => self.violations.push(format!("n{}: still running when it may be killed", self.number)),
        }
        self.process.kill();
        self.restart();
    }

    fn reload(&mut self) {
        self.uses_second_address = !self.uses_second_address;
        match self.write_config() {
            Ok(_) => self.process.reload(),
            Err(e) => self.violations.push(format!("n{}: {e}", self.number)),
        }
    }

    /// Writes the configuration with the current engine list, and replaces the old file atomically. Returns the
    /// number of the last event in the list.
    fn write_config(&self) -> Result<usize, String> {
        let (last, entries) = self.discovery.known();
        let targets: Vec<String> = entries.iter().map(engine_target).collect();
        let sockets = if self.plan.has_crowd { SOCKETS.1 } else { SOCKETS.0 };
        let text = format!(
            r#"{{"name":"n{0}","seed":"{0:x}f","listen":"127.0.0.1:0","bulletin":"{1}",
            "limits":{{"cores":1,"memory_mb":192,"sockets":{sockets}}},"settings":{2},
            "known":{{"no":{last},"items":[{{"no":{last},"roster":{{"rev":{last},"all":true,"targets":[{3}]}}}}]}}}}"#,
            self.number,
            self.addresses[usize::from(self.uses_second_address)],
            super::settings(&self.plan, self.number),
            targets.join(","),
        );
        let draft = self.config.with_extension("draft");
        let written = std::fs::write(&draft, text).and_then(|()| std::fs::rename(&draft, &self.config));
        written.map_err(|e| format!("{}: {e}", self.config.display()))?;
        Ok(last)
    }
}

fn engine_target(entry: &Entry) -> String {
    let state = match entry.state {
        State::Ready => "in_service",
        State::Draining => "terminating",
        State::Gone => "terminated",
    };
    format!(
        r#"{{"uid":"s-{:08x}","endpoint":"{}","az":"a","model":"std","pod_group":0,"state":"{state}","capacity_hint":1,"boot_ms":{}}}"#,
        entry.id, entry.address, entry.started
    )
}

fn sleep_until(at: f64) {
    let wait = (at - now()).max(0.0);
    std::thread::sleep(Duration::from_secs_f64(wait / 1000.0));
}

/// Returns whether a front end answers the `alive` request with a pass.
fn is_alive(address: SocketAddr) -> bool {
    let body = r#"{"jsonrpc":"2.0","id":1,"method":"alive"}"#;
    let ask = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(format!("Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
        let mut read = BufReader::new(stream);
        let mut head = String::new();
        read.read_line(&mut head)?;
        let length = head.trim_end().strip_prefix("Content-Length: ").and_then(|length| length.parse().ok());
        let mut answer = vec![0; length.unwrap_or(0) + 2];
        read.read_exact(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer).into_owned())
    };
    ask().is_ok_and(|answer| answer.contains(r#""pass":true"#))
}
