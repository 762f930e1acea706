//! Which engines there are and where, with the connections to each: shared by all backends.

use crate::node::discovery::ListedEngine;
use crate::node::slab::SlotKey;
use crate::{EngineId, EngineState, ListKind};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// An engine as a backend knows it.
#[derive(Debug)]
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub state: EngineState,
    /// The connections to it.
    pub links: Vec<SlotKey>,
    /// How long a connection to it may be quiet and still be used, and until when that is believed.
    pub keeps: Option<(f64, f64)>,
    /// When a byte last came from it, on any connection.
    pub heard: f64,
}

/// The engines by id. An address may pass from one id to another; nothing is keyed by it.
#[derive(Debug, Default)]
pub struct EngineRegistry(BTreeMap<EngineId, Engine>);

impl EngineRegistry {
    /// Takes news in; gives the connections that lead to nobody any more.
    pub fn apply(&mut self, kind: ListKind, listings: &[ListedEngine]) -> Vec<SlotKey> {
        if kind != ListKind::Changes {
            let named: HashSet<&EngineId> = listings.iter().map(|l| &l.member.engine).collect();
            let gone = self.0.iter_mut().filter(|(id, _)| !named.contains(id));
            gone.for_each(|(_, engine)| engine.state = EngineState::Removed);
        }
        let mut stale = Vec::new();
        for listing in listings {
            let (address, state) = (listing.address, listing.member.state);
            let id = &listing.member.engine;
            let new = || Engine { address, state, links: Vec::new(), keeps: None, heard: f64::NEG_INFINITY };
            let engine = self.0.entry(id.clone()).or_insert_with(new);
            if engine.address != address {
                stale.extend(&engine.links);
            }
            (engine.address, engine.state) = (address, state);
            if state != EngineState::Removed {
                // Guards against an address that has passed to another id: whoever held it before is dead.
                let before = self.0.iter().filter(|(other, e)| *other != id && e.address == address);
                stale.extend(
                    before.filter(|(_, e)| e.state != EngineState::Serving).flat_map(|(_, e)| &e.links),
                );
            }
        }
        self.0.retain(|_, e| e.state != EngineState::Removed || !e.links.is_empty());
        stale
    }

    /// An engine that may be sent new work.
    pub fn serving(&self, id: &EngineId) -> Option<&Engine> {
        self.0.get(id).filter(|engine| engine.state == EngineState::Serving)
    }

    /// Where an engine listens.
    pub fn address(&self, id: &EngineId) -> Option<SocketAddr> {
        self.0.get(id).map(|engine| engine.address)
    }

    /// How long a connection to an engine may be quiet and still be used, as far as resets have shown.
    pub fn keeps(&self, id: &EngineId, now: f64) -> f64 {
        let keeps = self.0.get(id).and_then(|engine| engine.keeps).filter(|(_, until)| now < *until);
        keeps.map_or(f64::INFINITY, |(ms, _)| ms)
    }

    /// When a byte last came from an engine, on any connection.
    pub fn heard(&self, id: &EngineId) -> f64 {
        self.0.get(id).map_or(f64::NEG_INFINITY, |engine| engine.heard)
    }

    /// An engine, whatever its state.
    pub fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.0.get_mut(id)
    }

    /// The connections to an engine.
    pub fn links(&self, id: &EngineId) -> &[SlotKey] {
        self.0.get(id).map_or(&[], |engine| &engine.links)
    }

    /// The most connections that one engine has.
    pub fn links_most(&self) -> usize {
        self.0.values().map(|engine| engine.links.len()).max().unwrap_or(0)
    }

    /// A connection to an engine is no more.
    pub fn unlink(&mut self, id: &EngineId, key: SlotKey) {
        if let Some(engine) = self.0.get_mut(id) {
            engine.links.retain(|link| *link != key);
        }
    }
}
