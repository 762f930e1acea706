//! The platform's front: JSON-RPC 2.0 behind `Content-Length` heads.

use crate::node::backend::Cx;
use crate::node::exchange::{Answer, Ask, Asker, Front, Heard, Payload};
use crate::node::json::{self, *};
use crate::node::reactor::{heaviest, Link, Owner, ReadEnd};
use crate::node::slots::{Key, Slots};
use crate::node::tables;
use crate::{ClassId, Settings};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use mio::net::TcpStream;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

const HEAD_MOST: usize = 4096; // a head is one short line; longer, the framing is lost
const MESSAGE_MOST: usize = 1 << 20; // a statement of some 700 kB in base64
const OPEN_MOST: usize = 32; // requests on one connection, as the platform promises
const OUT_HIGH: usize = 256 * 1024; // unwritten answers past which nothing more is read from a client
const OUT_MOST: usize = 4 << 20; // and past which a client that reads nothing is let go: 32 whole results
const CLIENT_LIGHT: usize = 32 * 1024; // bytes of one client that call for no look at all of them
const NAME_MOST: usize = 64; // a name goes onto other wires: short, and of plain characters

const PARSE: (i32, &str) = (-32700, "Parse error");
const INVALID: (i32, &str) = (-32600, "Invalid Request");
const UNKNOWN: (i32, &str) = (-32601, "Method not found");
const PARAMS: (i32, &str) = (-32602, "Invalid params");
const REFUSED: i32 = -32011;
const FAILED: i32 = -32010;
const TIMED_OUT: i32 = -32012;

struct Client {
    link: Link,
    open: HashSet<u64>,
    /// The client has closed its side: nobody waits any more.
    ended: bool,
}

impl Client {
    fn weight(&self) -> usize {
        self.link.waiting() + self.link.input.len()
    }
}

/// The clients of the platform's front.
pub struct JsonRpc {
    clients: Slots<Client>,
    classes: HashMap<String, ClassId>,
    tenants: HashMap<String, Arc<str>>,
    total_most: usize,
}

/// A message as far as the framing tells.
enum Framed {
    /// Not whole yet.
    Part,
    /// So many bytes, with the body from here to there.
    Whole(usize, std::ops::Range<usize>),
    /// Where the next message begins can't be told.
    Lost,
}

fn framed(bytes: &[u8]) -> Framed {
    let Some(end) = bytes.windows(4).take(HEAD_MOST).position(|w| w == b"\r\n\r\n") else {
        return if bytes.len() >= HEAD_MOST { Framed::Lost } else { Framed::Part };
    };
    let Ok(head) = std::str::from_utf8(&bytes[..end]) else { return Framed::Lost };
    let mut length = None;
    for line in head.split("\r\n") {
        let Some((name, value)) = line.split_once(':') else { return Framed::Lost };
        if name.trim().eq_ignore_ascii_case("content-length") {
            let digits = value.trim();
            let plain = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
            match digits.parse::<usize>().ok().filter(|l| plain && length.is_none() && *l <= MESSAGE_MOST) {
                Some(value) => length = Some(value),
                None => return Framed::Lost,
            }
        }
    }
    let Some(length) = length else { return Framed::Lost };
    let start = end + 4;
    if bytes.len() < start + length {
        return Framed::Part;
    }
    Framed::Whole(start + length, start..start + length)
}

/// What a message asks for.
enum Asked {
    Alive(u64),
    Cancel(u64),
    Run(u64, Box<Ask>),
    /// A notification that tells nothing: no answer is owed, not even an error.
    Nothing(&'static str),
}

/// An error for the client: its request's number, if that could be read, and what is wrong.
type Wrong = (Option<u64>, (i32, &'static str), &'static str);

impl JsonRpc {
    /// A front without clients. What waits on all its connections is bounded by `total_most` bytes.
    pub fn new(settings: &Settings, total_most: usize) -> JsonRpc {
        let classes =
            settings.classes.iter().enumerate().map(|(i, c)| (c.name.clone(), ClassId(i))).collect();
        let tenants = settings.tenants.iter().map(|t| (t.name.clone(), Arc::from(&*t.name))).collect();
        JsonRpc { clients: Slots::default(), classes, tenants, total_most }
    }

    /// Connected clients.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.clients.is_empty()
    }

    /// Whether all answers are written.
    pub fn all_written(&self) -> bool {
        self.clients.iter().all(|(_, client)| client.link.waiting() == 0)
    }

    /// A client has connected. `sent` is when what it has said already was sent at the latest.
    pub fn accept(&mut self, stream: TcpStream, sent: f64, cx: &mut Cx) {
        let client = Client { link: Link::new(stream), open: HashSet::new(), ended: false };
        let key = self.clients.insert(client);
        let Some(client) = self.clients.get_mut(key) else { return };
        match client.link.watch(cx.registry, Owner::JsonRpc(key)) {
            Ok(()) => self.ready(key, sent, cx),
            Err(e) => {
                cx.log.push(format!("accept: error={e}"));
                self.clients.remove(key);
            }
        }
    }

    /// A socket has something to say. `sent` is when what it says was sent at the latest.
    pub fn ready(&mut self, key: Key, sent: f64, cx: &mut Cx) {
        loop {
            let Some(client) = self.clients.get_mut(key) else { return };
            if client.link.flush().is_err() {
                return self.close(key, cx);
            }
            if client.link.waiting() > OUT_HIGH {
                return; // Read on when it has taken its answers; the poll tells of that.
            }
            let end = client.link.read(HEAD_MOST + MESSAGE_MOST);
            let input = std::mem::take(&mut client.link.input);
            let mut used = 0;
            let lost = loop {
                match framed(&input[used..]) {
                    Framed::Part => break false,
                    Framed::Lost => break true,
                    Framed::Whole(bytes, body) => {
                        let message = input[used + body.start..used + body.end].to_vec();
                        used += bytes;
                        self.message(key, message, sent, cx);
                    }
                }
            };
            let Some(client) = self.clients.get_mut(key) else { return };
            client.link.input = input;
            client.link.used(used);
            if lost {
                return self.close(key, cx);
            }
            match end {
                Ok(ReadEnd::Open) if client.link.has_more() => {}
                Ok(ReadEnd::Open) => break,
                Ok(ReadEnd::Closed) => {
                    client.ended = true;
                    break;
                }
                Err(_) => return self.close(key, cx),
            }
        }
        self.settle(key, cx);
        if self.clients.get(key).is_some_and(|client| client.weight() > CLIENT_LIGHT) {
            self.bound_total(cx);
        }
    }

    /// Writes what waits; lets a client go that has closed, or that takes nothing of what it is owed.
    fn settle(&mut self, key: Key, cx: &mut Cx) {
        let Some(client) = self.clients.get_mut(key) else { return };
        if client.link.flush().is_err() || client.ended || client.link.waiting() > OUT_MOST {
            self.close(key, cx);
        }
    }

    fn close(&mut self, key: Key, cx: &mut Cx) {
        let Some(client) = self.clients.remove(key) else { return };
        let mut open: Vec<u64> = client.open.into_iter().collect();
        open.sort_unstable();
        let gone = open.into_iter().map(|id| Heard::Gone(Asker { front: Front::JsonRpc, conn: key, id }));
        cx.heard.extend(gone);
    }

    fn message(&mut self, key: Key, message: Vec<u8>, sent: f64, cx: &mut Cx) {
        let asked = self.read(key, message, sent);
        let Some(client) = self.clients.get_mut(key) else { return };
        match asked {
            Ok(Asked::Nothing(why)) => cx.log.push(format!("bad message: {why}")),
            Ok(Asked::Alive(id)) => {
                put(&mut client.link, &format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"pass":true}}}}"#));
            }
            Ok(Asked::Cancel(id)) => {
                if client.open.remove(&id) {
                    cx.heard.push(Heard::Gone(Asker { front: Front::JsonRpc, conn: key, id }));
                }
            }
            Ok(Asked::Run(id, ask)) => {
                client.open.insert(id);
                cx.heard.push(Heard::Asked(*ask));
            }
            Err((id, (code, name), why)) => {
                cx.log.push(format!("bad message: code={code} {why}"));
                let id = id.map_or("null".to_owned(), |id| id.to_string());
                let message = json::quoted(&format!("{name}: {why}"));
                let error = format!(r#"{{"code":{code},"message":{message}}}"#);
                put(&mut client.link, &format!(r#"{{"jsonrpc":"2.0","id":{id},"error":{error}}}"#));
            }
        }
    }

    fn read(&self, key: Key, message: Vec<u8>, sent: f64) -> Result<Asked, Wrong> {
        let value = json::read(message).map_err(|_| (None, PARSE, "not JSON"))?;
        let number = value.get("id").and_then(|id| id.as_u64()).filter(|id| *id > 0);
        let wrong = |what, why| Err((number, what, why));
        if value.get("jsonrpc").and_then(|v| v.as_str()) != Some("2.0") {
            return wrong(INVALID, "jsonrpc is not 2.0");
        }
        let Some(method) = value.get("method").and_then(|m| m.as_str()) else {
            return wrong(INVALID, "method is not a string");
        };
        let params = value.get("params");
        let param = |name: &str| params.and_then(|p| p.get(name));
        let notifies = value.get("id").is_none();
        if method == "cancelRequest" {
            let place = || params.and_then(|p| p.as_array()).and_then(|list| list.first());
            return match param("id").or_else(place).and_then(|id| id.as_u64()) {
                Some(id) => Ok(Asked::Cancel(id)),
                None if notifies => Ok(Asked::Nothing("cancelRequest without an id")),
                None => wrong(PARAMS, "id is not a number"),
            };
        }
        if notifies {
            return Ok(Asked::Nothing("not a known notification"));
        }
        let Some(id) = number else { return wrong(INVALID, "id is not a number from 1") };
        if method == "alive" {
            return Ok(Asked::Alive(id));
        }
        let Some(class) = self.classes.get(method) else { return wrong(UNKNOWN, "no such class") };
        let client = self.clients.get(key);
        if client.is_none_or(|client| client.open.contains(&id)) {
            return wrong(INVALID, "id is in use");
        }
        if client.is_none_or(|client| client.open.len() >= OPEN_MOST) {
            return wrong(INVALID, "too many open requests");
        }
        let text = |name: &str| param(name).and_then(|v| v.as_str());
        let plain = |n: &&str| {
            !n.is_empty() && n.len() <= NAME_MOST && n.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
        };
        let Some(name) = text("rid").filter(plain) else { return wrong(PARAMS, "rid") };
        let Some(budget) = param("budget").and_then(json::number).filter(|ms| *ms > 0.0) else {
            return wrong(PARAMS, "budget");
        };
        let estimate = |name: &str| match param(name) {
            None | Some(OwnedValue::Static(StaticNode::Null)) => Ok(None),
            Some(v) => json::number(v).filter(|v| *v >= 0.0).map(Some).ok_or((number, PARAMS, "estimate")),
        };
        let (work_ms, memory_mb) = (estimate("est")?, estimate("memory")?);
        let tenant = match param("acct") {
            None | Some(OwnedValue::Static(StaticNode::Null)) => None,
            Some(v) => match v.as_str() {
                Some(name) => Some(self.tenants.get(name).cloned().unwrap_or_else(|| Arc::from(name))),
                None => return wrong(PARAMS, "acct"),
            },
        };
        let Some(statement) = text("doc").and_then(|doc| BASE64_STANDARD.decode(doc).ok()) else {
            return wrong(PARAMS, "doc");
        };
        let ask = Ask {
            asker: Asker { front: Front::JsonRpc, conn: key, id },
            name: Arc::from(name),
            class: *class,
            sent,
            budget,
            tables: tables::group(&statement).unwrap_or(0),
            work_ms,
            memory_mb,
            tenant,
            payload: Rc::new(Payload { statement, ..Payload::default() }),
        };
        Ok(Asked::Run(id, Box::new(ask)))
    }

    /// Writes an answer, if its client still waits for it.
    pub fn answer(&mut self, asker: Asker, answer: &Answer, cx: &mut Cx) {
        let Some(client) = self.clients.get_mut(asker.conn) else { return };
        if !client.open.remove(&asker.id) {
            return;
        }
        let id = asker.id;
        let error = |code: i32, message: &str| {
            format!(r#"{{"jsonrpc":"2.0","id":{id},"error":{{"code":{code},"message":"{message}"}}}}"#)
        };
        let text = match answer {
            Answer::Served(body) => {
                let doc = BASE64_STANDARD.encode(body);
                format!(r#"{{"jsonrpc":"2.0","id":{id},"result":{{"doc":"{doc}"}}}}"#)
            }
            Answer::Refused { backoff_ms } => {
                let back = backoff_ms.ceil().max(1.0);
                let data = format!(r#""message":"refused, not run","data":{{"backoff":{back}}}"#);
                format!(r#"{{"jsonrpc":"2.0","id":{id},"error":{{"code":{REFUSED},{data}}}}}"#)
            }
            Answer::TimedOut => error(TIMED_OUT, "no answer in time"),
            Answer::Failed | Answer::Error(_) => error(FAILED, "failed, it may have run"),
        };
        put(&mut client.link, &text);
        self.settle(asker.conn, cx);
        self.bound_total(cx);
    }

    /// Guards the memory limit against many clients that take nothing or never end a message: the heaviest goes.
    fn bound_total(&mut self, cx: &mut Cx) {
        let (total, most) = heaviest(self.clients.iter().map(|(key, c)| (c.weight(), key)));
        if let Some(key) = most.filter(|_| total > self.total_most) {
            cx.log.push(format!("slow client: closed, bytes={total}"));
            self.close(key, cx);
        }
    }

    /// Closes the connections on which nothing is open; used at a planned end.
    pub fn close_idle(&mut self, cx: &mut Cx) {
        for key in self.clients.keys() {
            if self.clients.get(key).is_some_and(|c| c.open.is_empty() && c.link.waiting() == 0) {
                self.close(key, cx);
            }
        }
    }
}

fn put(link: &mut Link, text: &str) {
    link.put(format!("Content-Length: {}\r\n\r\n", text.len()).as_bytes());
    link.put(text.as_bytes());
}
