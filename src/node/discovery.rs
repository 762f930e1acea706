//! The bulletin: numbered events that tell which warehouses there are. Reads its frames, and keeps its
//! connection: a silent one is dropped, and the next goes on from the last number had. Tries are drawn apart, as a
//! whole fleet loses it at once.

use super::clock::to_micros;
use super::reactor::{BufferedSocket, ReadEnd, SocketOwner};
use super::timer_queue::{TimerEvent, TimerHandle, TimerQueue};
use crate::mix;
use crate::{EngineEntry, EngineId, EngineState, ListKind};
use mio::Registry;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const SILENT_MS: f64 = 2300.0; // an empty frame comes each second; two missed are a dead connection
const AGAIN_MS: f64 = 200.0; // between two tries to connect, at first: news is owed within seconds
const AGAIN_MOST: f64 = 800.0; // and as they go on failing: a fleet's tries cost the bulletin, one's delay costs little
const AGAIN_GROWS: f64 = 1.5; // times longer after each that failed
const MOVED_MS: f64 = 150.0; // over which a fleet that is told at once of a new address comes there
const LOOK_MS: f64 = 400.0; // between looks at a connection that stands
const SPREAD: f64 = 0.5; // of each of these pauses, up and down by lot: what starts together does not dial together
const RECORD: usize = 27;
const FRAME_MOST: usize = 4 << 20; // 150,000 warehouses; a longer frame is a lost framing

/// A warehouse as listed, with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEngine {
    /// What the decision module is told.
    pub member: EngineEntry,
    /// Where it listens.
    pub address: SocketAddr,
}

/// One event of the bulletin.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEvent {
    /// Its number.
    pub number: u64,
    /// How its list is to be read.
    pub kind: ListKind,
    /// The entries.
    pub listings: Vec<ListedEngine>,
}

/// A frame that can't be read: the connection is of no more use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadFrame;

/// Reads one frame from the front of `bytes`: how long it was, and what it told.
pub fn frame(
    bytes: &[u8],
    zones: &[String],
    kinds: &[String],
) -> Result<Option<(usize, Option<ListEvent>)>, BadFrame> {
    let Some(length) = bytes.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize) else {
        return Ok(None);
    };
    if !(9..=FRAME_MOST).contains(&length) {
        return Err(BadFrame);
    }
    let Some(body) = bytes.get(4..4 + length) else { return Ok(None) };
    let number = unsigned(&body[..8]);
    let kind = match body[8] {
        0 => return Ok(Some((4 + length, None))),
        1 => ListKind::Full,
        2 => ListKind::Changes,
        _ => return Err(BadFrame),
    };
    let records = &body[9..];
    if records.len() % RECORD != 0 {
        return Err(BadFrame);
    }
    let listings =
        records.chunks_exact(RECORD).map(|r| record(r, zones, kinds)).collect::<Result<Vec<_>, _>>()?;
    Ok(Some((4 + length, Some(ListEvent { number, kind, listings }))))
}

fn unsigned(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}

fn record(r: &[u8], zones: &[String], kinds: &[String]) -> Result<ListedEngine, BadFrame> {
    let name = |list: &[String], place: u8| list.get(usize::from(place)).cloned().unwrap_or_default();
    let state = match r[10] {
        0 => EngineState::Serving,
        1 => EngineState::Draining,
        2 => EngineState::Removed,
        _ => return Err(BadFrame),
    };
    let started = unsigned(&r[19..27]);
    let address = Ipv4Addr::from(unsigned(&r[4..8]) as u32);
    Ok(ListedEngine {
        address: SocketAddr::from((address, unsigned(&r[8..10]) as u16)),
        member: EngineEntry {
            engine: EngineId(Arc::from(format!("s-{:08x}", unsigned(&r[..4])))),
            zone: name(zones, r[11]),
            kind: name(kinds, r[12]),
            cell: unsigned(&r[13..15]),
            size_hint: unsigned(&r[15..19]) as f64 / 1000.0,
            started: (started > 0).then(|| to_micros(started as f64)),
            state,
        },
    })
}

/// The connection to the bulletin.
#[derive(Debug)]
pub struct DiscoveryClient {
    address: SocketAddr,
    zones: Vec<String>,
    kinds: Vec<String>,
    last: u64,
    link: Option<BufferedSocket>,
    greeted: bool,
    generation: u32,
    heard: f64,
    next_look: Option<TimerHandle>,
    /// Tries to connect since one last succeeded.
    failed: i32,
    random: u64,
}

impl DiscoveryClient {
    /// A bulletin not yet connected to; `last` is the number of the last event had, `seed` feeds the pauses' draws.
    pub fn new(
        address: SocketAddr,
        zones: Vec<String>,
        kinds: Vec<String>,
        last: u64,
        seed: u64,
    ) -> DiscoveryClient {
        let (link, greeted, generation, heard, next_look) = (None, false, 0, 0.0, None);
        let (failed, random) = (0, seed);
        DiscoveryClient {
            address,
            zones,
            kinds,
            last,
            link,
            greeted,
            generation,
            heard,
            next_look,
            failed,
            random,
        }
    }

    /// Connects where there is no connection, drops one that has fallen silent, and comes back.
    pub fn look(&mut self, now: f64, registry: &Registry, timers: &mut TimerQueue) {
        if self.link.is_some() && now - self.heard > SILENT_MS {
            self.link = None;
        }
        if self.link.is_none() {
            self.generation = self.generation.wrapping_add(1);
            (self.greeted, self.heard) = (false, now);
            self.link = BufferedSocket::dial(self.address)
                .and_then(|mut link| {
                    link.watch(registry, SocketOwner::Bulletin(self.generation)).map(|()| link)
                })
                .ok();
            self.failed = (self.failed + 1).min(16);
        }
        let again = (AGAIN_MS * AGAIN_GROWS.powi(self.failed - 1)).min(AGAIN_MOST);
        let pause = if self.greeted { LOOK_MS } else { again };
        let lot = 1.0 - SPREAD + 2.0 * SPREAD * self.lot();
        self.look_in(now, pause * lot, timers);
    }

    /// A draw from 0 to 1.
    fn lot(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random) as f64 / u64::MAX as f64
    }

    /// Sets the one look to come: a second chain of looks would drop what the first has just dialled.
    fn look_in(&mut self, now: f64, ms: f64, timers: &mut TimerQueue) {
        self.next_look.take().into_iter().for_each(|before| timers.clear(before));
        self.next_look = Some(timers.set(now + ms, TimerEvent::Bulletin));
    }

    /// The bulletin has moved: the old connection is dropped, the new address dialled at once, and the news go on
    /// from the last number had. Gives the events of `known` that are new; the rest are out of date.
    pub fn moved(
        &mut self,
        now: f64,
        address: SocketAddr,
        known: Vec<ListEvent>,
        timers: &mut TimerQueue,
    ) -> Vec<ListEvent> {
        if address != self.address {
            (self.address, self.link, self.failed) = (address, None, 0);
            let spread = MOVED_MS * self.lot();
            self.look_in(now, spread, timers);
        }
        known.into_iter().filter_map(|news| self.take(news)).collect()
    }

    /// Lets an event through once: what comes twice or out of date is told by its number.
    fn take(&mut self, news: ListEvent) -> Option<ListEvent> {
        let new = news.number > self.last;
        self.last = self.last.max(news.number);
        Some(news).filter(|_| new)
    }

    /// The socket has something to say: gives the events that came.
    pub fn ready(&mut self, now: f64, generation: u32) -> Vec<ListEvent> {
        let mut news = Vec::new();
        if generation == self.generation && self.link.is_some() && self.step(now, &mut news).is_none() {
            self.link = None; // The next look connects again.
        }
        news
    }

    /// `None` when the connection is of no more use.
    fn step(&mut self, now: f64, news: &mut Vec<ListEvent>) -> Option<()> {
        let link = self.link.as_mut()?;
        if !self.greeted {
            match link.connected() {
                None => return Some(()),
                Some(up) => up.ok()?,
            }
            link.put(&self.last.to_be_bytes());
            (self.greeted, self.heard, self.failed) = (true, now, 0);
        }
        link.flush().ok()?;
        let mut taken = Vec::new();
        let mut step = || loop {
            let end = link.read(FRAME_MOST + 16);
            while let Some((used, event)) = frame(&link.input, &self.zones, &self.kinds).ok()? {
                link.used(used);
                self.heard = now;
                taken.extend(event);
            }
            if !link.has_more() {
                return end.ok().filter(|end| *end == ReadEnd::Open).map(|_| ());
            }
        };
        let end = step();
        // What came whole before a break or a bad frame counts all the same.
        news.extend(taken.into_iter().filter_map(|event| self.take(event)));
        end
    }
}
