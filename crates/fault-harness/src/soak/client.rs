//! Clients of the soak. Each client sends requests over a connection to its front end at a rate that does not depend
//! on the responses (open loop), and records its requests and the responses.

use super::book::{Book, Excuse, Incarnation, Record};
use super::plan::Plan;
use crate::client::read_message;
use crate::{lock, now};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use beamgap_fakes::draw::Draw;
use beamgap_fakes::rules::{Asked, Said};
use std::collections::BTreeMap;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Minimum interval between two load requests with the same ordering key on one connection, in milliseconds.
const KEY_INTERVAL_MS: f64 = 60.0;
/// Minimum interval between the first and the second load request on a new connection, in milliseconds.
const NEW_CONNECTION_INTERVAL_MS: f64 = 250.0;
/// A request written at most this many milliseconds before the client notices that the front end closed the
/// connection needs no response, because the front end may have closed before the request arrived.
const CROSSING_MS: f64 = 50.0;
/// Maximum number of open requests per connection; a request due above this limit is not sent.
const MAX_OPEN: usize = 30;
/// Fraction of requests that the client cancels.
const CANCELLED_FRACTION: f64 = 0.03;
/// Probability that the client closes the connection after a request that it did not cancel.
const DISCONNECT_PROBABILITY: f64 = 0.002;
/// Timeout for connecting to a front end.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before the next connection attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(15);
/// JSON-RPC error code of the response to a refused request.
const REFUSED: i64 = -32011;
/// How long a client that sends no more requests waits for responses beyond the longest deadline, in milliseconds.
const FINAL_RESPONSES_MS: f64 = 600.0;

/// Address and process that the clients of a front end connect to.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Listening address of the front end.
    pub address: SocketAddr,
    /// Process that listens at the address.
    pub incarnation: Incarnation,
}

/// State that all clients of one front end share.
#[derive(Clone, Default)]
pub struct Door {
    /// Where to open new connections; `None` while the front end accepts none.
    pub target: Arc<Mutex<Option<Target>>>,
    /// Processes that were killed without a drain, with the time of the kill.
    pub killed: Arc<Mutex<BTreeMap<Incarnation, f64>>>,
}

/// Kind of traffic that a client sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Look-up and report queries on a long-lived connection.
    Queries,
    /// Look-up and report queries, each on a new connection.
    Visits,
    /// Load requests that all have the same ordering key.
    Loads,
}

/// A client of the soak; its `run` method is the body of a thread.
pub struct SoakClient {
    /// Unique number of the client.
    pub number: u64,
    /// Kind of requests that the client sends.
    pub kind: Kind,
    /// Mean interval between two requests, in milliseconds.
    pub interval: f64,
    /// Connection target, shared with the other clients of the same front end.
    pub door: Door,
    /// Parameters of the run, such as its seed and its deadlines.
    pub plan: Arc<Plan>,
    /// Where the client records its requests and the responses.
    pub book: Book,
    /// Set when all clients must stop sending requests.
    pub is_over: Arc<AtomicBool>,
}

/// An open connection; `open` maps the JSON-RPC id of each unanswered request to its request id.
struct Connection {
    stream: TcpStream,
    target: Target,
    open: Arc<Mutex<BTreeMap<u64, String>>>,
    ended: Arc<AtomicBool>,
    answers: Arc<AtomicU64>,
    requests: u64,
}

impl SoakClient {
    /// Sends requests until `is_over` is set, then waits for the outstanding responses.
    pub fn run(self) {
        let mut draw = Draw::new(self.plan.seed << 16 ^ self.number);
        let mut count = 0;
        while !self.is_over.load(Relaxed) {
            if self.kind == Kind::Visits {
                std::thread::sleep(Duration::from_secs_f64(draw.waits(self.interval) / 1000.0));
            }
            let Some(target) = *lock(&self.door.target) else {
                std::thread::sleep(RECONNECT_PAUSE);
                continue;
            };
            match TcpStream::connect_timeout(&target.address, CONNECT_TIMEOUT) {
                Ok(stream) => drop(self.use_connection(stream, target, &mut draw, &mut count)),
                Err(e) => {
                    let is_killed = lock(&self.door.killed).contains_key(&target.incarnation);
                    if e.kind() == ErrorKind::ConnectionRefused && !is_killed {
                        self.book.connection_refused(target.incarnation, now());
                    }
                    std::thread::sleep(RECONNECT_PAUSE);
                }
            }
        }
    }

    fn use_connection(
        &self,
        stream: TcpStream,
        target: Target,
        draw: &mut Draw,
        count: &mut u64,
    ) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(Duration::from_millis(1000)))?;
        let reading = stream.try_clone()?;
        let mut connection = Connection {
            stream,
            target,
            open: Arc::default(),
            ended: Arc::default(),
            answers: Arc::default(),
            requests: 0,
        };
        let reader = {
            let (open, ended, answers) =
                (connection.open.clone(), connection.ended.clone(), connection.answers.clone());
            let book = self.book.clone();
            std::thread::spawn(move || {
                read_answers(reading, &open, &answers, &book);
                ended.store(true, Relaxed);
                now()
            })
        };
        let left = self.send_requests(&mut connection, draw, count);
        if left.is_none() {
            self.wait_for_answers(&connection);
        }
        let is_closed = connection.ended.load(Relaxed);
        // Shutdown fails if the front end has already closed the connection; that error is harmless.
        let _ = connection.stream.shutdown(Shutdown::Both);
        let ended_at = reader.join().unwrap_or_else(|_| now());
        self.classify_unanswered(&connection, left, is_closed.then_some(ended_at));
        Ok(())
    }

    /// Sends requests until the connection ends or the run is over. Returns the time at which this client decided to
    /// abandon its open requests by closing the connection; `None` if the client did not.
    fn send_requests(&self, connection: &mut Connection, draw: &mut Draw, count: &mut u64) -> Option<f64> {
        let mut due = now();
        while !self.is_over.load(Relaxed) && !connection.ended.load(Relaxed) {
            let wait = due - now();
            if wait > 0.0 {
                std::thread::sleep(Duration::from_secs_f64((wait / 1000.0).min(0.02)));
                continue;
            }
            due = now() + self.pause(connection.requests == 0, draw);
            if lock(&connection.open).len() >= MAX_OPEN {
                continue;
            }
            *count += 1;
            connection.requests += 1;
            let id = connection.requests;
            let Ok(name) = self.write_request(connection, id, *count, draw) else { return None };
            if draw.unit() < CANCELLED_FRACTION {
                std::thread::sleep(Duration::from_millis(draw.below(40)));
                self.cancel(connection, id, &name);
            } else if draw.unit() < DISCONNECT_PROBABILITY {
                return Some(now());
            }
            if self.kind == Kind::Visits {
                return None;
            }
        }
        None
    }

    fn pause(&self, is_first: bool, draw: &mut Draw) -> f64 {
        let pause = draw.waits(self.interval);
        let least = match (self.kind, is_first) {
            (Kind::Queries | Kind::Visits, _) => 0.0,
            (Kind::Loads, false) => KEY_INTERVAL_MS,
            (Kind::Loads, true) => NEW_CONNECTION_INTERVAL_MS,
        };
        pause.max(least)
    }

    fn write_request(
        &self,
        connection: &mut Connection,
        id: u64,
        count: u64,
        draw: &mut Draw,
    ) -> std::io::Result<String> {
        let class = match self.kind {
            Kind::Loads => super::LOAD,
            Kind::Queries | Kind::Visits if draw.unit() < 0.1 => super::REPORT,
            Kind::Queries | Kind::Visits => super::LOOKUP,
        };
        let (method, deadline) = super::class(&self.plan, class);
        let budget = (deadline * (0.8 + 0.2 * draw.unit())).floor();
        let name = format!("{:06x}{:010x}", self.number, count);
        let key = (self.kind == Kind::Loads).then(|| format!("key-{}", self.number));
        let group = draw.below(9);
        let verb = if class == super::LOAD { "insert into" } else { "select 1 from" };
        let doc = BASE64_STANDARD.encode(format!("{verb} s_{group}.t"));
        let obj = key.as_ref().map_or(String::new(), |key| format!(r#""obj":"{key}","#));
        let est = super::WORK_MS;
        let body = format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"{method}","params":{{"rid":"{name}",{obj}"budget":{budget},"acct":"leinster","est":{est},"memory":8,"doc":"{doc}"}}}}"#
        );
        let message = format!("Content-Length: {}\r\n\r\n{body}", body.len());
        let at = now();
        self.book.asked(Record {
            asked: Asked { at, id: name.clone(), class, key, until: at + budget, gone: None },
            incarnation: connection.target.incarnation,
            excuse: None,
            lost: None,
        });
        lock(&connection.open).insert(id, name.clone());
        let written = self.write(connection, message.as_bytes(), draw);
        if written.is_err() {
            // A front end that never received the whole request does not have to respond.
            lock(&connection.open).remove(&id);
            self.book.excuse(&name, now(), Excuse::CrossedClose);
        } else {
            self.book.written(&name, now());
        }
        written.map(|()| name)
    }

    /// Writes a message. If the plan has slow writers, a quarter of the messages is written in pieces with pauses.
    fn write(&self, connection: &mut Connection, message: &[u8], draw: &mut Draw) -> std::io::Result<()> {
        if !self.plan.has_slow_writers || draw.below(4) > 0 {
            return connection.stream.write_all(message);
        }
        let piece = message.len() / (2 + draw.below(3) as usize) + 1;
        for part in message.chunks(piece) {
            connection.stream.write_all(part)?;
            std::thread::sleep(Duration::from_millis(10 + draw.below(80)));
        }
        Ok(())
    }

    fn cancel(&self, connection: &mut Connection, id: u64, name: &str) {
        let body = format!(r#"{{"jsonrpc":"2.0","method":"cancelRequest","params":{{"id":{id}}}}}"#);
        let message = format!("Content-Length: {}\r\n\r\n{body}", body.len());
        if connection.stream.write_all(message.as_bytes()).is_ok()
            && lock(&connection.open).remove(&id).is_some()
        {
            self.book.excuse(name, now(), Excuse::ClientLeft);
        }
    }

    /// Waits until all open requests are answered, the connection ends, or the time limit passes.
    fn wait_for_answers(&self, connection: &Connection) {
        let wait_deadline = now() + self.plan.longest_deadline() + FINAL_RESPONSES_MS;
        while !connection.ended.load(Relaxed) && !lock(&connection.open).is_empty() && now() < wait_deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Classifies each unanswered request after the connection has ended as excused or lost. `left` is the time at
    /// which this client closed the connection, and `closed_at` the time at which the front end closed it. If both
    /// are `None`, the responses did not arrive in time and the requests are lost.
    fn classify_unanswered(&self, connection: &Connection, left: Option<f64>, closed_at: Option<f64>) {
        let killed = lock(&self.door.killed).get(&connection.target.incarnation).copied();
        let may_be_unread = self.plan.has_crowd && connection.answers.load(Relaxed) == 0;
        for (id, name) in std::mem::take(&mut *lock(&connection.open)) {
            let (written_at, is_first) = (self.book.written_at(&name), id == 1);
            match (left, closed_at) {
                (Some(left), _) => self.book.excuse(&name, left, Excuse::ClientLeft),
                (None, None) => self.book.lost(&name, now()),
                (None, Some(at)) => match killed.filter(|killed| *killed <= at) {
                    Some(killed) => self.book.excuse(&name, killed, Excuse::Killed),
                    None if may_be_unread && is_first => self.book.excuse(&name, at, Excuse::ShutUnread),
                    None if written_at >= at - CROSSING_MS => {
                        self.book.excuse(&name, written_at, Excuse::CrossedClose);
                    }
                    None => self.book.lost(&name, at),
                },
            }
        }
    }
}

/// Records responses until the connection ends.
fn read_answers(
    stream: TcpStream,
    open: &Mutex<BTreeMap<u64, String>>,
    answers: &AtomicU64,
    book: &Book,
) -> Option<()> {
    let mut read = BufReader::new(stream);
    let mut names: BTreeMap<u64, String> = BTreeMap::new();
    loop {
        let value = read_message(&mut read)?;
        let at = now();
        let id = value["id"].as_u64().unwrap_or(0);
        let said = match value["error"]["code"].as_i64() {
            None => Said::Served,
            Some(REFUSED) => Said::Refused,
            Some(_) => Said::Failed,
        };
        answers.fetch_add(1, Relaxed);
        // A second response to the same request is recorded too, so that the rule checker can report the duplicate.
        if let Some(name) = lock(open).remove(&id) {
            names.insert(id, name);
        }
        if let Some(name) = names.get(&id) {
            book.answered(at, name, said);
        }
    }
}
