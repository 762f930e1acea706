//! Starts and stops processes that use CPU time during a run, so that the soak also runs on a loaded machine.

use std::process::{Child, Command};

/// Number of busy processes that run beside the soak if the plan asks for CPU load.
const BUSY_PROCESSES: usize = 2;
/// Time in seconds after which a busy process is stopped at the latest, even if the soak does not stop the process.
const BUSY_SECONDS: &str = "60";

/// Starts processes that each keep one core busy. A process that fails to start is omitted.
pub fn start_busy_processes() -> Vec<Child> {
    let start = || Command::new("timeout").args([BUSY_SECONDS, "sh", "-c", "while :; do :; done"]).spawn();
    (0..BUSY_PROCESSES).filter_map(|_| start().ok()).collect()
}

/// Sends SIGTERM to a `timeout` process, which forwards the signal to its child, and waits for the process to exit.
pub fn end_process(mut process: Child) {
    if let Some(id) = rustix::process::Pid::from_raw(process.id() as i32) {
        // The signal fails if the process has already exited; that error is harmless.
        let _ = rustix::process::kill_process(id, rustix::process::Signal::TERM);
    }
    let _ = process.wait();
}
