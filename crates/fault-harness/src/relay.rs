//! A relay on a link: passes bytes on, or cuts, holds and slows them, each way by itself.

use crate::lock;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const LOOK: Duration = Duration::from_millis(50); // between looks at what the link is to do

/// What a link does with what is sent one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Passes it on.
    Open,
    /// Keeps it, and says nothing: a cable that was pulled.
    Silent,
    /// Breaks the connection, and each new one.
    Reset,
    /// Passes half of the next piece on, and breaks the connection there.
    Half,
    /// Passes it on after so many milliseconds.
    Slow(u64),
}

#[derive(Debug)]
struct Shared {
    target: Mutex<Option<SocketAddr>>,
    /// From whoever connects, and back.
    ways: Mutex<(Way, Way)>,
    ended: AtomicBool,
    bytes: AtomicU64,
}

/// A relay.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where to connect.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Relay {
    /// A relay that leads nowhere yet.
    pub fn start() -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::new(None),
            ways: Mutex::new((Way::Open, Way::Open)),
            ended: AtomicBool::new(false),
            bytes: AtomicU64::new(0),
        });
        let of = shared.clone();
        std::thread::spawn(move || {
            while !of.ended.load(Relaxed) {
                if let Ok((stream, _)) = listener.accept() {
                    let of = of.clone();
                    std::thread::spawn(move || of.carry(stream));
                }
            }
        });
        Ok(Relay { address, shared })
    }

    /// Where it leads from now on.
    pub fn leads_to(&self, target: Option<SocketAddr>) {
        *lock(&self.shared.target) = target;
    }

    /// What it does, with what is sent to the target and with what comes back.
    pub fn set(&self, there: Way, back: Way) {
        *lock(&self.shared.ways) = (there, back);
    }

    /// Ends it, with all that it carries.
    pub fn stop(&self) {
        self.shared.ended.store(true, Relaxed);
        let _ = TcpStream::connect(self.address); // Ends its wait.
    }

    /// Bytes that it has passed on.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Relaxed)
    }
}

impl Shared {
    fn carry(self: Arc<Shared>, from: TcpStream) {
        let ways = *lock(&self.ways);
        if ways.0 == Way::Reset || ways.1 == Way::Reset {
            return;
        }
        let Some(target) = *lock(&self.target) else { return };
        // A target that is not there refuses: so does the relay.
        let Ok(to) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else { return };
        let (Ok(from2), Ok(to2)) = (from.try_clone(), to.try_clone()) else { return };
        let (there, back) = (self.clone(), self);
        let one = std::thread::spawn(move || there.pump(from, to, true));
        back.pump(to2, from2, false);
        let _ = one.join(); // A pump does not panic.
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, there: bool) {
        let _ = (from.set_read_timeout(Some(LOOK)), to.set_nodelay(true), from.set_nodelay(true));
        let mut chunk = [0; 16 * 1024];
        let way = || {
            let ways = *lock(&self.ways);
            if there {
                ways.0
            } else {
                ways.1
            }
        };
        let mut held: Vec<u8> = Vec::new();
        loop {
            let now = way();
            if now == Way::Reset || self.ended.load(Relaxed) {
                break;
            }
            if now != Way::Silent && !held.is_empty() {
                let bytes = std::mem::take(&mut held);
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
                // What is kept while a link is silent stays bounded: beyond, the sender's buffers fill.
                Ok(n) => held.extend_from_slice(&chunk[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
            while way() == Way::Silent && held.len() > 1 << 20 && !self.ended.load(Relaxed) {
                std::thread::sleep(LOOK);
            }
        }
        // While a link is silent, an end is not told either.
        while way() == Way::Silent && !self.ended.load(Relaxed) {
            std::thread::sleep(LOOK);
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }
}
