//! Endpoints for load balancers and proxies: HTTP health checks, agent checks, and endpoint discovery over HTTP. The
//! responses only report the state of the decision module; no decision is made here.

pub mod xds;

use super::backend::BackendContext;
use super::reactor::{BufferedSocket, ReadStatus, SocketOwner};
use super::slab::{Slab, SlotKey};
use super::timer_queue::TimerEvent;
use crate::EngineStatus;
use mio::net::TcpStream;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of open connections. They use file descriptors that the node reserves for itself, not those for
/// clients and engines. A further connection replaces the one that has been inactive for longest.
const MAX_CONNECTIONS: usize = 24;
/// Maximum number of requests answered on one connection per event loop iteration.
const REQUESTS_PER_TURN: usize = 32;
/// Unwritten response bytes above which the further requests of a connection wait until the peer has read.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// Maximum size of a request line with its headers, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum size of a request body, in bytes. Only discovery requests have a body, and a discovery request is short.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 64;
/// Time without socket activity after which a connection is closed, in milliseconds. Load balancers send a health check
/// every few seconds, so connections in use stay open.
const IDLE_TIMEOUT_MS: f64 = 15_000.0;

/// State of the node that load balancers and proxies can query.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeStatus {
    /// Whether a graceful shutdown has begun.
    pub shutting_down: bool,
    /// Reason why the fleet's policy admits no requests at present; `None` without a policy or if it admits requests.
    pub blocked_reason: Option<String>,
    /// Share of the requested work that is admitted, from 0 to 1; 0 if no engine accepts work.
    pub admitted: f64,
    /// Status and address of each engine.
    pub engines: Vec<(EngineStatus, SocketAddr)>,
    /// Status of the connected xDS clients, as JSON; `None` if the xDS server is disabled.
    pub clients: Option<Arc<str>>,
}

impl NodeStatus {
    /// Whether the node accepts new requests.
    pub fn ready(&self) -> bool {
        !self.shutting_down && self.blocked_reason.is_none() && self.admitted > 0.0
    }

    /// Response line to an agent check: `drain` during a graceful shutdown, `down` with a reason if the node accepts no
    /// requests, else `ready up` with the admitted share as a weight in percent.
    pub fn agent_line(&self) -> String {
        if self.shutting_down {
            "drain\n".to_owned()
        } else if !self.ready() {
            let reason = self.blocked_reason.as_deref().unwrap_or("no engine takes work");
            format!("down #{}\n", reason.replace(['\n', '#'], " ").chars().take(200).collect::<String>())
        } else {
            format!("ready up {}%\n", (self.admitted * 100.0).round().clamp(1.0, 100.0))
        }
    }
}

/// The protocol of a listener and of the connections that it accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlProtocol {
    /// HTTP health checks and endpoint discovery over HTTP.
    Http,
    /// Agent checks, which are answered without reading a request.
    Agent,
}

struct Connection {
    socket: BufferedSocket,
    kind: ControlProtocol,
    /// When the socket last had an event, in Unix milliseconds.
    last_activity: f64,
    /// Whether the last response was queued. The connection then reads no further requests and waits for the peer to
    /// close it.
    is_closing: bool,
}

impl Connection {
    /// Whether the next request can be answered: the peer reads its responses, and none of them was the last.
    fn takes_requests(&self) -> bool {
        let is_written = self.socket.unsent_bytes() <= MAX_UNWRITTEN_BYTES;
        self.kind == ControlProtocol::Http && !self.is_closing && is_written
    }
}

/// Server for the connections of load balancers and proxies.
pub struct ControlServer {
    connections: Slab<Connection>,
    cluster: String,
    /// Connections that have reached a limit per iteration and have requests or input left, each once.
    unread: Vec<SlotKey>,
}

/// The parts of an HTTP request that the server uses.
struct Request {
    method: String,
    path: String,
    body: Vec<u8>,
    keep_alive: bool,
    /// Size of the request including its headers, in bytes.
    length: usize,
}

/// Result of parsing the first request in a read buffer.
enum ParseResult {
    /// The request is incomplete; more bytes must be read.
    Incomplete,
    /// The request is complete.
    Complete(Request),
    /// The request is invalid or exceeds a limit and must be rejected with this HTTP status.
    Invalid(u16),
}

fn parse_request(bytes: &[u8]) -> ParseResult {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return ParseResult::Incomplete,
        Ok(httparse::Status::Partial) => return ParseResult::Invalid(431),
        Err(_) => return ParseResult::Invalid(400),
    };
    let header_values = |name: &'static str| {
        let named = head.headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value)
    };
    if header_values("transfer-encoding").next().is_some() {
        return ParseResult::Invalid(501);
    }
    let mut length = 0;
    for (i, value) in header_values("content-length").enumerate() {
        let digits = std::str::from_utf8(value).ok().filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
        match digits.and_then(|v| v.parse::<usize>().ok()).filter(|_| i == 0) {
            Some(value) if value <= MAX_BODY_BYTES => length = value,
            Some(_) => return ParseResult::Invalid(413),
            None => return ParseResult::Invalid(400),
        }
    }
    let Some(body) = bytes.get(start..start + length) else { return ParseResult::Incomplete };
    let close = header_values("connection").any(|value| value.eq_ignore_ascii_case(b"close"));
    ParseResult::Complete(Request {
        method: head.method.unwrap_or_default().to_owned(),
        path: head.path.unwrap_or_default().to_owned(),
        body: body.to_vec(),
        keep_alive: head.version == Some(1) && !close,
        length: start + length,
    })
}

fn reason_phrase(status: u16) -> &'static str {
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

impl ControlServer {
    /// Creates a server without connections. `cluster` is the name of the cluster in discovery responses.
    pub fn new(cluster: String) -> ControlServer {
        ControlServer { connections: Slab::default(), cluster, unread: Vec::new() }
    }

    /// Adds an accepted connection. Answers an agent check at once, because its client need not send a request.
    pub fn accept(
        &mut self,
        stream: TcpStream,
        kind: ControlProtocol,
        view: &NodeStatus,
        context: &mut BackendContext,
    ) {
        if self.connections.len() >= MAX_CONNECTIONS {
            self.remove_least_active();
        }
        let key = self.connections.insert(Connection {
            socket: BufferedSocket::new(stream),
            kind,
            last_activity: context.now,
            is_closing: false,
        });
        let Some(connection) = self.connections.get_mut(key) else { return };
        if connection.socket.register(context.registry, SocketOwner::Control(key)).is_err() {
            self.connections.remove(key);
            return;
        }
        context.timers.set(context.now + IDLE_TIMEOUT_MS, TimerEvent::Control(key));
        if kind == ControlProtocol::Agent {
            connection.socket.queue_write(view.agent_line().as_bytes());
            connection.is_closing = true;
        }
        self.ready(key, view, context);
    }

    /// Drops the connection that has been inactive for longest. Load balancers and proxies are few and connect again, so
    /// at the limit most connections are not theirs.
    fn remove_least_active(&mut self) {
        let connections = self.connections.iter();
        let least = connections.min_by(|a, b| a.1.last_activity.total_cmp(&b.1.last_activity));
        if let Some(key) = least.map(|(key, _)| key) {
            self.connections.remove(key);
        }
    }

    /// Removes and returns the connections with requests or input left, which get no further event from the poll.
    pub fn take_unread(&mut self) -> Vec<SlotKey> {
        std::mem::take(&mut self.unread)
    }

    /// Handles readiness of a connection's socket, and drops the connection if it has failed or ended.
    pub fn ready(&mut self, key: SlotKey, view: &NodeStatus, context: &mut BackendContext) {
        if self.process_socket(key, view, context).is_none() {
            self.connections.remove(key);
        }
    }

    /// Reads from the socket, answers all complete requests and writes the responses. Returns `None` if the connection
    /// has failed or the peer has closed it.
    fn process_socket(
        &mut self,
        key: SlotKey,
        view: &NodeStatus,
        context: &mut BackendContext,
    ) -> Option<()> {
        let connection = self.connections.get_mut(key)?;
        // Input behind the last request is no activity, so that a peer that goes on writing is dropped in time.
        if !connection.is_closing {
            connection.last_activity = context.now;
        }
        connection.socket.flush().ok()?;
        let end = connection.socket.read(MAX_HEAD_BYTES + MAX_BODY_BYTES).ok()?;
        let mut requests = 0;
        while connection.takes_requests() && requests < REQUESTS_PER_TURN {
            requests += 1;
            let (status, body, head_only) = match parse_request(&connection.socket.input) {
                ParseResult::Incomplete => break,
                ParseResult::Complete(request) => {
                    connection.socket.consume(request.length);
                    connection.is_closing = !request.keep_alive;
                    let (status, body) = respond(&self.cluster, &request, view);
                    (status, body, request.method == "HEAD")
                }
                ParseResult::Invalid(status) => {
                    connection.is_closing = true;
                    (status, reason_phrase(status).to_owned(), false)
                }
            };
            let content_type = if body.starts_with('{') { "application/json" } else { "text/plain" };
            let close = if connection.is_closing { "Connection: close\r\n" } else { "" };
            let reason = reason_phrase(status);
            let length =
                if status == 304 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
            connection.socket.queue_write(
                format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n{length}{close}\r\n")
                    .as_bytes(),
            );
            if !head_only && status != 304 {
                connection.socket.queue_write(body.as_bytes());
            }
        }
        let is_stopped_by_limit =
            requests == REQUESTS_PER_TURN || connection.socket.unsent_bytes() > MAX_UNWRITTEN_BYTES;
        if connection.is_closing {
            connection.socket.consume(connection.socket.input.len());
        }
        connection.socket.flush().ok()?;
        if connection.is_closing && connection.socket.unsent_bytes() == 0 {
            connection.socket.shutdown_write();
        }
        let has_input =
            connection.socket.read_limit_reached() && (connection.is_closing || connection.takes_requests());
        let has_requests = is_stopped_by_limit && connection.takes_requests();
        if (has_input || has_requests) && !self.unread.contains(&key) {
            self.unread.push(key);
        }
        (end == ReadStatus::Open).then_some(())
    }

    /// Handles the idle timer of a connection: drops the connection if it is idle, else restarts the timer.
    pub fn on_timer(&mut self, key: SlotKey, context: &mut BackendContext) {
        let Some(connection) = self.connections.get(key) else { return };
        if context.now - connection.last_activity >= IDLE_TIMEOUT_MS {
            self.connections.remove(key);
        } else {
            context.timers.set(connection.last_activity + IDLE_TIMEOUT_MS, TimerEvent::Control(key));
        }
    }
}

/// Returns the HTTP status and the body of the response to a request.
fn respond(cluster: &str, request: &Request, view: &NodeStatus) -> (u16, String) {
    let path = request.path.split('?').next().unwrap_or_default();
    let is_read = matches!(request.method.as_str(), "GET" | "HEAD");
    match path {
        "/health/live" if is_read => (200, "alive\n".to_owned()),
        "/health/ready" if is_read && view.ready() => (200, "ready\n".to_owned()),
        "/health/ready" if is_read => (503, view.agent_line()),
        "/v3/discovery:endpoints" if request.method == "POST" => {
            xds::discover(cluster, request.body.clone(), view)
        }
        "/xds/clients" if is_read => match &view.clients {
            Some(clients) => (200, clients.to_string()),
            None => (404, "xds is off\n".to_owned()),
        },
        "/health/live" | "/health/ready" | "/v3/discovery:endpoints" | "/xds/clients" => {
            (405, "wrong method\n".to_owned())
        }
        _ => (404, "no such page\n".to_owned()),
    }
}
