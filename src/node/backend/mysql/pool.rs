//! Pool of connections to MySQL servers: chooses an idle connection for an attempt, or dials a new one.

use super::*;

impl MysqlBackend {
    /// Starts an attempt on an idle or new connection to its server, or ends it if neither is available.
    pub fn start(&mut self, start: AttemptStart, context: &mut BackendContext) {
        let at = start.attempt;
        let job = Job { attempt: at, payload: start.payload, sent: false, reprepared: false };
        let outcome = if self.engines.serving(&start.engine).is_none() {
            Outcome::Overloaded // The engine list changed after the server was chosen.
        } else if let Some(key) = self.idle_connection(&start.engine, &job) {
            return self.assign(key, job, context);
        } else if !self.make_room(&start.engine, context) {
            Outcome::Overloaded
        } else {
            match self.dial(&start.engine, context) {
                Some(key) => return self.assign(key, job, context),
                None => Outcome::ConnectFailed,
            }
        };
        context.events.push(DispatcherEvent::AttemptEnded(FinishedAttempt::bare(at, outcome)));
    }

    /// An idle connection that can run the statement. Prefers one on which the statement is already prepared, then one
    /// with the statement's schema, then one that has any schema, as only the others can run statements without one.
    fn idle_connection(&self, engine: &EngineId, job: &Job) -> Option<SlotKey> {
        let statement = statement_key(&job.payload);
        let schema = &job.payload.schema;
        let rank = |key: SlotKey| {
            let conn = self.connections.get(key)?;
            let can_run = matches!(conn.phase, Phase::Idle) && conn.can_take_schema(schema.as_deref());
            let is_prepared = conn.prepared.contains_key(&statement);
            can_run.then_some((is_prepared, conn.schema == *schema, conn.schema.is_some(), key))
        };
        let ranked = self.engines.connections(engine).iter().filter_map(|key| rank(*key));
        ranked.max().map(|(.., key)| key)
    }

    /// Whether a further connection to an engine is allowed. At the limit, an idle connection is closed for it: its
    /// schema can't be unset, and the statement that needs a connection has none.
    fn make_room(&mut self, id: &EngineId, context: &mut BackendContext) -> bool {
        let keys = self.engines.connections(id);
        if keys.len() < self.settings.max_engine_connections {
            return true;
        }
        let is_idle =
            |key: &SlotKey| self.connections.get(*key).is_some_and(|conn| matches!(conn.phase, Phase::Idle));
        let Some(idle) = keys.iter().copied().find(is_idle) else { return false };
        self.close(idle, Outcome::Reset, context);
        true
    }

    pub(super) fn assign(&mut self, key: SlotKey, job: Job, context: &mut BackendContext) {
        self.placements.insert(job.attempt, key);
        let Some(conn) = self.connections.get_mut(key) else { return };
        conn.job = Some(job);
        if matches!(conn.phase, Phase::Idle) {
            conn.advance(context.now);
            self.flush(key, context);
        }
    }

    pub(super) fn dial(&mut self, id: &EngineId, context: &mut BackendContext) -> Option<SlotKey> {
        if self.connections.len() >= self.max_connections {
            let idle = self.connections.iter().find(|(_, conn)| matches!(conn.phase, Phase::Idle));
            let idle = idle.map(|(key, _)| key)?;
            self.close(idle, Outcome::Reset, context);
        }
        let engine = self.engines.get_mut(id)?;
        let socket = BufferedSocket::connect(engine.address)
            .map_err(|e| context.log.push(format!("dial: engine={} error={e}", id.0)))
            .ok()?;
        let key = self.connections.insert(Connection {
            engine: id.clone(),
            socket,
            phase: Phase::Dialling,
            dialed_at: context.now,
            last_used: context.now,
            server_connection_id: 0,
            nonce: Vec::new(),
            schema: None,
            prepared: HashMap::new(),
            prepare_order: Vec::new(),
            job: None,
            kill: None,
            answer: Vec::new(),
            in_transaction: false,
        });
        engine.connections.push(key);
        let watched =
            self.connections.get_mut(key)?.socket.register(context.registry, SocketOwner::MysqlBackend(key));
        if watched.is_err() {
            self.close(key, Outcome::ConnectFailed, context);
            return None;
        }
        context.timers.set(context.now + self.dial_timeout_ms, TimerEvent::MysqlBackend(key));
        Some(key)
    }
}
