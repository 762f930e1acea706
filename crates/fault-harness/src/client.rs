//! Fake JSON-RPC clients. Each client has one connection to one front end and sends requests at a fixed rate.
//! The load is open-loop: slow or failed responses don't delay the next request.

use crate::history::{History, What};
use crate::{lock, now};
use base64::prelude::{Engine as _, BASE64_STANDARD};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Counters of a client's requests by result.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests that were written to the connection completely.
    pub sent: AtomicU64,
    /// Requests that were answered with a result.
    pub served: AtomicU64,
    /// Requests that were refused with error code -32011, which asks the client to retry later.
    pub refused: AtomicU64,
    /// Requests that were answered with any other error.
    pub failed: AtomicU64,
}

/// A fake client; clones share its state.
#[derive(Clone, Debug)]
pub struct Client {
    /// Address of the front end; `None` closes the connection and opens no new one.
    target: Arc<Mutex<Option<SocketAddr>>>,
    /// Set once the client is to stop.
    ended: Arc<AtomicBool>,
    /// Interval between two requests, in microseconds.
    every: Arc<AtomicU64>,
    /// Account that the requests name: 0 alternates between both accounts, 1 is the first account, 2 the second.
    account_choice: Arc<AtomicU64>,
    /// Estimated execution time that each request states.
    work: Duration,
    /// Counters of the client's requests by result.
    pub tally: Arc<Tally>,
}

impl Client {
    /// Starts a client of the given member that sends one request per interval `every`.
    /// Every tenth request is of the class `delivery-load`, all others are of the class `lookup`.
    /// The client's `number` keeps its request ids apart from those of other clients.
    pub fn start(member: &str, number: u64, every: Duration, work: Duration, history: History) -> Client {
        let client = Client {
            target: Arc::default(),
            ended: Arc::default(),
            every: Arc::new(AtomicU64::new(every.as_micros() as u64)),
            account_choice: Arc::default(),
            work,
            tally: Arc::default(),
        };
        let (worker, member) = (client.clone(), member.to_owned());
        std::thread::spawn(move || {
            let mut next = number << 32;
            while !worker.ended.load(Relaxed) {
                let target = *lock(&worker.target);
                let stream =
                    target.and_then(|at| TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok());
                match stream {
                    Some(stream) => drop(worker.send_requests(&member, stream, &mut next, &history)),
                    None => std::thread::sleep(Duration::from_millis(20)),
                }
            }
        });
        client
    }

    /// Sets the address to which the client connects; `None` disconnects the client.
    pub fn asks(&self, target: Option<SocketAddr>) {
        *lock(&self.target) = target;
    }

    /// Sets the interval between requests and the account that the requests name.
    /// The account choice 0 alternates between both accounts, 1 selects the first account and 2 the second.
    pub fn wants(&self, every: Duration, account_choice: u64) {
        self.every.store(every.as_micros() as u64, Relaxed);
        self.account_choice.store(account_choice, Relaxed);
    }

    /// Makes the client's thread end after its current request.
    pub fn stop(&self) {
        self.ended.store(true, Relaxed);
    }

    /// Sends requests over one connection until the client stops, the target is cleared or the connection fails.
    fn send_requests(
        &self,
        member: &str,
        mut stream: TcpStream,
        next: &mut u64,
        history: &History,
    ) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        stream.set_write_timeout(Some(Duration::from_millis(200))).ok()?;
        let (read, tally, notes) = (stream.try_clone().ok()?, self.tally.clone(), history.clone());
        let disconnected = Arc::new(AtomicBool::new(false));
        let reader_ended = disconnected.clone();
        let first = *next;
        let reader = std::thread::spawn(move || {
            read_responses(read, first, &tally, &notes);
            reader_ended.store(true, Relaxed);
        });
        let mut due = Instant::now();
        while !self.ended.load(Relaxed) && !disconnected.load(Relaxed) && lock(&self.target).is_some() {
            *next += 1;
            let (id, rid) = (*next - first, format!("{:016x}", *next));
            let class = usize::from(next.is_multiple_of(10));
            let (name, group) = (["lookup", "delivery-load"][class], *next % 7);
            let verb = ["select 1 from", "insert into"][class];
            let doc = BASE64_STANDARD.encode(format!("{verb} s_{group}.t"));
            let account_index = match self.account_choice.load(Relaxed) {
                0 => *next % 2,
                one => one - 1,
            };
            let account = ["leinster", "munster"][account_index as usize];
            let est = self.work.as_secs_f64() * 1000.0;
            let body = format!(
                r#"{{"jsonrpc":"2.0","id":{id},"method":"{name}","params":{{"rid":"{rid}","budget":2500,"acct":"{account}","est":{est:.1},"memory":8,"doc":"{doc}"}}}}"#
            );
            let message = format!("Content-Length: {}\r\n\r\n{body}", body.len());
            history.note(now(), What::Sent { member: member.to_owned(), id: rid, class });
            if stream.write_all(message.as_bytes()).is_err() {
                break;
            }
            self.tally.sent.fetch_add(1, Relaxed);
            due += Duration::from_micros(self.every.load(Relaxed));
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        let _ = stream.shutdown(std::net::Shutdown::Write);
        // Waits up to 500 ms for the responses to requests that were already sent.
        let deadline = Instant::now() + Duration::from_millis(500);
        while !disconnected.load(Relaxed) && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = reader.join(); // The reader thread does not panic, so there is no error to report.
        Some(())
    }
}

/// Records every response on a connection until the connection closes.
/// A request id is the sum of `first` and the JSON-RPC id, because JSON-RPC ids start at 1 on each connection.
fn read_responses(stream: TcpStream, first: u64, tally: &Tally, history: &History) -> Option<()> {
    let mut read = BufReader::new(stream);
    loop {
        let value = read_message(&mut read)?;
        let code = value["error"]["code"].as_i64();
        let answer = code.map_or("served".to_owned(), |code| code.to_string());
        let count = match code {
            None => &tally.served,
            Some(-32011) => &tally.refused,
            Some(_) => &tally.failed,
        };
        count.fetch_add(1, Relaxed);
        let id = format!("{:016x}", first + value["id"].as_u64().unwrap_or(0));
        history.note(now(), What::Answered { id, answer });
    }
}

/// Reads the next JSON-RPC message, which is framed by a `Content-Length` header.
/// Returns `None` if the connection closed or the message is malformed.
pub(crate) fn read_message(read: &mut impl BufRead) -> Option<serde_json::Value> {
    loop {
        let mut line = String::new();
        if read.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some(length) = line.trim_end().strip_prefix("Content-Length: ") else { continue };
        let mut body = vec![0; length.parse::<usize>().ok()? + 2];
        read.read_exact(&mut body).ok()?;
        return serde_json::from_slice(&body[2..]).ok();
    }
}
