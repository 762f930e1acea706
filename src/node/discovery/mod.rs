//! Client of the service discovery server, which sends numbered events with changes to the engine list.
//!
//! A watch that receives no bytes for its silence limit is closed and reopened; the new watch resumes after
//! the last revision received. Delays between connection attempts are randomized, because a restart of the discovery
//! server disconnects all front ends at the same time and they would otherwise reconnect in step.

mod address_owners;
mod frame;
mod silence;

pub use address_owners::AddressOwners;
pub use frame::{parse_frame, BadFrame, ListEvent, ListedEngine};

use self::frame::MAX_FRAME_BYTES;
use self::silence::SilenceLimit;
use super::reactor::{BufferedSocket, ReadStatus, SocketOwner};
use super::timer_queue::{TimerEvent, TimerHandle, TimerQueue};
use crate::mix;
use mio::Registry;
use std::net::SocketAddr;

/// Delay after the first failed connection attempt, in milliseconds. Short, because changes to the engine list must
/// reach the front end within seconds.
const INITIAL_RECONNECT_MS: f64 = 200.0;
/// Upper bound of the delay between connection attempts, in milliseconds. Attempts from a whole fleet load the
/// discovery server, while a longer delay costs a single front end little.
const MAX_RECONNECT_MS: f64 = 800.0;
/// Factor by which the reconnect delay grows with each failed attempt.
const RECONNECT_GROWTH: f64 = 1.5;
/// Upper bound of the random delay before connecting to a changed server address, in milliseconds. All front ends
/// learn the new address at the same time, so the delay spreads their connections.
const ADDRESS_CHANGE_SPREAD_MS: f64 = 150.0;
/// Interval between silence checks of an established watch, in milliseconds.
const CHECK_INTERVAL_MS: f64 = 400.0;
/// Relative jitter of the delays above: each delay is multiplied by a random factor from `1 - JITTER` to
/// `1 + JITTER`, so that front ends that start together do not connect together.
const JITTER: f64 = 0.5;
/// Client of the service discovery server: one watch on the engine list, reopened when it fails.
#[derive(Debug)]
pub struct DiscoveryClient {
    address: SocketAddr,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Highest revision received so far; a new watch resumes after this revision.
    last_revision: u64,
    socket: Option<BufferedSocket>,
    /// Whether the resume request was sent on the current connection.
    subscribed: bool,
    /// Number of the current connection, by which events of earlier sockets are recognized and ignored.
    generation: u32,
    /// When the current connection was opened, was established or last received bytes, in Unix milliseconds.
    last_progress_at: f64,
    silence_limit: SilenceLimit,
    next_check: Option<TimerHandle>,
    /// Connection attempts since the last success or change of the server's address, at most 16.
    connect_attempts: i32,
    random_state: u64,
}

impl DiscoveryClient {
    /// Creates a client that is not connected yet. The first watch resumes after revision `last`; `seed` initializes
    /// the random delays.
    pub fn new(
        address: SocketAddr,
        zones: Vec<String>,
        kinds: Vec<String>,
        last: u64,
        seed: u64,
    ) -> DiscoveryClient {
        DiscoveryClient {
            address,
            zones,
            kinds,
            last_revision: last,
            socket: None,
            subscribed: false,
            generation: 0,
            last_progress_at: 0.0,
            silence_limit: SilenceLimit::default(),
            next_check: None,
            connect_attempts: 0,
            random_state: seed,
        }
    }

    /// Handles the check timer: closes a silent watch, connects if no connection exists, and schedules the next check.
    pub fn on_timer(&mut self, now: f64, registry: &Registry, timers: &mut TimerQueue) {
        if self.socket.is_some() && now - self.last_progress_at > self.silence_limit.milliseconds() {
            self.socket = None;
            if self.subscribed {
                let random = self.random();
                self.silence_limit.watch_given_up(random);
            }
        }
        if self.socket.is_none() {
            self.generation = self.generation.wrapping_add(1);
            (self.subscribed, self.last_progress_at) = (false, now);
            self.socket = BufferedSocket::connect(self.address)
                .and_then(|mut socket| {
                    socket.register(registry, SocketOwner::Discovery(self.generation)).map(|()| socket)
                })
                .ok();
            self.connect_attempts = (self.connect_attempts + 1).min(16);
        }
        let reconnect_ms =
            (INITIAL_RECONNECT_MS * RECONNECT_GROWTH.powi(self.connect_attempts - 1)).min(MAX_RECONNECT_MS);
        let delay = if self.subscribed { CHECK_INTERVAL_MS } else { reconnect_ms };
        let factor = 1.0 - JITTER + 2.0 * JITTER * self.random();
        self.schedule_check(now, delay * factor, timers);
    }

    /// Returns a pseudo-random number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random_state) as f64 / u64::MAX as f64
    }

    /// Replaces the scheduled check. At most one check may be scheduled: with two, the later check would close the
    /// connection that the earlier check has just opened.
    fn schedule_check(&mut self, now: f64, ms: f64, timers: &mut TimerQueue) {
        self.next_check.take().into_iter().for_each(|previous| timers.cancel(previous));
        self.next_check = Some(timers.set(now + ms, TimerEvent::Discovery));
    }

    /// Applies a reloaded configuration: if the server's address has changed, closes the old connection and schedules
    /// a connection to the new address, which resumes after the last revision received. Returns the events of `known`
    /// that are newer than this revision.
    pub fn apply_reload(
        &mut self,
        now: f64,
        address: SocketAddr,
        known: Vec<ListEvent>,
        timers: &mut TimerQueue,
    ) -> Vec<ListEvent> {
        if address != self.address {
            (self.address, self.socket, self.connect_attempts) = (address, None, 0);
            self.silence_limit = SilenceLimit::default();
            let delay = ADDRESS_CHANGE_SPREAD_MS * self.random();
            self.schedule_check(now, delay, timers);
        }
        known.into_iter().filter_map(|event| self.accept_if_new(event)).collect()
    }

    /// Returns the event and advances the last revision if the event is newer than that; drops duplicates and outdated
    /// events.
    fn accept_if_new(&mut self, event: ListEvent) -> Option<ListEvent> {
        let is_new = event.revision > self.last_revision;
        self.last_revision = self.last_revision.max(event.revision);
        Some(event).filter(|_| is_new)
    }

    /// Handles readiness of the socket of connection `generation`. Returns the new events that were received.
    pub fn ready(&mut self, now: f64, generation: u32) -> Vec<ListEvent> {
        let mut events = Vec::new();
        if generation == self.generation
            && self.socket.is_some()
            && self.process_socket(now, &mut events).is_none()
        {
            self.socket = None; // The next scheduled check reconnects.
        }
        events
    }

    /// Sends the resume request on a newly established connection and reads all frames that have arrived. Returns
    /// `None` if the connection has failed or was closed by the server.
    fn process_socket(&mut self, now: f64, events: &mut Vec<ListEvent>) -> Option<()> {
        let socket = self.socket.as_mut()?;
        if !self.subscribed {
            match socket.connect_result() {
                None => return Some(()),
                Some(result) => result.ok()?,
            }
            socket.queue_write(&self.last_revision.to_be_bytes());
            (self.subscribed, self.last_progress_at, self.connect_attempts) = (true, now, 0);
        }
        socket.flush().ok()?;
        let mut received = Vec::new();
        let mut read_frames = || loop {
            let buffered = socket.input.len();
            let end = socket.read(MAX_FRAME_BYTES + 16);
            if socket.input.len() > buffered {
                self.last_progress_at = now;
            }
            while let Some((length, event)) = parse_frame(&socket.input, &self.zones, &self.kinds).ok()? {
                socket.consume(length);
                self.silence_limit.frame_received();
                received.extend(event);
            }
            if !socket.read_limit_reached() {
                return end.ok().filter(|end| *end == ReadStatus::Open).map(|_| ());
            }
        };
        let status = read_frames();
        // Complete frames that precede a connection error or a malformed frame are still applied.
        events.extend(received.into_iter().filter_map(|event| self.accept_if_new(event)));
        status
    }
}
