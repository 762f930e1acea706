//! Fake service discovery: sends numbered events about engines in binary frames. A client sends the number of the
//! last event that it knows, and receives all later events.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// State of an engine in service discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The engine accepts requests.
    Ready = 0,
    /// The engine finishes its running requests and must get no new ones.
    Draining = 1,
    /// The engine no longer exists.
    Gone = 2,
}

/// Part of an event that describes one engine.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Number of the engine.
    pub id: u32,
    /// Listening address of the engine.
    pub address: SocketAddr,
    /// State of the engine.
    pub state: State,
    /// Start time of the engine in Unix milliseconds; 0 means long ago, so the engine is warm.
    pub started: u64,
}

/// A running service discovery server.
pub struct Bulletin {
    /// Listening address of the server.
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<Vec<u8>>>>,
    count: watch::Sender<usize>,
}

impl Bulletin {
    /// Starts a server without events on a free loopback port.
    pub async fn start() -> std::io::Result<Bulletin> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let events: Arc<Mutex<Vec<Vec<u8>>>> = Arc::default();
        let (count, count_changes) = watch::channel(0);
        let shared_events = events.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_events(stream, shared_events.clone(), count_changes.clone()));
            }
        });
        Ok(Bulletin { address, events, count })
    }

    /// Publishes an event with the whole engine list (`whole`) or with changed entries only. Returns the time of
    /// publication.
    pub fn tell(&self, whole: bool, entries: &[Entry]) -> Instant {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let number = events.len() as u64 + 1;
        events.push(frame(number, if whole { 1 } else { 2 }, entries));
        let told = Instant::now();
        self.count.send_replace(events.len());
        told
    }
}

/// Encodes a frame. Kind 0 is a heartbeat without entries, kind 1 the whole engine list, and kind 2 a list of
/// changes.
pub fn frame(number: u64, kind: u8, entries: &[Entry]) -> Vec<u8> {
    let mut body = number.to_be_bytes().to_vec();
    body.push(kind);
    for entry in entries {
        body.extend(entry.id.to_be_bytes());
        let SocketAddr::V4(at) = entry.address else { continue };
        body.extend(at.ip().octets());
        body.extend(at.port().to_be_bytes());
        body.extend([entry.state as u8, 0, 0, 0, 0]);
        body.extend(1000u32.to_be_bytes());
        body.extend(entry.started.to_be_bytes());
    }
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

async fn send_events(
    mut stream: TcpStream,
    events: Arc<Mutex<Vec<Vec<u8>>>>,
    mut count_changes: watch::Receiver<usize>,
) {
    // Without TCP_NODELAY events are only delayed, so an error is ignored.
    let _ = stream.set_nodelay(true);
    let mut last = [0; 8];
    if stream.read_exact(&mut last).await.is_err() {
        return;
    }
    let mut sent = u64::from_be_bytes(last) as usize;
    loop {
        let new: Vec<u8> = {
            let events = events.lock().unwrap_or_else(PoisonError::into_inner);
            let new = events.get(sent..).unwrap_or_default().concat();
            sent = events.len();
            new
        };
        if stream.write_all(&new).await.is_err() {
            return;
        }
        tokio::select! {
            changed = count_changes.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(Duration::from_secs(1)) => {
                if stream.write_all(&frame(sent as u64, 0, &[])).await.is_err() {
                    return;
                }
            }
        }
    }
}
