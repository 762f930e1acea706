//! Which connection an attempt goes by, and when a new one is dialled.

use super::*;

impl LineProtocolBackend {
    /// An idle connection that never carried this name before, else a new one, else the least loaded: a connection
    /// that is spoilt or cut off takes all that is open on it along, so each is to carry little. What must not run
    /// twice goes by a new one where it can: one that was idle may be reset as the request comes, and nobody can tell
    /// whether it was read.
    pub(super) fn choose(
        &mut self,
        id: &EngineId,
        name: &Arc<str>,
        once: bool,
        context: &mut BackendContext,
    ) -> Option<SlotKey> {
        let keeps = self.roster.keeps(id, context.now);
        let fits = |conn: &Conn| {
            let quiet = context.now - conn.used > keeps;
            let suspect = conn.asked.is_some_and(|at| context.now - at > SUSPECT_MS);
            // A late line of an attempt given up must not pass for the answer of the next.
            let clean = !conn.spent.contains(name) && !conn.open.contains_key(name);
            !suspect && !quiet && clean && conn.load() < self.streams && conn.spent.len() < SPENT_MOST
        };
        let fitting =
            self.roster.links(id).iter().copied().filter(|key| self.conns.get(*key).is_some_and(fits));
        let load = |key: &SlotKey| self.conns.get(*key).map_or(0, Conn::load);
        let least = fitting.min_by_key(load);
        let spare = self.conns.len() < self.sockets;
        match least {
            Some(key) if !spare || (load(&key) == 0 && !once) => Some(key),
            least => self.dial(id, context).or(least),
        }
    }

    pub(super) fn dial(&mut self, id: &EngineId, context: &mut BackendContext) -> Option<SlotKey> {
        if self.conns.len() >= self.sockets {
            let idle = self.conns.iter().find(|(_, conn)| conn.load() == 0).map(|(key, _)| key)?;
            self.lose(idle, Outcome::Reset, context);
        }
        if self.roster.links(id).len() >= self.links_most {
            self.links_vain = true;
            let idle = |key: &SlotKey| self.conns.get(*key).is_some_and(|conn| conn.load() == 0);
            let idle = self.roster.links(id).iter().copied().find(idle)?;
            self.lose(idle, Outcome::Reset, context);
        }
        let engine = self.roster.get_mut(id)?;
        let link = BufferedSocket::dial(engine.address)
            .map_err(|e| context.log.push(format!("dial: engine={} error={e}", id.0)))
            .ok()?;
        let (since, heard) = (context.now, context.now);
        let key = self.conns.insert(Conn {
            engine: id.clone(),
            link,
            up: false,
            late: false,
            since,
            heard,
            next_look: None,
            used: context.now,
            quiet: 0.0,
            asked: None,
            wants: VecDeque::new(),
            writing: None,
            open: HashMap::new(),
            called_off: VecDeque::new(),
            spent: HashSet::new(),
        });
        engine.links.push(key);
        trace!(target: ACCOUNT, "dial: engine={} links={} all={}", id.0, engine.links.len(), self.conns.len());
        let watched = self.conns.get_mut(key)?.link.watch(context.registry, SocketOwner::Warehouse(key));
        if watched.is_err() {
            self.lose(key, Outcome::ConnectFailed, context);
            return None;
        }
        self.conns.get_mut(key)?.look_at(context.now + self.dial_ms.min(LATE_MS), key, context.timers);
        Some(key)
    }

    /// A dial that is not up yet. What waits behind it goes on by a connection that is, if there is one: that one dial
    /// is late says nothing of an engine that talks on another. After the time for connecting it has failed.
    pub(super) fn look_at_dial(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let since = conn.since;
        if context.now - since >= self.dial_ms {
            conn.late = true;
            return self.lose(key, Outcome::ConnectFailed, context);
        }
        conn.look_at(since + self.dial_ms, key, context.timers);
        let (engine, wants) = (conn.engine.clone(), std::mem::take(&mut conn.wants));
        for want in wants {
            let to = self.in_use(&engine, &want, since - LIFE_MS).unwrap_or(key);
            self.hand_over(want, to, context);
        }
    }

    /// Of an engine's connections that are up and have carried something since then, the least loaded that fits.
    pub(super) fn in_use(&self, id: &EngineId, want: &Want, since: f64) -> Option<SlotKey> {
        let fits = |conn: &Conn| {
            let clean = !conn.spent.contains(&want.name) && !conn.open.contains_key(&want.name);
            let lives = conn.up && conn.heard >= since && conn.asked.is_none();
            lives && clean && conn.load() < self.streams && conn.spent.len() < SPENT_MOST
        };
        let links = self.roster.links(id).iter().copied();
        let fitting =
            links.filter_map(|key| self.conns.get(key).filter(|conn| fits(conn)).map(|c| (c.load(), key)));
        fitting.min_by_key(|(load, _)| *load).map(|(_, key)| key)
    }

    /// Puts a `want` of which no byte is written onto another connection.
    pub(super) fn hand_over(&mut self, want: Want, to: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.conns.get_mut(to) else { return };
        self.placed.insert(want.at, (to, want.name.clone()));
        conn.wants.push_back(want);
        self.flush(to, context);
    }

    /// Guards against connections that die unseen while they are quiet, as behind a box that forgets them: the next
    /// request on such a one is reset at once, read or not. What one showed holds for the engine's others.
    pub(super) fn learn_keeps(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.conns.get(key).filter(|conn| !conn.open.is_empty()) else { return };
        let known = self.roster.keeps(&conn.engine, context.now);
        let Some(engine) = self.roster.get_mut(&conn.engine) else { return };
        if conn.quiet >= KEEPS_LEAST {
            engine.keeps = Some((known.min(conn.quiet * KEEPS_PART), context.now + KEEPS_FOR));
        }
    }
}
