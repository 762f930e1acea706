//! A TCP relay that simulates a network link.
//! In each direction independently, the relay forwards, withholds, truncates or delays bytes, or closes connections.

use crate::lock;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval at which a connection checks the state of its link for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Forwards all bytes at once.
    Open,
    /// Withholds all bytes and does not report closed connections, as after a pulled network cable.
    Silent,
    /// Closes existing connections, and each new connection as soon as it is accepted.
    Reset,
    /// Forwards the first half of the next chunk of bytes, then closes the connection.
    Half,
    /// Forwards each chunk of bytes after a delay of this many milliseconds.
    Slow(u64),
}

/// State of a relay that all threads of its connections share.
#[derive(Debug)]
struct Shared {
    /// Address to which connections are forwarded; `None` closes each new connection.
    target: Mutex<Option<SocketAddr>>,
    /// State of the direction towards the target, then of the direction back to the connecting process.
    ways: Mutex<(Way, Way)>,
    /// Set once the relay is to stop.
    ended: AtomicBool,
    /// Number of bytes forwarded in both directions.
    bytes: AtomicU64,
}

/// A relay on one link; clones share its state.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address on which the relay accepts connections.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay on a free loopback port. Until a target is set, the relay closes every connection.
    pub fn start() -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(None),
            ways: Mutex::new((Way::Open, Way::Open)),
            ended: AtomicBool::new(false),
            bytes: AtomicU64::new(0),
        });
        let state = shared.clone();
        std::thread::spawn(move || {
            while !state.ended.load(Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let state = state.clone();
                    std::thread::spawn(move || state.forward_connection(stream));
                }
            }
        });
        Ok(Relay { address, shared })
    }

    /// Sets the target of new connections; `None` makes the relay close them.
    pub fn leads_to(&self, target: Option<SocketAddr>) {
        *lock(&self.shared.target) = target;
    }

    /// Sets the state of the link towards the target and of the direction back.
    pub fn set(&self, there: Way, back: Way) {
        *lock(&self.shared.ways) = (there, back);
    }

    /// Stops the relay and closes all its connections.
    pub fn stop(&self) {
        self.shared.ended.store(true, Relaxed);
        let _ = TcpStream::connect(self.address); // Wakes the thread that blocks in `accept`.
    }

    /// Number of bytes that the relay has forwarded in both directions.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Relaxed)
    }
}

impl Shared {
    /// Forwards one connection in both directions until it closes.
    fn forward_connection(self: Arc<Shared>, from: TcpStream) {
        let ways = *lock(&self.ways);
        if ways.0 == Way::Reset || ways.1 == Way::Reset {
            return;
        }
        let Some(target) = *lock(&self.target) else { return };
        // If the target refuses the connection, the relay closes its side as well.
        let Ok(to) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
        let (Ok(from_copy), Ok(to_copy)) = (from.try_clone(), to.try_clone()) else { return };
        let (forward, backward) = (self.clone(), self);
        let forward_thread = std::thread::spawn(move || forward.copy_bytes(from, to, true));
        backward.copy_bytes(to_copy, from_copy, false);
        let _ = forward_thread.join(); // The thread does not panic, so there is no error to report.
    }

    /// Copies bytes from one stream to the other according to the state of the direction, then closes both streams.
    fn copy_bytes(&self, mut from: TcpStream, mut to: TcpStream, towards_target: bool) {
        let _ = (from.set_read_timeout(Some(POLL_INTERVAL)), to.set_nodelay(true), from.set_nodelay(true));
        let mut chunk = [0; 16 * 1024];
        let way = || {
            let ways = *lock(&self.ways);
            if towards_target {
                ways.0
            } else {
                ways.1
            }
        };
        let mut withheld: Vec<u8> = Vec::new();
        loop {
            let now = way();
            if now == Way::Reset || self.ended.load(Relaxed) {
                break;
            }
            if now != Way::Silent && !withheld.is_empty() {
                let bytes = std::mem::take(&mut withheld);
                let half = if now == Way::Half { bytes.len() / 2 } else { bytes.len() };
                if let Way::Slow(ms) = now {
                    std::thread::sleep(Duration::from_millis(ms));
                }
                self.bytes.fetch_add(half as u64, Relaxed);
                if to.write_all(&bytes[..half]).is_err() || now == Way::Half {
                    break;
                }
            }
            match from.read(&mut chunk) {
                Ok(0) => break,
                // The loop below bounds the bytes that are withheld on a silent link.
                // Beyond 1 MiB the relay stops reading, so that the sender's socket buffers fill up.
                Ok(n) => withheld.extend_from_slice(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
            while way() == Way::Silent && withheld.len() > 1 << 20 && !self.ended.load(Relaxed) {
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        // A silent link also hides that one side has closed the connection.
        while way() == Way::Silent && !self.ended.load(Relaxed) {
            std::thread::sleep(POLL_INTERVAL);
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}
