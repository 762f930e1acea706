//! A process with its memory limit, and hundreds of clients that write slowly, stop half way or send very many short
//! fields: its peak memory stays under the limit, and a sound client is answered meanwhile.

#[path = "common/stage.rs"]
mod stage;

use base64::prelude::{Engine as _, BASE64_STANDARD};
use beamgap::node::mysql_packets::{append_packet, capabilities, parse_packet};
use mysql_common::io::ParseBuf;
use mysql_common::packets::{AuthPlugin, HandshakePacket, HandshakeResponse};
use mysql_common::proto::MySerialize;
use mysql_common::scramble::scramble_native;
use stage::{config, House};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The `memory_mb` of the process's limits, in kilobytes.
const LIMIT_KB: u64 = 192 * 1024;
const CLIENTS: usize = 200;
/// As many connections as the HTTP listener holds.
const HTTP_CLIENTS: usize = 24;
const HALF_BYTES: usize = 600_000;

struct Process {
    child: Child,
    jsonrpc: SocketAddr,
    mysql: SocketAddr,
    http: SocketAddr,
    /// An engine that accepts connections and reads nothing.
    _engine: House,
}

impl Process {
    fn start() -> Process {
        let engine = House::new();
        let more = r#""listen":"127.0.0.1:0","control":{"http":"127.0.0.1:0"},"mysql":{"listen":"127.0.0.1:0",
            "box_user":"node","box_password_env":"SECRET","default_class":"delivery-load",
            "accounts":[{"user":"till","password_env":"SECRET","tenant":"leinster"}]},"#;
        let text = config(&[engine.address()], House::new().address(), more);
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("n0.json");
        std::fs::write(&path, text).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_beamgap"))
            .env("NODE_CONFIG", &path)
            .env("SECRET", "frost")
            .stderr(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let mut address_of = |what: &str| loop {
            let line = lines.next().expect("the process logs its addresses").expect("text");
            if let Some((_, address)) = line.split_once(&format!("listen: {what} address=")) {
                return address.trim().parse().expect("an address");
            }
        };
        let (jsonrpc, mysql) = (address_of("front=JsonRpc"), address_of("front=Mysql"));
        let http = address_of("control=Http");
        std::thread::spawn(move || lines.for_each(drop));
        Process { child, jsonrpc, mysql, http, _engine: engine }
    }

    /// Highest resident memory since the start, in kilobytes.
    fn peak_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
        line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
    }

    fn is_answering(&self) -> bool {
        let mut client = connect(self.jsonrpc);
        let alive = r#"{"jsonrpc":"2.0","id":1,"method":"alive"}"#;
        let sent = write!(client, "Content-Length: {}\r\n\r\n{alive}", alive.len());
        let mut answer = [0; 200];
        sent.is_ok() && client.read(&mut answer).is_ok_and(|bytes| bytes > 0)
    }

    /// Checks the peak memory after a scenario, whose connections are still open.
    fn check(&self, scenario: &str) {
        assert!(self.is_answering(), "{scenario}: a sound client got no answer");
        let peak = self.peak_kb();
        println!("{scenario}: peak {} MB", peak / 1024);
        assert!(peak < LIMIT_KB, "{scenario}: peak memory {peak} kB, the limit is {LIMIT_KB} kB");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already, which the test has reported then.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the connect failed");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a socket option");
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a socket option");
    stream
}

/// Opens the clients, each of which writes its bytes, as far as the process takes them, and stays.
fn crowd_with(address: SocketAddr, bytes_of: impl Fn(usize) -> Vec<u8>) -> Vec<TcpStream> {
    (0..CLIENTS).map(|number| write_what_is_taken(address, &bytes_of(number))).collect()
}

fn write_what_is_taken(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut client = connect(address);
    // A client that is disconnected, or whose bytes aren't taken, stays as it is.
    let _ = client.write_all(bytes);
    client
}

fn crowd(address: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    crowd_with(address, |_| bytes.to_vec())
}

/// A request whose statement has this length.
fn lookup(number: usize, statement_bytes: usize) -> Vec<u8> {
    let doc = BASE64_STANDARD.encode("x".repeat(statement_bytes));
    let params = format!(r#"{{"rid":"{number:016x}","budget":2500,"est":20,"memory":8,"doc":"{doc}"}}"#);
    let message = format!(r#"{{"jsonrpc":"2.0","id":1,"method":"lookup","params":{params}}}"#);
    format!("Content-Length: {}\r\n\r\n{message}", message.len()).into_bytes()
}

fn packet(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    append_packet(&mut out, 0, body);
    out
}

fn read_packet(stream: &mut TcpStream) -> Vec<u8> {
    let mut input = Vec::new();
    let mut chunk = [0; 1024];
    loop {
        if let Ok(Some((_, body))) = parse_packet(&input) {
            return body.to_vec();
        }
        let bytes = stream.read(&mut chunk).expect("a packet");
        assert!(bytes > 0, "the session was closed");
        input.extend(&chunk[..bytes]);
    }
}

fn mysql_session(address: SocketAddr) -> TcpStream {
    let mut stream = connect(address);
    let greeting = read_packet(&mut stream);
    let greeting: HandshakePacket = ParseBuf(&greeting).parse(()).expect("a greeting");
    let mut nonce = greeting.nonce();
    nonce.truncate(20);
    let response = HandshakeResponse::new(
        scramble_native(&nonce, b"frost").map(|scramble| scramble.to_vec()),
        (8, 0, 36),
        Some(&b"till"[..]),
        None::<Vec<u8>>,
        Some(AuthPlugin::MysqlNativePassword),
        capabilities(),
        None,
        1 << 20,
    );
    let (mut body, mut out) = (Vec::new(), Vec::new());
    response.serialize(&mut body);
    append_packet(&mut out, 1, &body);
    stream.write_all(&out).expect("a login");
    assert_eq!(read_packet(&mut stream)[0], 0, "the login failed");
    stream
}

fn mysql_crowd(address: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    let open = |_| {
        let mut session = mysql_session(address);
        let _ = session.write_all(bytes);
        session
    };
    (0..CLIENTS).map(open).collect()
}

// Guards against a process that is killed for its memory (the operators' picture (a)).
#[test]
fn hundreds_of_clients_that_stop_half_way_leave_the_process_under_its_memory_limit() {
    let process = Process::start();
    process.check("nobody");
    let half = format!("Content-Length: {}\r\n\r\n{}", 2 * HALF_BYTES, "[".repeat(HALF_BYTES));
    let half_jsonrpc = half.replace(&(2 * HALF_BYTES).to_string(), "1000000");
    let fields = format!("Content-Length: 5\r\n{}", "a:b\r\n".repeat(810));
    let objects = format!("[{}]", vec!["{\"a\":1}"; 70_000].join(","));
    let short_members = format!("Content-Length: {}\r\n\r\n{objects}", objects.len());
    for (scenario, bytes) in [
        ("JSON-RPC, half a request", half_jsonrpc.as_bytes()),
        ("JSON-RPC, heads of short fields", fields.as_bytes()),
        ("JSON-RPC, bodies of short members", short_members.as_bytes()),
    ] {
        let clients = crowd(process.jsonrpc, bytes);
        process.check(scenario);
        drop(clients);
    }
    let http_fields = format!("GET /health/live HTTP/1.1\r\n{}", "a:b\r\n".repeat(1_500));
    let clients = crowd(process.http, http_fields.as_bytes());
    process.check("HTTP, heads of short fields");
    drop(clients);
    let pipelined = "GET /health/live HTTP/1.1\r\n\r\n".repeat(150_000);
    let clients: Vec<_> =
        (0..HTTP_CLIENTS).map(|_| write_what_is_taken(process.http, pipelined.as_bytes())).collect();
    process.check("HTTP, responses that are not read");
    drop(clients);
    let clients = crowd(process.mysql, &packet(&vec![b'x'; 1 << 20])[..HALF_BYTES]);
    process.check("MySQL, half a login");
    drop(clients);
    let half_query = &packet(&vec![b'('; 1 << 20])[..HALF_BYTES];
    let sessions = mysql_crowd(process.mysql, half_query);
    process.check("MySQL, half a query");
    drop(sessions);
    let mut statements = packet(&[&[22], &vec![b'('; 900_000][..]].concat());
    statements.extend(packet(&[&[22], &vec![b'?'; 60_000][..]].concat()));
    let sessions = mysql_crowd(process.mysql, &statements);
    process.check("MySQL, statements of short words");
    drop(sessions);
    let mut named_statements = packet(&[&[2], &vec![b'n'; 10_000][..]].concat());
    named_statements.extend(packet(b"\x16select 1").repeat(200));
    let sessions = mysql_crowd(process.mysql, &named_statements);
    process.check("MySQL, statements in a database with a long name");
    let clients = crowd(process.jsonrpc, half_jsonrpc.as_bytes());
    process.check("both fronts at once");
    drop(clients);
    let mut whole_query = packet(format!("\x03select '{}'", "x".repeat(HALF_BYTES)).as_bytes());
    whole_query.extend_from_slice(half_query);
    let more_sessions = mysql_crowd(process.mysql, &whole_query);
    process.check("MySQL, whole queries that an engine does not read");
    let clients = crowd_with(process.jsonrpc, |number| lookup(number, HALF_BYTES));
    process.check("both fronts, whole requests that an engine does not read");
    drop((sessions, more_sessions, clients));
}
