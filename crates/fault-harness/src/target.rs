//! A stand-in for what tasks act on: takes steps over HTTP, refuses an older token than it has seen, and notes when each act
//! began and ended.

use crate::history::{History, What};
use crate::{lock, now};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tiny_http::{Request, Response, Server};

/// A target.
#[derive(Clone)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it looks at no token.
    pub blind: Arc<AtomicBool>,
    /// How long a step takes, in milliseconds.
    pub takes: Arc<AtomicU64>,
    server: Arc<Server>,
    seen: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Target {
    /// Starts one.
    pub fn start(history: History) -> Result<Target, String> {
        let server = Arc::new(Server::http("127.0.0.1:0").map_err(|e| e.to_string())?);
        let address = server.server_addr().to_ip().ok_or("no address")?;
        let takes = Arc::new(AtomicU64::new(20));
        let target = Target { address, blind: Arc::default(), takes, server, seen: Arc::default() };
        // For a fault on purpose: a target that looks at no token.
        target.blind.store(std::env::var_os("RIG_BLIND").is_some(), Relaxed);
        let of = target.clone();
        std::thread::spawn(move || {
            for request in of.server.incoming_requests() {
                let (of, history) = (of.clone(), history.clone());
                std::thread::spawn(move || of.act(request, &history));
            }
        });
        Ok(target)
    }

    /// Ends it.
    pub fn stop(&self) {
        self.server.unblock();
    }

    fn act(&self, mut request: Request, history: &History) -> Option<()> {
        let mut text = String::new();
        request.as_reader().read_to_string(&mut text).ok()?;
        let told: serde_json::Value = serde_json::from_str(&text).ok()?;
        let (task, token) = (told["task"].as_str()?.to_owned(), told["token"].as_u64()?);
        let (run, step) = (told["run"].as_u64()?, told["step"].as_u64()?);
        let newest = {
            let mut seen = lock(&self.seen);
            let newest = seen.entry(task.clone()).or_default();
            *newest = (*newest).max(token);
            *newest
        };
        if token < newest && !self.blind.load(Relaxed) {
            history.note(now(), What::Stale { task, run, step, token });
            let _ = request.respond(Response::empty(409)); // Whoever asked may be gone.
            return None;
        }
        history.note(now(), What::Began { task: task.clone(), run, step, token });
        std::thread::sleep(Duration::from_millis(self.takes.load(Relaxed)));
        history.note(now(), What::Ended { task, run, step, token });
        let _ = request.respond(Response::empty(204));
        Some(())
    }
}
