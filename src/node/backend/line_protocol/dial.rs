//! Chooses a connection for an attempt and dials new connections.

use super::*;

impl LineProtocolBackend {
    /// Chooses an idle connection on which this request name is unused, else dials a new connection, else chooses the
    /// least loaded connection. Attempts are spread because a broken connection ends all of its attempts.
    /// A request that must run at most once prefers a new connection: an idle connection may be reset while the
    /// request is being sent, and then it is unknown whether the engine read the request.
    pub(super) fn choose_connection(
        &mut self,
        id: &EngineId,
        name: &Arc<str>,
        at_most_once: bool,
        context: &mut BackendContext,
    ) -> Option<SlotKey> {
        let idle_limit = self.engines.idle_limit_ms(id, context.now);
        let fits = |conn: &Connection| {
            let idle_too_long = context.now - conn.last_used > idle_limit;
            let unresponsive = conn.probe_sent_at.is_some_and(|at| context.now - at > PROBE_LATE_MS);
            // A late answer to a cancelled attempt must not match a new attempt of the same name.
            let name_unused = !conn.cancelled_names.contains(name) && !conn.in_flight.contains_key(name);
            !unresponsive
                && !idle_too_long
                && name_unused
                && conn.load() < self.max_load
                && conn.cancelled_names.len() < MAX_CANCELLED_NAMES
        };
        let candidates = self
            .engines
            .connections(id)
            .iter()
            .copied()
            .filter(|key| self.connections.get(*key).is_some_and(fits));
        let load = |key: &SlotKey| self.connections.get(*key).map_or(0, Connection::load);
        let least_loaded = candidates.min_by_key(load);
        let can_dial = self.connections.len() < self.max_connections;
        match least_loaded {
            Some(key) if !can_dial || (load(&key) == 0 && !at_most_once) => Some(key),
            least_loaded => self.dial(id, context).or(least_loaded),
        }
    }

    /// Dials a new connection to an engine, after closing an idle connection if a connection limit is reached.
    pub(super) fn dial(&mut self, id: &EngineId, context: &mut BackendContext) -> Option<SlotKey> {
        if self.connections.len() >= self.max_connections {
            let idle = self.connections.iter().find(|(_, conn)| conn.load() == 0).map(|(key, _)| key)?;
            self.close(idle, Outcome::Reset, context);
        }
        if self.engines.connections(id).len() >= self.max_connections_per_engine {
            self.connection_limit_hit = true;
            let idle = |key: &SlotKey| self.connections.get(*key).is_some_and(|conn| conn.load() == 0);
            let idle = self.engines.connections(id).iter().copied().find(idle)?;
            self.close(idle, Outcome::Reset, context);
        }
        let engine = self.engines.get_mut(id)?;
        let socket = BufferedSocket::connect(engine.address)
            .map_err(|e| context.log.push(format!("dial: engine={} error={e}", id.0)))
            .ok()?;
        let (dialed_at, silent_since) = (context.now, context.now);
        let key = self.connections.insert(Connection {
            engine: id.clone(),
            socket,
            connected: false,
            dial_timed_out: false,
            dialed_at,
            silent_since,
            check_timer: None,
            last_used: context.now,
            idle_before_request: 0.0,
            probe_sent_at: None,
            unsent: VecDeque::new(),
            last_written: None,
            in_flight: HashMap::new(),
            unconfirmed_cancels: VecDeque::new(),
            cancelled_names: HashSet::new(),
        });
        engine.connections.push(key);
        trace!(
            target: ACCOUNT,
            "dial: engine={} links={} all={}",
            id.0,
            engine.connections.len(),
            self.connections.len()
        );
        let watched =
            self.connections.get_mut(key)?.socket.register(context.registry, SocketOwner::LineProtocol(key));
        if watched.is_err() {
            self.close(key, Outcome::ConnectFailed, context);
            return None;
        }
        self.connections.get_mut(key)?.schedule_check(
            context.now + self.dial_timeout_ms.min(SLOW_DIAL_MS),
            key,
            context.timers,
        );
        Some(key)
    }

    /// Checks a pending dial. Attempts queued on it move to an established connection that recently received data,
    /// if the engine has one: a slow dial does not mean a failed engine. The dial fails after the connect timeout.
    pub(super) fn check_dial(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.connections.get_mut(key) else { return };
        let since = conn.dialed_at;
        if context.now - since >= self.dial_timeout_ms {
            conn.dial_timed_out = true;
            return self.close(key, Outcome::ConnectFailed, context);
        }
        conn.schedule_check(since + self.dial_timeout_ms, key, context.timers);
        let (engine, unsent) = (conn.engine.clone(), std::mem::take(&mut conn.unsent));
        for queued in unsent {
            let to = self.active_connection(&engine, &queued, since - ENGINE_ALIVE_MS).unwrap_or(key);
            self.move_to(queued, to, context);
        }
    }

    /// Returns the least loaded connection to an engine that can accept the attempt and received data after `since`.
    pub(super) fn active_connection(
        &self,
        id: &EngineId,
        queued: &QueuedAttempt,
        since: f64,
    ) -> Option<SlotKey> {
        let fits = |conn: &Connection| {
            let name_unused =
                !conn.cancelled_names.contains(&queued.name) && !conn.in_flight.contains_key(&queued.name);
            let alive = conn.connected && conn.silent_since >= since && conn.probe_sent_at.is_none();
            alive
                && name_unused
                && conn.load() < self.max_load
                && conn.cancelled_names.len() < MAX_CANCELLED_NAMES
        };
        let connections = self.engines.connections(id).iter().copied();
        let candidates = connections
            .filter_map(|key| self.connections.get(key).filter(|conn| fits(conn)).map(|c| (c.load(), key)));
        candidates.min_by_key(|(load, _)| *load).map(|(_, key)| key)
    }

    /// Moves an unsent attempt to another connection.
    pub(super) fn move_to(&mut self, queued: QueuedAttempt, to: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.connections.get_mut(to) else { return };
        self.placements.insert(queued.attempt, (to, queued.name.clone()));
        conn.unsent.push_back(queued);
        self.flush(to, context);
    }

    /// Learns how long connections to an engine may be idle, from a reset of a request on an idle connection. A NAT
    /// gateway or firewall may silently drop idle connections; the next request is then reset, and whether the engine
    /// read it is unknown. The learned limit applies to all connections to the engine.
    pub(super) fn record_idle_loss(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.connections.get(key).filter(|conn| !conn.in_flight.is_empty()) else { return };
        let known = self.engines.idle_limit_ms(&conn.engine, context.now);
        let Some(engine) = self.engines.get_mut(&conn.engine) else { return };
        if conn.idle_before_request >= MIN_IDLE_LOSS_MS {
            engine.idle_limit = Some((
                known.min(conn.idle_before_request * IDLE_LIMIT_SHARE),
                context.now + IDLE_LIMIT_VALID_MS,
            ));
        }
    }
}
