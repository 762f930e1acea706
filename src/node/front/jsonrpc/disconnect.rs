//! Ends of client connections: time-outs, eviction, limits on memory, and the graceful shutdown.

use super::*;

impl JsonRpc {
    /// Time since which the client that would be disconnected next is idle, in milliseconds. `None` if all must stay.
    pub fn evictable_since(&self, now: f64) -> Option<f64> {
        let rank = |c: &Client| Some((c.eviction_rank(now)?, c.idle_since));
        let candidates = self.clients.iter().filter_map(|(_, client)| rank(client));
        let first = candidates.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        first.map(|(_, idle_since)| idle_since)
    }

    /// Disconnects the client with the lowest eviction rank and, among equals, the one idle for longest. Returns
    /// `false` if all clients must stay.
    pub fn make_room(&mut self, sent_at: f64, context: &mut BackendContext) -> bool {
        loop {
            let rank = |(key, c): (_, &Client)| Some((c.eviction_rank(context.now)?, c.idle_since, key));
            let candidates = self.clients.iter().filter_map(rank);
            let first = candidates.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((eviction_rank, _, key)) = first else { return false };
            // The client may have sent a request since the poll.
            self.ready(key, false, sent_at, context);
            match self.clients.get(key) {
                None => return true,
                Some(client) if client.eviction_rank(context.now) == Some(eviction_rank) => {
                    self.close(key, context);
                    return true;
                }
                Some(_) => {}
            }
        }
    }

    /// Handles a client's timer: disconnects it if it has not sent a first request or completed a message in time.
    pub fn timed_out(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.timer = None;
        match client.partial_since {
            Some(_) if !client.open_ids.is_empty() => {} // The last response schedules the timer again.
            Some(_) => self.reject_client(key, INVALID, "the message did not come whole in time", context),
            None if !client.is_active => self.close_gracefully(key, context),
            None => {}
        }
    }

    /// Sends an error to a client whose input can't be read any further, and disconnects it once no response is owed.
    pub(super) fn reject_client(
        &mut self,
        key: SlotKey,
        kind: (i32, &'static str),
        reason: &'static str,
        context: &mut BackendContext,
    ) {
        self.send_error(key, (None, kind, reason), context);
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.open_ids.is_empty() {
            return self.close_gracefully(key, context);
        }
        client.ignores_input = true;
        client.partial_since = None;
        client.link.input = Vec::new();
        self.flush_or_close(key, context);
    }

    /// Drops the input of a client whose input is ignored. Reading it keeps a client that writes before it reads from
    /// blocking, and shows when it has closed its side.
    pub(super) fn drop_input(&mut self, key: SlotKey, is_broken: bool, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.link.input = Vec::new();
        if is_broken {
            return self.close(key, context);
        }
        if client.read_closed {
            return self.flush_or_close(key, context);
        }
        if client.link.read_limit_reached() {
            self.schedule_read(key);
        } else {
            self.confirm_requests(key, context);
        }
        self.flush_or_close(key, context);
    }

    /// Withdraws a client's requests and closes its connection once the client had time to read pending responses.
    pub(super) fn close_gracefully(&mut self, key: SlotKey, context: &mut BackendContext) {
        if let Some(client) = self.remove(key, context) {
            context.closing.add(client.link, context.now, context.registry, context.timers);
        }
    }

    /// Withdraws a client's requests and closes its connection at once.
    pub(super) fn close(&mut self, key: SlotKey, context: &mut BackendContext) {
        drop(self.remove(key, context));
    }

    pub(super) fn remove(&mut self, key: SlotKey, context: &mut BackendContext) -> Option<Client> {
        self.withdraw_requests(key, context);
        let mut client = self.clients.remove(key)?;
        client.timer.take().into_iter().for_each(|timer| context.timers.cancel(timer));
        Some(client)
    }

    /// Withdraws the open requests of a client that has disconnected or closed its write side.
    pub(super) fn withdraw_requests(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let mut ids = std::mem::take(&mut client.open_ids);
        for request in client.unconfirmed.take() {
            ids.remove(&request.client.id);
        }
        let mut ids: Vec<u64> = ids.into_iter().collect();
        ids.sort_unstable();
        for id in ids {
            cancel_request(ClientHandle { front: Front::JsonRpc, conn: key, id }, context.events);
        }
    }

    /// Frees the buffers of the client with the most buffered bytes if all buffers together exceed the limit. This
    /// bounds memory against many clients that don't read their responses or never complete a message. A client that
    /// is owed responses loses only its incomplete message; one that does not read them is disconnected. Requests that
    /// are kept back are passed on first: the request dispatcher has a limit of its own and rejects what exceeds it.
    pub(super) fn enforce_total(&mut self, context: &mut BackendContext) {
        let (total, heaviest_client) =
            memory_use_and_largest(self.clients.iter().map(|(key, c)| (c.buffered(), key)));
        let Some(key) = heaviest_client.filter(|_| total > self.max_total) else { return };
        if self.clients.get(key).is_some_and(|client| !client.unconfirmed.is_empty()) {
            return self.confirm_requests(key, context);
        }
        let is_owed = |client: &Client| !client.open_ids.is_empty() && client.is_mostly_input();
        if self.clients.get(key).is_some_and(is_owed) {
            context.log.push(format!("slow client: message given up, bytes={total}"));
            self.reject_client(key, INVALID, "the message uses too much memory", context);
        } else {
            context.log.push(format!("slow client: closed, bytes={total}"));
            self.close(key, context);
        }
    }

    /// Closes the idle connections; used in a graceful shutdown.
    pub fn close_idle(&mut self, context: &mut BackendContext) {
        for key in self.clients.keys() {
            // Requests that arrived since the poll are read first, as a close would lose them.
            self.ready(key, false, context.now, context);
            if self.clients.get(key).is_some_and(Client::is_idle) {
                self.close_gracefully(key, context);
            }
        }
    }
}
