//! A small server and client of the MySQL protocol, from its public specification: login without a password, default
//! database, text queries, prepared statements. A table `T` of database `D` has one row, `D.T`. As in MySQL, a prepared
//! statement belongs to the database that was the default when it was prepared, and resetting a connection drops its
//! statements but keeps its default database.

use super::*;
use std::collections::HashMap;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::AtomicU32;
use std::sync::Arc;

const CAPABILITIES: u32 = 0x0008_0000 | 0x8000 | 0x2000 | 0x200 | 0x8 | 0x5;

fn read_packet(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 4];
    stream.read_exact(&mut head).ok()?;
    let length = usize::from(head[0]) | usize::from(head[1]) << 8 | usize::from(head[2]) << 16;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head[3], body))
}

fn packet(number: u8, body: &[u8]) -> Vec<u8> {
    let mut out = (body.len() as u32).to_le_bytes()[..3].to_vec();
    out.push(number);
    out.extend_from_slice(body);
    out
}

fn ok() -> Vec<u8> {
    vec![0, 0, 0, 2, 0, 0, 0]
}

fn eof() -> Vec<u8> {
    vec![0xfe, 0, 0, 2, 0]
}

fn error(code: u16, text: &str) -> Vec<u8> {
    [&[0xff][..], &code.to_le_bytes(), b"#HY000", text.as_bytes()].concat()
}

fn column() -> Vec<u8> {
    let mut body = Vec::new();
    for text in ["def", "", "", "", "v", ""] {
        body.push(text.len() as u8);
        body.extend_from_slice(text.as_bytes());
    }
    body.extend([0x0c, 45, 0, 255, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    body
}

/// A statement that a server ran: its text, and the database in which its table lies.
pub type Ran = (String, String);

#[derive(Clone)]
pub struct MysqlServer {
    pub name: &'static str,
    pub address: SocketAddr,
    pub ran: Arc<Mutex<Vec<Ran>>>,
    connections: Arc<AtomicU32>,
}

struct ServerSession {
    database: Option<String>,
    statements: HashMap<u32, (String, String)>,
    next: u32,
}

impl MysqlServer {
    pub fn start(name: &'static str) -> MysqlServer {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = MysqlServer { name, address, ran: Arc::default(), connections: Arc::default() };
        let shared = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let number = self.connections.fetch_add(1, Ordering::SeqCst) + 1;
        let mut greeting = vec![10];
        greeting.extend(b"8.0.36\0");
        greeting.extend(number.to_le_bytes());
        greeting.extend(b"abcdefgh\0");
        greeting.extend(&CAPABILITIES.to_le_bytes()[..2]);
        greeting.extend([45, 2, 0]);
        greeting.extend(&CAPABILITIES.to_le_bytes()[2..]);
        greeting.push(21);
        greeting.extend([0; 10]);
        greeting.extend(b"ijklmnopqrst\0mysql_native_password\0");
        stream.write_all(&packet(0, &greeting)).ok()?;
        let (sequence, _) = read_packet(&mut stream)?;
        stream.write_all(&packet(sequence + 1, &ok())).ok()?;
        let mut session = ServerSession { database: None, statements: HashMap::new(), next: 1 };
        loop {
            let (_, body) = read_packet(&mut stream)?;
            let replies = self.command(number, &mut session, &body)?;
            let numbered = replies.iter().enumerate().map(|(i, body)| packet(i as u8 + 1, body));
            stream.write_all(&numbered.collect::<Vec<_>>().concat()).ok()?;
        }
    }

    /// The packets in reply to a command; `None` ends the connection.
    fn command(&self, number: u32, session: &mut ServerSession, body: &[u8]) -> Option<Vec<Vec<u8>>> {
        let (command, rest) = body.split_first()?;
        let text = || String::from_utf8_lossy(rest).into_owned();
        let handle = rest.first_chunk::<4>().map(|id| u32::from_le_bytes(*id));
        let at = format!("server {} connection {number}", self.name);
        match command {
            0x01 => None,
            0x02 => {
                record(&format!("{at}: default database {}", text()));
                session.database = Some(text());
                Some(vec![ok()])
            }
            0x03 if text().starts_with("KILL") => Some(vec![ok()]),
            0x03 => match session.database.clone() {
                Some(database) => Some(self.run(&at, &text(), &database, false)),
                None => Some(vec![error(1046, "No database selected")]),
            },
            0x0e => Some(vec![ok()]),
            0x16 => match session.database.clone() {
                Some(database) => {
                    record(&format!("{at}: prepares '{}' in {database}", text()));
                    let id = session.next;
                    session.next += 1;
                    session.statements.insert(id, (text(), database));
                    let columns = u16::from(text().starts_with("select"));
                    let mut reply = vec![0];
                    reply.extend(id.to_le_bytes());
                    reply.extend(columns.to_le_bytes());
                    reply.extend([0, 0, 0, 0, 0]);
                    let mut replies = vec![reply];
                    replies.extend((columns > 0).then(|| [column(), eof()]).into_iter().flatten());
                    Some(replies)
                }
                None => Some(vec![error(1046, "No database selected")]),
            },
            0x17 => match handle.and_then(|id| session.statements.get(&id)) {
                Some((text, database)) => Some(self.run(&at, text, database, true)),
                None => Some(vec![error(1243, "Unknown prepared statement handler")]),
            },
            0x19 => {
                handle.and_then(|id| session.statements.remove(&id));
                Some(Vec::new())
            }
            0x1f => {
                session.statements.clear();
                Some(vec![ok()])
            }
            _ => Some(vec![error(1047, "Unknown command")]),
        }
    }

    fn run(&self, at: &str, text: &str, database: &str, binary: bool) -> Vec<Vec<u8>> {
        record(&format!("{at}: runs '{text}' in {database}"));
        self.ran.lock().unwrap().push((text.to_owned(), database.to_owned()));
        if !text.starts_with("select") {
            return vec![ok()];
        }
        let value = format!("{database}.{}", text.rsplit(' ').next().unwrap_or_default());
        let row = [&[value.len() as u8][..], value.as_bytes()].concat();
        let row = if binary { [&[0, 0][..], &row].concat() } else { row };
        vec![vec![1], column(), eof(), row, eof()]
    }
}

/// A client's session with the front end. Each call returns the row's value, `ok`, or the error's text.
pub struct MysqlClient {
    pub name: &'static str,
    /// Commands whose answer was awaited.
    pub sent: Vec<String>,
    stream: TcpStream,
}

impl MysqlClient {
    pub fn login(name: &'static str, to: SocketAddr, user: &str, database: &str) -> Option<MysqlClient> {
        let mut stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        read_packet(&mut stream)?;
        let mut body = CAPABILITIES.to_le_bytes().to_vec();
        body.extend([0, 0, 16, 0, 45]);
        body.extend([0; 23]);
        body.extend(user.as_bytes());
        body.extend([0, 0]);
        body.extend(database.as_bytes());
        body.extend(b"\0mysql_native_password\0");
        stream.write_all(&packet(1, &body)).ok()?;
        let (_, reply) = read_packet(&mut stream)?;
        record(&format!("client {name}: login as {user}, database {database}: {}", reply.first() == Some(&0)));
        (reply.first() == Some(&0)).then_some(MysqlClient { name, sent: Vec::new(), stream })
    }

    fn call(&mut self, what: &str, command: u8, body: &[u8], binary: bool) -> String {
        let _ = self.stream.write_all(&packet(0, &[&[command], body].concat()));
        let answer = self.answer(binary).unwrap_or("no answer".to_owned());
        record(&format!("client {}: {what}: {answer}", self.name));
        self.sent.push(what.to_owned());
        answer
    }

    fn answer(&mut self, binary: bool) -> Option<String> {
        let (_, first) = read_packet(&mut self.stream)?;
        match first.first()? {
            0 => return Some("ok".to_owned()),
            0xff => return Some(format!("error {}", String::from_utf8_lossy(first.get(3..)?))),
            _ => {}
        }
        let mut value = String::new();
        let mut ends = 0;
        while ends < 2 {
            let (_, body) = read_packet(&mut self.stream)?;
            if body.first() == Some(&0xfe) && body.len() < 9 {
                ends += 1;
            } else if body.first() == Some(&0xff) {
                return Some(format!("error {}", String::from_utf8_lossy(body.get(3..)?)));
            } else if ends == 1 {
                value = String::from_utf8_lossy(body.get(if binary { 3 } else { 1 }..)?).into_owned();
            }
        }
        Some(value)
    }

    pub fn query(&mut self, text: &str) -> String {
        self.call(&format!("query '{text}'"), 0x03, text.as_bytes(), false)
    }

    pub fn reset(&mut self) -> String {
        self.call("reset of the connection", 0x1f, &[], false)
    }

    /// Prepares a statement without parameters and returns its number.
    pub fn prepare(&mut self, text: &str) -> Option<u32> {
        self.stream.write_all(&packet(0, &[&[0x16], text.as_bytes()].concat())).ok()?;
        let (_, reply) = read_packet(&mut self.stream)?;
        let number = reply.get(1..5).filter(|_| reply[0] == 0)?;
        let columns = u16::from_le_bytes([reply[5], reply[6]]);
        for _ in 0..columns + u16::from(columns > 0) {
            read_packet(&mut self.stream)?;
        }
        record(&format!("client {}: prepared '{text}'", self.name));
        Some(u32::from_le_bytes(number.try_into().ok()?))
    }

    pub fn execute(&mut self, what: &str, number: u32) -> String {
        let body = [&number.to_le_bytes()[..], &[0, 1, 0, 0, 0]].concat();
        self.call(&format!("execution of '{what}'"), 0x17, &body, true)
    }
}
