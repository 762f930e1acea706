//! How many connections each engine may have from here, where the fleet has a budget for them.

use super::*;

impl LineProtocolBackend {
    /// The most connections that one engine has, and whether more were wanted than may be since this was last asked.
    pub fn links_used(&mut self) -> (usize, bool) {
        (self.roster.links_most(), std::mem::take(&mut self.links_vain))
    }

    /// From now on an engine has so many connections at most; those beyond that are idle are closed, and others as they
    /// fall idle.
    pub fn keep_links(&mut self, most: Option<usize>, context: &mut BackendContext) {
        self.links_most = most.map_or(LINKS_MOST, |most| most.min(LINKS_MOST));
        if most.is_none() || self.roster.links_most() <= self.links_most {
            return;
        }
        for key in self.conns.keys() {
            let Some(conn) = self.conns.get(key).filter(|conn| conn.load() == 0) else { continue };
            if self.roster.links(&conn.engine).len() > self.links_most {
                self.lose(key, Outcome::Reset, context);
            }
        }
    }

    /// Whether the fleet's budget, and not something else, keeps this engine from one more connection.
    pub(super) fn links_short(&self, id: &EngineId) -> bool {
        self.links_most < LINKS_MOST && self.roster.links(id).len() >= self.links_most
    }
}
