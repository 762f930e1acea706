//! Registry of known engines with their addresses, states and connections; every backend has one.

use crate::node::clock::from_micros;
use crate::node::discovery::ListedEngine;
use crate::node::slab::SlotKey;
use crate::{EngineId, EngineState, ListKind};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// An engine as seen by a backend.
#[derive(Debug)]
pub struct Engine {
    /// The address on which the engine listens.
    pub address: SocketAddr,
    /// The state from service discovery; only a serving engine accepts new work.
    pub state: EngineState,
    /// When the engine process last started, in milliseconds; `None` if that was long ago.
    pub started: Option<f64>,
    /// The open connections to the engine.
    pub connections: Vec<SlotKey>,
    /// Learned limit in milliseconds: connections idle for longer are not reused. The second value is its expiry.
    pub idle_limit: Option<(f64, f64)>,
    /// When a byte was last received from the engine, on any connection.
    pub last_received: f64,
}

/// Engines by id. An address may be reassigned to another engine, so addresses are not used as keys.
#[derive(Debug, Default)]
pub struct EngineRegistry(BTreeMap<EngineId, Engine>);

impl EngineRegistry {
    /// Applies an engine list and returns the connections to close because their address is out of date, or because the
    /// engine process has started since they were dialled. `dialed_at` returns when a connection was dialled.
    pub fn apply(
        &mut self,
        kind: ListKind,
        listings: &[ListedEngine],
        dialed_at: impl Fn(SlotKey) -> f64,
    ) -> Vec<SlotKey> {
        if kind != ListKind::Changes {
            let named: HashSet<&EngineId> = listings.iter().map(|l| &l.entry.engine).collect();
            let gone = self.0.iter_mut().filter(|(id, _)| !named.contains(id));
            gone.for_each(|(_, engine)| engine.state = EngineState::Removed);
        }
        let mut stale = Vec::new();
        for listing in listings {
            let (address, state) = (listing.address, listing.entry.state);
            let id = &listing.entry.engine;
            let started = listing.entry.started.map(from_micros);
            let new = || Engine {
                address,
                state,
                started,
                connections: Vec::new(),
                idle_limit: None,
                last_received: f64::NEG_INFINITY,
            };
            let engine = self.0.entry(id.clone()).or_insert_with(new);
            if engine.address != address {
                stale.extend(&engine.connections);
            }
            if let Some(started) = started.filter(|_| started > engine.started) {
                let to_old_process = engine.connections.iter().filter(|key| dialed_at(**key) < started);
                stale.extend(to_old_process);
            }
            (engine.address, engine.state, engine.started) = (address, state, started);
            if state != EngineState::Removed {
                // The address was reassigned: other engines that had it and are not serving are gone.
                let before = self.0.iter().filter(|(other, e)| *other != id && e.address == address);
                stale.extend(
                    before.filter(|(_, e)| e.state != EngineState::Serving).flat_map(|(_, e)| &e.connections),
                );
            }
        }
        self.0.retain(|_, e| e.state != EngineState::Removed || !e.connections.is_empty());
        stale
    }

    /// Returns an engine if it accepts new work.
    pub fn serving(&self, id: &EngineId) -> Option<&Engine> {
        self.0.get(id).filter(|engine| engine.state == EngineState::Serving)
    }

    /// The address on which an engine listens.
    pub fn address(&self, id: &EngineId) -> Option<SocketAddr> {
        self.0.get(id).map(|engine| engine.address)
    }

    /// How many milliseconds a connection may be idle and still be reused; infinite without a learned limit.
    pub fn idle_limit_ms(&self, id: &EngineId, now: f64) -> f64 {
        let limit = self.0.get(id).and_then(|engine| engine.idle_limit).filter(|(_, until)| now < *until);
        limit.map_or(f64::INFINITY, |(ms, _)| ms)
    }

    /// When a byte was last received from an engine, on any connection.
    pub fn last_received(&self, id: &EngineId) -> f64 {
        self.0.get(id).map_or(f64::NEG_INFINITY, |engine| engine.last_received)
    }

    /// Returns an engine in any state.
    pub fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.0.get_mut(id)
    }

    /// The open connections to an engine.
    pub fn connections(&self, id: &EngineId) -> &[SlotKey] {
        self.0.get(id).map_or(&[], |engine| &engine.connections)
    }

    /// The highest connection count of any engine.
    pub fn max_connections(&self) -> usize {
        self.0.values().map(|engine| engine.connections.len()).max().unwrap_or(0)
    }

    /// Removes a closed connection from its engine.
    pub fn remove_connection(&mut self, id: &EngineId, key: SlotKey) {
        if let Some(engine) = self.0.get_mut(id) {
            engine.connections.retain(|connection| *connection != key);
        }
    }
}
