//! Ends idle sessions when client connections run out.

use super::*;

/// Order in which sessions are ended, lowest first; sessions of the same rank by the time for which they are idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// Has not logged in for longer than [`NEW_SESSION_MS`].
    NotLoggedIn,
    /// Idle, with nothing that the client would miss in its next session.
    Idle,
    /// Idle, with prepared statements.
    IdleWithStatements,
    /// Has connected just now.
    New,
}

/// Age in milliseconds up to which a session that has not logged in is ended only after all idle ones.
const NEW_SESSION_MS: f64 = 100.0;

impl MysqlFront {
    /// Time since which the session that would be ended next is idle, in milliseconds. `None` if all must stay.
    pub fn evictable_since(&self, now: f64) -> Option<f64> {
        self.next_to_evict(now).map(|(idle_since, _)| idle_since)
    }

    /// Ends the session that is idle for longest. Returns `false` if all must stay.
    pub fn make_room(&mut self, context: &mut BackendContext) -> bool {
        while let Some((_, key)) = self.next_to_evict(context.now) {
            // The client may have sent a command since the poll.
            self.ready(key, false, context);
            match self.sessions.get(key) {
                None => return true,
                Some(session) if session.eviction_rank(context.now).is_some() => {
                    self.close(key, context);
                    return true;
                }
                Some(_) => {}
            }
        }
        false
    }

    fn next_to_evict(&self, now: f64) -> Option<(f64, SlotKey)> {
        let ranked = self
            .sessions
            .iter()
            .filter_map(|(key, session)| Some((session.eviction_rank(now)?, session.idle_since, key)));
        let next = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        next.map(|(_, idle_since, key)| (idle_since, key))
    }
}

impl Session {
    /// `None` for sessions that must stay: a response is owed or not written yet, input is left, or long values wait for
    /// their execution.
    fn eviction_rank(&self, now: f64) -> Option<EvictionRank> {
        let has_input = !self.socket.input.is_empty() || self.socket.read_limit_reached();
        let is_logged_in = match self.phase {
            Phase::Busy(_) => return None,
            Phase::Ready => true,
            Phase::Greeted | Phase::AuthSwitched => false,
        };
        if is_logged_in && (has_input || self.socket.unsent_bytes() > 0 || self.has_long_data()) {
            return None;
        }
        Some(match (is_logged_in, self.statements.is_empty()) {
            (true, true) => EvictionRank::Idle,
            (true, false) => EvictionRank::IdleWithStatements,
            (false, _) if now - self.idle_since > NEW_SESSION_MS => EvictionRank::NotLoggedIn,
            (false, _) => EvictionRank::New,
        })
    }

    fn has_long_data(&self) -> bool {
        self.statements.values().any(Statement::has_long_data)
    }
}
