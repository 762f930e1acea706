//! What balancers and proxies ask: health over HTTP, the agent check, and endpoints over xDS. Everything told here
//! is the decision module's view; nothing is decided.

pub mod xds;

use super::backend::BackendContext;
use super::reactor::{BufferedSocket, ReadEnd, SocketOwner};
use super::slab::{Slab, SlotKey};
use super::timer_queue::TimerEvent;
use crate::EngineStatus;
use mio::net::TcpStream;
use std::net::SocketAddr;
use std::sync::Arc;

const CONNS_MOST: usize = 24; // of the descriptors that the node keeps for itself
const HEAD_MOST: usize = 8 * 1024;
const BODY_MOST: usize = 64 * 1024; // a discovery request is short
const HEADERS_MOST: usize = 64;
const IDLE_MS: f64 = 15_000.0; // balancers ask every few seconds

/// The node as those outside may see it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// A graceful shutdown has begun.
    pub shutting_down: bool,
    /// Why a fleet's policy lets nothing in now, if so.
    pub why_not: Option<String>,
    /// The share of the work asked for that is admitted, from 0 to 1; 0 where no engine takes any.
    pub admitted: f64,
    /// The engines with their addresses.
    pub engines: Vec<(EngineStatus, SocketAddr)>,
    /// Which proxies are connected over xDS, as JSON; none if that is off.
    pub clients: Option<Arc<str>>,
}

impl View {
    /// Whether new work is welcome.
    pub fn ready(&self) -> bool {
        !self.shutting_down && self.why_not.is_none() && self.admitted > 0.0
    }

    /// The line that answers an agent check: an administrative word, a state, and a weight for the balancer.
    pub fn agent_line(&self) -> String {
        if self.shutting_down {
            "drain\n".to_owned()
        } else if !self.ready() {
            let why = self.why_not.as_deref().unwrap_or("no engine takes work");
            format!("down #{}\n", why.replace(['\n', '#'], " ").chars().take(200).collect::<String>())
        } else {
            format!("ready up {}%\n", (self.admitted * 100.0).round().clamp(1.0, 100.0))
        }
    }
}

/// Which of the two listeners a connection came by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Health and xDS.
    Http,
    /// The agent check.
    Agent,
}

struct Conn {
    link: BufferedSocket,
    kind: Kind,
    heard: f64,
    /// The last answer is written; only the other side's close is waited for.
    last: bool,
}

/// The connections of balancers and proxies.
pub struct Control {
    conns: Slab<Conn>,
    cluster: String,
}

/// An HTTP request as far as it counts here.
struct Request {
    method: String,
    path: String,
    body: Vec<u8>,
    keep: bool,
    used: usize,
}

enum Parsed {
    Part,
    Whole(Request),
    /// It can't be taken: the status to say so with.
    Wrong(u16),
}

fn parse(bytes: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if bytes.len() < HEAD_MOST => return Parsed::Part,
        Ok(httparse::Status::Partial) => return Parsed::Wrong(431),
        Err(_) => return Parsed::Wrong(400),
    };
    let of = |name: &'static str| {
        let named = head.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value)
    };
    if of("transfer-encoding").next().is_some() {
        return Parsed::Wrong(501);
    }
    let mut length = 0;
    for (i, value) in of("content-length").enumerate() {
        let digits = std::str::from_utf8(value).ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
        match digits.and_then(|v| v.parse::<usize>().ok()).filter(|_| i == 0) {
            Some(value) if value <= BODY_MOST => length = value,
            Some(_) => return Parsed::Wrong(413),
            None => return Parsed::Wrong(400),
        }
    }
    let Some(body) = bytes.get(start..start + length) else { return Parsed::Part };
    let close = of("connection").any(|value| value.eq_ignore_ascii_case(b"close"));
    Parsed::Whole(Request {
        method: head.method.unwrap_or_default().to_owned(),
        path: head.path.unwrap_or_default().to_owned(),
        body: body.to_vec(),
        keep: head.version == Some(1) && !close,
        used: start + length,
    })
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        _ => "Service Unavailable",
    }
}

impl Control {
    /// Nobody has asked yet; xDS will tell of this cluster.
    pub fn new(cluster: String) -> Control {
        Control { conns: Slab::default(), cluster }
    }

    /// Somebody has connected.
    pub fn accept(&mut self, stream: TcpStream, kind: Kind, view: &View, context: &mut BackendContext) {
        if self.conns.len() >= CONNS_MOST {
            return; // Dropped: those that ask are few, and the descriptors are for clients and engines.
        }
        let key = self.conns.insert(Conn {
            link: BufferedSocket::new(stream),
            kind,
            heard: context.now,
            last: false,
        });
        let Some(conn) = self.conns.get_mut(key) else { return };
        if conn.link.watch(context.registry, SocketOwner::Control(key)).is_err() {
            self.conns.remove(key);
            return;
        }
        context.timers.set(context.now + IDLE_MS, TimerEvent::Control(key));
        if kind == Kind::Agent {
            conn.link.put(view.agent_line().as_bytes());
            conn.last = true;
        }
        self.ready(key, view, context);
    }

    /// A socket has something to say.
    pub fn ready(&mut self, key: SlotKey, view: &View, context: &mut BackendContext) {
        if self.step(key, view, context).is_none() {
            self.conns.remove(key);
        }
    }

    /// `None` when the connection is done with.
    fn step(&mut self, key: SlotKey, view: &View, context: &mut BackendContext) -> Option<()> {
        let conn = self.conns.get_mut(key)?;
        conn.heard = context.now;
        conn.link.flush().ok()?;
        let end = conn.link.read(HEAD_MOST + BODY_MOST).ok()?;
        while !conn.last && conn.kind == Kind::Http {
            let (status, body, head_only) = match parse(&conn.link.input) {
                Parsed::Part => break,
                Parsed::Whole(request) => {
                    conn.link.used(request.used);
                    conn.last = !request.keep;
                    let (status, body) = answer(&self.cluster, &request, view);
                    (status, body, request.method == "HEAD")
                }
                Parsed::Wrong(status) => {
                    conn.last = true;
                    (status, reason(status).to_owned(), false)
                }
            };
            let kind = if body.starts_with('{') { "application/json" } else { "text/plain" };
            let close = if conn.last { "Connection: close\r\n" } else { "" };
            let reason = reason(status);
            let length =
                if status == 304 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
            conn.link.put(
                format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n{length}{close}\r\n")
                    .as_bytes(),
            );
            if !head_only && status != 304 {
                conn.link.put(body.as_bytes());
            }
        }
        if conn.last {
            conn.link.used(conn.link.input.len());
        }
        conn.link.flush().ok()?;
        if conn.last && conn.link.waiting() == 0 {
            conn.link.finish();
        }
        (end == ReadEnd::Open).then_some(())
    }

    /// Lets those go that have been silent for long.
    pub fn look(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(conn) = self.conns.get(key) else { return };
        if context.now - conn.heard >= IDLE_MS {
            self.conns.remove(key);
        } else {
            context.timers.set(conn.heard + IDLE_MS, TimerEvent::Control(key));
        }
    }
}

fn answer(cluster: &str, request: &Request, view: &View) -> (u16, String) {
    let path = request.path.split('?').next().unwrap_or_default();
    let reads = matches!(request.method.as_str(), "GET" | "HEAD");
    match path {
        "/health/live" if reads => (200, "alive\n".to_owned()),
        "/health/ready" if reads && view.ready() => (200, "ready\n".to_owned()),
        "/health/ready" if reads => (503, view.agent_line()),
        "/v3/discovery:endpoints" if request.method == "POST" => {
            xds::discover(cluster, request.body.clone(), view)
        }
        "/xds/clients" if reads => match &view.clients {
            Some(clients) => (200, clients.to_string()),
            None => (404, "xds is off\n".to_owned()),
        },
        "/health/live" | "/health/ready" | "/v3/discovery:endpoints" | "/xds/clients" => {
            (405, "wrong method\n".to_owned())
        }
        _ => (404, "no such page\n".to_owned()),
    }
}
