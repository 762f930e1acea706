//! The platform's front: JSON-RPC 2.0 behind `Content-Length` heads.

mod framing;
pub mod key_pacing;
mod message;

use crate::node::backend::BackendContext;
use crate::node::dispatcher::{ClientHandle, ClientRequest, DispatcherEvent, FinalResponse, Front, Payload};
use crate::node::front::withdraw;
use crate::node::json::{self, *};
use crate::node::reactor::{heaviest, BufferedSocket, ReadEnd, SocketOwner};
use crate::node::slab::{Slab, SlotKey};
use crate::node::table_group;
use crate::node::timer_queue::{TimerEvent, TimerHandle};
use crate::{ClassId, Settings};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use framing::{framed, Framed};
use key_pacing::KeyPacing;
use message::*;
use mio::net::TcpStream;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

const HEAD_MOST: usize = 4096; // a head is one short line; longer, the framing is lost
const MESSAGE_MOST: usize = 1 << 20; // a statement of some 700 kB in base64
const MESSAGE_LEAST: usize = 64 * 1024; // and where memory is short: a long statement still
const MESSAGE_PART: usize = 32; // of what all clients may keep here, a message takes no more than such a part
const OPEN_MOST: usize = 32; // requests on one connection, as the platform promises
const OUT_HIGH: usize = 256 * 1024; // unwritten answers past which nothing more is read from a client
const OUT_MOST: usize = 4 << 20; // and past which a client that reads nothing is let go: 32 whole results
const CLIENT_LIGHT: usize = 32 * 1024; // bytes of one client that call for no look at all of them
const KEY_MOST: usize = 64; // bytes of a key of order: the platform's have 16
const NAME_LENGTH: usize = 16; // hex digits, as the platform promises: engines read nothing else
const TURN_BYTES: usize = 64 * 1024; // of one client at a time; then it is the others' turn
const TURN_MESSAGES: usize = 32; // likewise: a whole connection's worth
const FIRST_MS: f64 = 2000.0; // from the connect to a first whole message; then a client is let go
const WHOLE_MS: f64 = 2000.0; // from a message's first byte to its last; likewise
const NEW_MS: f64 = 100.0; // a client this new has yet to say its first word
const FAR: f64 = 2.0; // times its class's longest wait past which a client's budget is out of range
const MOST_MS: f64 = 1e7; // work past which an estimate is out of range: three hours
const MOST_MB: f64 = 1e7; // memory, likewise: ten terabytes
const LOG_MOST: u32 = 20; // lines on bad messages a second; the rest are counted

struct Client {
    link: BufferedSocket,
    open: HashSet<u64>,
    /// The client has closed its side: nobody waits any more.
    ended: bool,
    /// Whether it has ever said anything that is of use.
    asked: bool,
    /// When it connected, or was last answered.
    since: f64,
    /// Since when a message stands half said.
    part: Option<f64>,
    due: Option<TimerHandle>,
}

impl Client {
    fn weight(&self) -> usize {
        self.link.waiting() + self.link.input.capacity()
    }

    /// Whether it is owed nothing and stands in no message.
    fn is_quiet(&self) -> bool {
        self.open.is_empty()
            && self.link.waiting() == 0
            && self.link.input.is_empty()
            && !self.link.has_more()
    }

    /// The order in which clients make room for others; none for whom something is open or on its way.
    fn use_left(&self, now: f64) -> Option<u8> {
        match () {
            () if !self.open.is_empty() || (self.asked && self.part.is_some()) => None,
            () if !self.asked && now - self.since > NEW_MS => Some(1),
            () if self.asked && self.link.waiting() == 0 => Some(2),
            () if !self.asked => Some(3),
            () => None,
        }
    }
}

/// The clients of the platform's front.
pub struct JsonRpc {
    clients: Slab<Client>,
    classes: HashMap<String, ClassId>,
    /// By class, whether it keeps the order of a key.
    ordered: Vec<bool>,
    key_pacing: KeyPacing,
    tenants: HashMap<String, Arc<str>>,
    /// The longest budget by class.
    budgets: Vec<f64>,
    total_most: usize,
    message_most: usize,
    /// Clients that have said more than one turn takes.
    again: Vec<SlotKey>,
    /// Lines on bad messages in this second, and the second.
    told: (u32, f64),
}

impl JsonRpc {
    /// A front without clients. What waits on all its connections is bounded by `total_most` bytes.
    pub fn new(settings: &Settings, total_most: usize) -> JsonRpc {
        let classes =
            settings.classes.iter().enumerate().map(|(i, c)| (c.name.clone(), ClassId(i))).collect();
        let tenants = settings.tenants.iter().map(|t| (t.name.clone(), Arc::from(&*t.name))).collect();
        let ordered = settings.classes.iter().map(|c| c.in_order).collect();
        let budgets = settings.classes.iter().map(|c| FAR * c.deadline.as_millis()).collect();
        let message_most = (total_most / MESSAGE_PART).clamp(MESSAGE_LEAST, MESSAGE_MOST);
        JsonRpc {
            clients: Slab::default(),
            classes,
            ordered,
            key_pacing: KeyPacing::default(),
            tenants,
            budgets,
            total_most,
            message_most,
            again: Vec::new(),
            told: (0, 0.0),
        }
    }

    /// Connected clients.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// A client has connected. `sent` is when what it has said already was sent at the latest.
    pub fn accept(&mut self, stream: TcpStream, sent: f64, context: &mut BackendContext) {
        let client = Client {
            link: BufferedSocket::new(stream),
            open: HashSet::new(),
            ended: false,
            asked: false,
            since: context.now,
            part: None,
            due: None,
        };
        let key = self.clients.insert(client);
        let Some(client) = self.clients.get_mut(key) else { return };
        match client.link.watch(context.registry, SocketOwner::JsonRpc(key)) {
            Ok(()) => {
                client.due = Some(context.timers.set(context.now + FIRST_MS, TimerEvent::Client(key)));
                self.ready(key, false, sent, context);
            }
            Err(e) => {
                context.log.push(format!("accept: error={e}"));
                self.clients.remove(key);
            }
        }
    }

    /// Lets the client go of whom the least is to be had: never asked, idle. False if all are needed.
    pub fn make_room(&mut self, sent: f64, context: &mut BackendContext) -> bool {
        loop {
            let spare =
                self.clients.iter().filter_map(|(key, c)| Some((c.use_left(context.now)?, c.since, key)));
            let least = spare.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((use_left, _, key)) = least else { return false };
            // What it has said since the poll may call for an answer.
            self.ready(key, false, sent, context);
            match self.clients.get(key) {
                None => return true,
                Some(client) if client.use_left(context.now) == Some(use_left) => {
                    self.close(key, context);
                    return true;
                }
                Some(_) => {}
            }
        }
    }

    /// Clients that are to have another turn, after all others have had theirs.
    pub fn take_again(&mut self) -> Vec<SlotKey> {
        std::mem::take(&mut self.again)
    }

    /// A socket has something to say. `sent` is when what it says was sent at the latest. One client says so much at
    /// a time: one that floods is not to keep the others waiting. `read_closed`: it has closed its side, which counts at
    /// once, however much of what it sent before is still to be read.
    pub fn ready(&mut self, key: SlotKey, read_closed: bool, sent: f64, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.link.flush().is_err() {
            return self.close(key, context);
        }
        if read_closed {
            client.ended = true;
            self.gone(key, context);
        }
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.link.waiting() > OUT_HIGH {
            if client.ended {
                self.leave(key, context);
            }
            return; // Read on when it has taken its answers; the poll tells of that.
        }
        let most = (client.link.input.len() + TURN_BYTES).min(HEAD_MOST + self.message_most);
        let end = client.link.read(most);
        client.ended |= matches!(end, Ok(ReadEnd::Closed));
        let input = std::mem::take(&mut client.link.input);
        let (mut used, mut messages) = (0, 0);
        let framing = loop {
            match framed(&input[used..], self.message_most) {
                Framed::Whole(bytes, body) if messages < TURN_MESSAGES => {
                    let message = input[used + body.start..used + body.end].to_vec();
                    used += bytes;
                    messages += 1;
                    self.message(key, message, sent, context);
                }
                other => break other,
            }
        };
        let Some(client) = self.clients.get_mut(key) else { return };
        client.link.input = input;
        client.link.used(used);
        match (end, framing) {
            (Err(_), _) => return self.close(key, context),
            (_, Framed::Lost) => {
                return self.turn_away(key, PARSE, "the length can't be read, or is too much", context)
            }
            _ if client.ended => self.settle(key, context),
            (_, Framed::Whole(..)) => self.again.push(key),
            (Ok(end), Framed::Part) => {
                let half = !client.link.input.is_empty();
                client.part = client.part.filter(|_| half && used == 0).or(half.then_some(context.now));
                if let Some(since) = client.part {
                    let first = if client.asked { f64::INFINITY } else { client.since + FIRST_MS };
                    client.due.take().into_iter().for_each(|due| context.timers.clear(due));
                    client.due =
                        Some(context.timers.set(first.min(since + WHOLE_MS), TimerEvent::Client(key)));
                }
                if end == ReadEnd::Open && client.link.has_more() {
                    self.again.push(key);
                }
                self.settle(key, context);
            }
        }
        if self.clients.get(key).is_some_and(|client| client.weight() > CLIENT_LIGHT) {
            self.bound_total(context);
        }
    }

    /// Writes what waits; lets a client go that has closed, or that takes nothing of what it is owed.
    fn settle(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.link.flush().is_err() || client.link.waiting() > OUT_MOST.min(self.total_most / 2) {
            self.close(key, context);
        } else if client.ended {
            self.leave(key, context);
        }
    }

    /// A deadline of a client: it has never asked, stands in the middle of a message, or has had its last word.
    pub fn due(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.due = None;
        match client.part {
            Some(_) => self.turn_away(key, INVALID, "the message did not come whole in time", context),
            None if !client.asked => self.leave(key, context),
            None => {}
        }
    }

    /// Says why a client is let go, and lets it go.
    fn turn_away(
        &mut self,
        key: SlotKey,
        what: (i32, &'static str),
        why: &'static str,
        context: &mut BackendContext,
    ) {
        self.wrong(key, (None, what, why), context);
        self.leave(key, context);
    }

    /// Withdraws what a client has open, and lets it read what is written before its connection is closed.
    fn leave(&mut self, key: SlotKey, context: &mut BackendContext) {
        if let Some(client) = self.remove(key, context) {
            context.closing.add(client.link, context.now, context.registry, context.timers);
        }
    }

    fn close(&mut self, key: SlotKey, context: &mut BackendContext) {
        drop(self.remove(key, context));
    }

    fn remove(&mut self, key: SlotKey, context: &mut BackendContext) -> Option<Client> {
        self.gone(key, context);
        let mut client = self.clients.remove(key)?;
        client.due.take().into_iter().for_each(|due| context.timers.clear(due));
        Some(client)
    }

    /// Nobody waits any more for what is open on a connection.
    fn gone(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(key) else { return };
        let mut open: Vec<u64> = std::mem::take(&mut client.open).into_iter().collect();
        open.sort_unstable();
        for id in open {
            withdraw(ClientHandle { front: Front::JsonRpc, conn: key, id }, context.heard);
        }
    }

    /// Writes an answer, if its client still waits for it.
    pub fn answer(&mut self, asker: ClientHandle, answer: &FinalResponse, context: &mut BackendContext) {
        let Some(client) = self.clients.get_mut(asker.conn) else { return };
        if !client.open.remove(&asker.id) {
            return;
        }
        let id = asker.id;
        let error = |code: i32, message: &str| {
            format!(r#"{{"jsonrpc":"2.0","id":{id},"error":{{"code":{code},"message":"{message}"}}}}"#)
        };
        let text = match answer {
            FinalResponse::Served(body) => {
                let doc = BASE64_STANDARD.encode(body);
                format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"doc":"{doc}"}}}}"#)
            }
            FinalResponse::Refused { backoff_ms } => {
                let back = backoff_ms.ceil().max(1.0);
                let data = format!(r#""message":"refused, not run","data":{{"backoff":{back}}}"#);
                format!(r#"{{"jsonrpc":"2.0","id":{id},"error":{{"code":{REFUSED},{data}}}}}"#)
            }
            FinalResponse::TimedOut => error(TIMED_OUT, "no answer in time"),
            FinalResponse::Failed | FinalResponse::Error(_) => error(FAILED, "failed, it may have run"),
        };
        put(&mut client.link, &text);
        client.since = context.now;
        self.settle(asker.conn, context);
        self.bound_total(context);
    }

    /// Guards the memory limit against many clients that take nothing or never end a message: the heaviest goes.
    fn bound_total(&mut self, context: &mut BackendContext) {
        let (total, most) = heaviest(self.clients.iter().map(|(key, c)| (c.weight(), key)));
        if let Some(key) = most.filter(|_| total > self.total_most) {
            context.log.push(format!("slow client: closed, bytes={total}"));
            self.close(key, context);
        }
    }

    /// Closes the connections on which nothing is open or half said; used in a graceful shutdown.
    pub fn close_quiet(&mut self, context: &mut BackendContext) {
        for key in self.clients.keys() {
            self.ready(key, false, context.now, context); // What came since the poll is not to be lost by a close over it.
            if self.clients.get(key).is_some_and(Client::is_quiet) {
                self.leave(key, context);
            }
        }
    }
}

fn put(link: &mut BufferedSocket, text: &str) {
    link.put(format!("Content-Length: {}\r\n\r\n", text.len()).as_bytes());
    link.put(text.as_bytes());
}
