//! What a fleet's case needs: a relay that can fall silent, the target of a task, and the operator's commands.

use super::*;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

/// Forwards TCP connections to one address. While it is cut, bytes wait in it, and all connections stay open.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let relay = Relay { address: listener.local_addr().unwrap(), cut: Arc::default() };
        let cut = relay.cut.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let (near2, far2) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                let (cut1, cut2) = (cut.clone(), cut.clone());
                std::thread::spawn(move || forward(near, far, &cut1));
                std::thread::spawn(move || forward(far2, near2, &cut2));
            }
        });
        relay
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 16 * 1024];
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    while let Ok(n @ 1..) = from.read(&mut bytes) {
        while cut.load(Ordering::SeqCst) {
            sleep(5);
        }
        if to.write_all(&bytes[..n]).is_err() {
            break;
        }
    }
    while cut.load(Ordering::SeqCst) {
        sleep(5);
    }
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

/// One act of a task at its target, in milliseconds since the start of the case.
#[derive(Clone, Debug)]
pub struct Act {
    pub token: u64,
    pub step: u64,
    pub from_ms: u128,
    pub to_ms: Option<u128>,
}

/// The target of a task: it refuses tokens older than the newest that it has seen, and takes `first_ms` for the first
/// act and 200 ms for every other one.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    pub acts: Arc<Mutex<Vec<Act>>>,
}

impl Target {
    pub fn start(first_ms: u64) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let target = Target { address: listener.local_addr().unwrap(), acts: Arc::default() };
        let shared = target.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream, first_ms));
            }
        });
        target
    }

    fn serve(&self, mut stream: TcpStream, first_ms: u64) -> Option<()> {
        let mut input = Vec::new();
        let text = loop {
            let mut bytes = [0; 4096];
            let n = stream.read(&mut bytes).ok().filter(|n| *n > 0)?;
            input.extend_from_slice(&bytes[..n]);
            let text = String::from_utf8_lossy(&input).into_owned();
            let length = number_after(&text.to_ascii_lowercase(), "content-length: ").unwrap_or(0);
            if text.find("\r\n\r\n").is_some_and(|end| text.len() >= end + 4 + length as usize) {
                break text;
            }
        };
        let body = &text[text.find("\r\n\r\n")? + 4..];
        let (token, step) = (number_after(body, "\"token\":")?, number_after(body, "\"step\":")?);
        let (place, stale) = {
            let mut acts = self.acts.lock().unwrap();
            let stale = acts.iter().any(|act| act.token > token);
            acts.push(Act { token, step, from_ms: since_start_ms(), to_ms: None });
            (acts.len() - 1, stale)
        };
        record(&format!(
            "target: act begins: {body}{}",
            if stale { " (refused: a newer token was seen)" } else { "" }
        ));
        if !stale {
            sleep(if place == 0 { first_ms } else { 200 });
        }
        self.acts.lock().unwrap()[place].to_ms = Some(since_start_ms());
        record(&format!("target: act ends: step {step} token {token}"));
        let status = if stale { "409 Conflict" } else { "204 No Content" };
        stream
            .write_all(
                format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").as_bytes(),
            )
            .ok()
    }
}

/// Runs one of the program's commands with an operator's file, and returns what it printed.
pub fn command(operator: &str, what: &str) -> String {
    let run = std::env::var("RUN_COMMAND").unwrap_or_default();
    let output = Command::new("/bin/sh")
        .args(["-c", &format!("{run} {what}")])
        .current_dir(std::env::var("PROJECT_ROOT").unwrap_or_default())
        .env("BEAMGAP_OPERATOR", operator)
        .output();
    let Ok(output) = output else { return String::new() };
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).trim().to_owned();
    record(&format!("operator: {what}: exit {:?}: {}", output.status.code(), text.replace('\n', " | ")));
    text
}
