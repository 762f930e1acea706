//! A client that speaks JSON-RPC.

use super::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// What a client has seen of its connection.
#[derive(Default)]
pub struct Seen {
    /// Answers by id, as their JSON text.
    pub answers: HashMap<u64, Vec<String>>,
    /// Messages without a usable id.
    pub other: Vec<String>,
    pub closed: bool,
}

/// A client connection that speaks JSON-RPC.
pub struct Client {
    pub name: &'static str,
    stream: TcpStream,
    pub seen: Arc<Mutex<Seen>>,
}

impl Client {
    pub fn connect(name: &'static str, to: SocketAddr) -> Client {
        let stream = TcpStream::connect(to).unwrap();
        let _ = stream.set_nodelay(true);
        record(&format!("client {name}: connected"));
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let (input, shared) = (stream.try_clone().unwrap(), seen.clone());
        std::thread::spawn(move || read_answers(name, input, &shared));
        Client { name, stream, seen }
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn send(&mut self, what: &str, message: &str) {
        let written = self.write(framed(message).as_bytes());
        record(&format!("client {}: sent {what}, written={written}", self.name));
    }

    /// The first answer to this id, if it has come.
    pub fn answer(&self, id: u64) -> Option<String> {
        self.seen.lock().unwrap().answers.get(&id).and_then(|of| of.first().cloned())
    }
}

pub fn framed(message: &str) -> String {
    format!("Content-Length: {}\r\n\r\n{message}", message.len())
}

/// A request with the usual fields.
pub fn request(
    id: u64,
    class: &str,
    rid: &str,
    budget: u64,
    statement: &str,
    tenant: &str,
    work: u64,
) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"rid":"{rid}","budget":{budget},"acct":"{tenant}","est":{work}.0,"memory":20,"doc":"{}"}}}}"#,
        base64(statement.as_bytes())
    )
}

fn read_answers(name: &str, input: TcpStream, seen: &Mutex<Seen>) {
    let mut reader = BufReader::new(input);
    loop {
        let mut line = String::new();
        let mut length = 0;
        let mut open = true;
        while open {
            line.clear();
            open = reader.read_line(&mut line).is_ok_and(|n| n > 0);
            if line == "\r\n" {
                break;
            }
            length = number_after(&line.to_ascii_lowercase(), "content-length: ").unwrap_or(length);
        }
        let mut body = vec![0; length as usize];
        if !open || reader.read_exact(&mut body).is_err() {
            seen.lock().unwrap().closed = true;
            return record(&format!("client {name}: the connection was closed by the front end"));
        }
        let text = String::from_utf8_lossy(&body).into_owned();
        record(&format!("client {name}: received {text}"));
        let mut seen = seen.lock().unwrap();
        match number_after(&text, "\"id\":") {
            Some(id) => seen.answers.entry(id).or_default().push(text),
            None => seen.other.push(text),
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
