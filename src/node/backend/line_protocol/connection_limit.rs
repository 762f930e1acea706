//! Limit of connections per engine under a fleet-wide connection budget.

use super::*;

impl LineProtocolBackend {
    /// The highest connection count of any engine, and whether a dial reached the limit since the last call.
    pub fn connection_usage(&mut self) -> (usize, bool) {
        (self.engines.max_connections(), std::mem::take(&mut self.connection_limit_hit))
    }

    /// Sets the maximum number of connections per engine and closes idle connections above the limit.
    /// Connections above the limit that have attempts are closed by a later call, once they are idle.
    pub fn set_connection_limit(&mut self, limit: Option<usize>, context: &mut BackendContext) {
        self.max_connections_per_engine =
            limit.map_or(MAX_CONNECTIONS_PER_ENGINE, |limit| limit.min(MAX_CONNECTIONS_PER_ENGINE));
        if limit.is_none() || self.engines.max_connections() <= self.max_connections_per_engine {
            return;
        }
        for key in self.connections.keys() {
            let Some(conn) = self.connections.get(key).filter(|conn| conn.load() == 0) else { continue };
            if self.engines.connections(&conn.engine).len() > self.max_connections_per_engine {
                self.close(key, Outcome::Reset, context);
            }
        }
    }

    /// Whether the fleet's connection budget prevents another connection to this engine.
    pub(super) fn fleet_limit_reached(&self, id: &EngineId) -> bool {
        self.max_connections_per_engine < MAX_CONNECTIONS_PER_ENGINE
            && self.engines.connections(id).len() >= self.max_connections_per_engine
    }
}
