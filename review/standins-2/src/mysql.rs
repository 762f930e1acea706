//! The MySQL client/server protocol, as far as the cases speak it: a server, whose sessions each case brings along, and
//! a client.

use crate::world::Record;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// Status of a session that commits each statement by itself, and of one in a transaction.
pub const AUTOCOMMIT: u8 = 2;
pub const IN_TRANSACTION: u8 = 1;

const CAPABILITIES: u32 = 0x1 | 0x4 | 0x8 | 0x200 | 0x2000 | 0x8000 | 0x20000 | 0x80000;

fn packet(number: u8, body: &[u8]) -> Vec<u8> {
    let mut out = (body.len() as u32).to_le_bytes()[..3].to_vec();
    out.push(number);
    out.extend_from_slice(body);
    out
}

fn read_packet(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let length = usize::from(head[0]) | usize::from(head[1]) << 8 | usize::from(head[2]) << 16;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head[3], body))
}

fn text(out: &mut Vec<u8>, value: &str) {
    out.push(value.len() as u8);
    out.extend_from_slice(value.as_bytes());
}

/// One session of a server, from the login to the end of its connection.
pub trait Logic {
    /// Runs a statement and returns the packets of its response.
    fn run(&mut self, statement: &str) -> Vec<u8>;
}

/// Starts a server on a free port, which it returns. `open` makes the session of a new connection.
pub fn start_server<L: Logic>(
    record: Record,
    open: impl Fn() -> L + Send + Sync + 'static,
) -> Result<u16, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let port = listener.local_addr().map_err(|e| e.to_string())?.port();
    std::thread::spawn(move || {
        let (sessions, open) = (AtomicU32::new(0), Arc::new(open));
        for stream in listener.incoming().flatten() {
            let (record, open, id) = (record.clone(), open.clone(), sessions.fetch_add(1, SeqCst) + 1);
            std::thread::spawn(move || {
                serve(stream, id, &mut open(), &record);
                record.line(format!("box: session {id} has ended"));
            });
        }
    });
    Ok(port)
}

fn serve(mut stream: TcpStream, id: u32, session: &mut impl Logic, record: &Record) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut greeting = vec![10];
    greeting.extend_from_slice(b"8.0.36\0");
    greeting.extend(id.to_le_bytes());
    greeting.extend_from_slice(b"abcdefgh\0");
    greeting.extend((CAPABILITIES as u16).to_le_bytes());
    greeting.push(45);
    greeting.extend(2u16.to_le_bytes());
    greeting.extend(((CAPABILITIES >> 16) as u16).to_le_bytes());
    greeting.push(21);
    greeting.extend([0; 10]);
    greeting.extend_from_slice(b"ijklmnopqrst\0mysql_native_password\0");
    stream.write_all(&packet(0, &greeting)).ok()?;
    let (number, _) = read_packet(&mut stream)?;
    stream.write_all(&packet(number.wrapping_add(1), &[0, 0, 0, 2, 0, 0, 0])).ok()?;
    loop {
        let (_, body) = read_packet(&mut stream)?;
        match body.split_first()? {
            (1, _) => return None,
            (3, statement) => {
                let statement = String::from_utf8_lossy(statement).into_owned();
                record.line(format!("box: session {id} runs {statement}"));
                let answer = session.run(&statement);
                stream.write_all(&answer).ok()?;
            }
            _ => stream.write_all(&packet(1, &[0, 0, 0, 2, 0, 0, 0])).ok()?,
        }
    }
}

/// An OK packet for one affected row.
pub fn done(status: u8, warnings: u8) -> Vec<u8> {
    packet(1, &[0, 1, 0, status, 0, warnings, 0])
}

pub fn failed(code: u16, message: &str) -> Vec<u8> {
    let mut body = vec![0xff];
    body.extend(code.to_le_bytes());
    body.extend_from_slice(b"#23000");
    body.extend_from_slice(message.as_bytes());
    packet(1, &body)
}

/// A result set of text columns.
pub fn result(columns: &[&str], rows: &[Vec<String>], status: u8) -> Vec<u8> {
    let (mut out, mut number) = (packet(1, &[columns.len() as u8]), 1u8);
    let mut push = |out: &mut Vec<u8>, body: &[u8]| {
        number += 1;
        out.extend(packet(number, body));
    };
    for name in columns {
        let mut body = Vec::new();
        for part in ["def", "", "", "", name, ""] {
            text(&mut body, part);
        }
        body.extend([0x0c, 45, 0, 255, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
        push(&mut out, &body);
    }
    push(&mut out, &[0xfe, 0, 0, status, 0]);
    for row in rows {
        let mut body = Vec::new();
        row.iter().for_each(|value| text(&mut body, value));
        push(&mut out, &body);
    }
    push(&mut out, &[0xfe, 0, 0, status, 0]);
    out
}

/// A client's session.
pub struct Session(TcpStream);

/// What a statement was answered: its rows, or an error.
pub enum Answer {
    Done { status: u8, warnings: u16 },
    Rows(Vec<Vec<String>>),
    Error(String),
}

impl std::fmt::Display for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Answer::Done { status, warnings } => write!(f, "done, status={status} warnings={warnings}"),
            Answer::Rows(rows) => write!(f, "rows {rows:?}"),
            Answer::Error(text) => write!(f, "error {text}"),
        }
    }
}

impl Session {
    /// Logs in without a password.
    pub fn open(port: u16, user: &str) -> Result<Session, String> {
        let mut stream = TcpStream::connect(("127.0.0.1", port)).map_err(|e| e.to_string())?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let (number, _) = read_packet(&mut stream).ok_or("no greeting")?;
        let mut body = (CAPABILITIES & !0x8).to_le_bytes().to_vec();
        body.extend((1u32 << 20).to_le_bytes());
        body.push(45);
        body.extend([0; 23]);
        body.extend_from_slice(user.as_bytes());
        body.extend([0, 0]);
        body.extend_from_slice(b"mysql_native_password\0");
        stream.write_all(&packet(number.wrapping_add(1), &body)).map_err(|e| e.to_string())?;
        match read_packet(&mut stream) {
            Some((_, body)) if body.first() == Some(&0) => Ok(Session(stream)),
            other => Err(format!("login of {user}: {other:?}")),
        }
    }

    pub fn query(&mut self, statement: &str) -> Result<Answer, String> {
        let body = [&[3u8], statement.as_bytes()].concat();
        self.0.write_all(&packet(0, &body)).map_err(|e| e.to_string())?;
        let mut next = || read_packet(&mut self.0).map(|(_, body)| body).ok_or("the session has ended");
        let first = next()?;
        match first.first() {
            Some(0) => {
                let warnings = first.get(5..7).map_or(0, |w| u16::from(w[0]) | u16::from(w[1]) << 8);
                return Ok(Answer::Done { status: first.get(3).copied().unwrap_or(0), warnings });
            }
            Some(0xff) => return Ok(Answer::Error(String::from_utf8_lossy(&first[3..]).into_owned())),
            _ => {}
        }
        let columns = usize::from(first[0]);
        for _ in 0..=columns {
            next()?; // The columns, and the end of their list.
        }
        let mut rows = Vec::new();
        loop {
            let body = next()?;
            if body.first() == Some(&0xfe) && body.len() < 9 {
                return Ok(Answer::Rows(rows));
            }
            let (mut row, mut at) = (Vec::new(), 0);
            while let Some(length) = body.get(at).map(|l| usize::from(*l)) {
                let value = body.get(at + 1..at + 1 + length).unwrap_or_default();
                row.push(String::from_utf8_lossy(value).into_owned());
                at += 1 + length;
            }
            rows.push(row);
        }
    }
}
