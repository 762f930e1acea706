//! A client connection of the JSON-RPC front and what it is owed.

use super::*;

/// A client connection.
pub(super) struct Client {
    pub(super) link: BufferedSocket,
    /// Ids of the requests that are owed a response.
    pub(super) open_ids: HashSet<u64>,
    /// Whether the client has closed its write side; its requests are withdrawn then.
    pub(super) read_closed: bool,
    /// Whether the client has sent a valid request, cancel or `alive` call.
    pub(super) is_active: bool,
    /// Time of the last response, or of the connect, in milliseconds.
    pub(super) idle_since: f64,
    /// Time at which the first bytes of an incomplete message were read.
    pub(super) partial_since: Option<f64>,
    pub(super) timer: Option<TimerHandle>,
    /// Whether further input is dropped, because a message could not be read or was given up. The connection is closed
    /// once no response is owed.
    pub(super) ignores_input: bool,
    /// Whether a further read is scheduled.
    pub(super) is_unread: bool,
    /// Open requests that are not passed on yet, as more input is left to read.
    pub(super) unconfirmed: UnconfirmedRequests,
}

impl Client {
    pub(super) fn buffered(&self) -> usize {
        self.link.unsent_bytes() + self.link.input.capacity() + self.unconfirmed.payload_bytes()
    }

    /// Whether most of the client's buffered bytes are those of an incomplete message.
    pub(super) fn is_mostly_input(&self) -> bool {
        self.link.input.capacity() > self.link.unsent_bytes()
    }

    /// Time in milliseconds at which an incomplete message that began at `partial_since` is given up: counted from its
    /// first byte or from the last response, as the front closes no connection on which a request is open.
    pub(super) fn message_due(&self, partial_since: f64) -> f64 {
        let first_message_due =
            if self.is_active { f64::INFINITY } else { self.idle_since + FIRST_MESSAGE_TIMEOUT_MS };
        first_message_due.min(partial_since.max(self.idle_since) + MESSAGE_TIMEOUT_MS)
    }

    /// Schedules the client's timer, replacing any that is scheduled.
    pub(super) fn schedule_timer(&mut self, at: f64, key: SlotKey, timers: &mut TimerQueue) {
        self.timer.take().into_iter().for_each(|before| timers.cancel(before));
        self.timer = Some(timers.set(at, TimerEvent::JsonRpcClient(key)));
    }

    /// Whether the client is owed no response and has no unread or incomplete message.
    pub(super) fn is_idle(&self) -> bool {
        let link = &self.link;
        self.open_ids.is_empty()
            && link.unsent_bytes() == 0
            && link.input.is_empty()
            && !link.read_limit_reached()
    }

    /// Rank for disconnecting clients when connections run out, lowest first. `None` for clients that must stay: a
    /// request is open, a message is incomplete, or a response is not written yet.
    pub(super) fn eviction_rank(&self, now: f64) -> Option<u8> {
        match () {
            () if !self.open_ids.is_empty() || (self.is_active && self.partial_since.is_some()) => None,
            () if !self.is_active && now - self.idle_since > NEW_CLIENT_MS => Some(1),
            () if self.is_active && self.link.unsent_bytes() == 0 => Some(2),
            () if !self.is_active => Some(3),
            () => None,
        }
    }
}
