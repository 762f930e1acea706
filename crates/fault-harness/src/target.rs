//! A fake target of tasks: an HTTP server that executes steps and records when each execution began and ended.
//! A step is refused if its fencing token is older than the newest token that the target has seen for the task.

use crate::history::{History, What};
use crate::{lock, now};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tiny_http::{Request, Response, Server};

/// A fake target; clones share its state.
#[derive(Clone)]
pub struct Target {
    /// Address on which the target accepts HTTP requests.
    pub address: SocketAddr,
    /// Disables the check of fencing tokens.
    pub blind: Arc<AtomicBool>,
    /// Execution time of a step, in milliseconds.
    pub takes: Arc<AtomicU64>,
    server: Arc<Server>,
    /// Highest fencing token that was received, per task.
    newest_tokens: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Target {
    /// Starts a target on a free loopback port that records its operations in `history`.
    pub fn start(history: History) -> Result<Target, String> {
        let server = Arc::new(Server::http("127.0.0.1:0").map_err(|e| e.to_string())?);
        let address = server.server_addr().to_ip().ok_or("no address")?;
        let takes = Arc::new(AtomicU64::new(20));
        let target = Target { address, blind: Arc::default(), takes, server, newest_tokens: Arc::default() };
        // Injected bug for tests of the checker: with `RIG_BLIND` set, the target ignores fencing tokens.
        target.blind.store(std::env::var_os("RIG_BLIND").is_some(), Relaxed);
        let server = target.clone();
        std::thread::spawn(move || {
            for request in server.server.incoming_requests() {
                let (server, history) = (server.clone(), history.clone());
                std::thread::spawn(move || server.execute_step(request, &history));
            }
        });
        Ok(target)
    }

    /// Stops the target's HTTP server.
    pub fn stop(&self) {
        self.server.unblock();
    }

    /// Executes the step that a request names, or answers 409 if the request's fencing token is stale.
    /// Returns `None` if the step was not executed.
    fn execute_step(&self, mut request: Request, history: &History) -> Option<()> {
        let mut text = String::new();
        request.as_reader().read_to_string(&mut text).ok()?;
        let step_request: serde_json::Value = serde_json::from_str(&text).ok()?;
        let (task, token) = (step_request["task"].as_str()?.to_owned(), step_request["token"].as_u64()?);
        let (run, step) = (step_request["run"].as_u64()?, step_request["step"].as_u64()?);
        let newest = {
            let mut newest_tokens = lock(&self.newest_tokens);
            let newest = newest_tokens.entry(task.clone()).or_default();
            *newest = (*newest).max(token);
            *newest
        };
        if token < newest && !self.blind.load(Relaxed) {
            history.note(now(), What::Stale { task, run, step, token });
            let _ = request.respond(Response::empty(409)); // The member may have disconnected.
            return None;
        }
        history.note(now(), What::Began { task: task.clone(), run, step, token });
        std::thread::sleep(Duration::from_millis(self.takes.load(Relaxed)));
        history.note(now(), What::Ended { task, run, step, token });
        let _ = request.respond(Response::empty(204));
        Some(())
    }
}
