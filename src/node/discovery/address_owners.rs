//! Tracks which engine listens on each address, to find engines that are gone although their removal was not told yet.
//!
//! An address belongs to one process at a time. A new engine at the address of another one shows that the other has
//! gone: connections and work for it would reach the new process, which would be taken for the old one.

use super::frame::{ListEvent, ListedEngine};
use crate::{EngineId, EngineState, ListKind};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Engines and the owners of their addresses, as of the last event.
#[derive(Debug, Default)]
pub struct AddressOwners {
    engines: HashMap<EngineId, ListedEngine>,
    owners: HashMap<SocketAddr, EngineId>,
    /// Engines whose address was taken by another engine, with that engine.
    replaced: HashMap<EngineId, EngineId>,
}

impl AddressOwners {
    /// Applies an event, and returns it with all engines marked as removed whose address belongs to another engine now.
    pub fn apply(&mut self, mut event: ListEvent) -> ListEvent {
        if event.kind != ListKind::Changes {
            let named: HashSet<&EngineId> =
                event.engines.iter().map(|listing| &listing.entry.engine).collect();
            self.engines.retain(|id, _| named.contains(id));
            self.replaced.retain(|id, _| named.contains(id));
        }
        let mut newly_replaced = Vec::new();
        let mut recorded = HashSet::new();
        for listing in &mut event.engines {
            if listing.entry.state == EngineState::Removed {
                self.remove(&listing.entry.engine);
                continue;
            }
            match self.owner(listing).cloned() {
                // Two engines that one event lists at one address, with nothing to tell which is older, both stay.
                Some(owner) if self.is_undecided(listing, &owner, &recorded) => self.record(listing),
                Some(owner) if !self.replaces(listing, &owner) => {
                    let replaced = listing.entry.engine.clone();
                    listing.entry.state = EngineState::Removed;
                    self.engines.remove(&replaced);
                    self.replaced.insert(replaced, owner.entry.engine);
                }
                Some(mut owner) => {
                    self.record(listing);
                    self.engines.remove(&owner.entry.engine);
                    self.replaced.insert(owner.entry.engine.clone(), listing.entry.engine.clone());
                    owner.entry.state = EngineState::Removed;
                    newly_replaced.push(owner);
                }
                None => self.record(listing),
            }
            recorded.insert(listing.entry.engine.clone());
        }
        mark_removed(&mut event.engines, newly_replaced);
        event
    }

    /// Another engine that is listed at the address of this one.
    fn owner(&self, listing: &ListedEngine) -> Option<&ListedEngine> {
        let owner = self.engines.get(self.owners.get(&listing.address)?)?;
        (owner.address == listing.address && owner.entry.engine != listing.entry.engine).then_some(owner)
    }

    /// Whether two engines at one address can't be told apart: they started at the same time, and both are listed by the
    /// same event or have been listed there before.
    fn is_undecided(
        &self,
        listing: &ListedEngine,
        owner: &ListedEngine,
        recorded: &HashSet<EngineId>,
    ) -> bool {
        let known = self.engines.get(&listing.entry.engine);
        let is_known_there = known.is_some_and(|known| known.address == listing.address);
        listing.entry.started == owner.entry.started
            && (is_known_there || recorded.contains(&owner.entry.engine))
    }

    /// Whether an engine has taken the address of its owner: it started later, or it is new at the address.
    fn replaces(&self, listing: &ListedEngine, owner: &ListedEngine) -> bool {
        if listing.entry.started != owner.entry.started {
            return listing.entry.started > owner.entry.started;
        }
        self.replaced.get(&listing.entry.engine) != Some(&owner.entry.engine)
    }

    fn record(&mut self, listing: &ListedEngine) {
        let id = &listing.entry.engine;
        self.replaced.remove(id);
        self.owners.insert(listing.address, id.clone());
        self.engines.insert(id.clone(), listing.clone());
    }

    fn remove(&mut self, id: &EngineId) {
        self.replaced.remove(id);
        self.replaced.retain(|_, owner| owner != id);
        if let Some(engine) = self.engines.remove(id) {
            if self.owners.get(&engine.address) == Some(id) {
                self.owners.remove(&engine.address);
            }
        }
    }
}

/// Lists the replaced engines as removed, before the engines that have taken their addresses.
fn mark_removed(engines: &mut Vec<ListedEngine>, replaced: Vec<ListedEngine>) {
    let ids: HashSet<EngineId> = replaced.iter().map(|listing| listing.entry.engine.clone()).collect();
    engines.retain(|listing| !ids.contains(&listing.entry.engine));
    engines.splice(0..0, replaced);
}
