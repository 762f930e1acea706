//! Service discovery with injected faults. Each front end has an address of its own (and a second one that a reload
//! switches to), so that the server knows when each front end received each event.

use crate::{lock, now};
use beamgap_fakes::bulletin::{frame, Entry, State as EngineState};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Polling interval of the accept loop and of each watch connection.
const STEP: Duration = Duration::from_millis(4);
/// Interval between empty frames (heartbeats) on a watch connection, in milliseconds.
const HEARTBEAT_MS: f64 = 1000.0;
/// Time for which a watch connection must stay open after an event was written before the event counts as received,
/// in milliseconds.
const TOLD_AFTER_MS: f64 = 100.0;
/// Delay of each event while the fault "late events" is active, in milliseconds.
const LATE_MS: f64 = 1000.0;
/// Frame kind: heartbeat without entries.
const EMPTY_FRAME: u8 = 0;
/// Frame kind: the whole engine list.
const WHOLE_LIST: u8 = 1;
/// Frame kind: the changed entries only.
const CHANGES: u8 = 2;

#[derive(Clone, Debug)]
struct Event {
    visible_at: f64,
    bytes: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    events: Vec<Event>,
    entries: BTreeMap<u32, Entry>,
    silent_until: f64,
    late_until: f64,
    /// When each event was received, by front end and number of the event.
    told: BTreeMap<(usize, usize), f64>,
    is_stopped: bool,
}

impl State {
    fn listed(&self) -> Vec<Entry> {
        self.entries.values().filter(|entry| entry.state != EngineState::Gone).copied().collect()
    }
}

/// Service discovery server for all front ends, shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct Discovery(Arc<Mutex<State>>);

impl Discovery {
    /// Starts to serve watches of one front end at a new loopback address, and returns the address.
    pub fn serve(&self, front_end: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let discovery = self.clone();
        std::thread::spawn(move || {
            while !lock(&discovery.0).is_stopped {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let discovery = discovery.clone();
                        std::thread::spawn(move || discovery.watch(stream, front_end));
                    }
                    Err(_) => std::thread::sleep(STEP),
                }
            }
        });
        Ok(address)
    }

    /// Publishes an event with the whole engine list or with the changed entries only, and returns its number.
    pub fn tell(&self, changed: &[Entry], whole: bool) -> usize {
        let mut state = lock(&self.0);
        for entry in changed {
            state.entries.insert(entry.id, *entry);
        }
        let number = state.events.len() + 1;
        let listed = if whole { state.listed() } else { changed.to_vec() };
        let kind = if whole { WHOLE_LIST } else { CHANGES };
        let now = now();
        let visible_at = if now < state.late_until { now + LATE_MS } else { now };
        // Events are delivered in order, so an event is delayed at least until the event before it is visible.
        let visible_at = state.events.last().map_or(visible_at, |last| visible_at.max(last.visible_at));
        state.events.push(Event { visible_at, bytes: frame(number as u64, kind, &listed) });
        number
    }

    /// Injects a fault: all watches send neither events nor heartbeats for `ms` milliseconds.
    pub fn silence(&self, ms: f64) {
        lock(&self.0).silent_until = now() + ms;
    }

    /// Injects a fault: events published in the next `ms` milliseconds are delivered late.
    pub fn delay(&self, ms: f64) {
        lock(&self.0).late_until = now() + ms;
    }

    /// Returns the number of the last event and the current engine list, to be written into a front end's
    /// configuration.
    pub fn known(&self) -> (usize, Vec<Entry>) {
        let state = lock(&self.0);
        (state.events.len(), state.listed())
    }

    /// Records that a front end received all events up to `number` at `at` through its configuration.
    pub fn told_by_configuration(&self, front_end: usize, number: usize, at: f64) {
        let mut state = lock(&self.0);
        for event in 1..=number {
            state.told.entry((front_end, event)).or_insert(at);
        }
    }

    /// Returns when a front end received an event; `None` if the event was not received yet.
    pub fn told(&self, front_end: usize, event: usize) -> Option<f64> {
        lock(&self.0).told.get(&(front_end, event)).copied()
    }

    /// Stops all listeners and watches.
    pub fn stop(&self) {
        lock(&self.0).is_stopped = true;
    }

    fn watch(&self, mut stream: TcpStream, front_end: usize) -> Option<()> {
        stream.set_nonblocking(false).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut last = [0; 8];
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.read_exact(&mut last).ok()?;
        stream.set_read_timeout(Some(STEP)).ok()?;
        let mut sent = u64::from_be_bytes(last) as usize;
        let mut pending: Vec<(usize, f64)> = Vec::new();
        let mut heartbeat_at = now() + HEARTBEAT_MS;
        loop {
            match stream.read(&mut [0; 64]) {
                Ok(0) => return None,
                Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return None,
                _ => {}
            }
            let now = now();
            let (bytes, first) = {
                let mut state = lock(&self.0);
                if state.is_stopped {
                    return None;
                }
                pending.retain(|(event, at)| {
                    let is_received = now - at >= TOLD_AFTER_MS;
                    if is_received {
                        state.told.entry((front_end, *event)).or_insert(*at);
                    }
                    !is_received
                });
                if now < state.silent_until {
                    continue;
                }
                let new = state.events.iter().skip(sent).take_while(|event| event.visible_at <= now);
                let new: Vec<&Event> = new.collect();
                let bytes: Vec<u8> = new.iter().flat_map(|event| event.bytes.iter().copied()).collect();
                let first = sent + 1;
                sent += new.len();
                (bytes, first)
            };
            if !bytes.is_empty() {
                stream.write_all(&bytes).ok()?;
                let at = crate::now();
                pending.extend((first..=sent).map(|event| (event, at)));
            }
            if now >= heartbeat_at {
                heartbeat_at = now + HEARTBEAT_MS;
                stream.write_all(&frame(sent as u64, EMPTY_FRAME, &[])).ok()?;
            }
        }
    }
}
