//! The JSON-RPC front: JSON-RPC 2.0 messages, each with a `Content-Length` header.

mod client;
mod disconnect;
mod framing;
pub mod key_pacing;
mod message;
mod unconfirmed;

use crate::node::backend::BackendContext;
use crate::node::dispatcher::{ClientHandle, ClientRequest, DispatcherEvent, FinalResponse, Front, Payload};
use crate::node::front::cancel_request;
use crate::node::json::{self, *};
use crate::node::reactor::{memory_use_and_largest, BufferedSocket, ReadStatus, SocketOwner};
use crate::node::slab::{Slab, SlotKey};
use crate::node::table_group;
use crate::node::timer_queue::{TimerEvent, TimerHandle, TimerQueue};
use crate::{ClassId, Settings};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use client::Client;
use framing::{split_frame, Frame};
use key_pacing::KeyPacing;
use message::*;
use mio::net::TcpStream;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use unconfirmed::UnconfirmedRequests;

/// Longest message header in bytes. A valid header is one short line, so a longer one is a framing error.
const MAX_HEADER_BYTES: usize = 4096;
/// Upper bound of the message size limit in bytes: a statement of about 700 kB in base64.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Lower bound of the message size limit in bytes, for nodes with little memory: it still fits a long statement.
const MIN_MESSAGE_LIMIT: usize = 64 * 1024;
/// The message size limit is the memory limit of all client buffers divided by this number.
const MESSAGE_LIMIT_DIVISOR: usize = 32;
/// Most open requests on one connection, as specified by the platform.
const MAX_OPEN_REQUESTS: usize = 32;
/// Unwritten response bytes above which the front stops reading from a client.
const READ_PAUSE_BYTES: usize = 256 * 1024;
/// Unwritten response bytes above which a client that does not read is disconnected: 32 full results.
const MAX_UNWRITTEN_BYTES: usize = 4 << 20;
/// Buffered bytes of one client up to which a read does not trigger the check of the total over all clients.
const LIGHT_CLIENT_BYTES: usize = 32 * 1024;
/// Longest valid ordering key in bytes. The platform's own keys have 16 bytes.
const MAX_KEY_BYTES: usize = 64;
/// Hex digits of a request name, as specified by the platform. Engines accept no other length.
const NAME_LENGTH: usize = 16;
/// Most bytes read from one client per event loop iteration, so that a client can't starve the others.
const BYTES_PER_TURN: usize = 64 * 1024;
/// Most messages handled from one client per event loop iteration: as many as it may have open requests.
const MESSAGES_PER_TURN: usize = 32;
/// Most reads per event loop iteration from clients with input left, over all of these clients.
const READS_PER_TURN: usize = 32;
/// Most reads in a row from one client with input left, before the next such client has its turn. Most clients are read
/// to the end by then, which bounds the memory for requests that are kept back until then.
const READS_PER_CLIENT: usize = 16;
/// Time from the connect to the first complete message, in milliseconds, after which a client is disconnected.
const FIRST_MESSAGE_TIMEOUT_MS: f64 = 2000.0;
/// Time from the first byte of a message to its last, in milliseconds, after which a client is disconnected.
const MESSAGE_TIMEOUT_MS: f64 = 2000.0;
/// Age in milliseconds up to which a client that has not sent a request is evicted only after all idle clients.
const NEW_CLIENT_MS: f64 = 100.0;
/// Largest valid budget of a request, as a multiple of the deadline of its class.
const BUDGET_FACTOR: f64 = 2.0;
/// Largest valid estimate of a request's work, in milliseconds: about three hours.
const MAX_WORK_MS: f64 = 1e7;
/// Largest valid estimate of a request's memory, in megabytes: ten terabytes.
const MAX_MEMORY_MB: f64 = 1e7;
/// Most log lines about bad messages per second. Further bad messages are only counted.
const MAX_LOG_LINES: u32 = 20;

/// The JSON-RPC front with its clients.
pub struct JsonRpc {
    clients: Slab<Client>,
    classes: HashMap<String, ClassId>,
    /// For each class, whether its requests have an ordering key.
    is_ordered: Vec<bool>,
    key_pacing: KeyPacing,
    tenants: HashMap<String, Arc<str>>,
    /// Largest valid budget of each class, in milliseconds.
    max_budgets: Vec<f64>,
    /// Limit on the buffers of all clients, in bytes.
    max_total: usize,
    max_message: usize,
    /// Clients that have reached a limit on input per iteration and have input left to read, each once.
    unread: VecDeque<SlotKey>,
    /// Number of bad messages in the current second, and the start of that second.
    bad_messages: (u32, f64),
}

impl JsonRpc {
    /// Creates a front without clients. The buffers of all its connections are limited to `max_total` bytes.
    pub fn new(settings: &Settings, max_total: usize) -> JsonRpc {
        let classes =
            settings.classes.iter().enumerate().map(|(i, c)| (c.name.clone(), ClassId(i))).collect();
        let tenants = settings.tenants.iter().map(|t| (t.name.clone(), Arc::from(&*t.name))).collect();
        let is_ordered = settings.classes.iter().map(|c| c.in_order).collect();
        let max_budgets = settings.classes.iter().map(|c| BUDGET_FACTOR * c.deadline.as_millis()).collect();
        let max_message = (max_total / MESSAGE_LIMIT_DIVISOR).clamp(MIN_MESSAGE_LIMIT, MAX_MESSAGE_BYTES);
        JsonRpc {
            clients: Slab::default(),
            classes,
            is_ordered,
            key_pacing: KeyPacing::default(),
            tenants,
            max_budgets,
            max_total,
            max_message,
            unread: VecDeque::new(),
            bad_messages: (0, 0.0),
        }
    }

    /// Number of connected clients.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Adds a new connection. `sent_at` is the latest time at which data that is ready to read can have been sent.
    pub fn accept(&mut self, stream: TcpStream, sent_at: f64, context: &mut BackendContext) {
        let client = Client {
            link: BufferedSocket::new(stream),
            open_ids: HashSet::new(),
            read_closed: false,
            is_active: false,
            idle_since: context.now,
            partial_since: None,
            timer: None,
            ignores_input: false,
            is_unread: false,
            unconfirmed: UnconfirmedRequests::default(),
        };
        let key = self.clients.insert(client);
        let Some(client) = self.clients.get_mut(key) else { return };
        match client.link.register(context.registry, SocketOwner::JsonRpc(key)) {
            Ok(()) => {
                client.schedule_timer(context.now + FIRST_MESSAGE_TIMEOUT_MS, key, context.timers);
                self.ready(key, false, sent_at, context);
            }
            Err(e) => {
                context.log.push(format!("accept: error={e}"));
                self.clients.remove(key);
            }
        }
    }

    /// Removes and returns the clients with input left to read, which get no further event from the poll.
    pub fn take_unread(&mut self) -> VecDeque<SlotKey> {
        std::mem::take(&mut self.unread)
    }

    /// Reads on from clients with input left, up to the limits per iteration. Clients whose turn does not come stay
    /// scheduled, before those that are scheduled meanwhile.
    pub fn read_unread(
        &mut self,
        mut scheduled: VecDeque<SlotKey>,
        sent_at: f64,
        context: &mut BackendContext,
    ) {
        let mut reads_left = READS_PER_TURN;
        while reads_left > 0 {
            let Some(key) = scheduled.pop_front() else { return };
            reads_left -= self.read_in_a_row(key, READS_PER_CLIENT.min(reads_left), sent_at, context);
        }
        scheduled.append(&mut self.unread);
        self.unread = scheduled;
    }

    /// Reads on from a client, repeatedly while it has requests that are kept back until its input is read. Returns the
    /// number of reads, from 1 to `max_reads`.
    fn read_in_a_row(
        &mut self,
        key: SlotKey,
        max_reads: usize,
        sent_at: f64,
        context: &mut BackendContext,
    ) -> usize {
        for reads in 1..=max_reads {
            let Some(client) = self.clients.get_mut(key) else { return reads };
            client.is_unread = false;
            self.ready(key, false, sent_at, context);
            let goes_on = |client: &Client| client.is_unread && !client.unconfirmed.is_empty();
            if reads == max_reads || !self.clients.get(key).is_some_and(goes_on) {
                return reads;
            }
            self.unread.pop_back();
        }
        max_reads
    }

    /// Schedules a further read from a client.
    fn schedule_read(&mut self, key: SlotKey) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if !client.is_unread {
            client.is_unread = true;
            self.unread.push_back(key);
        }
    }

    /// Passes on the requests of a client that were kept back while it had input left.
    fn confirm_requests(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let requests = client.unconfirmed.take();
        context.events.extend(requests.into_iter().map(DispatcherEvent::RequestReceived));
    }

    /// Handles readiness of a client's socket: writes responses and reads requests, up to the limits per iteration.
    /// `read_closed` tells that the client has closed its write side, which withdraws its requests at once, even if
    /// input is left to read. `sent_at` is the latest time at which the input can have been sent.
    pub fn ready(&mut self, key: SlotKey, read_closed: bool, sent_at: f64, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.link.flush().is_err() {
            return self.close(key, context);
        }
        if read_closed {
            client.read_closed = true;
            self.withdraw_requests(key, context);
        }
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.link.unsent_bytes() > READ_PAUSE_BYTES {
            if client.read_closed {
                self.close_gracefully(key, context);
            }
            return; // The poll reports when the socket is writable again.
        }
        let max_input = (client.link.input.len() + BYTES_PER_TURN).min(MAX_HEADER_BYTES + self.max_message);
        let buffered = client.link.input.len();
        let end = client.link.read(max_input);
        let read_bytes = client.link.input.len() - buffered;
        client.read_closed |= matches!(end, Ok(ReadStatus::Closed));
        if client.ignores_input {
            return self.drop_input(key, end.is_err(), context);
        }
        let input = std::mem::take(&mut client.link.input);
        let (mut used, mut messages) = (0, 0);
        let framing = loop {
            match split_frame(&input[used..], self.max_message) {
                Frame::Complete(frame_bytes, body) if messages < MESSAGES_PER_TURN => {
                    let message = input[used + body.start..used + body.end].to_vec();
                    used += frame_bytes;
                    messages += 1;
                    self.handle_message(key, message, sent_at, context);
                }
                other => break other,
            }
        };
        let Some(client) = self.clients.get_mut(key) else { return };
        client.link.input = input;
        client.link.consume(used);
        let is_input_left = client.link.read_limit_reached();
        let is_open = matches!(end, Ok(ReadStatus::Open)) && !client.read_closed;
        if is_open && client.unconfirmed.are_confirmed_by_read(read_bytes, is_input_left) {
            self.confirm_requests(key, context);
        }
        let Some(client) = self.clients.get_mut(key) else { return };
        match (end, framing) {
            (Err(_), _) => return self.close(key, context),
            (_, Frame::Invalid) => {
                return self.reject_client(key, PARSE, "the length can't be read, or is too much", context)
            }
            _ if client.read_closed => self.flush_or_close(key, context),
            (_, Frame::Complete(..)) => self.schedule_read(key),
            (Ok(end), Frame::Partial) => {
                let partial = !client.link.input.is_empty();
                client.partial_since =
                    client.partial_since.filter(|_| partial && used == 0).or(partial.then_some(context.now));
                if let Some(partial_since) = client.partial_since {
                    client.schedule_timer(client.message_due(partial_since), key, context.timers);
                }
                if end == ReadStatus::Open && is_input_left {
                    self.schedule_read(key);
                }
                self.flush_or_close(key, context);
            }
        }
        if self.clients.get(key).is_some_and(|client| client.buffered() > LIGHT_CLIENT_BYTES) {
            self.enforce_total(context);
        }
    }

    /// Writes pending responses. Disconnects a client that has closed its side or has too many unwritten bytes.
    fn flush_or_close(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let max_unwritten = MAX_UNWRITTEN_BYTES.min(self.max_total / 2);
        if client.link.flush().is_err() || client.link.unsent_bytes() > max_unwritten {
            self.close(key, context);
        } else if client.read_closed {
            self.close_gracefully(key, context);
        }
    }

    /// Writes a response, if its client is still connected and has not cancelled the request.
    pub fn respond(&mut self, handle: ClientHandle, response: &FinalResponse, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(handle.conn) else { return };
        if !client.open_ids.remove(&handle.id) {
            return;
        }
        let id = handle.id;
        let error = |code: i32, message: &str| {
            format!(r#"{{"jsonrpc":"2.0","id":{id},"error":{{"code":{code},"message":"{message}"}}}}"#)
        };
        let text = match response {
            FinalResponse::Served(body) => {
                let doc = BASE64_STANDARD.encode(body);
                format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"doc":"{doc}"}}}}"#)
            }
            FinalResponse::Rejected { backoff_ms } => {
                let backoff = backoff_ms.ceil().max(1.0);
                let data = format!(r#""message":"refused, not run","data":{{"backoff":{backoff}}}"#);
                format!(r#"{{"jsonrpc":"2.0","id":{id},"error":{{"code":{REFUSED},{data}}}}}"#)
            }
            FinalResponse::TimedOut => error(TIMED_OUT, "no answer in time"),
            FinalResponse::Failed | FinalResponse::Error(_) => error(FAILED, "failed, it may have run"),
        };
        put(&mut client.link, &text);
        client.idle_since = context.now;
        if let Some(partial_since) = client.partial_since {
            client.schedule_timer(client.message_due(partial_since), handle.conn, context.timers);
        }
        if client.ignores_input && client.open_ids.is_empty() {
            self.close_gracefully(handle.conn, context);
        } else {
            self.flush_or_close(handle.conn, context);
        }
        self.enforce_total(context);
    }
}

/// Queues a JSON text with its header for writing.
fn put(link: &mut BufferedSocket, text: &str) {
    link.queue_write(format!("Content-Length: {}\r\n\r\n", text.len()).as_bytes());
    link.queue_write(text.as_bytes());
}
